"""Logs the decisions on one request together with their inputs."""

import logging

from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.attempt import AnswerReceipt
from wigeonmill.gateway.attempt import Attempt
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.failures import Failure
from wigeonmill.gateway.picker import Pick
from wigeonmill.gateway.relay import Relay
from wigeonmill.gateway.run_terms import RunTerms
from wigeonmill.log import loggable_ms

logger = logging.getLogger(__name__)


class RunLog:
    """Collects the inputs of the decisions on a request and logs them."""

    __slots__ = (
        '_ctx',
        '_terms',
        '_relay',
        '_pick',
        '_priority',
        '_sent',
        '_reported_load',
        '_receipt',
    )

    def __init__(
        self, ctx: GatewayContext, terms: RunTerms, relay: Relay
    ) -> None:
        self._ctx = ctx
        self._terms = terms
        self._relay = relay
        self._pick: Pick | None = None
        self._priority = 0
        self._sent: dict[Attempt, tuple[Pick, int]] = {}
        self._reported_load = ''
        self._receipt = AnswerReceipt()

    def record_attempt(
        self, attempt: Attempt, pick: Pick, priority: int
    ) -> None:
        """Record the target and the priority of an attempt."""
        self._sent[attempt] = (pick, priority)

    def record_end(self, attempt: Attempt) -> None:
        """Record the attempt that has ended last."""
        self._pick, self._priority = self._sent[attempt]
        self._reported_load = attempt.reported_load
        self._receipt = attempt.receipt

    def log_second(
        self,
        outcome: str,
        attempt: Attempt,
        second: Attempt | None,
        failure: Failure | None = None,
    ) -> None:
        """Log what becomes of a second attempt beside a silent target."""
        terms = self._terms
        allowance = self._ctx.retries(terms.service)
        sharers = self._ctx.retry_sharers(terms.service)
        logger.info(
            'second attempt',
            extra={
                'request_id': terms.req.id,
                'outcome': outcome,
                'target': attempt.target.id,
                'second_target': second.target.id if second else '',
                'silent_ms': round(attempt.silent_ms, 1),
                'remaining_ms': round(terms.remaining_ms, 1),
                'budget': round(allowance.available(sharers)),
                'detail': failure.message if failure else '',
            },
        )

    def log_retry(self, failure: Failure, attempts: int) -> None:
        """Log that the request is retried at another target."""
        logger.info(
            'request retried',
            extra={
                'request_id': self._terms.req.id,
                'target': self._target_id(),
                'reason': failure.reason.value,
                'detail': failure.message,
                'tries': attempts,
            },
        )

    def log_refusal(self, refusal: Refusal, attempts: int) -> None:
        """Log that the gateway refused the request."""
        self._write_line(
            'refused',
            attempts,
            {
                'reason': refusal.reason.value,
                'detail': refusal.message,
                'retry_after_ms': refusal.retry_after_ms,
            },
        )

    def log_end(
        self, outcome: str, attempts: int, failure: Failure | None = None
    ) -> None:
        """Log how the request ended."""
        details: dict[str, object] = {}
        if failure is not None:
            details = {
                'reason': failure.reason.value,
                'detail': failure.message,
            }
        self._write_line(outcome, attempts, details)

    def _write_line(
        self, outcome: str, attempts: int, details: dict[str, object]
    ) -> None:
        terms = self._terms
        arrived_ms = terms.req.arrived_ms
        elapsed_ms = self._ctx.clock.now_ms() - arrived_ms
        first_ms = (self._relay.started_ms or arrived_ms) - arrived_ms
        self._ctx.metrics.histogram('gateway_request').record(elapsed_ms)
        if self._relay.started:
            self._ctx.metrics.histogram('gateway_first_event').record(first_ms)
        extra: dict[str, object] = {
            'request_id': terms.req.id,
            'outcome': outcome,
            'route': terms.route.name,
            'service': terms.service,
            'config': terms.config_version,
            'target': self._target_id(),
            'weights': terms.weight_version,
            'software': self._pick.target.software_version
            if self._pick
            else '',
            'tries': attempts,
            'took_ms': round(elapsed_ms, 1),
            'first_ms': round(first_ms, 1),
            'load': self._reported_load,
            'fetched_tokens': terms.plan.fetched_tokens,
            'saved_tokens': terms.plan.saved_tokens,
        }
        if self._receipt.framing is not None:
            extra['framing'] = self._receipt.framing.value
            extra['events'] = self._receipt.events
            extra['trailing_bytes'] = self._receipt.trailing_bytes
        if terms.req.last_event_id is not None:
            extra['resumed_id'] = terms.req.resumed_id
            extra['began_at'] = (
                terms.origin.software_version if terms.origin else None
            )
        old_weights_ms = terms.old_weights_remaining_ms
        if old_weights_ms is not None:
            extra['old_weights_remaining_ms'] = loggable_ms(old_weights_ms)
        if self._pick is not None:
            extra['expected_ms'] = round(self._pick.expected_ms, 1)
            extra['prefill_tokens'] = self._pick.prefill_tokens
            extra['priority'] = self._priority
        logger.info('request finished', extra=extra | details)

    def _target_id(self) -> str:
        return self._pick.target.id if self._pick else ''
