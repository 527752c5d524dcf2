"""Decides whether a request may be tried again."""

from dataclasses import dataclass
import enum

from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock

# Retries that one success pays for.
SUCCESS_SHARE = 0.1
# Retries that a process may make before its first success, and at most.
INITIAL_RETRIES = 10.0
MAX_RETRIES = 100.0
MAX_ATTEMPTS = 4
# Attempts of a request during which a target crashed.
MAX_CRASHES = 2


class RetryReason(enum.Enum):
    """Why a request is tried again; each has a counter."""

    REFUSED = 'refused'
    UNREACHABLE = 'unreachable'
    CONNECTION_LOST = 'connection_lost'
    TARGET_CRASHED = 'target_crashed'
    STALLED_FIRST_TOKEN = 'stalled_first_token'


class RetryDenial(enum.Enum):
    """Why a request is not tried again; each has a counter."""

    MAY_HAVE_RUN = 'may_have_run'
    DEADLINE = 'deadline'
    BUDGET = 'budget'
    ATTEMPTS = 'attempts'
    CRASHES = 'crashes'


@dataclass(slots=True)
class Attempts:
    """What has happened to one request until now.

    `may_have_started` says that a target may have seen the request.
    """

    deadline_ms: float
    idempotent: bool
    may_have_started: bool = False
    attempts: int = 1
    crashes: int = 0


class RetryBudget:
    """A token bucket that successes fill and retries empty."""

    __slots__ = ('_tokens', '_share', '_limit')

    def __init__(
        self,
        share: float = SUCCESS_SHARE,
        initial: float = INITIAL_RETRIES,
        limit: float = MAX_RETRIES,
    ) -> None:
        self._tokens = initial
        self._share = share
        self._limit = limit

    @property
    def available(self) -> float:
        """Number of retries that may be made now."""
        return self._tokens

    def record_success(self) -> None:
        """Add the share of a retry that a success pays for."""
        self._tokens = min(self._limit, self._tokens + self._share)

    def take(self) -> bool:
        """Take one retry if there is one."""
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
    """Decide on one more attempt; an allowed one is taken from the budget.

    `expected_ms` is the least time that an attempt takes; one that would
    end after the deadline is denied.
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
