"""Converts results of the engine and the admission into inner messages."""

from wigeonmill.agent.admission_types import Offer as TargetOffer
from wigeonmill.agent.admission_types import OutcomeKind
from wigeonmill.agent.admission_types import Refusal
from wigeonmill.agent.engine import EngineEnd
from wigeonmill.agent.engine import EngineEndKind
from wigeonmill.agent.runs import RunFailure
from wigeonmill.protocol.gen.inner.ttypes import Offer

# Statuses of an engine that is too busy for a request.
_BUSY_STATUSES = frozenset((429, 503))
_OUTCOME_BY_END = {
    EngineEndKind.COMPLETED: OutcomeKind.COMPLETED,
    EngineEndKind.CANCELLED: OutcomeKind.CANCELLED,
    EngineEndKind.REJECTED: OutcomeKind.FAILED,
    EngineEndKind.TIMEOUT: OutcomeKind.FAILED,
    EngineEndKind.UNREACHABLE: OutcomeKind.UNREACHABLE,
    EngineEndKind.BROKEN: OutcomeKind.CRASHED,
}


def run_outcome(end: EngineEnd) -> OutcomeKind:
    """Return the outcome of a run for the admission."""
    if end.status in _BUSY_STATUSES:
        return OutcomeKind.OVERLOADED
    return _OUTCOME_BY_END[end.kind]


def offer_message(offer: TargetOffer) -> Offer:
    """Return an offer as a message."""
    return Offer(
        '',
        0,
        offer.reservation,
        offer.cached_tokens,
        offer.fetchable_tokens,
        offer.expected_wait_ms,
        offer.expected_first_token_ms,
    )


def refusal_message(refusal: Refusal) -> Offer:
    """Return a refusal as an offer message."""
    return Offer(refusal.reason.value, refusal.retry_after_ms)


def run_failure(end: EngineEnd) -> RunFailure:
    """Return why a run failed.

    An unreachable engine or one that rejects the prompt has not run it.
    """
    if end.kind is EngineEndKind.UNREACHABLE:
        return RunFailure('unreachable', end.message, True)
    if end.kind is EngineEndKind.REJECTED:
        return RunFailure('target_error', end.message, True)
    if end.kind is EngineEndKind.TIMEOUT:
        return RunFailure('deadline', end.message, False)
    if end.kind is EngineEndKind.CANCELLED:
        return RunFailure('cancelled', end.message, False)
    return RunFailure('crashed', end.message, False)
