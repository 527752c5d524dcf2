"""Real processes: a drain with a paused one, a leaving VM and a leave."""

import asyncio
import signal

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from bench.control_fleet import ControlFleet
from bench.control_fleet import DOMAINS
from bench.control_fleet import FleetOptions
from bench.control_fleet import SERVICE
from bench.control_fleet import TEAM
from bench.processes import wait_until

MAX_ADOPTION_DELAY_MS = 3_000.0
PROPAGATION_S = 3.0
# Six entries, then an agent in each of the first two domains.
PROCESSES = 8
FIRST, SECOND = 'agent-6', 'agent-7'


def run(scenario):
    async def body():
        options = FleetOptions(PROCESSES, teams=1, vm_list=True)
        fleet = ControlFleet(options)
        try:
            await fleet.start()
            await scenario(fleet)
            assert fleet.reverts() == 0
        finally:
            fleet.close()

    asyncio.run(body())


async def wait_for_metric(fleet, metric, value, excluded=()):
    names = [name for name in fleet.daemons if name not in excluded]

    async def condition():
        readings = await fleet.read(names)
        return len(readings) == len(names) and all(
            reading.metric(metric) == value for reading in readings.values()
        )

    await wait_until(condition)


async def send_reads(fleet, count=12):
    """Return the status codes of `count` reads spread over all entries."""
    client = CurlAsyncHTTPClient()
    entries = fleet.entries()
    requests = [
        HTTPRequest(
            f'http://{entries[n % len(entries)].http}'
            f'/v1/services/{SERVICE}/accounts/bar-7',
            headers={'Authorization': f'Bearer bench-key-{TEAM}'},
        )
        for n in range(count)
    ]
    fetched = (client.fetch(req, raise_error=False) for req in requests)
    return [reply.code for reply in await asyncio.gather(*fetched)]


async def count_reads(fleet, number):
    address = fleet.ledgers[DOMAINS[number][0]].address
    return (await fleet.get_json(f'http://{address}/audit'))['reads']


def test_drain_is_in_force_and_a_paused_process_catches_up():
    async def scenario(fleet):
        paused = fleet.daemons[FIRST].process
        assert await send_reads(fleet) == [200] * 12
        paused.signal(signal.SIGSTOP)
        # Some of these requests wait in the socket of the paused agent.
        waiting = asyncio.ensure_future(send_reads(fleet))
        await asyncio.sleep(0.2)
        await fleet.set_domain(DOMAINS[0][0], False)
        await asyncio.sleep(PROPAGATION_S)
        others = [name for name in fleet.daemons if name != FIRST]
        readings = await fleet.read(others)
        assert len(readings) == PROCESSES - 1
        for reading in readings.values():
            assert reading.serial == fleet.serial
            adoption_delay_ms = reading.adopted_at_ms - fleet.accepted_at_ms
            assert adoption_delay_ms <= MAX_ADOPTION_DELAY_MS
        await wait_for_metric(fleet, 'members_gone', 1.0, excluded=[FIRST])
        before = await count_reads(fleet, 0)
        paused.signal(signal.SIGCONT)
        assert await waiting == [200] * 12
        await fleet.wait_joined()
        assert await send_reads(fleet) == [200] * 12
        assert await count_reads(fleet, 0) == before

    run(scenario)


def test_leaving_vm_and_leaving_process_get_no_new_work():
    async def scenario(fleet):
        agent = fleet.daemons[SECOND].process
        await fleet.set_vm('target-7', 'leaving')
        await asyncio.sleep(PROPAGATION_S)
        assert 'the VM is leaving: True' in agent.log()
        before = await count_reads(fleet, 1)
        assert await send_reads(fleet) == [200] * 12
        assert await count_reads(fleet, 1) == before
        await fleet.set_vm('target-7', 'live')
        await asyncio.sleep(PROPAGATION_S)
        assert await send_reads(fleet, 60) == [200] * 60
        assert await count_reads(fleet, 1) > before
        agent.signal(signal.SIGTERM)
        await wait_for_metric(fleet, 'members_gone', 1.0, excluded=[SECOND])
        before = await count_reads(fleet, 1)
        assert await send_reads(fleet) == [200] * 12
        assert await count_reads(fleet, 1) == before
        assert agent.popen.wait(10) == 0

    run(scenario)
