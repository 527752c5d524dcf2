"""An engine crashes once under lookups of one path."""

import asyncio
import itertools
from pathlib import Path

from review.fleet.engine import Engine
from review.fleet.engine import Run
from review.fleet.http11 import Answer
from review.fleet.http11 import Request
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

WORK_S = 0.09
FIRST_PATH = '/sheets/'
ADDED_PATH = '/prices/'
HOT_PATH = '/prices/today'
# Lookups that the callers of one entry send together, as they open a page,
# and the time between such groups at one entry.
GROUP = 16
GROUP_EVERY_S = 24.0
# Time of the crash, and how long it lasts.
CRASH_AT_S = 14.0
DOWN_S = 1.0
END_S = 48.0


class Sent:
    """A request and when it was sent."""

    def __init__(self, path: str, sent_s: float, answer: Answer) -> None:
        self.path = path
        self.sent_s = sent_s
        self.served = answer.status == 200


async def run(record: Record) -> bool:
    """Return whether the rule was broken."""
    store = Store()
    address = await store.start('127.0.0.1')
    routes = [route('r-first', FIRST_PATH, 'safe', attempts=2)]
    await store.put('op/config', state(1, routes))
    runs: list[Run] = []
    zones = (*ZONES, ZONES[0])
    engines = [Engine(store, 'desk', zone, runs, WORK_S) for zone in zones]
    for engine in engines:
        await engine.start('127.0.0.1')
    fleet = Fleet(address)
    try:
        await fleet.start()
        routes.append(route('r-added', ADDED_PATH, 'safe', attempts=2))
        await store.put('op/config', state(3, routes))
        record.add('the store has confirmed version 3, with a new route')
        await asyncio.sleep(CONTACT_S)
        sent = await send_all(record, fleet, engines)
    finally:
        fleet.close()
    record.add(f'{len(runs)} runs')
    return judge(record, sent)


async def send_all(
    record: Record, fleet: Fleet, engines: list[Engine]
) -> list[Sent]:
    """Send the traffic of all callers, and crash an engine once."""
    client = Client(record)
    sent: list[Sent] = []
    crash = asyncio.Event()

    async def lookup(gateway: Gateway, path: str) -> None:
        sent_s = record.now_s()
        _id, answer = await client.send(gateway, 'GET', path)
        sent.append(Sent(path, sent_s, answer))

    async def first_routes(gateway: Gateway) -> None:
        for number in itertools.count(1):
            await lookup(gateway, f'{FIRST_PATH}{gateway.name}-{number}')
            await asyncio.sleep(1.0)

    async def page(gateway: Gateway) -> None:
        await asyncio.gather(
            *(lookup(gateway, HOT_PATH) for _caller in range(GROUP))
        )

    async def pages(gateway: Gateway, first_s: float) -> None:
        await asyncio.sleep(first_s)
        while True:
            await page(gateway)
            await asyncio.sleep(GROUP_EVERY_S)

    async def crash_once(engine: Engine, req: Request) -> None:
        is_hot = req.target == HOT_PATH
        if (
            crash.is_set()
            and is_hot
            and engine.running >= GROUP / len(engines)
        ):
            crash.clear()
            asyncio.get_running_loop().call_later(0.02, engine.crash)

    engines[0].on_run = crash_once
    start_s = record.now_s()
    tasks = [
        asyncio.ensure_future(pages(gateway, 2.0 + 4.0 * number))
        for number, gateway in enumerate(fleet.gateways)
    ]
    tasks += [
        asyncio.ensure_future(first_routes(gateway))
        for gateway in fleet.gateways
    ]
    try:
        await asyncio.sleep(CRASH_AT_S - 1.0)
        if TROUBLE:
            crash.set()
            while crash.is_set():
                await asyncio.sleep(0.01)
            await asyncio.sleep(DOWN_S)
            record.add('an engine has crashed; it starts again')
            await engines[0].start('127.0.0.1')
        await asyncio.sleep(start_s + END_S - record.now_s())
    finally:
        for task in tasks:
            task.cancel()
    return sent


def judge(record: Record, sent: list[Sent]) -> bool:
    """Compare the added route with the first one in steady state."""
    steady_s = 3.0 + CONTACT_S + CRASH_AT_S + DOWN_S + 2 * CONTACT_S
    shares = []
    for prefix in (FIRST_PATH, ADDED_PATH):
        found = [
            request
            for request in sent
            if request.path.startswith(prefix) and request.sent_s > steady_s
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
