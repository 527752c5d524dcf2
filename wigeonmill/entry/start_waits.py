"""Waits of one request for agents that have just started."""

import asyncio

from wigeonmill.clock import Clock

# A request waits no longer than this in all. An agent that learns its
# configuration from a peer and can't read the quarantine is ready before.
MAX_START_WAIT_MS = 8_000.0
MIN_RETRY_MS = 50.0


class StartWaits:
    """The targets that refused one request because they are starting.

    A wait starts no work and takes nothing from the retry budget.
    """

    __slots__ = ('_clock', '_until_ms', '_retry_at_ms')

    def __init__(self, clock: Clock, deadline_ms: float) -> None:
        """`deadline_ms` is a time of `clock`."""
        self._clock = clock
        self._until_ms = min(deadline_ms, clock.now_ms() + MAX_START_WAIT_MS)
        self._retry_at_ms: dict[str, float] = {}

    def add(self, target: str, retry_after_ms: float) -> None:
        """Record that the target asked to be asked again after a time."""
        pause_ms = max(retry_after_ms, MIN_RETRY_MS)
        self._retry_at_ms[target] = self._clock.now_ms() + pause_ms

    async def wait(self) -> list[str]:
        """Wait for the first targets and return their names.

        Returns an empty list at once if none can be asked in time.
        """
        wake_ms = min(self._retry_at_ms.values(), default=self._until_ms)
        if wake_ms >= self._until_ms:
            return []
        due = [n for n, at_ms in self._retry_at_ms.items() if at_ms <= wake_ms]
        for name in due:
            del self._retry_at_ms[name]
        pause_ms = max(wake_ms - self._clock.now_ms(), 0.0)
        await asyncio.sleep(pause_ms / 1000.0)
        return due
