"""Tests requests over real connections to a target that names a limit."""

import asyncio
import bisect

from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.platform.real_entry import RealEntry
from tests.platform.real_entry import serve_and
from wigeonmill.clock import Clock

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


async def play(count, limit, clock):
    """Return the target and the entries after these have sent to it."""
    target = LimitedTarget(clock, limit)
    route = make_route(timeout_ms=200.0)

    async def check(address, transfers):
        entries = [
            RealEntry(clock, transfers, address, count, seed)
            for seed in range(count)
        ]
        await asyncio.gather(
            *(
                entry.send_for(DURATION_MS, INTERVAL_MS, make_request, route)
                for entry in entries
            )
        )
        return entries

    return target, await serve_and(target.serve, check)


# Guards against LIMIT: entries that had been told the rate of requests that a
# target accepts from all of them together sent it several times as many.
def test_a_target_gets_no_more_than_it_accepts_from_all_entries():
    clock = Clock()

    async def run():
        return await asyncio.gather(
            *(play(count, limit, clock) for count, limit in CASES)
        )

    for (count, limit), (target, entries) in zip(CASES, asyncio.run(run())):
        allowed = float(limit) * WINDOW_MS / 1_000.0
        found = target.most_in_window()
        case = f'{count} entries, limit {limit}'
        assert found <= 1.5 * allowed + 5, case
        assert found >= 0.5 * allowed, case
        for entry in entries:
            unwanted = entry.ctx.metrics.reasons('requests_unwanted')
            assert unwanted == {}, case
