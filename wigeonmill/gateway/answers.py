"""Defines answers to callers: those of targets and the gateway's refusals."""

from collections.abc import Callable
from dataclasses import dataclass
import enum
from typing import Protocol

from wigeonmill.gateway.held_bytes import Holding
from wigeonmill.gateway.request import HeaderFields


class Reason(enum.Enum):
    """Why the gateway refuses or fails a request; each has a counter."""

    NO_CONFIGURATION = 'no_configuration'
    NO_ROUTE = 'no_route'
    UNKNOWN_KEY = 'unknown_key'
    MALFORMED = 'malformed'
    BODY_TOO_LARGE = 'body_too_large'
    HEADERS_TOO_LARGE = 'headers_too_large'
    BODY_LATE = 'body_late'
    NO_TARGET = 'no_target'
    TARGETS_FULL = 'targets_full'
    TARGETS_COLD = 'targets_cold'
    TARGETS_CLOSED = 'targets_closed'
    TARGETS_LIMITED = 'targets_limited'
    OLD_WEIGHTS = 'old_weights'
    OTHER_SOFTWARE = 'other_software'
    ORIGIN_UNKNOWN = 'origin_unknown'
    TOO_LATE = 'too_late'
    CRASHES_TARGETS = 'crashes_targets'
    PART_CRASHES_TARGETS = 'part_crashes_targets'
    RETRIES_SPENT = 'retries_spent'
    NOT_RUN = 'not_run'
    MAY_HAVE_RUN = 'may_have_run'
    TIMEOUT = 'timeout'
    BROKEN_OFF = 'broken_off'
    CALLER_TOO_SLOW = 'caller_too_slow'
    MEMORY_FULL = 'memory_full'
    INTERNAL = 'internal'
    SHUTTING_DOWN = 'shutting_down'


# Statuses that guarantee that a request has not run and never will.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
STATUS_BY_REASON = {
    Reason.NO_CONFIGURATION: 503,
    Reason.NO_ROUTE: 404,
    Reason.UNKNOWN_KEY: 401,
    Reason.MALFORMED: 400,
    Reason.BODY_TOO_LARGE: 413,
    Reason.HEADERS_TOO_LARGE: 431,
    Reason.BODY_LATE: 408,
    Reason.NO_TARGET: 503,
    Reason.TARGETS_FULL: 503,
    Reason.TARGETS_COLD: 503,
    Reason.TARGETS_CLOSED: 503,
    Reason.TARGETS_LIMITED: 503,
    Reason.OLD_WEIGHTS: 503,
    Reason.OTHER_SOFTWARE: 503,
    Reason.ORIGIN_UNKNOWN: 503,
    Reason.TOO_LATE: 503,
    Reason.CRASHES_TARGETS: 503,
    Reason.PART_CRASHES_TARGETS: 503,
    Reason.RETRIES_SPENT: 503,
    Reason.NOT_RUN: 503,
    Reason.MAY_HAVE_RUN: 502,
    Reason.TIMEOUT: 504,
    Reason.BROKEN_OFF: 502,
    Reason.CALLER_TOO_SLOW: 502,
    Reason.MEMORY_FULL: 503,
    Reason.INTERNAL: 500,
    Reason.SHUTTING_DOWN: 503,
}

# Refusals of a stream that can't go on, so the caller must begin it anew.
UNRESUMABLE_REASONS = frozenset((Reason.OTHER_SOFTWARE, Reason.ORIGIN_UNKNOWN))


@dataclass(frozen=True, slots=True)
class Refusal:
    """An answer that the gateway itself gives.

    `retry_after_ms` is the time after which the caller may retry, if at all.
    """

    reason: Reason
    message: str
    retry_after_ms: float | None = None

    @property
    def status(self) -> int:
        """The HTTP status."""
        return STATUS_BY_REASON[self.reason]


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """The status and header fields of a target's answer for the caller."""

    status: int
    fields: HeaderFields


class RequestState(enum.Enum):
    """How far a request has come."""

    WAITING = 'waiting'
    SENT = 'sent'
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class Progress:
    """The state of a request that has not ended.

    `target_id` is the target that it was last sent to, or ''.
    """

    state: RequestState
    target_id: str
    remaining_ms: float


class CallerChannel(Protocol):
    """Writes one answer to a caller; calls have no effect after a close."""

    @property
    def closed(self) -> bool:
        """Whether the caller has disconnected."""

    @property
    def holding(self) -> Holding:
        """What is held for the caller."""

    @property
    def unsent_bytes(self) -> int:
        """The most that may be held of an answer that the caller must read."""

    def track(self, progress: Callable[[], Progress]) -> None:
        """Set what returns the state of the request, for its log."""

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal of the gateway."""

    def answer(self, head: AnswerHead, body: bytes) -> None:
        """Send a complete answer."""

    def begin(self, head: AnswerHead) -> None:
        """Send the head of an answer whose body follows in parts."""

    def send(self, data: bytes) -> None:
        """Send the next part of the body."""

    def finish(self) -> None:
        """End the body as complete."""

    def abort(self) -> None:
        """Close the connection; the answer must not look complete."""
