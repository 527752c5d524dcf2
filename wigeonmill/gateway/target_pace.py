"""How long work takes at a target now, as its answers state it.

Targets share their machines with others, so the pace changes many times a
second. A pace of 1.0 is as usual, 2.0 means that work takes twice as long.
"""

from math import inf
import random

from wigeonmill.clock import Clock

# Statements beyond these bounds count as the bound.
MIN_PACE = 0.5
MAX_PACE = 8.0
# A statement weighs as much as the earlier ones together after this time.
SMOOTHING_MS = 60.0
# A statement is used for a time drawn by chance, with this mean, and this long
# at most. So the share of the entries that use it falls with its age: they
# don't all send to one fast target until they learn that it has become slow,
# and don't all stay away from one that no longer is.
MEAN_USED_MS = 400.0
MAX_AGE_MS = 400.0
# Others are told of it for this time, in which most get an update.
TOLD_AGE_MS = 400.0
# A pace is expected to last for so much work only: a spell of some hundred ms
# in which work takes twice or three times as long.
LASTING_WORK_MS = 120.0
# The part of an expected time that no pace changes: a round trip of the
# network between failure domains.
NETWORK_MS = 8.0


class TargetPace:
    """The pace of one target, smoothed; it gives way to the usual by age."""

    __slots__ = (
        '_clock',
        '_rng',
        '_pace',
        '_at_ms',
        '_used_until_ms',
        '_own_pace',
        '_own_ms',
    )

    def __init__(self, clock: Clock, rng: random.Random | None = None) -> None:
        self._clock = clock
        self._rng = rng or random.Random()
        self._pace = 1.0
        self._at_ms = -inf
        self._used_until_ms = -inf
        self._own_pace = 1.0
        self._own_ms = -inf

    @property
    def is_stated(self) -> bool:
        """Whether the target has stated any pace."""
        return self._at_ms > -inf

    def record(self, pace: float) -> None:
        """Record what the target has stated to this entry."""
        self._own_pace = min(max(pace, MIN_PACE), MAX_PACE)
        self._own_ms = self._clock.now_ms()
        self._add(self._own_pace, self._own_ms)

    def record_remote(self, pace: float, age_ms: float) -> None:
        """Record what it stated to another entry `age_ms` ago."""
        self._add(pace, self._clock.now_ms() - max(0.0, age_ms))

    def to_report(self) -> tuple[float, float] | None:
        """Return the pace last stated to this entry and its age in ms.

        There is none if all others may have been told of it.
        """
        age_ms = self._clock.now_ms() - self._own_ms
        return None if age_ms > TOLD_AGE_MS else (self._own_pace, age_ms)

    def latest(self) -> float:
        """Return the pace to expect of new work."""
        now_ms = self._clock.now_ms()
        return self._pace if now_ms <= self._used_until_ms else 1.0

    def seen(self) -> float:
        """Return the pace at which the latest work was done."""
        age_ms = self._clock.now_ms() - self._at_ms
        return self._pace if age_ms <= MAX_AGE_MS else 1.0

    def stretch(self, expected_ms: float) -> float:
        """Return how long what usually takes `expected_ms` takes now."""
        work_ms = min(max(0.0, expected_ms - NETWORK_MS), LASTING_WORK_MS)
        return expected_ms + (self.latest() - 1.0) * work_ms

    def _add(self, pace: float, at_ms: float) -> None:
        since_ms = at_ms - self._at_ms
        if since_ms < 0:
            return
        bounded = min(max(pace, MIN_PACE), MAX_PACE)
        weight = 1.0 - 0.5 ** (max(since_ms, 1.0) / SMOOTHING_MS)
        self._pace += weight * (bounded - self._pace)
        self._at_ms = at_ms
        used_ms = self._rng.expovariate(1.0 / MEAN_USED_MS)
        self._used_until_ms = at_ms + min(used_ms, MAX_AGE_MS)


def usual_ms(took_ms: float, pace: float) -> float:
    """Return how long what took `took_ms` at a pace usually takes."""
    work_ms = max(0.0, took_ms - NETWORK_MS)
    if work_ms <= pace * LASTING_WORK_MS:
        return took_ms - work_ms + work_ms / pace
    return took_ms - (pace - 1.0) * LASTING_WORK_MS
