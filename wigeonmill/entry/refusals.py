"""Translates refusals by agents into errors for callers."""

from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import Reason
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.routing.offers import Refusal

QUARANTINED = 'quarantined'
# The agent needs a moment before it can run anything.
STARTING = 'starting'
# The caller's reason for each reason of an agent; others are NO_TARGET.
_CALLER_REASONS = {
    'deadline': Reason.DEADLINE,
    QUARANTINED: Reason.QUARANTINED,
    'suspect': Reason.SUSPECT,
    'crashed': Reason.INTERRUPTED,
    'answer_not_kept': Reason.ANSWER_NOT_KEPT,
    'store_full': Reason.OVERLOADED,
    'queue_full': Reason.OVERLOADED,
    'cold': Reason.OVERLOADED,
    'reservations_full': Reason.OVERLOADED,
    'key_reused': Reason.KEY_REUSED,
    'idempotency_key_required': Reason.KEY_REQUIRED,
    'in_progress': Reason.IN_PROGRESS,
    'unknown': Reason.OUTCOME_UNKNOWN,
    'outcome_unknown': Reason.OUTCOME_UNKNOWN,
    'not_run': Reason.NOT_RUN,
    'run_not_found': Reason.UNKNOWN_RUN,
    'target_error': Reason.TARGET_ERROR,
    'interrupted': Reason.INTERRUPTED,
}
_MESSAGES = {
    Reason.DEADLINE: 'the deadline is too near for an answer',
    Reason.QUARANTINED: 'this request crashed targets and is quarantined',
    Reason.SUSPECT: 'this request may have crashed a target',
    Reason.OVERLOADED: 'all targets are busy',
    Reason.UNKNOWN_RUN: 'no such run for this team',
}


def caller_reason(reason: str) -> Reason:
    """Return the reason that callers see for an agent's reason."""
    return _CALLER_REASONS.get(reason, Reason.NO_TARGET)


def agent_refusal(refused: Refused | None) -> ApiError:
    """Return the error for a refusal; `refused` is None if it is missing."""
    if refused is None:
        return ApiError(
            Reason.INTERRUPTED, 'the agent sent no answer', 0, False
        )
    reason = caller_reason(refused.reason or '')
    message = refused.message or _MESSAGES.get(reason, refused.reason)
    retry_after_ms = int(refused.retry_after_ms or 0)
    return ApiError(reason, message, retry_after_ms, bool(refused.not_run))


def quarantine_refusal() -> ApiError:
    """Return the error for a request that crashed targets."""
    return ApiError(Reason.QUARANTINED, _MESSAGES[Reason.QUARANTINED])


def combined_refusal(combined: Refusal) -> ApiError:
    """Return the error for a round in which no agent made an offer."""
    reason = caller_reason(combined.reason)
    message = _MESSAGES.get(reason, 'no target accepts the request at present')
    return ApiError(reason, message, combined.retry_after_ms)
