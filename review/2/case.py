"""A key that was taken away stays valid for good (rule CONFIG).

The store comes back from an older copy, and gives revisions out again. The
gateways take the next desired state for an older one.
"""

import asyncio
import json
from pathlib import Path

from review.common.engine import Engine
from review.common.gateways import ZONES
from review.common.http11 import call
from review.common.scene import CannotRun
from review.common.scene import has_trouble
from review.common.scene import run_case

CONTACT_S = 3.0
CONFIG_S = 2.0
OUTER_S = 5.0
# The store is away for a moment and comes back from a copy some seconds old.
AWAY_S = 1.0
COPY_AGE_S = 8.0
# From its return to the desired state that takes a key away.
REVOKED_AFTER_S = CONTACT_S + 0.5


def make_state(version, keys):
    """Return a desired state in which the tenant has these keys."""
    return {
        'version': version,
        'routes': [
            {
                'name': 'r1',
                'host': 'h.example',
                'prefix': '/u/',
                'kind': 'unsafe',
                'attempts': 1,
                'timeoutMs': 2000,
                'sloMs': 300,
                'priority': 2,
                'service': 'app',
                'public': False,
                'sticky': False,
            }
        ],
        'services': [
            {'name': 'app', 'healthPath': '/health', 'maxConns': 100}
        ],
        'limits': {
            'headerBytes': 16384,
            'bodyBytes': 4194304,
            'headerMs': 3000,
            'idleMs': 15000,
        },
        'tenants': [{'name': 'one', 'apiKeys': list(keys), 'priority': 1}],
    }


class Callers:
    """Sends requests with a key by each gateway; notes what has run."""

    def __init__(self, scene):
        self._scene = scene
        self._count = 0
        self.ran = set()

    async def run(self, _engine, request, _writer):
        self.ran.add(request.get('Request-Id'))
        return None

    async def ask(self, gateway, key):
        """Return the status, and whether the request has run."""
        self._count += 1
        request_id = f'req-{self._count}'
        status, _headers, _body = await call(
            gateway.front,
            'POST',
            '/u/1',
            (
                ('Host', 'h.example'),
                ('Request-Id', request_id),
                ('Deadline-Ms', '4000'),
                ('Authorization', f'Bearer {key}'),
            ),
            b'order',
            timeout=5.0,
        )
        has_run = request_id in self.ran
        self._scene.record(
            f'{request_id} with {key} by {gateway.name}: {status}'
            + (', it has run' if has_run else '')
        )
        return status, has_run


async def drill(scene):
    """Let the store be away and come back from a copy."""
    before = scene.store.revision
    scene.store.leave()
    scene.record(f'the store is away, its revision is {before}')
    await asyncio.sleep(AWAY_S)
    lost = scene.store.come_back(COPY_AGE_S)
    scene.record(
        f'it is back from a copy of {COPY_AGE_S:g} s ago, revision '
        f'{scene.store.revision}, Store-Era {scene.store.era}'
    )
    # What the operator and the engines wrote is written again.
    for key, value in sorted(lost.items()):
        if key.startswith('op/') and value is not None:
            scene.store.put(key, value)
            scene.record(f'{key} is written again')
    for engine in scene.engines:
        engine.beat()


async def case(scene):
    callers = Callers(scene)
    await scene.start(make_state(1, ('key-a', 'key-b')))
    # As many engines as the site has.
    for number in range(9):
        engine = Engine(
            scene.store, 'app', ZONES[number % 3], lambda text: None
        )
        engine.on_run = callers.run
        scene.engines.append(await engine.start())
        await asyncio.sleep(0.1)
    await scene.start_gateways()
    await asyncio.sleep(COPY_AGE_S + 1.0)
    scene.record('desired state 2 is confirmed')
    scene.store.put('op/config', make_state(2, ('key-a', 'key-b', 'key-c')))
    await asyncio.sleep(0.5)
    if has_trouble():
        await drill(scene)
    else:
        await asyncio.sleep(AWAY_S)
    await asyncio.sleep(REVOKED_AFTER_S)
    scene.store.put('op/config', make_state(3, ('key-a', 'key-c')))
    scene.record(
        'desired state 3, without key-b, is confirmed at revision '
        f'{scene.store.revision}'
    )
    await asyncio.sleep(CONFIG_S + OUTER_S + 1.0)
    broken = False
    for _ in range(4):
        for gateway in scene.gateways:
            status, _has_run = await callers.ask(gateway, 'key-a')
            if status != 200:
                raise CannotRun('a request with a valid key is not served')
            _status, has_run = await callers.ask(gateway, 'key-b')
            broken = broken or has_run
        await asyncio.sleep(3.0)
    scene.record(f'the revision of the store is {scene.store.revision} now')
    config = json.loads(scene.store.value('op/config'))
    scene.record(f'op/config holds version {config["version"]}')
    return broken


if __name__ == '__main__':
    run_case(Path(__file__).parent, case, gateways=3)
