"""The engines of a zone are lost under a tenant's requests."""

import asyncio
import itertools
from pathlib import Path

from review.fleet.engine import Run
from review.fleet.http11 import Answer
from review.fleet.model_engine import MODEL
from review.fleet.model_engine import ModelEngine
from review.fleet.model_engine import service
from review.fleet.model_engine import stream_route
from review.fleet.store import Store
from review.fleet.world import Client
from review.fleet.world import CONTACT_S
from review.fleet.world import Fleet
from review.fleet.world import Gateway
from review.fleet.world import Record
from review.fleet.world import run_case
from review.fleet.world import state
from review.fleet.world import TROUBLE
from review.fleet.world import ZONES

FIRST_PATH = '/notes/'
ADDED_PATH = '/tags/'
# How long the requests of each route run.
WORK_S = {FIRST_PATH: 0.1, ADDED_PATH: 0.8}
ENGINES_PER_ZONE = 4
# The zone in which the tenant of the added route has its callers, and in
# which the engines are lost.
LOST_ZONE = ZONES[1]
KEYS = {'tenant-one': 'k3yofone', 'tenant-two': 'k3yoftwo'}
# The first part of all prompts of the added route.
SHARED_PART = '5c1e07a2:1861'
# Requests that the callers of an entry send together, and how often.
GROUP = 6
GROUP_EVERY_S = 9.0
FIRST_EVERY_S = 0.25
# The group in which the engines are lost, and how long they are down.
LOST_GROUP = 2
LOST_AFTER_S = 0.4
DOWN_S = 4.5
COLD_S = 3.0
GROUPS = 6


class Sent:
    """A request, when it was sent and whether it was served."""

    def __init__(self, path: str, sent_s: float, answer: Answer) -> None:
        self.path = path
        self.sent_s = sent_s
        self.served = answer.status == 200


async def run(record: Record) -> bool:
    """Return whether the rule was broken."""
    store = Store()
    address = await store.start('127.0.0.1')
    await store.put('op/config', desired(1, [FIRST_PATH]))
    runs: list[Run] = []
    engines = [
        ModelEngine(store, zone, runs, WORK_S)
        for zone in ZONES
        for _number in range(ENGINES_PER_ZONE)
    ]
    for engine in engines:
        await engine.start('127.0.0.1')
    fleet = Fleet(address)
    try:
        await fleet.start()
        await store.put('op/config', desired(3, [FIRST_PATH, ADDED_PATH]))
        record.add('the store has confirmed version 3, with a new route')
        await asyncio.sleep(CONTACT_S)
        sent, back_s = await send_all(record, fleet, engines)
    finally:
        fleet.close()
    record.add(f'{len(runs)} runs')
    return judge(record, sent, back_s + COLD_S + CONTACT_S)


def desired(version: int, paths: list[str]) -> dict[str, object]:
    """Return a desired state with some of the routes."""
    found = state(version, [stream_route(f'r{path}', path) for path in paths])
    found['services'] = [service()]
    found['tenants'] = [
        {'name': name, 'apiKeys': [key], 'priority': 1}
        for name, key in KEYS.items()
    ]
    return found


async def send_all(
    record: Record, fleet: Fleet, engines: list[ModelEngine]
) -> tuple[list[Sent], float]:
    """Send the traffic of both tenants, and lose the engines once.

    Return the requests, and when the engines were back.
    """
    client = Client(record)
    sent: list[Sent] = []

    async def send(gateway: Gateway, path: str, key: str, part: str) -> None:
        sent_s = record.now_s()
        number = len(sent)
        headers = {
            'Model': MODEL,
            'Token-Usage': '2368,3',
            'Prefix-Hash': f'{part},{number:08x}:507',
        }
        _id, answer = await client.send(
            gateway,
            'POST',
            path,
            f'{gateway.name} {sent_s}'.encode(),
            extra=headers,
            key=key,
        )
        sent.append(Sent(path, sent_s, answer))

    async def first_route(gateway: Gateway) -> None:
        for number in itertools.count():
            part = f'{number % 5:04x}{gateway.front[-4:]}:1500'
            key = KEYS['tenant-one']
            await send(gateway, FIRST_PATH, key, part)
            await asyncio.sleep(FIRST_EVERY_S)

    async def added_route() -> None:
        local = [g for g in fleet.gateways if g.zone == LOST_ZONE]
        await asyncio.gather(
            *(
                send(gateway, ADDED_PATH, KEYS['tenant-two'], SHARED_PART)
                for gateway in local
                for _caller in range(GROUP)
            )
        )

    tasks = [
        asyncio.ensure_future(first_route(gateway))
        for gateway in fleet.gateways
    ]
    back_s = 0.0
    try:
        await asyncio.sleep(CONTACT_S)
        for number in range(GROUPS):
            start_s = record.now_s()
            group = asyncio.ensure_future(added_route())
            if number == LOST_GROUP:
                if TROUBLE:
                    await lose_zone(record, engines)
                back_s = record.now_s()
            await group
            await asyncio.sleep(start_s + GROUP_EVERY_S - record.now_s())
    finally:
        for task in tasks:
            task.cancel()
    return sent, back_s


async def lose_zone(record: Record, engines: list[ModelEngine]) -> None:
    """End the engines of a zone at once; they come back together, cold."""
    await asyncio.sleep(LOST_AFTER_S)
    lost = [engine for engine in engines if engine.zone == LOST_ZONE]
    running = [engine.running for engine in lost]
    record.add(f'the engines of {LOST_ZONE} are lost, with runs {running}')
    for engine in lost:
        engine.crash()
    await asyncio.sleep(DOWN_S)
    for engine in lost:
        await engine.start('127.0.0.1', COLD_S)
    record.add('they are back, cold')


def judge(record: Record, sent: list[Sent], steady_s: float) -> bool:
    """Compare the added route with the first one in steady state."""
    shares = []
    for prefix in (FIRST_PATH, ADDED_PATH):
        found = [
            request
            for request in sent
            if request.path == prefix and request.sent_s > steady_s
        ]
        served = sum(request.served for request in found)
        record.add(f'steady state: {prefix} {served} of {len(found)} served')
        shares.append((served, len(found)))
    (first, first_all), (added, added_all) = shares
    if added_all < 20 or not first:
        return False
    return added / added_all < 0.25 * first / first_all


if __name__ == '__main__':
    run_case(run, Path(__file__).resolve().parent)
