"""How old this entry's copy of the key-value service may be."""

from wigeonmill.clock import Clock

# Age from which the service counts as out of reach, for this entry and for
# the peers that it hears from.
OUT_OF_REACH_MS = 3_000.0


class Freshness:
    """The last time at which the copy was known to be complete.

    The clock includes the time for which the process was suspended.
    """

    __slots__ = (
        '_clock',
        '_started_ms',
        '_confirmed_ms',
        '_restored_ms',
        '_followed_ms',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._started_ms = clock.boot_ms()
        self._confirmed_ms = float('-inf')
        self._restored_ms = float('-inf')
        self._followed_ms = float('inf')

    def confirm(self, age_ms: float = 0.0) -> None:
        """Record that the copy was complete `age_ms` ago."""
        now_ms = self._clock.boot_ms()
        confirmed_ms = now_ms - age_ms
        if age_ms < OUT_OF_REACH_MS:
            if self.out_of_reach:
                self._restored_ms = self._followed_ms = now_ms
            self._followed_ms = min(self._followed_ms, now_ms)
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)

    @property
    def age_ms(self) -> float:
        """The time since then; infinite if the copy never was complete."""
        return self._clock.boot_ms() - self._confirmed_ms

    @property
    def out_of_reach(self) -> bool:
        """Whether nothing has been heard of the service for some time."""
        heard_ms = self._confirmed_ms
        if heard_ms == float('-inf'):
            heard_ms = self._started_ms
        return self._clock.boot_ms() - heard_ms > OUT_OF_REACH_MS

    @property
    def since_restored_ms(self) -> float:
        """The time since the last outage (infinite: there was none)."""
        return self._clock.boot_ms() - self._restored_ms

    @property
    def followed_ms(self) -> float:
        """How long this process has followed the service without an outage.

        It is negative infinity before the first copy.
        """
        return self._clock.boot_ms() - self._followed_ms
