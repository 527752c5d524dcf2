"""Polls the target's health reports: incarnation, uptime and version."""

import asyncio
from collections.abc import Callable

from wigeonmill.agent.admission import Admission
from wigeonmill.agent.engine import EngineClient
from wigeonmill.agent.engine import STATE_LOADING
from wigeonmill.metrics import Metrics

# Reports missed in a row before a target counts as unreachable.
MISSED_REPORTS = 3
_COLD = 'cold'


class TargetWatch:
    """Polls the target's health at a fixed interval."""

    def __init__(
        self,
        engine: EngineClient,
        admission: Admission,
        interval_ms: int,
        on_change: Callable[[], None],
        metrics: Metrics,
    ) -> None:
        self._engine = engine
        self._admission = admission
        self._interval_ms = interval_ms
        self._on_change = on_change
        self._metrics = metrics
        self._missed_reports = 0

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self.poll()
            await asyncio.sleep(self._interval_ms / 1000.0)

    async def poll(self) -> None:
        """Process one report, or record that it was missed."""
        health = await self._engine.health()
        if health is None:
            self._on_missed_report()
            return
        self._missed_reports = 0
        admission = self._admission
        admission.health.on_report(
            health.incarnation, health.uptime_ms, health.state == _COLD
        )
        version = health.weight_version
        if health.state == STATE_LOADING:
            version = ''
        if version != admission.weight_version:
            admission.set_weight_version(version)
        self._on_change()

    def _on_missed_report(self) -> None:
        self._missed_reports += 1
        self._metrics.count('target_reports_missed')
        if self._missed_reports == MISSED_REPORTS:
            self._admission.on_connection_failed()
            self._on_change()
