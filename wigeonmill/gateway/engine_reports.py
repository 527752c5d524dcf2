"""Polls the reports of engines in the background."""

import asyncio
from collections.abc import Iterable
from dataclasses import dataclass

from result import Err

from wigeonmill.clock import Clock
from wigeonmill.gateway.engine_orders import EngineOrders
from wigeonmill.gateway.engine_orders import EngineReport
from wigeonmill.gateway.targets import Target

# Time that a poll waits for the replies of all engines.
REPLY_WAIT_MS = 60.0
# Age at which a report is no longer used. A call to an engine that does not
# reply takes longer, so such an engine has no report.
MAX_REPORT_AGE_MS = 500.0


@dataclass(frozen=True, slots=True)
class _ReceivedReport:
    report: EngineReport
    requested_ms: float


class ReportPoller:
    """Keeps the last report of each engine; a silent one delays no other."""

    __slots__ = ('_clock', '_orders', '_received', '_tasks')

    def __init__(self, clock: Clock, orders: EngineOrders) -> None:
        self._clock = clock
        self._orders = orders
        self._received: dict[str, _ReceivedReport] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}

    async def poll(self, engines: Iterable[Target]) -> None:
        """Request the reports of `engines`; wait briefly for the replies.

        An engine that asked for no requests for a time is left out until then.
        """
        now_ms = self._clock.now_ms()
        for engine in engines:
            if engine.id not in self._tasks and not engine.is_closed(now_ms):
                task = asyncio.ensure_future(self._fetch(engine))
                self._tasks[engine.id] = task
        if self._tasks:
            await asyncio.wait(
                self._tasks.values(), timeout=REPLY_WAIT_MS / 1000.0
            )

    def latest(self, engine_id: str) -> EngineReport | None:
        """Return an engine's last report, or None if it is too old."""
        received = self._received.get(engine_id)
        if received is None:
            return None
        age_ms = self._clock.now_ms() - received.requested_ms
        return received.report if age_ms <= MAX_REPORT_AGE_MS else None

    def close(self) -> None:
        """Cancel the calls in progress, and discard all reports."""
        for task in self._tasks.values():
            task.cancel()
        self._tasks.clear()
        self._received.clear()

    async def _fetch(self, engine: Target) -> None:
        requested_ms = self._clock.now_ms()
        try:
            outcome = await self._orders.report(engine)
        finally:
            self._tasks.pop(engine.id, None)
        if not isinstance(outcome, Err):
            self._received[engine.id] = _ReceivedReport(
                outcome.ok_value, requested_ms
            )
