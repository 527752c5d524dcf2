"""Holds the requests of a process that has no configuration yet.

After a restart of all entries callers return while each process still reads
the configuration, which takes a fraction of most objectives. A refusal would
cost a caller one of its few retries.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import enum

from wigeonmill.clock import Clock
from wigeonmill.gateway.admission import has_returned
from wigeonmill.gateway.desired import Route
from wigeonmill.gateway.request import CallerRequest

# A configuration that has not come by then may not come for long. The second
# figure bounds the hold as a share of the time that the caller has.
MAX_HOLD_MS = 300.0
MAX_HOLD_SHARE = 0.1
MAX_HELD = 256
MAX_HELD_BYTES = 8 * 1024 * 1024


class HoldEnd(enum.Enum):
    """How a hold has ended; each has a counter."""

    CONFIGURED = 'configured'
    EXPIRED = 'expired'
    # Too many others were held.
    FULL = 'full'


@dataclass(frozen=True, slots=True, order=True)
class ReturnOrder:
    """The order in which held requests go on; the smallest goes first.

    Those that can still be answered in time go before those that are late
    already, and the shortest objective is the first to be missed.
    """

    late: bool
    objective_ms: float
    arrived_ms: float


def return_order(
    req: CallerRequest, route: Route | None, now_ms: float
) -> ReturnOrder:
    """Return the place of a request; one without a route is refused soon."""
    if route is None:
        return ReturnOrder(True, 0.0, req.arrived_ms)
    late = (
        has_returned(req.deadline_ms, route.timeout_ms)
        or now_ms - req.arrived_ms > route.objective_ms
    )
    return ReturnOrder(late, route.objective_ms, req.arrived_ms)


class StartHold:
    """The requests that wait for the first configuration, if `enabled`."""

    __slots__ = ('enabled', '_clock', '_waiting', '_bytes')

    def __init__(self, clock: Clock, enabled: bool = False) -> None:
        self.enabled = enabled
        self._clock = clock
        self._waiting: dict[asyncio.Future[None], CallerRequest] = {}
        self._bytes = 0

    async def wait(self, req: CallerRequest) -> HoldEnd:
        """Hold a request until `release`, for a part of its time at most."""
        size = len(req.body)
        if (
            len(self._waiting) >= MAX_HELD
            or self._bytes + size > MAX_HELD_BYTES
        ):
            return HoldEnd.FULL
        elapsed_ms = self._clock.now_ms() - req.arrived_ms
        hold_ms = min(MAX_HOLD_MS, MAX_HOLD_SHARE * req.deadline_ms)
        fut: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting[fut] = req
        self._bytes += size
        try:
            async with asyncio.timeout(max(0.0, hold_ms - elapsed_ms) / 1e3):
                await fut
        except TimeoutError:
            return HoldEnd.EXPIRED
        finally:
            self._waiting.pop(fut, None)
            self._bytes -= size
        return HoldEnd.CONFIGURED

    def release(
        self, find_route: Callable[[CallerRequest], Route | None]
    ) -> None:
        """Let all held requests go on, in the order of `return_order`."""
        now_ms = self._clock.now_ms()
        ordered = sorted(
            self._waiting.items(),
            key=lambda held: return_order(
                held[1], find_route(held[1]), now_ms
            ),
        )
        for fut, _req in ordered:
            if not fut.done():
                fut.set_result(None)
