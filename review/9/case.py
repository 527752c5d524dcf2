"""An entry is stopped where the grace time is no whole number."""

import asyncio
import json
from pathlib import Path
import signal

from review.fleet.engine import Run
from review.fleet.model_engine import MODEL
from review.fleet.model_engine import ModelEngine
from review.fleet.model_engine import service
from review.fleet.model_engine import stream_route
from review.fleet.store import Store
from review.fleet.template import fill
from review.fleet.world import Client
from review.fleet.world import CONTACT_S
from review.fleet.world import Fleet
from review.fleet.world import KEY
from review.fleet.world import Record
from review.fleet.world import ROOT
from review.fleet.world import run_case
from review.fleet.world import state
from review.fleet.world import TROUBLE
from review.fleet.world import ZONES

GRACE_S = 7.5
PATH = '/notes/'
# Time to the first token, and between events.
WORK_S = 0.2
PAUSE_S = 0.4
STREAMS = 8
# Time from the start of the streams to SIGTERM.
TERM_AFTER_S = 0.9

BOUNDS = {
    'contactMs': 3000,
    'graceS': GRACE_S,
    'budgetRatio': 0.2,
    'budgetWindowS': 10,
    'retrySlack': 58,
    'leaseMs': 3000,
    'versionMs': 10000,
}


async def run(record: Record) -> bool:
    """Return whether the rule was broken."""
    store = Store()
    address = await store.start('127.0.0.1')
    desired = state(1, [stream_route('r-notes', PATH)])
    desired['services'] = [service()]
    await store.put('op/config', desired)
    runs: list[Run] = []
    engines = [
        ModelEngine(store, zone, runs, {PATH: WORK_S}) for zone in ZONES
    ]
    for engine in engines:
        engine.pause_s = PAUSE_S
        await engine.start('127.0.0.1')
    fleet = Fleet(address, count=3)
    for gateway in fleet.gateways:
        gateway.change_settings = filled
    try:
        await fleet.start()
        await asyncio.sleep(CONTACT_S)
        served = await stop_one(record, fleet)
    finally:
        fleet.close()
    record.add(f'{len(runs)} runs, {served} of {STREAMS} streams complete')
    return served < STREAMS


def filled(settings: dict[str, object]) -> dict[str, object]:
    """Return the settings that the platform makes of the template."""
    fields = {
        'nodeName': settings['process'],
        'zone': settings['failure_domain'],
        'region': settings['region'],
        'zones': settings['regions'],
        'listenAddrs': {
            'front': settings['callers'],
            'ready': settings['ready'],
            'control': settings['inner'],
        },
        'ip': '127.0.0.1',
        'seeds': settings['seeds'],
        'provider': {'address': settings['key_value'], 'ttlMinMs': 1000},
        'limits': {'linkMbps': 1000.0, 'memoryMb': 150, 'maxFds': 4100},
        'policies': ['base', 'drain', 'config', 'retry', 'stream'],
        'bounds': BOUNDS,
    }
    template = (ROOT / 'deploy/gateway.json').read_text()
    found = json.loads(fill(template, fields))
    # Its port is fixed in the template, and may be taken here.
    found['metrics'] = settings['metrics']
    return found


async def stop_one(record: Record, fleet: Fleet) -> int:
    """Stop an entry under streams; return how many of them are complete."""
    client = Client(record)
    gateway = fleet.gateways[0]

    async def send(number: int) -> bool:
        headers = {
            'Model': MODEL,
            'Token-Usage': '1600,3',
            'Prefix-Hash': f'5c1e07a2:1500,{number:08x}:100',
        }
        _id, answer = await client.send(
            gateway, 'POST', PATH, b'note', 12000, headers, KEY
        )
        return answer.status == 200

    streams = asyncio.gather(*(send(number) for number in range(STREAMS)))
    await asyncio.sleep(TERM_AFTER_S)
    if TROUBLE:
        gateway.signal(signal.SIGTERM)
        record.add(f'{gateway.name} gets SIGTERM, graceS is {GRACE_S}')
    return sum(await streams)


if __name__ == '__main__':
    run_case(run, Path(__file__).resolve().parent)
