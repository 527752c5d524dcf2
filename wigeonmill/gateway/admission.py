"""Decides who goes first at a service that is short of room.

A request is sent, held for a moment, or refused. Nothing is held or refused
while a target has room for it.
"""

from collections.abc import Iterable
from dataclasses import dataclass
import enum

# Share of an engine's memory that requests which can wait leave free, so that
# urgent ones don't have to preempt them. A preempted run reads its prompt
# again.
RESERVED_SHARE = 0.2
# Longest time that a request is held, as a share of its objective.
MAX_HELD_SHARE = 0.25
# A hold ends so long before the latest time to start, as it may end late.
START_MARGIN_MS = 25.0
# A shorter hold would not see any room that becomes free.
MIN_HOLD_MS = 2.0
# What is late already leaves this share besides, so that those who can be in
# time don't wait behind it.
LATE_RESERVED_SHARE = 0.2
# Objectives for which a caller that returned is held. Callers leave a stream
# without any event after four; the rest is for its start.
MAX_RETURNED_HELD = 3.0
# Callers return after up to this share of the time that they have left.
MAX_RETRY_SHARE = 1.0 / 3.0
MIN_RETRY_AFTER_MS = 400.0
# A caller that returns has at least this share of its time left.
MIN_RETURNED_SHARE = 0.6
# The times at which they return are spread over this share.
RETRY_SPREAD = 0.4

# Levels at the engines for requests in time, and the most of one priority.
LEVELS = 8
MAX_WIDTH = 4


class Verdict(enum.Enum):
    """What is done with a request; each has a counter."""

    SEND = 'send'
    HOLD = 'hold'
    REFUSE = 'refuse'


class Why(enum.Enum):
    """The reason of a verdict."""

    ROOM = 'room'
    TARGETS_REFUSE = 'targets_refuse'
    NO_ROOM = 'no_room'
    HELD_OUT = 'held_out'
    LATE = 'late'
    HOPELESS = 'hopeless'


class Size(enum.Enum):
    """How much memory a run needs, and whether it can wait for it."""

    SHORT = 0
    LONG = 1
    CAN_WAIT = 2


@dataclass(frozen=True, slots=True)
class Room:
    """What the best target of a service offers a request.

    `refused_ms` is the time for which all targets are expected to refuse, or
    0. `starts_ms` is the expected time to the first token or whole answer.
    """

    has_room: bool
    refused_ms: float
    starts_ms: float


@dataclass(frozen=True, slots=True)
class Applicant:
    """What is known of a request that asks for room, times in ms.

    `in_time_ms` is what is left of its objective; it is negative after that.
    """

    objective_ms: float
    in_time_ms: float
    remaining_ms: float
    held_ms: float = 0.0
    returned: bool = False


@dataclass(frozen=True, slots=True)
class Decision:
    """A verdict; a request is held for up to `hold_ms`."""

    verdict: Verdict
    why: Why
    hold_ms: float = 0.0


HELD_OUT = Decision(Verdict.SEND, Why.HELD_OUT)
TOO_LATE = Decision(Verdict.REFUSE, Why.LATE)


@dataclass(frozen=True, slots=True, order=True)
class Standing:
    """The order of requests that wait, the first one being the smallest.

    Rank goes first. Within it, requests that may still be in time do, teams
    that were served less than their fair share, then callers that return after
    a refusal, sessions without any answer yet, and small requests.
    """

    rank: int
    is_late: bool
    above_share: bool
    is_new: bool
    session_served: bool
    tokens: int
    arrived_ms: float


def decide(room: Room, applicant: Applicant) -> Decision:
    """Return what to do with a request."""
    if room.has_room and room.refused_ms <= 0:
        return Decision(Verdict.SEND, Why.ROOM)
    if room.starts_ms > applicant.remaining_ms:
        return Decision(Verdict.REFUSE, Why.HOPELESS)
    if room.refused_ms > 0:
        longest_ms = MAX_HELD_SHARE * applicant.objective_ms
        why, after = Why.TARGETS_REFUSE, HELD_OUT
    elif applicant.returned:
        # A second refusal loses it; sent without room, it would be preempted.
        longest_ms = MAX_RETURNED_HELD * applicant.objective_ms
        why, after = Why.NO_ROOM, TOO_LATE
    else:
        longest_ms = MAX_HELD_SHARE * applicant.objective_ms
        why, after = Why.NO_ROOM, TOO_LATE
        if room.starts_ms > applicant.in_time_ms:
            return after
    hold_ms = min(
        longest_ms - applicant.held_ms,
        applicant.remaining_ms - room.starts_ms - START_MARGIN_MS,
    )
    if hold_ms < MIN_HOLD_MS:
        return after
    return Decision(Verdict.HOLD, why, hold_ms)


def engine_level(
    priority: int, in_use: Iterable[int], size: Size, above_share: bool
) -> int:
    """Return the priority at an engine, below `LEVELS`.

    The levels are divided among the configured priorities `in_use`. Within
    one, runs that can wait go last. Before them go long prompts of the hurried
    kind, and first the short ones. Teams above their share go a step later.
    """
    ranked = sorted({priority, *in_use})
    width = min(MAX_WIDTH, LEVELS // len(ranked))
    step = max(size.value, above_share + 2 * (size is Size.CAN_WAIT))
    first = ranked.index(priority) * max(1, width)
    return min(LEVELS - 1, first + step * width // MAX_WIDTH)


def has_returned(deadline_ms: float, timeout_ms: float) -> bool:
    """Whether a caller has been refused before, or is in as much of a hurry.

    `deadline_ms` is the time that it states to wait. Its repeat has another
    id and mostly reaches another entry, which knows of no refusal.
    """
    return timeout_ms - deadline_ms >= MIN_RETRY_AFTER_MS


def waited_ms(deadline_ms: float, timeout_ms: float) -> float:
    """Return for how long a caller has waited in its earlier attempts.

    One with less time than any that returns states a short deadline of its
    own.
    """
    if deadline_ms < MIN_RETURNED_SHARE * timeout_ms:
        return 0.0
    return max(0.0, timeout_ms - deadline_ms)


def retry_after_ms(
    starts_ms: float, remaining_ms: float, spread: float
) -> float:
    """Return when a refused caller should return, for `spread` from 0 to 1.

    It is when room is expected, or as late as it still returns by itself.
    """
    latest_ms = MAX_RETRY_SHARE * remaining_ms
    after_ms = min(starts_ms, latest_ms) * (1.0 - RETRY_SPREAD * spread)
    return max(MIN_RETRY_AFTER_MS, after_ms)
