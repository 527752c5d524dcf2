"""A request that crashes engines comes again after all entries restarted."""

import asyncio
import itertools
from pathlib import Path

from review.fleet.engine import Engine
from review.fleet.engine import Run
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
POST_PATH = '/credits/'
POISON_PATH = '/credits/ledger-7'
POISON_BODY = b'{"ledger": 7, "amount": "1e"}'
POISON_EVERY_S = 4.0
# Time from the start of the run to the crash, and until the engine is back.
CRASH_AFTER_S = 0.03
DOWN_S = 2.0
# All processes are killed after so many of the requests.
KILLS_AFTER = (5, 10)
REQUESTS = 15
MAX_RETRIES = 3


async def run(record: Record) -> bool:
    """Return whether the rule was broken."""
    store = Store()
    address = await store.start('127.0.0.1')
    await store.put('op/config', state(1, [route('r', POST_PATH, 'unsafe')]))
    runs: list[Run] = []
    engines = [Engine(store, 'desk', zone, runs, WORK_S) for zone in ZONES]
    for engine in engines:
        await engine.start('127.0.0.1')
        engine.on_run = crash_under_poison
    fleet = Fleet(address)
    poisoned: dict[str, bool] = {}
    tasks: list[asyncio.Task[None]] = []
    try:
        await fleet.start()
        await asyncio.sleep(CONTACT_S)
        tasks = [
            asyncio.ensure_future(send_poison(record, fleet, poisoned)),
            *(
                asyncio.ensure_future(send_others(record, gateway))
                for gateway in fleet.gateways
            ),
        ]
        await tasks[0]
    finally:
        for task in tasks:
            task.cancel()
        fleet.close()
    return judge(record, runs, poisoned)


async def crash_under_poison(engine: Engine, req: Request) -> None:
    """End the engine as it begins to run the request; it starts again."""
    if req.body != POISON_BODY:
        return

    async def restart() -> None:
        await asyncio.sleep(CRASH_AFTER_S)
        engine.crash()
        await asyncio.sleep(DOWN_S)
        await engine.start('127.0.0.1')

    asyncio.ensure_future(restart())
    await asyncio.sleep(1.0)


async def send_poison(
    record: Record, fleet: Fleet, poisoned: dict[str, bool]
) -> None:
    """Send the request again and again, to one entry after the other.

    `poisoned` gets, by request id, whether the entry was in touch.
    """
    client = Client(record)
    loop = asyncio.get_running_loop()
    gateways = itertools.cycle(fleet.gateways)
    for number in range(1, REQUESTS + 1):
        gateway = next(gateways)
        in_touch = gateway.in_touch(loop.time())
        request_id, _answer = await client.send(
            gateway, 'POST', POISON_PATH, POISON_BODY
        )
        poisoned[request_id] = in_touch and gateway.in_touch(loop.time())
        if TROUBLE and number in KILLS_AFTER:
            record.add('all processes are killed, and start again')
            fleet.kill_all()
        await asyncio.sleep(POISON_EVERY_S)


async def send_others(record: Record, gateway: Gateway) -> None:
    """Send sound requests."""
    client = Client(record)
    for number in itertools.count(1):
        body = f'{{"credit": "{gateway.name}-{number}"}}'.encode()
        path = f'{POST_PATH}{gateway.name}'
        await client.send(gateway, 'POST', path, body)
        await asyncio.sleep(0.5)


def judge(record: Record, runs: list[Run], poisoned: dict[str, bool]) -> bool:
    """Count the retries that reached engines after the third crash."""
    crashes = [run for run in runs if run.path == POISON_PATH]
    for number, crash in enumerate(crashes, 1):
        record.add(
            f'crash {number}: engine {crash.engine} under '
            f'{crash.request_id} at {record.at_s(crash.at_s):.3f}'
        )
    if len(crashes) < MAX_RETRIES:
        return False
    from_s = crashes[MAX_RETRIES - 1].at_s + CRASH_AFTER_S + CONTACT_S
    retries = [
        crash
        for crash in crashes
        if crash.at_s > from_s and poisoned.get(crash.request_id)
    ]
    record.add(f'{len(retries)} retries by entries in touch after the third')
    return len(retries) > MAX_RETRIES


if __name__ == '__main__':
    run_case(run, Path(__file__).resolve().parent)
