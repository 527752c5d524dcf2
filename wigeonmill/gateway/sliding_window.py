"""Counts the events of a sliding time window."""

import collections

from wigeonmill.clock import Clock


class SlidingWindow:
    """The number of events within the last `window_ms`."""

    __slots__ = ('_clock', '_window_ms', '_times')

    def __init__(self, clock: Clock, window_ms: float) -> None:
        self._clock = clock
        self._window_ms = window_ms
        self._times: collections.deque[float] = collections.deque()

    def add(self) -> None:
        """Add an event at the current time."""
        self._times.append(self._clock.now_ms())

    def count(self) -> int:
        """Return the number of events within the window."""
        oldest_ms = self._clock.now_ms() - self._window_ms
        while self._times and self._times[0] <= oldest_ms:
            self._times.popleft()
        return len(self._times)

    def delay_ms(self, limit: int) -> float:
        """Return the time until the count is below `limit` (at least 1)."""
        excess = self.count() - limit
        if excess < 0:
            return 0.0
        expires_ms = self._times[excess] + self._window_ms
        return max(0.0, expires_ms - self._clock.now_ms())
