"""How old this entry's copy of the key-value service may be."""

from wigeonmill.clock import Clock


class Freshness:
    """The last time at which the copy was known to be complete.

    The clock includes the time for which the process was suspended.
    """

    __slots__ = ('_clock', '_confirmed_ms')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_ms = float('-inf')

    def confirm(self, age_ms: float = 0.0) -> None:
        """Record that the copy was complete `age_ms` ago."""
        confirmed_ms = self._clock.boot_ms() - age_ms
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)

    @property
    def age_ms(self) -> float:
        """The time since then; infinite if the copy never was complete."""
        return self._clock.boot_ms() - self._confirmed_ms
