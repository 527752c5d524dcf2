"""Divides the time for new weights among the waves of a rollout."""

# Share of the time for new weights in which a rollout without faults should
# be complete. The rest is reserved for the loss of a leader or of an order.
PLANNED_SHARE = 0.8
# Time in each wave besides the drain and the load: publishing the wave,
# sending its orders and detecting its end.
WAVE_OVERHEAD_MS = 400.0
# Bounds of the time in which an engine may finish its runs before an order
# cuts its streams. Short runs end within the minimum.
MIN_DRAIN_MS = 330.0
MAX_DRAIN_MS = 3_000.0
# Expected duration of the first load.
INITIAL_LOAD_MS = 1_000.0
# Weight of a new sample in the mean duration of a load.
SAMPLE_WEIGHT = 0.3


class RolloutBudget:
    """Tells how long an engine may drain before it is ordered to load."""

    __slots__ = ('_deadline_ms', '_load_ms')

    def __init__(self, deadline_ms: float) -> None:
        self._deadline_ms = deadline_ms
        self._load_ms = INITIAL_LOAD_MS

    def record_load(self, took_ms: float) -> None:
        """Update the expected duration of a load."""
        self._load_ms += SAMPLE_WEIGHT * (took_ms - self._load_ms)

    def drain_ms(self, age_ms: float, waves: int) -> float:
        """Return the time for draining with `waves` waves left.

        `age_ms` is the age of the weight version, infinite if unknown.
        """
        left_ms = PLANNED_SHARE * self._deadline_ms - age_ms
        share_ms = left_ms / max(1, waves) - self._load_ms - WAVE_OVERHEAD_MS
        return max(MIN_DRAIN_MS, min(MAX_DRAIN_MS, share_ms))
