"""How long ago a reader confirmed the configuration in force."""

from wigeonmill.clock import Clock


class Freshness:
    """The age of the newest confirmation that has reached this process.

    A reader confirms; ages travel with the gossip, so that no clocks are
    compared.
    """

    __slots__ = ('_clock', '_confirmed_ms')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._confirmed_ms = clock.now_ms()

    @property
    def age_ms(self) -> float:
        """Milliseconds since the newest confirmation."""
        return self._clock.now_ms() - self._confirmed_ms

    def confirm(self) -> None:
        """Note that the key-value service was read just now."""
        self._confirmed_ms = self._clock.now_ms()

    def take(self, age_ms: float) -> None:
        """Take a peer's age for a configuration not newer than ours."""
        confirmed_ms = self._clock.now_ms() - max(age_ms, 0.0)
        self._confirmed_ms = max(self._confirmed_ms, confirmed_ms)
