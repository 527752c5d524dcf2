"""Estimates what is free of a target's memory, and whom a request displaces.

Load: many entries that send long prompts to the same engines before their
updates tell of each other. An engine without free memory preempts the newest
of its least urgent runs, which pauses their streams and reads them again.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import ceil
from math import exp
from math import sqrt

from wigeonmill.clock import Clock
from wigeonmill.gateway.credit import LATE_CREDIT_SHARE

# Memory is given to each run in blocks, the last of which is half empty.
BLOCK_TOKENS = 16
# No request is worth more than this many of those that it would preempt.
MAX_DISPLACED_COST = 4.0
# A prompt that needs less than this share of the memory goes by what is known:
# what entries may not have told yet is more than it needs.
SHORT_SHARE = 1.0 / 32.0
# Interval of the updates to other entries, and how many get each.
UPDATE_INTERVAL_MS = 200.0
PEERS_TOLD = 6
# Time over which the tokens that are sent are averaged.
RECENT_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class MemoryUse:
    """What is known of the memory in use at a target.

    `tokens` is that of the open requests of this entry and of what others
    have told, and `runs` the number of them. `reported_runs` is the number
    that the target has just reported (0: none). `ended_runs` of those that
    others told are expected to have ended since, and `begun_runs` to have
    begun. `run_tokens` is the mean memory of a run.
    """

    tokens: int
    runs: int
    reported_runs: int
    ended_runs: float
    begun_runs: float
    run_tokens: float

    @property
    def expected_tokens(self) -> int:
        """The memory that has to be taken as used.

        As many runs begin as end, at least, and their number varies by its
        root.
        Requests that the target alone knows of are counted in place of
        that, if they are more.
        """
        turnover = max(self.ended_runs, self.begun_runs)
        unseen_runs = turnover - self.ended_runs + sqrt(turnover)
        unknown_runs = max(unseen_runs, self.reported_runs - self.runs)
        in_blocks = self.runs * BLOCK_TOKENS // 2
        return self.tokens + in_blocks + int(unknown_runs * self.run_tokens)


def displaced_cost(
    shortfall: int, tokens: int, less_urgent_tokens: int, run_tokens: float
) -> float:
    """Return the credit that preempted runs lose, per credit of the request.

    The request of `tokens` lacks `shortfall`. Whole runs are preempted, and
    only less urgent ones, which hold `less_urgent_tokens`. Credit is taken as
    proportional to tokens.
    """
    if shortfall <= 0 or less_urgent_tokens <= 0:
        return 0.0
    run = max(1.0, run_tokens)
    displaced = min(ceil(shortfall / run) * run, less_urgent_tokens)
    cost = (1.0 - LATE_CREDIT_SHARE) * displaced / max(1, tokens)
    return min(MAX_DISPLACED_COST, cost)


class UnseenWork:
    """Estimates what other entries have sent and not told yet.

    All entries are taken to be like this one.
    """

    __slots__ = ('_clock', '_entry_count', '_sent')

    def __init__(self, clock: Clock, entry_count: Callable[[], int]) -> None:
        self._clock = clock
        self._entry_count = entry_count
        # By service, the tokens that were sent of late.
        self._sent: dict[str, RecentTokens] = {}

    def record_sent(self, service: str, tokens: int) -> None:
        """Count a request that this entry sends to a target."""
        recent = self._sent.get(service)
        if recent is None:
            recent = self._sent[service] = RecentTokens(self._clock)
        recent.add(tokens)

    def begun_tokens(self, service: str, count: int) -> float:
        """Return what others may have sent to one of `count` targets."""
        recent = self._sent.get(service)
        if recent is None:
            return 0.0
        others = self._entry_count() - 1
        told_ms = UPDATE_INTERVAL_MS * max(1.0, others / PEERS_TOLD)
        return recent.per_ms() * others * told_ms / 2.0 / max(1, count)


class RecentTokens:
    """An average of tokens over time in which older ones fade.

    The newest ones don't count, as an entry looks when it has just sent some.
    """

    __slots__ = ('_clock', '_before', '_newest', '_at_ms')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._before = 0.0
        self._newest = 0
        self._at_ms = clock.now_ms()

    def add(self, tokens: int) -> None:
        """Add tokens at the current time."""
        self._before = (self._before + self._newest) * self._fading()
        self._newest = tokens
        self._at_ms = self._clock.now_ms()

    def per_ms(self) -> float:
        """Return the tokens per millisecond."""
        return self._before * self._fading() / RECENT_MS

    def _fading(self) -> float:
        return exp((self._at_ms - self._clock.now_ms()) / RECENT_MS)
