"""Tells which answers are later than nearly all answers of their kind.

A kind is a service and a route. Its times are compared with those that were
expected when the requests were sent, so that long prompts and queues at a
target don't count as slow. One entry of many gets few requests of a kind;
until it knows the kind, it goes by all answers of the service.
"""

from collections.abc import Callable
import math

from wigeonmill.clock import Clock

# An answer is slow if this share of its kind takes less.
SLOW_QUANTILE = 0.95
# It is slow beyond this multiple of the median, too. A few slow targets raise
# the upper quantiles of the kind, but not its median.
MAX_SPREAD = 3.0
# The weight of an answer halves in this time. One entry of many may get a
# request of a kind only every second or so.
HALF_LIFE_MS = 60_000.0
# Weight of answers from which the quantiles are used.
MIN_WEIGHT = 20.0
# Buckets of the ratio of the time to the expected time, per octave and in all,
# from `LOWEST_RATIO` on.
BUCKETS_PER_OCTAVE = 4
BUCKETS = 48
LOWEST_RATIO = 1.0 / 16.0
# A target counts as slow or as in time for this long after its last answer.
RECENT_MS = 2_000.0
# Routes come and go with the configurations; the oldest kinds are dropped.
MAX_KINDS = 1_000
# If this share of the targets is slow, a second one is no better.
MAX_SLOW_TARGETS = 0.5
# Attempts beside slow ones that may run at the same time before any has
# answered first, and at most.
INITIAL_TRIALS = 2.0
MAX_TRIALS = 64.0


class AnswerTimes:
    """The fading distribution of times relative to the expected ones."""

    __slots__ = ('_clock', '_weights', '_faded_ms')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._weights = [0.0] * BUCKETS
        self._faded_ms = clock.now_ms()

    def add(self, ratio: float) -> None:
        """Add one answer."""
        self._fade()
        self._weights[_bucket(ratio)] += 1.0

    def is_known(self) -> bool:
        """Whether there were enough answers lately."""
        self._fade()
        return sum(self._weights) >= MIN_WEIGHT

    def slow_ratio(self) -> float:
        """Return the ratio from which an answer is slow (inf: not known)."""
        if not self.is_known():
            return math.inf
        return min(
            self._quantile(SLOW_QUANTILE), MAX_SPREAD * self._quantile(0.5)
        )

    def median_ratio(self) -> float:
        """Return the ratio that half of the answers don't exceed."""
        return self._quantile(0.5)

    def remaining(self, ratio: float) -> float:
        """Return the mean of what answers later than `ratio` took beyond it.

        If there are none, what took so long is taken to go on as long again.
        """
        self._fade()
        bucket = _bucket(ratio)
        # Those of its own bucket that took longer end soon.
        upper = _upper_end(bucket)
        soon = upper - ratio
        near = self._weights[bucket] * max(
            0.0, soon / (upper - _lower_end(bucket))
        )
        later = self._weights[bucket + 1 :]
        weight = near + sum(later)
        if weight < 1.0:
            return ratio
        beyond = near * soon / 2.0 + sum(
            count * (_middle(bucket + 1 + n) - ratio)
            for n, count in enumerate(later)
        )
        return beyond / weight

    def _quantile(self, share: float) -> float:
        """Return the upper end of the bucket that holds the quantile."""
        left = share * sum(self._weights)
        for number, weight in enumerate(self._weights):
            left -= weight
            if left <= 0.0:
                return _upper_end(number)
        return _upper_end(BUCKETS - 1)

    def _fade(self) -> None:
        age_ms = self._clock.now_ms() - self._faded_ms
        if age_ms < HALF_LIFE_MS / 100.0:
            return
        self._faded_ms = self._clock.now_ms()
        factor = 0.5 ** (age_ms / HALF_LIFE_MS)
        self._weights = [factor * weight for weight in self._weights]


class RecentTargets:
    """Which targets of a kind answered in time lately, and which were slow."""

    __slots__ = ('_clock', '_seen')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # By target id, when it was seen last and whether it was slow; the
        # one seen longest ago comes first.
        self._seen: dict[str, tuple[float, bool]] = {}

    def record(self, target_id: str, slow: bool) -> None:
        """Record an answer in time, or one that is late."""
        self._seen.pop(target_id, None)
        self._seen[target_id] = (self._clock.now_ms(), slow)
        self._expire()

    def is_slow(self, target_id: str) -> bool:
        """Whether the last answer of a target was late, a short time ago."""
        at_ms, slow = self._seen.get(target_id, (-math.inf, False))
        return slow and at_ms >= self._oldest_ms

    def most_are_slow(self) -> bool:
        """Whether another target is as likely to be slow as not."""
        self._expire()
        slow = sum(is_slow for _at_ms, is_slow in self._seen.values())
        return slow > 1 and slow >= MAX_SLOW_TARGETS * len(self._seen)

    @property
    def _oldest_ms(self) -> float:
        return self._clock.now_ms() - RECENT_MS

    def _expire(self) -> None:
        while self._seen:
            target_id = next(iter(self._seen))
            if self._seen[target_id][0] >= self._oldest_ms:
                return
            del self._seen[target_id]


class Trials:
    """Limits attempts beside slow ones until they are seen to answer first.

    If all targets turn slow at once, few requests are sent to a second one
    before that is known. Each that wins allows one more at the same time, and
    each that loses halves them.
    """

    __slots__ = ('_allowed', '_running')

    def __init__(self) -> None:
        self._allowed = INITIAL_TRIALS
        self._running = 0

    @property
    def full(self) -> bool:
        """Whether no more may run at the same time."""
        return self._running >= int(self._allowed)

    def begin(self) -> 'Trial':
        """Begin an attempt beside a slow one."""
        self._running += 1
        return Trial(self._end)

    def _end(self, won: bool | None) -> None:
        self._running -= 1
        if won is None:
            return
        allowed = self._allowed + 1.0 if won else self._allowed / 2.0
        self._allowed = min(MAX_TRIALS, max(1.0, allowed))


class Trial:
    """One attempt beside a slow one; it ends once."""

    __slots__ = ('_on_end',)

    def __init__(self, on_end: Callable[[bool | None], None]) -> None:
        self._on_end: Callable[[bool | None], None] | None = on_end

    def end(self, won: bool | None) -> None:
        """End it; `won` is None if neither of the two was first."""
        on_end, self._on_end = self._on_end, None
        if on_end is not None:
            on_end(won)


class AnswerKind:
    """What is known of the answers to one route by one service.

    `service_times` are those of all its routes.
    """

    __slots__ = ('times', 'service_times', 'targets', 'trials')

    def __init__(self, clock: Clock, service_times: AnswerTimes) -> None:
        self.times = AnswerTimes(clock)
        self.service_times = service_times
        self.targets = RecentTargets(clock)
        self.trials = Trials()

    @property
    def known_times(self) -> AnswerTimes:
        """The times of the kind, or of its service until they are known."""
        return self.times if self.times.is_known() else self.service_times

    def add(self, ratio: float) -> None:
        """Add one answer."""
        self.times.add(ratio)
        self.service_times.add(ratio)


class AnswerWatch:
    """Follows one attempt until its first event or its whole answer.

    `late_at_ms` is when the answer becomes slow. It is infinite if nothing
    may be done about that, as with a request that is not `repeatable`.
    """

    __slots__ = (
        '_clock',
        '_kind',
        '_target_id',
        '_expected_ms',
        '_sent_ms',
        '_ended',
        'late_at_ms',
    )

    def __init__(
        self,
        clock: Clock,
        kind: AnswerKind,
        target_id: str,
        expected_ms: float,
        repeatable: bool = True,
    ) -> None:
        self._clock = clock
        self._kind = kind
        self._target_id = target_id
        self._expected_ms = max(1.0, expected_ms)
        self._sent_ms = clock.now_ms()
        self._ended = False
        self.late_at_ms = math.inf
        if repeatable:
            slow_ms = kind.known_times.slow_ratio() * self._expected_ms
            self.late_at_ms = self._sent_ms + slow_ms

    @property
    def is_late(self) -> bool:
        """Whether the answer is outstanding and slow by now."""
        return not self._ended and self._clock.now_ms() >= self.late_at_ms

    @property
    def remaining_ms(self) -> float:
        """The expected time to the answer from now on."""
        ratio = self._elapsed_ms / self._expected_ms
        return self._kind.known_times.remaining(ratio) * self._expected_ms

    def usual_ms(self, expected_ms: float) -> float:
        """Return what an answer with this expected time usually takes."""
        return self._kind.known_times.median_ratio() * expected_ms

    def record_late(self) -> None:
        """Record that the answer is late, though it may still come."""
        self._kind.targets.record(self._target_id, slow=True)

    def record_answer(self) -> None:
        """Record the first event or the whole answer."""
        if self._ended:
            return
        slow = self._clock.now_ms() > self.late_at_ms
        self._ended = True
        self._kind.add(self._elapsed_ms / self._expected_ms)
        self._kind.targets.record(self._target_id, slow)

    def record_cut(self) -> None:
        """Record an answer that was given up once it was slow.

        It took as long at least. Without these, the slowest answers would
        seem faster with each one that is replaced.
        """
        if self.is_late:
            self.record_answer()

    @property
    def _elapsed_ms(self) -> float:
        return self._clock.now_ms() - self._sent_ms


class SlowAnswers:
    """The kinds of answers that this entry knows."""

    __slots__ = ('_clock', '_kinds', '_services')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._kinds: dict[tuple[str, str], AnswerKind] = {}
        self._services: dict[str, AnswerTimes] = {}

    def kind(self, service: str, route: str) -> AnswerKind:
        """Return the kind of the answers to `route` by `service`."""
        key = (service, route)
        found = self._kinds.get(key)
        if found is None:
            if len(self._kinds) >= MAX_KINDS:
                del self._kinds[next(iter(self._kinds))]
            times = self._service_times(service)
            found = self._kinds[key] = AnswerKind(self._clock, times)
        return found

    def _service_times(self, service: str) -> AnswerTimes:
        found = self._services.get(service)
        if found is None:
            if len(self._services) >= MAX_KINDS:
                del self._services[next(iter(self._services))]
            found = self._services[service] = AnswerTimes(self._clock)
        return found


def _bucket(ratio: float) -> int:
    octaves = math.log2(max(ratio, LOWEST_RATIO) / LOWEST_RATIO)
    return min(BUCKETS - 1, int(octaves * BUCKETS_PER_OCTAVE))


def _lower_end(bucket: int) -> float:
    return float(LOWEST_RATIO * 2.0 ** (bucket / BUCKETS_PER_OCTAVE))


def _upper_end(bucket: int) -> float:
    return _lower_end(bucket + 1)


def _middle(bucket: int) -> float:
    return float(LOWEST_RATIO * 2.0 ** ((bucket + 0.5) / BUCKETS_PER_OCTAVE))
