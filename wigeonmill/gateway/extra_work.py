"""Limits the extra work of attempts beside slow answers.

Each entry keeps to its own share, without a common count: its extra work is
at most a share of the work of its own first attempts in the window before.
The sum over all entries then is at most that share of the sum of their work.
An entry that has just started has no credit until it has served requests.
"""

import collections
from dataclasses import dataclass

from wigeonmill.clock import Clock
from wigeonmill.gateway.request import Generation


@dataclass(frozen=True, slots=True)
class ExtraWorkLimits:
    """The extra work at a service per work of first attempts, 0 to 1.

    Both are summed over `window_ms`. With a share of 0 there is none.
    """

    share: float = 0.0
    window_ms: float = 10_000.0


def attempt_work(
    generation: Generation | None, prefill_tokens: int, service_ms: float
) -> float:
    """Return the work of one attempt at a target.

    It is the tokens to be read and written for a model request, and the mean
    service time in ms for any other. A service gets one of both.
    """
    if generation is None:
        return service_ms
    return float(prefill_tokens + generation.max_answer_tokens)


class ExtraWork:
    """The work of one service that this entry has caused in the window."""

    __slots__ = ('_clock', '_limits', '_work', '_extra')

    def __init__(self, clock: Clock, limits: ExtraWorkLimits) -> None:
        self._clock = clock
        self._limits = limits
        self._work = _WindowSum(clock, limits.window_ms)
        self._extra = _WindowSum(clock, limits.window_ms)

    def record_work(self, work: float) -> None:
        """Add the work of the first attempt of a request."""
        self._work.add(work)

    def record_extra(self, work: float) -> None:
        """Add the work of an attempt beside another one."""
        self._extra.add(work)

    def __len__(self) -> int:
        """Return the number of attempts that are kept."""
        return len(self._work) + len(self._extra)

    @property
    def available(self) -> float:
        """The extra work that may be caused now."""
        return self._limits.share * self._work.total() - self._extra.total()


class _WindowSum:
    """The sum of the values within the last `window_ms`."""

    __slots__ = ('_clock', '_window_ms', '_values', '_sum')

    def __init__(self, clock: Clock, window_ms: float) -> None:
        self._clock = clock
        self._window_ms = window_ms
        self._values: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        self._sum = 0.0

    def __len__(self) -> int:
        return len(self._values)

    def add(self, value: float) -> None:
        # Nothing may ask for the total.
        self._expire()
        self._values.append((self._clock.now_ms(), value))
        self._sum += value

    def total(self) -> float:
        self._expire()
        return self._sum

    def _expire(self) -> None:
        oldest_ms = self._clock.now_ms() - self._window_ms
        while self._values and self._values[0][0] <= oldest_ms:
            self._sum -= self._values.popleft()[1]
        if not self._values:
            # Rounding errors must not add up.
            self._sum = 0.0
