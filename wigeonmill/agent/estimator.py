"""Estimates a target's latencies from its completed runs."""

from dataclasses import dataclass

from wigeonmill.routing.linear_fit import LinearFit

# With fewer samples the estimates are too uncertain to call a target slow.
MIN_SAMPLES = 16
# Weight of a new sample in the moving averages.
EWMA_WEIGHT = 0.1
# Minimum weight of a new sample in the link's rate. The first few samples
# weigh more, so that a wrong prior doesn't keep the target from importing.
TRANSFER_WEIGHT = 0.2
# Weight of a new sample in the slowdown of a cold target.
SLOWDOWN_WEIGHT = 0.3
# Slowdown assumed for a target that has just become cold.
INITIAL_COLD_SLOWDOWN = 1.0
MAX_SLOWDOWN = 2.0


@dataclass(frozen=True, slots=True)
class EstimatorPrior:
    """Assumptions about a target before its first completed run.

    `slot_hold_ms` is the time for which a run holds its slot.
    """

    first_token_overhead_ms: float = 30.0
    prefill_tokens_per_ms: float = 32.0
    decode_ms_per_token: float = 25.0
    slot_hold_ms: float = 4_000.0
    link_bytes_per_ms: float = 200_000.0


@dataclass(frozen=True, slots=True)
class Workload:
    """The load that a new request finds at the target.

    `prefill_ahead` counts the tokens of pending prefill of runs in flight,
    `queued_ahead` those of waiting requests that are served first.
    `slots_ahead` counts the requests that need a slot before the new one,
    `slots_free` the free slots; `limit` is the concurrency limit.
    """

    prefill_ahead: int = 0
    queued_ahead: int = 0
    slots_ahead: int = 0
    slots_free: int = 1
    limit: int = 1


@dataclass(frozen=True, slots=True)
class Estimate:
    """Expected wait and time to first token, in milliseconds from now."""

    wait_ms: float
    first_token_ms: float


class Estimator:
    """Learns the rates of one target and predicts its latencies."""

    __slots__ = (
        '_prior',
        '_first_token',
        '_decode_ms',
        '_slot_hold_ms',
        '_link_bytes_per_ms',
        '_slowdown',
        '_transfer_count',
    )

    def __init__(self, prior: EstimatorPrior | None = None) -> None:
        self._prior = prior or EstimatorPrior()
        self._first_token = self._prior_fit()
        self._decode_ms = self._prior.decode_ms_per_token
        self._slot_hold_ms = self._prior.slot_hold_ms
        self._link_bytes_per_ms = self._prior.link_bytes_per_ms
        self._slowdown = 1.0
        self._transfer_count = 0

    @property
    def has_enough_samples(self) -> bool:
        """Whether the estimates can be used to detect slow first tokens."""
        return self._first_token.samples >= MIN_SAMPLES

    @property
    def link_bytes_per_ms(self) -> float:
        """The link's rate in recent transfers."""
        return self._link_bytes_per_ms

    @property
    def slot_hold_ms(self) -> float:
        """Mean time for which a run holds its slot."""
        return self._slot_hold_ms

    def prefill_ms(self, tokens: int) -> float:
        """Return the expected time to compute `tokens`, without overhead."""
        return self._first_token.line()[1] * tokens

    def first_token_ms(self, tokens: int) -> float:
        """Return the expected time from start to first token when warm.

        `tokens` counts the run's own prefill and the prefill ahead of it.
        """
        return self._first_token.predict(tokens)

    def on_first_token(self, tokens: int, took_ms: float) -> None:
        """Update the fit with a first token; see `first_token_ms`."""
        self._first_token.add(tokens, took_ms)

    def on_finished(
        self, slot_hold_ms: float, answer_tokens: int, decode_ms: float
    ) -> None:
        """Update the averages with a completed run.

        `decode_ms` is the time from its first token to its end.
        """
        self._slot_hold_ms = _ewma(self._slot_hold_ms, slot_hold_ms)
        if answer_tokens > 1:
            step_ms = decode_ms / (answer_tokens - 1)
            self._decode_ms = _ewma(self._decode_ms, step_ms)

    def on_transfer(self, size_bytes: int, took_ms: float) -> None:
        """Update the link's rate with one transfer."""
        if size_bytes > 0 and took_ms > 0.0:
            rate = size_bytes / took_ms
            self._transfer_count += 1
            weight = max(TRANSFER_WEIGHT, 1.0 / self._transfer_count)
            adjustment = weight * (rate - self._link_bytes_per_ms)
            self._link_bytes_per_ms += adjustment

    def on_cold(self) -> None:
        """Apply a slowdown to the estimates until `on_warm`."""
        self._slowdown = max(self._slowdown, INITIAL_COLD_SLOWDOWN)

    def on_warm(self) -> None:
        """Remove the slowdown of the cold target."""
        self._slowdown = 1.0

    def on_cold_first_token(self, tokens: int, took_ms: float) -> None:
        """Update the slowdown with a first token of the cold target."""
        ratio = took_ms / max(1.0, self.first_token_ms(tokens))
        ratio = min(max(1.0, ratio), MAX_SLOWDOWN)
        self._slowdown += SLOWDOWN_WEIGHT * (ratio - self._slowdown)

    def reset_first_token_fit(self) -> None:
        """Reset the fit to its prior, after a lasting change of the target."""
        self._first_token = self._prior_fit()

    def decode_ms(self, answer_tokens: int) -> float:
        """Return the expected time to decode an answer."""
        return self._decode_ms * answer_tokens

    def estimate(
        self, workload: Workload, missing_tokens: int, import_ms: float
    ) -> Estimate:
        """Return the expected times of a request.

        The import runs while the request waits; the `missing_tokens` are
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
        return max(ahead_ms, self._slot_wait_ms(workload))

    def _slot_wait_ms(self, workload: Workload) -> float:
        missing_slots = workload.slots_ahead + 1 - workload.slots_free
        if missing_slots <= 0:
            return 0.0
        return self._slot_hold_ms * missing_slots / max(1, workload.limit)

    def _prior_fit(self) -> LinearFit:
        return LinearFit(
            self._prior.first_token_overhead_ms,
            1.0 / self._prior.prefill_tokens_per_ms,
            typical_x=4096.0,
        )


def _ewma(mean: float, sample: float) -> float:
    return mean + EWMA_WEIGHT * (sample - mean)
