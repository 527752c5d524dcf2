"""Retry policy: decides whether a failed request may be sent again."""

from dataclasses import dataclass
import enum

from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock

# Retry tokens that one successful request adds to the budget.
RETRY_RATIO = 0.1
# Retry tokens of a new process, and the most that a budget holds.
INITIAL_RETRIES = 10.0
MAX_RETRIES = 100.0
MAX_ATTEMPTS = 4
# A request is not retried after this many attempts that crashed a target.
MAX_CRASHES = 2


class RetryReason(enum.Enum):
    """Why a request is retried; each reason has a counter."""

    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    CONNECTION_LOST = 'connection_lost'
    TARGET_CRASHED = 'target_crashed'
    STALLED_FIRST_TOKEN = 'stalled_first_token'


class RetryDenial(enum.Enum):
    """Why a request is not retried; each reason has a counter."""

    MAY_HAVE_RUN = 'may_have_run'
    DEADLINE = 'deadline'
    BUDGET = 'budget'
    ATTEMPTS = 'attempts'
    CRASHES = 'crashes'


@dataclass(slots=True)
class Attempts:
    """The attempts made so far for one request.

    `attempts` counts all of them, `crashes` those during which the target
    crashed. `may_have_started` is set once a target may have received the
    request.
    """

    deadline_ms: float
    idempotent: bool
    may_have_started: bool = False
    attempts: int = 1
    crashes: int = 0


class RetryBudget:
    """A token bucket that successes fill and retries drain."""

    __slots__ = ('_tokens', '_ratio', '_limit')

    def __init__(
        self,
        ratio: float = RETRY_RATIO,
        initial: float = INITIAL_RETRIES,
        limit: float = MAX_RETRIES,
    ) -> None:
        self._tokens = initial
        self._ratio = ratio
        self._limit = limit

    @property
    def available(self) -> float:
        """Number of retry tokens in the bucket."""
        return self._tokens

    def record_success(self) -> None:
        """Add the fraction of a retry token that a success earns."""
        self._tokens = min(self._limit, self._tokens + self._ratio)

    def take(self) -> bool:
        """Consume one retry token; return False if none is available."""
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


def may_retry(
    reason: RetryReason,
    attempts: Attempts,
    budget: RetryBudget,
    clock: Clock,
    expected_ms: float = 0.0,
) -> Result[None, RetryDenial]:
    """Decide on one more attempt and charge the budget if it is allowed.

    `expected_ms` is the shortest time that an attempt takes; an attempt
    that would end after the deadline is denied.
    """
    denial = _denial(reason, attempts, clock, expected_ms)
    if denial is not None:
        return Err(denial)
    if not budget.take():
        return Err(RetryDenial.BUDGET)
    return Ok(None)


def _denial(
    reason: RetryReason,
    attempts: Attempts,
    clock: Clock,
    expected_ms: float,
) -> RetryDenial | None:
    started = attempts.may_have_started
    if reason is RetryReason.STALLED_FIRST_TOKEN:
        started = True
    if started and not attempts.idempotent:
        return RetryDenial.MAY_HAVE_RUN
    if attempts.crashes >= MAX_CRASHES:
        return RetryDenial.CRASHES
    if clock.now_ms() + expected_ms >= attempts.deadline_ms:
        return RetryDenial.DEADLINE
    if attempts.attempts >= MAX_ATTEMPTS:
        return RetryDenial.ATTEMPTS
    return None
