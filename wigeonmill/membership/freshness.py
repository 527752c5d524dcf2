"""The time since a reader last confirmed the configuration in force."""

from wigeonmill.clock import Clock


class Freshness:
    """The age of the latest confirmation that has reached this process.

    Readers confirm the configuration. Gossip carries ages, not times, so
    that clocks of different processes are never compared.
    """

    __slots__ = ('_clock', '_confirmed_ms')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_ms = clock.now_ms()

    @property
    def age_ms(self) -> float:
        """Milliseconds since the latest confirmation."""
        return self._clock.now_ms() - self._confirmed_ms

    def confirm(self) -> None:
        """Record that the key-value service was read just now."""
        self._confirmed_ms = self._clock.now_ms()

    def merge_age(self, age_ms: float) -> None:
        """Merge a peer's age; its serial must not be newer than ours."""
        confirmed_ms = self._clock.now_ms() - max(age_ms, 0.0)
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
