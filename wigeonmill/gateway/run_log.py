"""Log lines of one request: each decision with what it came from."""

import logging

from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.failures import Failure
from wigeonmill.gateway.picker import Pick
from wigeonmill.gateway.relay import Relay
from wigeonmill.gateway.run_terms import RunTerms

logger = logging.getLogger(__name__)


class RunLog:
    """Collects what decided on a request and writes its lines."""

    __slots__ = (
        '_ctx',
        '_terms',
        '_relay',
        '_pick',
        '_priority',
        'reported_load',
    )

    def __init__(
        self, ctx: GatewayContext, terms: RunTerms, relay: Relay
    ) -> None:
        self._ctx = ctx
        self._terms = terms
        self._relay = relay
        self._pick: Pick | None = None
        self._priority = 0
        self.reported_load = ''

    def sent(self, pick: Pick, priority: int) -> None:
        """Note the target that a try goes to."""
        self._pick = pick
        self._priority = priority

    def retried(self, failure: Failure, tries: int) -> None:
        """Write that one more target is tried."""
        logger.info(
            'request retried',
            extra={
                'request_id': self._terms.req.id,
                'target': self._target(),
                'reason': failure.reason.value,
                'detail': failure.message,
                'tries': tries,
            },
        )

    def refused(self, refusal: Refusal, tries: int) -> None:
        """Write that the gateway answered by itself."""
        self._write(
            'refused',
            tries,
            {
                'reason': refusal.reason.value,
                'detail': refusal.message,
                'retry_after_ms': refusal.retry_after_ms,
            },
        )

    def ended(
        self, outcome: str, tries: int, failure: Failure | None = None
    ) -> None:
        """Write how the request ended."""
        why: dict[str, object] = {}
        if failure is not None:
            why = {'reason': failure.reason.value, 'detail': failure.message}
        self._write(outcome, tries, why)

    def _write(self, outcome: str, tries: int, why: dict[str, object]) -> None:
        terms = self._terms
        arrived_ms = terms.req.arrived_ms
        took_ms = self._ctx.clock.now_ms() - arrived_ms
        first_ms = (self._relay.started_ms or arrived_ms) - arrived_ms
        self._ctx.metrics.histogram('gateway_request').record(took_ms)
        if self._relay.started:
            self._ctx.metrics.histogram('gateway_first_event').record(first_ms)
        extra: dict[str, object] = {
            'request_id': terms.req.id,
            'outcome': outcome,
            'route': terms.route.name,
            'service': terms.service,
            'config': terms.config_version,
            'target': self._target(),
            'weights': terms.weights,
            'tries': tries,
            'took_ms': round(took_ms, 1),
            'first_ms': round(first_ms, 1),
            'load': self.reported_load,
            'fetched_tokens': terms.plan.fetched_tokens,
            'saved_tokens': terms.plan.saved_tokens,
        }
        if self._pick is not None:
            extra['expected_ms'] = round(self._pick.expected_ms, 1)
            extra['prefill_tokens'] = self._pick.prefill_tokens
            extra['priority'] = self._priority
        logger.info('request', extra=extra | why)

    def _target(self) -> str:
        return self._pick.target.id if self._pick else ''
