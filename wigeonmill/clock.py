"""Clocks in milliseconds; every module reads the time from one."""

import time


class Clock:
    """Reads monotonic and wall time in milliseconds."""

    __slots__ = ()

    def now_ms(self) -> float:
        """Return monotonic time in milliseconds."""
        return time.monotonic() * 1000.0

    def wall_ms(self) -> int:
        """Return milliseconds since the Unix epoch."""
        return int(time.time() * 1000)

    def boot_ms(self) -> float:
        """Return monotonic time that includes time spent suspended."""
        return time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


class ManualClock(Clock):
    """A clock that is advanced by hand, for tests and benchmarks."""

    __slots__ = ('_now_ms',)

    def __init__(self, now_ms: float = 0.0) -> None:
        self._now_ms = now_ms

    def now_ms(self) -> float:
        return self._now_ms

    def wall_ms(self) -> int:
        return int(self._now_ms)

    def boot_ms(self) -> float:
        return self._now_ms

    def advance(self, delta_ms: float) -> None:
        """Advance the time by `delta_ms`, which must be at least 0."""
        if delta_ms < 0:
            raise ValueError(f'the clock cannot go back by {-delta_ms} ms')
        self._now_ms += delta_ms

    def set_ms(self, now_ms: float) -> None:
        """Advance the time to `now_ms`."""
        self.advance(now_ms - self._now_ms)
