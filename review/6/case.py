"""A tenant is isolated while its parts of prompts are cached."""

import asyncio
from pathlib import Path

from review.fleet.engine import Run
from review.fleet.model_engine import MODEL
from review.fleet.model_engine import ModelEngine
from review.fleet.model_engine import service
from review.fleet.model_engine import Use
from review.fleet.store import Store
from review.fleet.world import Client
from review.fleet.world import CONTACT_S
from review.fleet.world import Fleet
from review.fleet.world import HOST_NAME
from review.fleet.world import Record
from review.fleet.world import run_case
from review.fleet.world import state
from review.fleet.world import TROUBLE
from review.fleet.world import ZONES

CONFIG_S = 2.0
PATH = '/notes/'
# The tenant that gets isolated, and another one.
WALLED, OTHER = 'tenant-one', 'tenant-two'
KEYS = {WALLED: 'k3yofone', OTHER: 'k3yoftwo'}
# A part that the prompts of both tenants begin with.
SHARED_PART = '5c1e07a2:1500'
ROUNDS = 10


def desired(version: int, isolated: bool) -> dict[str, object]:
    """Return a desired state in which a tenant is isolated or not."""
    route = {
        'name': 'r-notes',
        'host': HOST_NAME,
        'prefix': PATH,
        'kind': 'streaming',
        'timeoutMs': 3000,
        'sloMs': 1000,
        'priority': 0,
        'service': 'llm',
        'attempts': 1,
        'public': False,
        'sticky': True,
        'canResume': False,
        'gapAimMs': 400,
    }
    found = state(version, [route])
    found['services'] = [service()]
    found['tenants'] = [
        {
            'name': name,
            'apiKeys': [KEYS[name]],
            'priority': 1,
            'isolated': isolated and name == WALLED,
        }
        for name in (WALLED, OTHER)
    ]
    return found


async def run(record: Record) -> bool:
    """Return whether the rule was broken."""
    store = Store()
    address = await store.start('127.0.0.1')
    await store.put('op/config', desired(1, isolated=False))
    runs: list[Run] = []
    uses: list[Use] = []
    engines = [ModelEngine(store, zone, runs, uses) for zone in ZONES * 2]
    for engine in engines:
        await engine.start('127.0.0.1')
    fleet = Fleet(address)
    try:
        await fleet.start()
        await asyncio.sleep(CONTACT_S)
        await send(record, fleet, WALLED)
        isolated_s = asyncio.get_running_loop().time()
        if TROUBLE:
            await store.put('op/config', desired(3, isolated=True))
            record.add(f'the store has confirmed that {WALLED} is isolated')
        await asyncio.sleep(CONFIG_S + CONTACT_S)
        await send(record, fleet, OTHER)
        await send(record, fleet, WALLED)
    finally:
        fleet.close()
    return judge(record, uses, isolated_s + CONFIG_S)


async def send(record: Record, fleet: Fleet, tenant: str) -> None:
    """Send requests of a tenant at each entry."""
    client = Client(record)
    for number in range(ROUNDS):
        for gateway in fleet.gateways:
            own_part = f'{tenant[-3:].encode().hex()}{number:04x}'
            headers = {
                'Model': MODEL,
                'Token-Usage': '1600,5',
                'Prefix-Hash': f'{SHARED_PART},{own_part}:100',
            }
            body = f'{tenant} {gateway.name} {number}'.encode()
            await client.send(
                gateway, 'POST', PATH, body, extra=headers, key=KEYS[tenant]
            )


def judge(record: Record, uses: list[Use], from_s: float) -> bool:
    """Look for parts that went through the wall."""
    broken = 0
    for use in uses:
        # Without the change neither of the two is isolated.
        walled = TROUBLE and WALLED in (use.tenant, use.maker)
        if walled and use.tenant != use.maker and use.at_s > from_s:
            broken += 1
        record.add(
            f'{use.request_id} of {use.tenant} used part {use.part} under '
            f'{use.salt!r} on {use.engine}, made by {use.maker}'
        )
    record.add(f'{broken} uses of parts through the wall')
    return broken > 0


if __name__ == '__main__':
    run_case(run, Path(__file__).resolve().parent)
