"""A late order takes restarted engines back to older weights."""

import asyncio
from pathlib import Path
import secrets
import sys

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

from testbed.deployment import BROKEN  # noqa: E402
from testbed.deployment import Deployment  # noqa: E402
from testbed.deployment import HELD  # noqa: E402
from testbed.deployment import NOT_RUN  # noqa: E402
from testbed.deployment import Record  # noqa: E402
from testbed.deployment import TROUBLE  # noqa: E402
from testbed.engine import Engine  # noqa: E402
from testbed.traffic import Kind  # noqa: E402
from testbed.traffic import Traffic  # noqa: E402

MODEL = 'm1'
VERSION_MS = 10_000.0
# Two engines of seven, whose first orders get no answer.
LATE_IDS = ('i-0', 'i-1')
LATE_S = 11.5
DOWN_S = 1.0
PER_S = 14.0
CONFIG = {
    'version': 3,
    'routes': [
        {
            'name': 'r-tag',
            'host': 'tags.example',
            'prefix': '/tag/',
            'kind': 'streaming',
            'timeoutMs': 3000,
            'sloMs': 1000,
            'priority': 0,
            'service': 'models',
            'attempts': 2,
            'public': True,
            'sticky': True,
            'canResume': True,
            'gapAimMs': 400,
        }
    ],
    'services': [
        {
            'name': 'models',
            'healthPath': '/health',
            'maxConns': 370,
            'coldStartS': 0.0,
            'coldPerS': 0.0,
            'engine': {
                'capacity': 64,
                'kvTokens': 80086,
                'kvBytes': 18432,
                'maxInflight': 12,
                'managed': True,
                'models': [{'name': MODEL}],
            },
        }
    ],
    'limits': {
        'headerBytes': 16384,
        'bodyBytes': 4194304,
        'headerMs': 3000,
        'idleMs': 15000,
    },
    'tenants': [],
}


def prompt() -> dict[str, str]:
    """Return the fields of a prompt with one shared part."""
    own = secrets.token_hex(4)
    return {
        'Model': MODEL,
        'Token-Usage': '900,40',
        'Prefix-Hash': f'5c1e07a2:800,{own}:100',
    }


TAG = Kind('POST', '/tag/1', 'tags.example', 3000, b'note', prompt)


def delay_first_orders(engines: list[Engine]) -> None:
    """Leave the first order of some engines unanswered; it comes late."""
    waiting = set(LATE_IDS)
    for engine in engines:

        def delay(_order: object, id_: str = engine.id) -> float | None:
            if id_ not in waiting:
                return None
            waiting.discard(id_)
            return LATE_S

        engine.delay_order = delay


async def reach(engines: list[Engine], version: int, limit_s: float) -> None:
    """Wait until the engines have a version; raise TimeoutError if late."""
    async with asyncio.timeout(limit_s):
        while any(e.version != version or e.loading for e in engines):
            await asyncio.sleep(0.02)


async def crash(engine: Engine) -> None:
    """End an engine, which comes back under its id with its weights."""
    engine.stop('crash')
    await asyncio.sleep(DOWN_S)
    await engine.start()


def name_version(deployment: Deployment, version: int) -> None:
    value = {'model': MODEL, 'version': version}
    revision = deployment.store.put(f'op/version/{MODEL}', value)
    deployment.record.note('version named', version=version, at=revision)


async def play(record: Record) -> int:
    deployment = Deployment(record)
    zones = ('zone-a', 'zone-b', 'zone-c') * 2 + ('zone-a',)
    engines = [
        Engine(
            deployment.store,
            record.note,
            f'i-{number}',
            'models',
            zone,
            model=MODEL,
        )
        for number, zone in enumerate(zones)
    ]
    deployment.engines = engines
    disturbed = [e for e in engines if e.id in LATE_IDS]
    if TROUBLE:
        delay_first_orders(engines)
    try:
        await deployment.start(CONFIG)
        traffic = Traffic(deployment)
        sending = asyncio.ensure_future(traffic.run(TAG, PER_S, 50.0))
        await asyncio.sleep(3.0)
        name_version(deployment, 2)
        await reach(disturbed, 2, VERSION_MS / 1000.0)
        name_version(deployment, 3)
        await reach(disturbed, 3, VERSION_MS / 1000.0)
        if TROUBLE:
            await asyncio.gather(*map(crash, disturbed))
        await sending
        return judge(deployment, traffic)
    finally:
        await deployment.close()


def judge(deployment: Deployment, traffic: Traffic) -> int:
    record = deployment.record
    versions = {e.id: e.version for e in deployment.engines}
    older = [id_ for id_, version in versions.items() if version < 3]
    named = record.of('version named', version=3)[0]['at_s']
    starts = record.of('engine started')
    since_s = max(named, *(line['at_s'] for line in starts))
    stable_s = record.now_s - since_s
    record.note(
        'verdict',
        versions=versions,
        stable_s=stable_s,
        refused_by_version=len(record.of('not run')),
        answered_200=sum(s == 200 for s in traffic.statuses.values()),
        sent=len(traffic.sent_s),
        orders=len(record.of('order arrives')),
    )
    if stable_s < 1.5 * VERSION_MS / 1000.0:
        return NOT_RUN
    if TROUBLE and not record.of('order decided', when='late'):
        return NOT_RUN
    many = len(older) > 1 and len(older) > len(versions) / 10
    return BROKEN if many else HELD


def main() -> int:
    record = Record(FOLDER / 'record.txt')
    try:
        return asyncio.run(play(record))
    except (OSError, TimeoutError) as exc:
        record.note('not run', error=repr(exc))
        return NOT_RUN


if __name__ == '__main__':
    sys.exit(main())
