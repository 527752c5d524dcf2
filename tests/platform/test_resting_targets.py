"""Tests requests over real connections to a target that asks for rest."""

import asyncio
import random
import re

import pytest

from alliance.targets import AllianceTargets
from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import NoCache
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.samples import make_state
from wigeonmill.clock import Clock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.request_run import RequestRun
from wigeonmill.gateway.target_client import TargetClient
from wigeonmill.metrics import Metrics
from wigeonmill.providers.transfers import TransferLoop

REST_MS = 1_500.0
# A target allows for what was on its way when it asked.
GRACE_MS = 500.0
INTERVAL_MS = 10.0
REFUSAL = (
    b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nInstance-Id: t1\r\n'
    b'Retry-After: 1.5\r\nContent-Length: %d\r\n\r\n'
)


class RestingTarget:
    """Asks for rest in each answer and keeps the times of the requests.

    If its `ending` is 'late', it answers when the time for the request is
    over, as a target does that finds it in its queue then.
    """

    def __init__(self, clock, ending):
        self._clock = clock
        self._ending = ending
        self.arrived_ms = []
        self.answered_ms = None

    async def serve(self, reader, writer):
        try:
            while head := await reader.readuntil(b'\r\n\r\nbody'):
                self.arrived_ms.append(self._clock.now_ms())
                if self._ending == 'late':
                    deadline_ms = re.search(rb'Deadline-Ms: (\d+)', head)
                    await asyncio.sleep(int(deadline_ms[1]) / 1_000.0)
                is_whole = self._ending in ('whole', 'late')
                writer.write(REFUSAL % (0 if is_whole else 9))
                await writer.drain()
                if self.answered_ms is None:
                    self.answered_ms = self._clock.now_ms()
                if self._ending == 'reset':
                    writer.transport.abort()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def arrivals_in_rest(self):
        return sum(
            self.answered_ms + GRACE_MS <= time_ms < self.answered_ms + REST_MS
            for time_ms in self.arrived_ms
        )


async def send_for(duration_ms, address, clock, transfers):
    """Send a request each interval; return the context of the entry."""
    ctx = GatewayContext(
        clock, random.Random(1), Metrics(), RetryLimits(1.0, 99.0), lambda: 1
    )
    ctx.desired.adopt(make_state())
    ctx.directory.apply(make_record(address=address))
    picker = Picker(
        clock,
        random.Random(1),
        ctx.directory,
        ctx.circuits,
        ctx.desired.is_domain_closed,
    )
    client = TargetClient(transfers, AllianceTargets(), clock, ctx.notices)
    runs = []
    end_ms = clock.now_ms() + duration_ms
    while clock.now_ms() < end_ms:
        req = make_request(arrived_ms=clock.now_ms())
        run = RequestRun(
            ctx,
            client,
            picker,
            NoCache(),
            req,
            make_route(timeout_ms=200.0),
            None,
            FakeChannel(),
        )
        runs.append(asyncio.ensure_future(run.run()))
        await asyncio.sleep(INTERVAL_MS / 1_000.0)
    await asyncio.gather(*runs)
    return ctx


# Guards against further requests to a target that asked for rest.
@pytest.mark.parametrize('ending', ['whole', 'stalled', 'reset', 'late'])
def test_a_target_that_asks_for_rest_gets_it(ending):
    clock = Clock()
    target = RestingTarget(clock, ending)

    async def run():
        server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        transfers = TransferLoop()
        address = f'127.0.0.1:{port}'
        try:
            return await send_for(REST_MS, address, clock, transfers)
        finally:
            transfers.close()
            server.close()

    ctx = asyncio.run(asyncio.wait_for(run(), 20.0))
    assert target.arrived_ms
    assert target.arrivals_in_rest() <= 2
    assert ctx.metrics.reasons('requests_unwanted') == {}
