"""Estimates of prefill speed and run duration, learned from answers.

They are kept for each target and for each service as a whole. With many
entries, each sends a target too few requests to learn from it alone, and
uses the estimates of the service until it has enough samples.
"""

from wigeonmill.routing.linear_fit import LinearFit

# Estimates without any sample.
INITIAL_FIXED_MS = 25.0
INITIAL_MS_PER_TOKEN = 0.015
TYPICAL_PROMPT_TOKENS = 8_000.0
INITIAL_RUN_MS = 2_000.0
INITIAL_RUN_TOKENS = 6_000.0
# Bounds of the fitted line, so that a slow period does not distort the
# estimate for long. The fastest engines prefill a few hundred tokens per
# millisecond, the slowest about twenty.
MAX_FIXED_MS = 150.0
MIN_MS_PER_TOKEN = 0.004
MAX_MS_PER_TOKEN = 0.05
# Number of samples from which a target's own estimates are used.
OWN_SAMPLES = 20
# Weight of a new sample in a moving average.
SAMPLE_WEIGHT = 0.1


class RunEstimates:
    """Moving averages over runs: memory, duration and their product."""

    __slots__ = ('samples', 'run_tokens', 'token_ms', 'run_ms')

    def __init__(self) -> None:
        self.samples = 0
        self.run_tokens = INITIAL_RUN_TOKENS
        self.token_ms = INITIAL_RUN_TOKENS * INITIAL_RUN_MS
        self.run_ms = INITIAL_RUN_MS

    def add(self, tokens: int, took_ms: float, delayed: bool) -> None:
        """Add a complete run that occupied `tokens` for `took_ms`.

        If it was `delayed`, it did not occupy its slot all that time.
        """
        self.samples += 1
        self.run_tokens += SAMPLE_WEIGHT * (tokens - self.run_tokens)
        sample = float(tokens) * took_ms
        self.token_ms += SAMPLE_WEIGHT * (sample - self.token_ms)
        if not delayed:
            self.run_ms += SAMPLE_WEIGHT * (took_ms - self.run_ms)

    def duration_by_memory_ms(self) -> float:
        """Return the mean duration of a run, weighted by its memory."""
        return self.token_ms / max(1.0, self.run_tokens)


class Estimates:
    """The prefill speed and the runs of one target or one service."""

    __slots__ = ('fit', 'runs')

    def __init__(self) -> None:
        self.fit = LinearFit(
            INITIAL_FIXED_MS, INITIAL_MS_PER_TOKEN, TYPICAL_PROMPT_TOKENS
        )
        self.runs = RunEstimates()

    def line(self) -> tuple[float, float]:
        """Return the fixed time in ms and the time per token, bounded."""
        fixed_ms, slope = self.fit.line()
        return (
            min(fixed_ms, MAX_FIXED_MS),
            min(max(slope, MIN_MS_PER_TOKEN), MAX_MS_PER_TOKEN),
        )


class TargetEstimates:
    """The estimates of a target, and of its service while it has few."""

    __slots__ = ('_own', '_service')

    def __init__(self, service: Estimates | None = None) -> None:
        self._own = Estimates()
        self._service = service or Estimates()

    def add_first_token(self, tokens: int, took_ms: float) -> None:
        """Add the time to a first token after `tokens` to be prefilled."""
        self._own.fit.add(tokens, took_ms)
        self._service.fit.add(tokens, took_ms)

    def add_run(self, tokens: int, took_ms: float, delayed: bool) -> None:
        """Add a complete run."""
        self._own.runs.add(tokens, took_ms, delayed)
        self._service.runs.add(tokens, took_ms, delayed)

    def line(self) -> tuple[float, float]:
        """Return the fixed time in ms and the time per token."""
        if self._own.fit.samples >= OWN_SAMPLES:
            return self._own.line()
        return self._service.line()

    @property
    def runs(self) -> RunEstimates:
        """The averages over runs."""
        if self._own.runs.samples >= OWN_SAMPLES:
            return self._own.runs
        return self._service.runs
