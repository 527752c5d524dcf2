"""Expected times of a target, learned from its own completions."""

from dataclasses import dataclass

from wigeonmill.routing.linear_fit import LinearFit

# Fewer samples than this say too little to call a target slow.
MIN_SAMPLES = 16
# Weight of a new sample in the moving averages.
EWMA_WEIGHT = 0.1
# Least weight of a new sample in the link's rate; the first few weigh more,
# so that the prior doesn't keep the target from importing.
IMPORT_WEIGHT = 0.2
# Weight of a new sample in the slowdown of a cold target.
SLOWDOWN_WEIGHT = 0.3
# Slowdown assumed of a target that has just turned cold.
COLD_SLOWDOWN = 1.0
MAX_SLOWDOWN = 2.0


@dataclass(frozen=True, slots=True)
class EstimatorPrior:
    """What is assumed of a target before it has completed anything."""

    first_token_overhead_ms: float = 30.0
    prefill_tokens_per_ms: float = 32.0
    decode_ms_per_token: float = 25.0
    held_ms: float = 4_000.0
    link_bytes_per_ms: float = 200_000.0


@dataclass(frozen=True, slots=True)
class Workload:
    """What a new request would find at the target.

    Tokens are of prefill still to be done: `prefill_ahead` by runs already
    started, `queued_ahead` by requests that go first. `slots_ahead` counts
    those that need a slot before the new request gets one, `slots_free`
    the slots left and `limit` the concurrency limit.
    """

    prefill_ahead: int = 0
    queued_ahead: int = 0
    slots_ahead: int = 0
    slots_free: int = 1
    limit: int = 1


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected wait and time to first token in milliseconds from now."""

    wait_ms: float
    first_token_ms: float


class Estimator:
    """Learns one target's rates and foretells first tokens from them."""

    __slots__ = (
        '_prior',
        '_first_token',
        '_decode_ms',
        '_held_ms',
        '_link_bytes_per_ms',
        '_slowdown',
        '_imports',
    )

    def __init__(self, prior: EstimatorPrior | None = None) -> None:
        self._prior = prior or EstimatorPrior()
        self._first_token = self._fresh_fit()
        self._decode_ms = self._prior.decode_ms_per_token
        self._held_ms = self._prior.held_ms
        self._link_bytes_per_ms = self._prior.link_bytes_per_ms
        self._slowdown = 1.0
        self._imports = 0

    @property
    def confident(self) -> bool:
        """Whether enough first tokens were seen to judge a new one."""
        return self._first_token.samples >= MIN_SAMPLES

    @property
    def link_bytes_per_ms(self) -> float:
        """The rate observed on recent imports."""
        return self._link_bytes_per_ms

    @property
    def held_ms(self) -> float:
        """Mean time for which a run holds its slot."""
        return self._held_ms

    def prefill_ms(self, tokens: int) -> float:
        """Return the expected time to compute `tokens` without overhead."""
        return self._first_token.line()[1] * tokens

    def first_token_ms(self, tokens: int) -> float:
        """Return the time from start to first token at a warm target.

        `tokens` counts the run's own prefill and what is ahead of it.
        """
        return self._first_token.predict(tokens)

    def on_first_token(self, tokens: int, took_ms: float) -> None:
        """Learn from a first token; `tokens` as in `first_token_ms`."""
        self._first_token.add(tokens, took_ms)

    def on_finished(
        self, held_ms: float, answer_tokens: int, decode_ms: float
    ) -> None:
        """Learn from a completed run, decoded in `decode_ms`."""
        self._held_ms = _ewma(self._held_ms, held_ms)
        if answer_tokens > 1:
            step_ms = decode_ms / (answer_tokens - 1)
            self._decode_ms = _ewma(self._decode_ms, step_ms)

    def on_import(self, size_bytes: int, took_ms: float) -> None:
        """Learn the link's rate from one import."""
        if size_bytes > 0 and took_ms > 0.0:
            rate = size_bytes / took_ms
            self._imports += 1
            weight = max(IMPORT_WEIGHT, 1.0 / self._imports)
            change = weight * (rate - self._link_bytes_per_ms)
            self._link_bytes_per_ms += change

    def on_cold(self) -> None:
        """Expect slower times than learned until `on_warm`."""
        self._slowdown = max(self._slowdown, COLD_SLOWDOWN)

    def on_warm(self) -> None:
        """Expect the learned times again."""
        self._slowdown = 1.0

    def on_cold_first_token(self, tokens: int, took_ms: float) -> None:
        """Learn how much slower a cold target is than a warm one."""
        ratio = took_ms / max(1.0, self.first_token_ms(tokens))
        ratio = min(max(1.0, ratio), MAX_SLOWDOWN)
        self._slowdown += SLOWDOWN_WEIGHT * (ratio - self._slowdown)

    def forget_first_tokens(self) -> None:
        """Return to the prior, when the target has changed for good."""
        self._first_token = self._fresh_fit()

    def decode_ms(self, answer_tokens: int) -> float:
        """Return the expected time to decode an answer."""
        return self._decode_ms * answer_tokens

    def estimate(
        self, workload: Workload, missing_tokens: int, import_ms: float
    ) -> Estimate:
        """Return the expected times of a request.

        An import goes on while the request waits; `missing_tokens` are
        computed after both.
        """
        wait_ms = self._wait_ms(workload)
        ready_ms = max(wait_ms, import_ms)
        own_ms = self.first_token_ms(missing_tokens) * self._slowdown
        return Estimate(wait_ms, ready_ms + own_ms)

    def _wait_ms(self, workload: Workload) -> float:
        queued_ms = self.prefill_ms(workload.queued_ahead)
        prefill_ms = self.prefill_ms(workload.prefill_ahead)
        ahead_ms = (prefill_ms + queued_ms) * self._slowdown
        return max(ahead_ms, self._slot_ms(workload))

    def _slot_ms(self, workload: Workload) -> float:
        lacking = workload.slots_ahead + 1 - workload.slots_free
        if lacking <= 0:
            return 0.0
        return self._held_ms * lacking / max(1, workload.limit)

    def _fresh_fit(self) -> LinearFit:
        return LinearFit(
            self._prior.first_token_overhead_ms,
            1.0 / self._prior.prefill_tokens_per_ms,
            typical_x=4096.0,
        )


def _ewma(mean: float, sample: float) -> float:
    return mean + EWMA_WEIGHT * (sample - mean)
