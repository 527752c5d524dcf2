"""Signals, restarts and changes that come in series and overlap."""

import asyncio
import time

from tests.platform.soak.faults import DOWN_RANGE_S
from tests.platform.soak.faults import Faults
from tests.platform.soak.states import draw_variation
from tests.platform.soak.states import Variation

SIGNAL_COUNT = (3, 8)
SIGNAL_PAUSE_S = (0.0, 0.2)
STARTED_POLL_S = 0.01
STORM_COUNT = (5, 20)
STORM_S = 2.0


class SeriesFaults(Faults):
    """Planned work in series, drawn beside the other faults."""

    def __init__(self, rng, environment, record_fault):
        super().__init__(rng, environment, record_fault)
        self._kinds = [
            self.reload_series,
            self.reload_and_stop,
            self.reload_while_starting,
            self.change_storm,
            self.change_storm,
        ]

    async def reload_series(self):
        await self._reload_often(self._pick_gateway())

    async def reload_and_stop(self):
        """Send SIGHUP just before and just after SIGTERM."""
        gateway = self._pick_gateway()
        span = self._begin(gateway.name)
        self._reload(gateway)
        await self._wait(SIGNAL_PAUSE_S)
        await asyncio.gather(
            self._terminate(gateway), self._reload_often(gateway)
        )
        await self._wait(DOWN_RANGE_S)
        if not gateway.running:
            gateway.start()
        self._end(span)

    async def reload_while_starting(self):
        gateway = self._pick_gateway()
        span = self._begin(gateway.name)
        await self._terminate(gateway)
        await self._wait(DOWN_RANGE_S)
        if not gateway.running:
            gateway.start()
        while gateway.running and not gateway.survives_reload():
            await asyncio.sleep(STARTED_POLL_S)
        await self._reload_often(gateway)
        self._end(span)

    async def change_storm(self):
        environment = self.environment
        count = self.rng.randint(*STORM_COUNT)
        until = time.monotonic() + STORM_S
        for _ in range(count):
            environment.variation = draw_variation(self.rng)
            await environment.put_state()
            pause_s = self.rng.uniform(0.0, 2 * STORM_S / count)
            if time.monotonic() + pause_s < until:
                await asyncio.sleep(pause_s)
        environment.variation = Variation()
        await environment.put_state()

    async def _reload_often(self, gateway):
        for _ in range(self.rng.randint(*SIGNAL_COUNT)):
            self._reload(gateway)
            await self._wait(SIGNAL_PAUSE_S)
