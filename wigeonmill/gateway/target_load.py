"""How busy and how sound one target looks from this entry."""

from collections.abc import Sequence

from wigeonmill.clock import Clock
from wigeonmill.routing.linear_fit import LinearFit

# First guesses until a target's own times are known.
FIRST_TOKEN_FIXED_MS = 25.0
PREFILL_MS_PER_TOKEN = 0.015
TYPICAL_PROMPT_TOKENS = 8_000.0
RUN_MS = 2_000.0
RUN_TOKENS = 6_000.0
# Bounds of what is learned, so that a bad time does not stay in the estimate:
# the fastest engines read some hundred tokens in a ms, the slowest twenty.
MAX_FIXED_MS = 150.0
MIN_MS_PER_TOKEN = 0.004
MAX_MS_PER_TOKEN = 0.05
WHOLE_ANSWER_MS = 90.0
# Weight of a new sample in a moving average.
SAMPLE_WEIGHT = 0.1
# Half-life of a target's failures while nothing is sent to it.
FAILURE_HALF_LIFE_MS = 3_000.0
# A smaller share of failures tells nothing.
LEAST_FAILURE_SHARE = 0.01
# A target with open requests from which nothing came for this long is
# taken to be out of reach.
SILENCE_MS = 700.0
# Priorities that engines know; 0 goes first.
PRIORITIES = 10
# What other entries said of their open work counts no longer than this.
PEER_LOAD_TTL_MS = 2_000.0


class PeerLoad:
    """One other entry's open work at a target, as of `at_ms`.

    `tokens` of memory are taken and `waiting_tokens` still to be read, both
    by priority.
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
    """What the other entries have open at a target, summed up.

    The sums are kept, not made for each request: with many entries they
    would take most of the time of a pick.
    """

    __slots__ = ('_clock', '_loads', '_runs', '_tokens', '_waiting')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        # In the order in which they were told.
        self._loads: dict[str, PeerLoad] = {}
        self._runs = 0
        self._tokens = [0] * PRIORITIES
        self._waiting = [0] * PRIORITIES

    def set(self, entry: str, load: PeerLoad) -> None:
        """Take what an entry has open."""
        self.clear(entry)
        self._loads[entry] = load
        self._add(load, 1)

    def clear(self, entry: str) -> None:
        """Take that an entry has nothing open."""
        load = self._loads.pop(entry, None)
        if load is not None:
            self._add(load, -1)

    def runs(self) -> int:
        """Return the open requests."""
        self._expire()
        return self._runs

    def tokens(self, priorities: int) -> int:
        """Return the memory taken by the first so many priorities."""
        self._expire()
        return sum(self._tokens[:priorities])

    def waiting_tokens(self, priorities: int) -> int:
        """Return the tokens to be read of the first so many priorities."""
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
        for priority, tokens in enumerate(load.tokens):
            self._tokens[priority] += sign * tokens
        for priority, tokens in enumerate(load.waiting_tokens):
            self._waiting[priority] += sign * tokens


class OpenSend:
    """One request that is open at a target.

    `tokens` is the memory it takes, `prefill_tokens` what is to be read,
    `runs_ahead` what was open before it; `delayed` says that it had to wait
    for memory or for others.
    """

    __slots__ = (
        'sent_ms',
        'tokens',
        'prefill_tokens',
        'priority',
        'ahead',
        'runs_ahead',
        'delayed',
        'answered',
    )

    def __init__(
        self,
        sent_ms: float,
        tokens: int,
        prefill_tokens: int,
        priority: int,
        ahead: int,
        runs_ahead: int,
        delayed: bool,
    ) -> None:
        self.sent_ms = sent_ms
        self.tokens = tokens
        self.prefill_tokens = prefill_tokens
        self.priority = priority
        self.ahead = ahead
        self.runs_ahead = runs_ahead
        self.delayed = delayed
        self.answered = False


class TargetLoad:
    """Open work, learned times and recent failures of a target."""

    __slots__ = (
        '_clock',
        '_open',
        '_peers',
        '_fit',
        '_whole_ms',
        '_held_tokens',
        '_held_token_ms',
        '_failures',
        '_failed_ms',
        'heard_ms',
        'tokens',
        'waiting_tokens',
        'keep_alive_s',
    )

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._open: dict[OpenSend, None] = {}
        self._peers = PeerLoads(clock)
        self._fit = LinearFit(
            FIRST_TOKEN_FIXED_MS, PREFILL_MS_PER_TOKEN, TYPICAL_PROMPT_TOKENS
        )
        self._whole_ms = WHOLE_ANSWER_MS
        self._held_tokens = RUN_TOKENS
        self._held_token_ms = RUN_TOKENS * RUN_MS
        self._failures = 0.0
        self._failed_ms = clock.now_ms()
        self.heard_ms = clock.now_ms()
        self.tokens = [0] * PRIORITIES
        self.waiting_tokens = [0] * PRIORITIES
        self.keep_alive_s: int | None = None

    def open(
        self,
        tokens: int,
        prefill_tokens: int,
        priority: int,
        delayed: bool = False,
    ) -> OpenSend:
        """Note a request that is sent now."""
        send = OpenSend(
            self._clock.now_ms(),
            tokens,
            prefill_tokens,
            priority,
            self._ahead_of(priority),
            self.runs(),
            delayed,
        )
        self._open[send] = None
        self.tokens[priority] += tokens
        self.waiting_tokens[priority] += prefill_tokens
        return send

    def heard(self) -> None:
        """Note that bytes came from the target."""
        self.heard_ms = self._clock.now_ms()

    def first_token(self, send: OpenSend) -> None:
        """Learn from the time to a first token."""
        if send.answered:
            return
        send.answered = True
        self.waiting_tokens[send.priority] -= send.prefill_tokens
        if not send.delayed:
            took_ms = self._clock.now_ms() - send.sent_ms
            self._fit.add(send.ahead + send.prefill_tokens, took_ms)

    def run_ended(self, send: OpenSend) -> None:
        """Learn how long memory is taken, from a run that is complete."""
        took_ms = self._clock.now_ms() - send.sent_ms
        self._held_tokens += SAMPLE_WEIGHT * (send.tokens - self._held_tokens)
        sample = float(send.tokens) * took_ms
        self._held_token_ms += SAMPLE_WEIGHT * (sample - self._held_token_ms)

    def whole_answer(self, send: OpenSend, slots: int) -> None:
        """Learn from the time to a whole answer, less its wait for a slot."""
        took_ms = self._clock.now_ms() - send.sent_ms
        own_ms = took_ms / _turns(send.runs_ahead, slots)
        self._whole_ms += SAMPLE_WEIGHT * (own_ms - self._whole_ms)

    def close(self, send: OpenSend) -> None:
        """Note that a request is open no more."""
        if send not in self._open:
            return
        del self._open[send]
        self.tokens[send.priority] -= send.tokens
        if not send.answered:
            self.waiting_tokens[send.priority] -= send.prefill_tokens

    def record_outcome(self, failed: bool) -> None:
        """Count a sound answer or a failure of the target's own."""
        self._failures = self.failure_share()
        self._failed_ms = self._clock.now_ms()
        sample = 1.0 if failed else 0.0
        self._failures += SAMPLE_WEIGHT * (sample - self._failures)

    def failure_share(self) -> float:
        """Return the share of late requests that failed, fading in time."""
        age_ms = self._clock.now_ms() - self._failed_ms
        share = self._failures * float(0.5 ** (age_ms / FAILURE_HALF_LIFE_MS))
        return share if share >= LEAST_FAILURE_SHARE else 0.0

    def set_peer(self, entry: str, load: PeerLoad) -> None:
        """Take what another entry has open here."""
        self._peers.set(entry, load)

    def clear_peer(self, entry: str) -> None:
        """Take that another entry has nothing open here."""
        self._peers.clear(entry)

    def runs(self) -> int:
        """Return the open requests of all entries."""
        return len(self._open) + self._peers.runs()

    def own_runs(self) -> int:
        """Return the open requests of this entry."""
        return len(self._open)

    def memory_wait_ms(
        self, tokens: int, priority: int, capacity: int
    ) -> float:
        """Return how long a new request waits for memory.

        Memory that more urgent requests and those of its own rank take turns
        over within the mean time of a run.
        """
        lacking = self.memory_lacking(tokens, priority, capacity)
        if lacking <= 0 or capacity <= 0:
            return 0.0
        run_ms = self._held_token_ms / max(1.0, self._held_tokens)
        return run_ms * lacking / capacity

    def memory_lacking(self, tokens: int, priority: int, capacity: int) -> int:
        """Return the tokens of memory that a new request lacks."""
        if capacity <= 0:
            return 0
        last = priority + 1
        taken = sum(self.tokens[:last]) + self._peers.tokens(last)
        return taken + tokens - capacity

    def is_silent(self) -> bool:
        """Whether open requests have brought nothing for too long."""
        waiting = [s.sent_ms for s in self._open if not s.answered]
        if not waiting:
            return False
        since_ms = max(self.heard_ms, min(waiting))
        return self._clock.now_ms() - since_ms > SILENCE_MS

    def first_token_ms(self, prefill_tokens: int, priority: int) -> float:
        """Return the expected time to the first token of a new request."""
        fixed_ms, slope = self._fit.line()
        fixed_ms = min(fixed_ms, MAX_FIXED_MS)
        slope = min(max(slope, MIN_MS_PER_TOKEN), MAX_MS_PER_TOKEN)
        return fixed_ms + slope * (self._ahead_of(priority) + prefill_tokens)

    def whole_answer_ms(self, slots: int) -> float:
        """Return the expected time to a whole answer of a new request."""
        return self._whole_ms * _turns(self.runs(), slots)

    def _ahead_of(self, priority: int) -> int:
        """Return the tokens that are read before a new request's."""
        last = priority + 1
        own = sum(self.waiting_tokens[:last])
        return own + self._peers.waiting_tokens(last)


def _turns(runs_ahead: int, slots: int) -> float:
    """Return how many turns of the slots a request takes, its own included."""
    return max(1.0, (runs_ahead + 1) / max(1, slots))
