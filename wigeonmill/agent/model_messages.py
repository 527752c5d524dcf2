"""Turns the engine's and the admission's outcomes into inner messages."""

from wigeonmill.agent.admission_types import Offer as TargetOffer
from wigeonmill.agent.admission_types import OutcomeKind
from wigeonmill.agent.admission_types import Refusal
from wigeonmill.agent.engine import EngineEnd
from wigeonmill.agent.engine import EngineEndKind
from wigeonmill.agent.runs import RunFailure
from wigeonmill.protocol.gen.inner.ttypes import Offer

# The engine's status for a request it has no room for.
_BUSY_STATUSES = frozenset((429, 503))
_OUTCOMES = {
    EngineEndKind.COMPLETED: OutcomeKind.COMPLETED,
    EngineEndKind.CANCELLED: OutcomeKind.CANCELLED,
    EngineEndKind.REJECTED: OutcomeKind.FAILED,
    EngineEndKind.TIMEOUT: OutcomeKind.FAILED,
    EngineEndKind.UNREACHABLE: OutcomeKind.UNREACHABLE,
    EngineEndKind.BROKEN: OutcomeKind.CRASHED,
}


def outcome_of(end: EngineEnd) -> OutcomeKind:
    """Return what a run's end means for the admission."""
    if end.status in _BUSY_STATUSES:
        return OutcomeKind.OVERLOADED
    return _OUTCOMES[end.kind]


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


def no_offer(refusal: Refusal) -> Offer:
    """Return a refusal in the place of an offer."""
    return Offer(refusal.reason.value, refusal.retry_after_ms)


def failure_of(end: EngineEnd) -> RunFailure:
    """Return why a run failed.

    An engine that can't be reached or that rejects has not run the prompt.
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
