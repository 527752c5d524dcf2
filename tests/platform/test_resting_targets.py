"""Tests requests over real connections to a target that asks for rest."""

import asyncio
import re

import pytest

from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.platform.real_entry import RealEntry
from tests.platform.real_entry import serve_and
from wigeonmill.clock import Clock

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


# Guards against further requests to a target that asked for rest.
@pytest.mark.parametrize('ending', ['whole', 'stalled', 'reset', 'late'])
def test_a_target_that_asks_for_rest_gets_it(ending):
    clock = Clock()
    target = RestingTarget(clock, ending)

    async def check(address, transfers):
        entry = RealEntry(clock, transfers, address)
        route = make_route(timeout_ms=200.0)
        await entry.send_for(REST_MS, INTERVAL_MS, make_request, route)
        return entry.ctx

    ctx = asyncio.run(serve_and(target.serve, check))
    assert target.arrived_ms
    assert target.arrivals_in_rest() <= 2
    assert ctx.metrics.reasons('requests_unwanted') == {}
