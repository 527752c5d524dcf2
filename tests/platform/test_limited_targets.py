"""Tests requests over real connections to a target that names a limit."""

import asyncio
import bisect
import random

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

# Entries and the limit that their target names, in requests per second.
CASES = ((4, '1'), (4, '3.9'), (3, '20'))
CONTACT_MS = 3_000.0
WINDOW_MS = 4_000.0
DURATION_MS = CONTACT_MS + WINDOW_MS + 500.0
INTERVAL_MS = 25.0
ANSWER = (
    b'HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: x\r\n'
    b'Server-Limit: %s\r\nContent-Length: 2\r\n\r\nok'
)


class LimitedTarget:
    """Names its limit in each answer and keeps the times of the requests."""

    def __init__(self, clock, limit):
        self._clock = clock
        self._limit = limit
        self.arrived_ms = []

    async def serve(self, reader, writer):
        try:
            while await reader.readuntil(b'\r\n\r\nbody'):
                self.arrived_ms.append(self._clock.now_ms())
                writer.write(ANSWER % (b'q1', self._limit.encode()))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()

    def most_in_window(self):
        """Return the most requests in any window, from the contact time."""
        from_ms = self.arrived_ms[0] + CONTACT_MS
        times_ms = [ms for ms in self.arrived_ms if ms >= from_ms]
        return max(
            (
                bisect.bisect_left(times_ms, start_ms + WINDOW_MS) - index
                for index, start_ms in enumerate(times_ms)
            ),
            default=0,
        )


async def send_for(duration_ms, address, entries, clock, transfers, seed):
    """Send a request each interval; return the context of the entry."""
    rng = random.Random(seed)
    ctx = GatewayContext(
        clock, rng, Metrics(), RetryLimits(1.0, 99.0), lambda: entries
    )
    ctx.desired.adopt(make_state())
    ctx.directory.apply(make_record(address=address))
    picker = Picker(
        clock,
        rng,
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


async def play(entries, limit, clock):
    """Return the target after several entries have sent to it."""
    target = LimitedTarget(clock, limit)
    server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    transfers = TransferLoop()
    try:
        contexts = await asyncio.gather(
            *(
                send_for(
                    DURATION_MS,
                    f'127.0.0.1:{port}',
                    entries,
                    clock,
                    transfers,
                    seed,
                )
                for seed in range(entries)
            )
        )
    finally:
        transfers.close()
        server.close()
    return target, contexts


# Guards against LIMIT: entries that had been told the rate of requests that a
# target accepts from all of them together sent it several times as many.
def test_a_target_gets_no_more_than_it_accepts_from_all_entries():
    clock = Clock()

    async def run():
        return await asyncio.gather(
            *(play(entries, limit, clock) for entries, limit in CASES)
        )

    played = asyncio.run(asyncio.wait_for(run(), 30.0))
    for (entries, limit), (target, contexts) in zip(CASES, played):
        allowed = float(limit) * WINDOW_MS / 1_000.0
        found = target.most_in_window()
        case = f'{entries} entries, limit {limit}'
        assert found <= 1.5 * allowed + 5, case
        assert found >= 0.5 * allowed, case
        for ctx in contexts:
            assert ctx.metrics.reasons('requests_unwanted') == {}, case
