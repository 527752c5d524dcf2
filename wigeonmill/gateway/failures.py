"""Describes how an attempt failed and what this means for retries."""

from dataclasses import dataclass

from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.target_client import ExchangeEnd
from wigeonmill.gateway.target_client import TargetHead


@dataclass(frozen=True, slots=True)
class ErrorAnswer:
    """A target's complete answer that reports an error."""

    head: TargetHead
    body: bytes


@dataclass(frozen=True, slots=True)
class Failure:
    """An attempt without a final answer for the caller.

    `arrived_at_service` is set if the request arrived at a process of the
    service, and `reached` if that was the intended target. `may_have_run` is
    set if the target may have started the request, `target_lost` if the
    connection failed, `malformed` if the target wrote something that is no
    answer, `internal` if an error of this process ended the attempt, which
    says nothing about the target, and `final` if no retry is allowed.
    `was_writing` is set if this process closed the connection while the
    target was writing.
    """

    reason: Reason
    message: str
    reached: bool
    may_have_run: bool
    arrived_at_service: bool = True
    target_lost: bool = False
    malformed: bool = False
    internal: bool = False
    was_writing: bool = False
    answer: ErrorAnswer | None = None
    retry_after_ms: float | None = None
    final: bool = False


def timed_out() -> Failure:
    """Return the failure of an attempt that missed the deadline."""
    return Failure(
        Reason.TIMEOUT,
        'no answer in time',
        reached=True,
        may_have_run=True,
        final=True,
    )


def caller_too_slow() -> Failure:
    """Return the failure of a stream that its caller does not read."""
    return Failure(
        Reason.CALLER_TOO_SLOW,
        'the caller reads too slowly',
        reached=True,
        may_have_run=True,
        final=True,
    )


def stalled() -> Failure:
    """Return the failure of an attempt that another one has overtaken."""
    return may_have_run(Reason.BROKEN_OFF, 'the target stopped sending')


def overlong(message: str) -> Failure:
    """Return the failure of an attempt whose answer is too long."""
    return Failure(
        Reason.MAY_HAVE_RUN,
        message,
        reached=True,
        may_have_run=True,
        target_lost=True,
        was_writing=True,
    )


def internal_error() -> Failure:
    """Return the failure of an attempt by an error of the gateway itself."""
    return Failure(
        Reason.INTERNAL,
        'internal error',
        reached=True,
        may_have_run=True,
        internal=True,
    )


def not_run(message: str, reached: bool = True) -> Failure:
    """Return the failure of a request that the target has not run."""
    return Failure(Reason.NOT_RUN, message, reached, may_have_run=False)


def may_have_run(
    reason: Reason, message: str, answer: ErrorAnswer | None = None
) -> Failure:
    """Return the failure of a request that the target may have run."""
    return Failure(
        reason, message, reached=True, may_have_run=True, answer=answer
    )


def transfer_failed(end: ExchangeEnd, message: str) -> Failure:
    """Return the failure of a transfer without a complete answer.

    Its connection ended early or never opened, what came is no answer, or
    this process failed.
    """
    if end is ExchangeEnd.NOT_SENT:
        return Failure(
            Reason.NOT_RUN,
            message,
            reached=False,
            may_have_run=False,
            arrived_at_service=False,
            target_lost=True,
        )
    malformed = end is ExchangeEnd.MALFORMED
    internal = end is ExchangeEnd.FAILED_HERE
    return Failure(
        Reason.MAY_HAVE_RUN,
        message,
        reached=True,
        may_have_run=True,
        target_lost=not (malformed or internal),
        malformed=malformed,
        internal=internal,
    )
