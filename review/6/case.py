"""Another writer leaves an entry with fields missing."""

import asyncio
import itertools
from pathlib import Path
import time

from review.fleet.engine import Engine
from review.fleet.engine import Run
from review.fleet.http11 import Answer
from review.fleet.store import Store
from review.fleet.world import Client
from review.fleet.world import CONTACT_S
from review.fleet.world import Fleet
from review.fleet.world import Gateway
from review.fleet.world import Record
from review.fleet.world import route
from review.fleet.world import run_case
from review.fleet.world import state
from review.fleet.world import TROUBLE
from review.fleet.world import ZONES

WORK_S = 0.05
# The routes, the first one and one that is added, and their services.
FIRST_PATH, ADDED_PATH = '/sheets/', '/rates/'
FIRST_SERVICE, ADDED_SERVICE = 'desk', 'rates'
EVERY_S = 0.5
CALM_S = 4.0
# For how long the entry of the other writer is there.
ODD_S = 2.0
JUDGED_S = 20.0


class Sent:
    """A request, when it was sent and whether it was served."""

    def __init__(self, path: str, sent_s: float, answer: Answer) -> None:
        self.path = path
        self.sent_s = sent_s
        self.served = answer.status == 200


def desired(version: int, has_added: bool) -> dict[str, object]:
    """Return a desired state with one route or with both."""
    first = route('r-first', FIRST_PATH, 'safe', attempts=2)
    added = route('r-added', ADDED_PATH, 'safe', attempts=2)
    added['service'] = ADDED_SERVICE
    found = state(version, [first, added] if has_added else [first])
    services = found['services']
    found['services'] = services + [services[0] | {'name': ADDED_SERVICE}]
    return found


async def run(record: Record) -> bool:
    """Return whether the rule was broken."""
    store = Store()
    address = await store.start('127.0.0.1')
    await store.put('op/config', desired(1, has_added=False))
    runs: list[Run] = []
    engines = [
        Engine(store, FIRST_SERVICE, zone, runs, WORK_S) for zone in ZONES
    ]
    single = Engine(store, ADDED_SERVICE, ZONES[0], runs, WORK_S)
    for engine in (*engines, single):
        await engine.start('127.0.0.1')
    fleet = Fleet(address)
    sent: list[Sent] = []
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.start()
        await store.put('op/config', desired(3, has_added=True))
        record.add('the store has confirmed version 3, with a new route')
        await asyncio.sleep(CONTACT_S)
        tasks = [
            asyncio.ensure_future(send_all(record, gateway, path, sent))
            for gateway in fleet.gateways
            for path in (FIRST_PATH, ADDED_PATH)
        ]
        await asyncio.sleep(CALM_S)
        if TROUBLE:
            await leave_odd_entry(record, store, single)
        await asyncio.sleep(CONTACT_S)
        steady_s = record.now_s()
        await asyncio.sleep(JUDGED_S)
    finally:
        for task in tasks:
            task.cancel()
        fleet.close()
    record.add(f'{len(runs)} runs')
    return judge(record, sent, steady_s)


async def leave_odd_entry(
    record: Record, store: Store, engine: Engine
) -> None:
    """Write an entry of no engine, without `version` and `coldLeftMs`."""
    entry = {
        'service': ADDED_SERVICE,
        'address': f'{engine.host}:{engine.port}',
        'zone': engine.zone,
        'capacity': 6,
        'state': 'ready',
        'sequence': 1,
        'born': int(time.time() * 1000),
    }
    await store.put('servers/copy-1', entry)
    record.add(f'another writer has left {entry}')
    await asyncio.sleep(ODD_S)
    await store.remove('servers/copy-1')
    record.add('the entry is removed')


async def send_all(
    record: Record, gateway: Gateway, path: str, sent: list[Sent]
) -> None:
    """Send the requests of one route at one entry."""
    client = Client(record)
    for number in itertools.count(1):
        sent_s = record.now_s()
        target = f'{path}{gateway.name}-{number}'
        _id, answer = await client.send(gateway, 'GET', target)
        sent.append(Sent(path, sent_s, answer))
        await asyncio.sleep(EVERY_S)


def judge(record: Record, sent: list[Sent], steady_s: float) -> bool:
    """Compare the added route with the first one in steady state."""
    shares = []
    for path in (FIRST_PATH, ADDED_PATH):
        found = [s for s in sent if s.path == path and s.sent_s > steady_s]
        served = sum(request.served for request in found)
        record.add(f'steady state: {path} {served} of {len(found)} served')
        shares.append((served, len(found)))
    (first, first_all), (added, added_all) = shares
    if added_all < 20 or not first:
        return False
    return added / added_all < 0.25 * first / first_all


if __name__ == '__main__':
    run_case(run, Path(__file__).resolve().parent)
