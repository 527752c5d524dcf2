"""Holds back new work after a pause until the configuration is current.

After a pause, the sockets of a process hold messages that were sent under an
older configuration. The process must not act on them before it has learned
what changed in the meantime.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
from typing import Any

from wigeonmill.clock import Clock
from wigeonmill.membership.config_feed import ConfigFeed
from wigeonmill.membership.gossip import Gossiper
from wigeonmill.metrics import Metrics

logger = logging.getLogger(__name__)

PAUSE_CHECK_INTERVAL_MS = 200.0
# A gap between two checks that counts as a pause of the process.
PAUSE_THRESHOLD_MS = 1_000.0
RETRY_PAUSE_MS = 250.0


class CatchUp:
    """Detects pauses of this process and catches up after each one."""

    __slots__ = (
        'active',
        '_gossiper',
        '_feed',
        '_clock',
        '_metrics',
        '_spawn',
        '_on_change',
        '_last_check_ms',
    )

    def __init__(
        self,
        gossiper: Gossiper,
        feed: ConfigFeed,
        clock: Clock,
        metrics: Metrics,
        spawn: Callable[[Coroutine[Any, Any, None]], 'asyncio.Task[None]'],
        on_change: Callable[[], None],
    ) -> None:
        # True from a pause until the configuration is known to be current.
        self.active = False
        self._gossiper = gossiper
        self._feed = feed
        self._clock = clock
        self._metrics = metrics
        self._spawn = spawn
        self._on_change = on_change
        self._last_check_ms = clock.now_ms()

    async def run(self) -> None:
        """Check for pauses until cancelled."""
        while True:
            self.check()
            await asyncio.sleep(PAUSE_CHECK_INTERVAL_MS / 1000.0)

    def check(self) -> None:
        """Detect a pause; must be called before acting on a message."""
        now_ms = self._clock.now_ms()
        paused_ms = now_ms - self._last_check_ms
        self._last_check_ms = now_ms
        if paused_ms < PAUSE_THRESHOLD_MS or self.active:
            return
        self._metrics.count('own_pauses')
        logger.warning('this process was paused for %d ms', paused_ms)
        self.active = True
        self._on_change()
        self._spawn(self._catch_up())

    async def _catch_up(self) -> None:
        while not await self._is_current():
            self._metrics.count('config_retries', 'own_pause')
            await asyncio.sleep(RETRY_PAUSE_MS / 1000.0)
        self.active = False
        self._on_change()

    async def _is_current(self) -> bool:
        """Fetch the configuration; return whether new work may be accepted.

        The neighbors are asked first, then the key-value service.
        """
        if await self._gossiper.catch_up():
            return True
        # Without neighbors, the last configuration stays in force during an
        # outage of the key-value service.
        return await self._feed.read_now() or not self._gossiper.neighbors
