"""The rate of requests that a target accepts from all entries together.

A target in need names its limit in its answers for as long as it applies.
Answers overtake each other, and peers report what they were told, so each
statement has the span of time in which its target may have made it.
"""

from dataclasses import dataclass
from math import inf

from wigeonmill.clock import Clock

# Clocks of peers are compared by the age of a statement. Messages from peers
# take no longer than this.
MAX_TRANSIT_MS = 500.0
# Time for which the end of a limit is reported to the peers.
REPORT_ENDED_MS = 30_000.0
# A target that has named no limit for longer than this is not limited any
# more. Before, what it accepts doubles each second from its last limit.
REOPENING_MS = 4_000.0
DOUBLING_MS = 1_000.0
MIN_REOPENING_PER_S = 1.0


@dataclass(frozen=True, slots=True)
class LimitStatement:
    """What one answer states about the limit of its target.

    `per_s` is in requests per second, and infinite if the answer names no
    limit. The target made the statement between `sent_ms`, the time at which
    the request was sent, and `read_ms`. `from_peer` is set if another entry
    got the answer.
    """

    per_s: float
    sent_ms: float
    read_ms: float
    from_peer: bool = False


_NO_STATEMENT = LimitStatement(inf, -inf, -inf)


def _merge(first: LimitStatement, other: LimitStatement) -> LimitStatement:
    """Return a statement made twice, by the later times."""
    return LimitStatement(
        first.per_s,
        max(first.sent_ms, other.sent_ms),
        max(first.read_ms, other.read_ms),
    )


class TargetLimit:
    """The limit that a target has named last, as far as can be told.

    Of two statements the later one holds. If their order can't be told, the
    lower limit does.
    """

    __slots__ = ('_clock', '_latest', '_told', '_ended_ms', '_ended_per_s')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._latest = _NO_STATEMENT
        # What the target has told this entry itself.
        self._told = _NO_STATEMENT
        self._ended_ms = -inf
        self._ended_per_s = inf

    @property
    def per_s(self) -> float:
        """The limit in requests per second; infinite if there is none."""
        return self._latest.per_s

    @property
    def accepted_per_s(self) -> float:
        """The rate to keep to; infinite if there is no limit.

        It exceeds the limit only after that has ended, when it rises step by
        step, so that not all entries send to the target at once.
        """
        if self._latest.per_s < inf:
            return self._latest.per_s
        open_ms = self._clock.now_ms() - self._ended_ms
        if open_ms >= REOPENING_MS:
            return inf
        start_per_s = max(MIN_REOPENING_PER_S, self._ended_per_s)
        return start_per_s * 2.0 ** (open_ms / DOUBLING_MS)

    @property
    def unconfirmed_ms(self) -> float:
        """The time since it was stated last."""
        return self._clock.now_ms() - self._latest.read_ms

    def apply(self, statement: LimitStatement) -> bool:
        """Apply a statement; return whether the limit has changed."""
        latest = self._latest
        if statement.per_s == latest.per_s:
            self._latest = _merge(latest, statement)
            if not statement.from_peer:
                self._told = _merge(statement, self._told_of(latest.per_s))
            return False
        if statement.per_s < latest.per_s:
            is_outdated = statement.read_ms <= latest.sent_ms
        else:
            is_outdated = statement.sent_ms <= latest.read_ms
        if is_outdated:
            return False
        self._latest = statement
        if not statement.from_peer:
            self._told = statement
        if statement.per_s == inf:
            self._ended_ms = self._clock.now_ms()
            self._ended_per_s = latest.per_s
        return True

    def _told_of(self, per_s: float) -> LimitStatement:
        told = self._told
        return told if told.per_s == per_s else _NO_STATEMENT

    def inherit(self, previous: 'TargetLimit') -> None:
        """Take over what was stated to an earlier record of the target."""
        self._latest = previous._latest
        self._told = previous._told

    def to_report(self) -> LimitStatement | None:
        """Return what to report to the peers, if there is anything.

        Only what this entry was told itself is reported.
        """
        told = self._told
        if told is _NO_STATEMENT or told.per_s != self._latest.per_s:
            return None
        ended_for_ms = self._clock.now_ms() - self._ended_ms
        if told.per_s == inf and ended_for_ms >= REPORT_ENDED_MS:
            return None
        return told
