"""A limit on concurrent runs that protects a target in cold start."""

from dataclasses import dataclass
from dataclasses import replace


@dataclass(frozen=True, slots=True)
class LimiterSettings:
    """Bounds and growth of the limit.

    The limit stays at `cold` for `cold_completions` healthy completions.
    Then each healthy completion raises it by one (slow start) up to
    `slow_start_share` of the limit before the cold start, and by 1/limit
    from there on, which is about one for every `limit` completions. A run
    that the target refuses as overloaded multiplies the limit by
    `overload_factor` and ends the slow start.
    """

    cold: int
    maximum: int
    cold_completions: int = 0
    slow_start_share: float = 0.75
    overload_factor: float = 0.5


class ConcurrencyLimiter:
    """Adapts the number of concurrent runs to the target's capacity."""

    __slots__ = (
        '_settings',
        '_limit',
        '_slow_start_threshold',
        '_healthy_completions',
    )

    def __init__(self, settings: LimiterSettings) -> None:
        """Raises ValueError unless 1 <= cold <= maximum."""
        if not 1 <= settings.cold <= settings.maximum:
            raise ValueError(
                f'limits must be 1 <= cold <= maximum: {settings}'
            )
        self._settings = settings
        self._limit = float(settings.cold)
        self._slow_start_threshold = float(settings.maximum)
        self._healthy_completions = 0

    @property
    def limit(self) -> int:
        """Concurrent runs allowed now, from `cold` to `maximum`."""
        return int(self._limit)

    @property
    def cold_limit(self) -> int:
        """Concurrent runs allowed while the target is cold."""
        return self._settings.cold

    @property
    def cold(self) -> bool:
        """Whether the target is still restricted to its cold limit."""
        return (
            self.limit <= self._settings.cold and not self._cold_phase_over()
        )

    def on_healthy(self) -> None:
        """Count a healthy completion, which may raise the limit."""
        self._healthy_completions += 1
        if not self._cold_phase_over():
            return
        if self._limit < self._slow_start_threshold:
            raised = self._limit + 1.0
        else:
            raised = self._limit + 1.0 / self._limit
        self._limit = min(raised, float(self._settings.maximum))

    def set_bounds(self, cold: int, maximum: int) -> None:
        """Set new bounds and clamp the limit to them.

        The limit of a cold target becomes the new cold bound.
        """
        was_cold = self.cold
        self._settings = replace(
            self._settings, cold=cold, maximum=max(cold, maximum)
        )
        lowest, highest = float(cold), float(self._settings.maximum)
        self._limit = min(max(self._limit, lowest), highest)
        if was_cold:
            self._limit = lowest
        self._slow_start_threshold = min(self._slow_start_threshold, highest)

    def on_overload(self) -> None:
        """Reduce the limit after the target refused a run as overloaded."""
        reduced = self._limit * self._settings.overload_factor
        self._limit = max(reduced, float(self._settings.cold))
        self._slow_start_threshold = self._limit

    def on_cold(self) -> None:
        """Reset the limit to the cold limit at once."""
        if self._limit > self._settings.cold:
            share = self._settings.slow_start_share
            self._slow_start_threshold = max(
                self._limit * share, float(self._settings.cold)
            )
        self._limit = float(self._settings.cold)
        self._healthy_completions = 0

    def _cold_phase_over(self) -> bool:
        return self._healthy_completions > self._settings.cold_completions


def make_limiter(cold: int, maximum: int) -> ConcurrencyLimiter:
    """Return a cold limiter with the default growth settings."""
    return ConcurrencyLimiter(LimiterSettings(cold, max(cold, maximum)))
