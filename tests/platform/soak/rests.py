"""Targets that ask one entry or all of them for rest, in several ways."""

import asyncio
import time

from tests.platform.soak.faults import FAULT_RANGE_S
from tests.platform.soak.faults import Faults
from tests.platform.soak.handlers import Rest

CONNECT_DELAY_MS = (50.0, 300.0)


class RestFaults(Faults):
    """Targets that ask for rest, drawn beside the other faults."""

    def __init__(self, rng, environment, record_fault):
        super().__init__(rng, environment, record_fault)
        self._kinds = [self.rest_target]

    def _pick_entry(self):
        if self.rng.random() < 0.3:
            return None
        return self._pick_gateway().name

    async def rest_target(self):
        target = self._pick_target()
        time_s = self.rng.uniform(*FAULT_RANGE_S)
        rest = Rest(
            self._pick_entry(),
            time.monotonic() + time_s,
            named=self.rng.random() < 0.5,
            varied=self.rng.random() < 0.5,
        )
        delay_ms = self.rng.choice((0.0, self.rng.uniform(*CONNECT_DELAY_MS)))
        if target.rest is not None:
            return
        target.rest = rest
        target.proxy.state.faults.connect_delay_ms = delay_ms
        await asyncio.sleep(time_s)
        target.proxy.state.faults.connect_delay_ms = 0.0
        target.rest = None
