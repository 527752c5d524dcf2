"""Estimates the load and the health of one target as this entry sees them."""

from collections.abc import Sequence

from wigeonmill.clock import Clock
from wigeonmill.gateway.estimates import Estimates
from wigeonmill.gateway.estimates import TargetEstimates
from wigeonmill.gateway.memory_guard import displaced_cost
from wigeonmill.gateway.memory_guard import MemoryUse
from wigeonmill.gateway.target_pace import TargetPace
from wigeonmill.gateway.target_pace import usual_ms

# Time for which a target's own report of its load is used.
REPORTED_LOAD_TTL_MS = 400.0
# Expected time of the first whole answer.
INITIAL_ANSWER_MS = 90.0
# Weight of a new sample in a moving average.
SAMPLE_WEIGHT = 0.1
# Half-life of a target's failure share while no outcome is recorded.
FAILURE_HALF_LIFE_MS = 3_000.0
# A smaller failure share is not significant and counts as zero.
MIN_FAILURE_SHARE = 0.01
# A target that has open requests but has sent nothing for this long is
# considered unreachable.
SILENCE_MS = 700.0
# Number of priority levels of the engines; 0 is the most urgent.
PRIORITIES = 10
# Requests that are late already have this level or a less urgent one.
LATE_PRIORITY = 8
# The load reported by another entry expires after this time.
PEER_LOAD_TTL_MS = 2_000.0


class PeerLoad:
    """The open requests of one other entry at a target, as of `at_ms`.

    `tokens` is the memory they occupy and `waiting_tokens` the prompt tokens
    still to be prefilled, both by priority.
    """

    __slots__ = ('runs', 'tokens', 'waiting_tokens', 'at_ms')

    def __init__(
        self,
        runs: int,
        tokens: Sequence[int],
        waiting_tokens: Sequence[int],
        at_ms: float,
    ) -> None:
        self.runs = runs
        self.tokens = tokens
        self.waiting_tokens = waiting_tokens
        self.at_ms = at_ms


class PeerLoads:
    """The total load of all other entries at a target.

    The sums are maintained incrementally. With many entries, computing them
    for each request would take most of the time of target selection.
    """

    __slots__ = (
        '_clock',
        '_loads',
        '_runs',
        '_runs_at_ms',
        '_tokens',
        '_waiting',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # In the order in which they were received.
        self._loads: dict[str, PeerLoad] = {}
        self._runs = 0
        # The sum of the times of what was told, over all runs.
        self._runs_at_ms = 0.0
        self._tokens = [0] * PRIORITIES
        self._waiting = [0] * PRIORITIES

    def set(self, entry: str, load: PeerLoad) -> None:
        """Replace the load of an entry."""
        self.clear(entry)
        self._loads[entry] = load
        self._add(load, 1)

    def clear(self, entry: str) -> None:
        """Remove the load of an entry."""
        load = self._loads.pop(entry, None)
        if load is not None:
            self._add(load, -1)

    def runs(self) -> int:
        """Return the number of open requests."""
        self._expire()
        return self._runs

    def told_run_ms(self) -> float:
        """Return the sum of the ages of what was told, over all runs."""
        self._expire()
        age_ms = self._runs * self._clock.now_ms() - self._runs_at_ms
        return max(0.0, age_ms)

    def tokens(self, priorities: int) -> int:
        """Return the memory used by the `priorities` most urgent levels."""
        self._expire()
        return sum(self._tokens[:priorities])

    def waiting_tokens(self, priorities: int) -> int:
        """Return the waiting tokens of the `priorities` most urgent levels."""
        self._expire()
        return sum(self._waiting[:priorities])

    def _expire(self) -> None:
        oldest_ms = self._clock.now_ms() - PEER_LOAD_TTL_MS
        while self._loads:
            entry = next(iter(self._loads))
            if self._loads[entry].at_ms >= oldest_ms:
                return
            self.clear(entry)

    def _add(self, load: PeerLoad, sign: int) -> None:
        self._runs += sign * load.runs
        self._runs_at_ms += sign * load.runs * load.at_ms
        for priority, tokens in enumerate(load.tokens):
            self._tokens[priority] += sign * tokens
        for priority, tokens in enumerate(load.waiting_tokens):
            self._waiting[priority] += sign * tokens


class InFlightRequest:
    """One open request at a target.

    `tokens` is the memory it occupies and `prefill_tokens` the part of its
    prompt that must be prefilled. `tokens_ahead` and `runs_ahead` are the
    waiting tokens and the open requests before it when it was sent, and
    `pace` is that of the target then. Its answer was expected within
    `expected_ms`.
    `delayed` is set if it had to wait for memory or for more urgent requests.
    `answered` is set at its first token or at its whole answer.
    """

    __slots__ = (
        'sent_ms',
        'tokens',
        'prefill_tokens',
        'priority',
        'tokens_ahead',
        'runs_ahead',
        'delayed',
        'pace',
        'expected_ms',
        'answered',
    )

    def __init__(
        self,
        sent_ms: float,
        tokens: int,
        prefill_tokens: int,
        priority: int,
        tokens_ahead: int,
        runs_ahead: int,
        delayed: bool,
        pace: float = 1.0,
        expected_ms: float = 0.0,
    ) -> None:
        self.sent_ms = sent_ms
        self.tokens = tokens
        self.prefill_tokens = prefill_tokens
        self.priority = priority
        self.tokens_ahead = tokens_ahead
        self.runs_ahead = runs_ahead
        self.delayed = delayed
        self.pace = pace
        self.expected_ms = expected_ms
        self.answered = False


class TargetLoad:
    """The open requests, response times and recent failures of a target."""

    __slots__ = (
        '_clock',
        '_open',
        '_peers',
        '_estimates',
        '_mean_answer_ms',
        '_reported_runs',
        '_reported_ms',
        '_failure_share',
        '_last_outcome_ms',
        '_paused',
        'last_activity_ms',
        'last_byte_ms',
        'others_heard_ms',
        'pace',
        'tokens',
        'waiting_tokens',
        'keep_alive_s',
    )

    def __init__(self, clock: Clock, service: Estimates | None = None) -> None:
        self._clock = clock
        self._open: dict[InFlightRequest, None] = {}
        self._peers = PeerLoads(clock)
        self._estimates = TargetEstimates(service)
        self._mean_answer_ms = INITIAL_ANSWER_MS
        # The runs and waiting requests that the target reported last.
        self._reported_runs = 0
        self._reported_ms = float('-inf')
        self._failure_share = 0.0
        self._last_outcome_ms = clock.now_ms()
        # The number of its answers that are not read for the moment.
        self._paused = 0
        self.last_activity_ms = clock.now_ms()
        # Unlike the time above, it is not set before the first byte.
        self.last_byte_ms = float('-inf')
        # When other entries had a byte of it, as far as they have told.
        self.others_heard_ms = float('-inf')
        self.pace = TargetPace(clock)
        self.tokens = [0] * PRIORITIES
        self.waiting_tokens = [0] * PRIORITIES
        self.keep_alive_s: int | None = None

    def open(
        self,
        tokens: int,
        prefill_tokens: int,
        priority: int,
        delayed: bool = False,
        expected_ms: float = 0.0,
    ) -> InFlightRequest:
        """Register a request that is being sent now.

        Its first token or whole answer is due after `expected_ms`.
        """
        request = InFlightRequest(
            self._clock.now_ms(),
            tokens,
            prefill_tokens,
            priority,
            self._tokens_ahead(priority),
            self.runs(),
            delayed,
            self.pace.seen(),
            expected_ms,
        )
        self._open[request] = None
        self.tokens[priority] += tokens
        self.waiting_tokens[priority] += prefill_tokens
        return request

    def record_activity(self) -> None:
        """Record that the target has just sent some bytes."""
        self.last_activity_ms = self._clock.now_ms()
        self.last_byte_ms = self.last_activity_ms

    def pause_reading(self) -> None:
        """Record that an answer is not read until its caller reads it.

        Meanwhile the target is not silent, as it may have sent something.
        """
        self._paused += 1

    def resume_reading(self) -> None:
        """Record that a paused answer is read again, from now on."""
        self._paused -= 1
        self.last_activity_ms = self._clock.now_ms()

    def record_first_token(self, request: InFlightRequest) -> None:
        """Update the estimate from the time to a first token.

        Delayed requests are left out, as their time includes the wait.
        """
        if request.answered:
            return
        request.answered = True
        self.waiting_tokens[request.priority] -= request.prefill_tokens
        if not request.delayed:
            took_ms = self._took_ms(request)
            self._estimates.add_first_token(
                request.tokens_ahead + request.prefill_tokens, took_ms
            )

    def record_run_end(self, request: InFlightRequest) -> None:
        """Update the estimates with a complete run."""
        took_ms = self._took_ms(request)
        self._estimates.add_run(request.tokens, took_ms, request.delayed)

    def record_whole_answer(
        self, request: InFlightRequest, slots: int
    ) -> None:
        """Update the mean time of a whole answer, without the slot wait."""
        took_ms = self._took_ms(request)
        own_ms = took_ms / _slot_rounds(request.runs_ahead, slots)
        self._mean_answer_ms += SAMPLE_WEIGHT * (own_ms - self._mean_answer_ms)

    def close(self, request: InFlightRequest) -> None:
        """Unregister a request."""
        if request not in self._open:
            return
        del self._open[request]
        self.tokens[request.priority] -= request.tokens
        if not request.answered:
            self.waiting_tokens[request.priority] -= request.prefill_tokens

    def record_outcome(self, failed: bool) -> None:
        """Record an answer or a failure of the target itself."""
        self._failure_share = self.failure_share()
        self._last_outcome_ms = self._clock.now_ms()
        sample = 1.0 if failed else 0.0
        self._failure_share += SAMPLE_WEIGHT * (sample - self._failure_share)

    def failure_share(self) -> float:
        """Return the failure share of recent requests, decaying over time."""
        age_ms = self._clock.now_ms() - self._last_outcome_ms
        share = self._failure_share * float(
            0.5 ** (age_ms / FAILURE_HALF_LIFE_MS)
        )
        return share if share >= MIN_FAILURE_SHARE else 0.0

    def set_peer_load(self, entry: str, load: PeerLoad) -> None:
        """Replace the load of another entry at this target."""
        self._peers.set(entry, load)

    def clear_peer_load(self, entry: str) -> None:
        """Remove the load of another entry at this target."""
        self._peers.clear(entry)

    def runs(self) -> int:
        """Return the number of open requests of all entries."""
        return len(self._open) + self._peers.runs()

    def record_report(self, runs: int | None, pace: float | None) -> None:
        """Store what the target stated in an answer; None: nothing."""
        if runs is not None:
            self.record_reported(runs)
        if pace is not None:
            self.pace.record(pace)

    def record_reported(self, runs: int) -> None:
        """Store the runs and waiting requests that the target reported."""
        self._reported_runs = runs
        self._reported_ms = self._clock.now_ms()

    def occupied(self) -> int:
        """Return the open requests, at least those that it just reported."""
        age_ms = self._clock.now_ms() - self._reported_ms
        reported = self._reported_runs if age_ms < REPORTED_LOAD_TTL_MS else 0
        return max(self.runs(), reported)

    def slot_wait_ms(self, priority: int, slots: int) -> float:
        """Return the time for a slot at the usual pace of the target.

        Slots become free evenly over the mean duration of a run. Waiting
        requests of less urgent priorities are overtaken.
        """
        excess: float = self.occupied() - slots
        if slots <= 0 or excess < 0:
            return 0.0
        waiting_tokens = self._tokens_ahead(PRIORITIES - 1)
        if waiting_tokens > 0:
            excess = excess * self._tokens_ahead(priority) / waiting_tokens
        return self._estimates.runs.run_ms * (excess + 1.0) / slots

    def own_runs(self) -> int:
        """Return the number of open requests of this entry."""
        return len(self._open)

    def memory_wait_ms(
        self, tokens: int, priority: int, capacity: int
    ) -> float:
        """Return the expected time that a new request waits for memory.

        The memory used by requests of its own or a more urgent priority is
        assumed to be released evenly over the mean duration of a run.
        """
        shortfall = self.memory_shortfall(tokens, priority, capacity)
        if shortfall <= 0 or capacity <= 0:
            return 0.0
        run_ms = self._estimates.runs.duration_by_memory_ms()
        return self.pace.stretch(run_ms * shortfall / capacity)

    def memory_shortfall(
        self, tokens: int, priority: int, capacity: int
    ) -> int:
        """Return how much memory a new request lacks, in tokens.

        A negative result is the memory that would remain free.
        """
        if capacity <= 0:
            return 0
        levels = priority + 1
        used = sum(self.tokens[:levels]) + self._peers.tokens(levels)
        return used + tokens - capacity

    def expected_shortfall(
        self, tokens: int, capacity: int, begun_tokens: float = 0.0
    ) -> int:
        """Return how much memory a request lacks unless others are preempted.

        What entries have not told yet is counted as far as it is expected:
        `begun_tokens` of new runs, less those that have ended. A negative
        result is the memory that would remain free.
        """
        if capacity <= 0:
            return 0
        runs = self._estimates.runs
        use = MemoryUse(
            self._open_tokens(),
            self.runs(),
            self.occupied(),
            self._peers.told_run_ms() / max(1.0, runs.run_ms),
            begun_tokens / max(1.0, runs.run_tokens),
            runs.run_tokens,
        )
        if not use.runs and not use.reported_runs:
            # An empty target takes the largest prompt.
            return min(0, tokens - capacity)
        return use.expected_tokens + tokens - capacity

    def displaced_cost(
        self, shortfall: int, tokens: int, priority: int
    ) -> float:
        """Return the credit lost by runs that a request would preempt.

        It is per credit of the request. Runs that are late lose none.
        """
        in_time = sum(self.tokens[:LATE_PRIORITY])
        in_time += self._peers.tokens(LATE_PRIORITY)
        late = self._open_tokens() - in_time
        levels = priority + 1
        urgent = sum(self.tokens[:levels]) + self._peers.tokens(levels)
        return displaced_cost(
            shortfall - late,
            tokens,
            in_time - urgent,
            self._estimates.runs.run_tokens,
        )

    def _open_tokens(self) -> int:
        return sum(self.tokens) + self._peers.tokens(PRIORITIES)

    def is_silent(self) -> bool:
        """Whether unanswered requests have received nothing for too long."""
        return self.unanswered_ms() > SILENCE_MS

    def silent_since_ms(self) -> float | None:
        """Return since when an overdue answer is silent; None: none is.

        A full target may write nothing for twice the time that was expected.
        """
        if self._paused:
            return None
        now_ms = self._clock.now_ms()
        for request in self._open:
            since_ms = max(self.last_activity_ms, request.sent_ms)
            limit_ms = SILENCE_MS + 2.0 * request.expected_ms
            if not request.answered and now_ms - since_ms > limit_ms:
                return since_ms
        return None

    def overdue_ms(self) -> float:
        """Return for how long an answer has been silent and overdue.

        It is negative if none is overdue.
        """
        if self._paused:
            return float('-inf')
        now_ms = self._clock.now_ms()
        return max(
            (
                now_ms
                - max(self.last_activity_ms, request.sent_ms)
                - request.expected_ms
                for request in self._open
                if not request.answered
            ),
            default=float('-inf'),
        )

    def is_open(self, request: InFlightRequest | None) -> bool:
        """Whether the request is at the target."""
        return request in self._open

    def unanswered_ms(self) -> float:
        """Return for how long unanswered requests have received nothing.

        It is 0 if there are none.
        """
        waiting = [s.sent_ms for s in self._open if not s.answered]
        if not waiting or self._paused:
            return 0.0
        since_ms = max(self.last_activity_ms, min(waiting))
        return self._clock.now_ms() - since_ms

    def first_token_ms(
        self, prefill_tokens: int, priority: int, slots: int
    ) -> float:
        """Return the expected time to the first token of a new request.

        Requests that wait for a slot are prefilled as slots become free, so
        the longer of both waits counts.
        """
        fixed_ms, slope = self._estimates.line()
        wait_ms = max(
            slope * self._tokens_ahead(priority),
            self.slot_wait_ms(priority, slots),
        )
        work_ms = fixed_ms + slope * prefill_tokens + wait_ms
        return self.pace.stretch(work_ms)

    @property
    def mean_answer_ms(self) -> float:
        """The mean time of a whole answer without waits."""
        return self._mean_answer_ms

    def prefill_ms(self, tokens: int) -> float:
        """Return the expected time to a first token without any wait."""
        fixed_ms, slope = self._estimates.line()
        return fixed_ms + slope * tokens

    def whole_answer_ms(self, slots: int) -> float:
        """Return the expected time to a whole answer of a new request."""
        rounds = _slot_rounds(self.occupied(), slots)
        return self.pace.stretch(self._mean_answer_ms * rounds)

    def _took_ms(self, request: InFlightRequest) -> float:
        """Return how long a request took, at the usual pace of the target."""
        took_ms = self._clock.now_ms() - request.sent_ms
        mean_pace = (request.pace + self.pace.seen()) / 2
        return usual_ms(took_ms, mean_pace)

    def _tokens_ahead(self, priority: int) -> int:
        """Return the waiting tokens that precede a new request."""
        levels = priority + 1
        own = sum(self.waiting_tokens[:levels])
        return own + self._peers.waiting_tokens(levels)


def _slot_rounds(runs_ahead: int, slots: int) -> float:
    """Return after how many rounds of all slots a request is answered."""
    return max(1.0, (runs_ahead + 1) / max(1, slots))
