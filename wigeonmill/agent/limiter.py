"""The limit on concurrent runs, which protects a target in cold start."""

from dataclasses import dataclass
from dataclasses import replace


@dataclass(frozen=True, slots=True)
class LimiterSettings:
    """Bounds of the limit and how fast it grows.

    The limit stays at `cold` for `cold_completions` healthy completions,
    then grows by one for each up to `slow_start_share` of the highest limit
    reached before, and from there by about one per limit's worth of them.
    """

    cold: int
    maximum: int
    cold_completions: int = 0
    slow_start_share: float = 0.75
    overload_factor: float = 0.5


class ConcurrencyLimiter:
    """Holds the number of runs that the target bears at present."""

    __slots__ = ('_settings', '_limit', '_threshold', '_healthy')

    def __init__(self, settings: LimiterSettings) -> None:
        """Raises ValueError unless 1 <= cold <= maximum."""
        if not 1 <= settings.cold <= settings.maximum:
            raise ValueError(f'no valid limits: {settings}')
        self._settings = settings
        self._limit = float(settings.cold)
        self._threshold = float(settings.maximum)
        self._healthy = 0

    @property
    def limit(self) -> int:
        """Concurrent runs allowed now, from `cold` to `maximum`."""
        return int(self._limit)

    @property
    def cold_limit(self) -> int:
        """Concurrent runs that the target bears when cold."""
        return self._settings.cold

    @property
    def cold(self) -> bool:
        """Whether the target is still held to its cold limit."""
        return self.limit <= self._settings.cold and not self._warmed()

    def on_healthy(self) -> None:
        """Count a healthy completion and let the limit grow."""
        self._healthy += 1
        if not self._warmed():
            return
        if self._limit < self._threshold:
            grown = self._limit + 1.0
        else:
            grown = self._limit + 1.0 / self._limit
        self._limit = min(grown, float(self._settings.maximum))

    def set_bounds(self, cold: int, maximum: int) -> None:
        """Take new bounds; a limit outside of them moves to the nearer one.

        A target that is held to its cold limit follows that bound.
        """
        was_cold = self.cold
        self._settings = replace(
            self._settings, cold=cold, maximum=max(cold, maximum)
        )
        lowest, highest = float(cold), float(self._settings.maximum)
        self._limit = min(max(self._limit, lowest), highest)
        if was_cold:
            self._limit = lowest
        self._threshold = min(self._threshold, highest)

    def on_overload(self) -> None:
        """Shrink the limit after the target refused work as too much."""
        shrunk = self._limit * self._settings.overload_factor
        self._limit = max(shrunk, float(self._settings.cold))
        self._threshold = self._limit

    def on_cold(self) -> None:
        """Collapse to the cold limit at once."""
        if self._limit > self._settings.cold:
            share = self._settings.slow_start_share
            self._threshold = max(
                self._limit * share, float(self._settings.cold)
            )
        self._limit = float(self._settings.cold)
        self._healthy = 0

    def _warmed(self) -> bool:
        return self._healthy > self._settings.cold_completions


def make_limiter(cold: int, maximum: int) -> ConcurrencyLimiter:
    """Return a limiter with the usual growth, starting cold."""
    return ConcurrencyLimiter(LimiterSettings(cold, max(cold, maximum)))
