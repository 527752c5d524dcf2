"""Rolls out the weight versions that operators set, on the leader only."""

import asyncio
from dataclasses import dataclass
import logging

from result import Err

from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.engine_orders import EngineOrders
from wigeonmill.gateway.engine_orders import EngineReport
from wigeonmill.gateway.engine_orders import OrderOutcome
from wigeonmill.gateway.engine_orders import WeightsOrder
from wigeonmill.gateway.leadership import Leadership
from wigeonmill.gateway.rollout_notice import RolloutPublisher
from wigeonmill.gateway.rollout_plan import EngineState
from wigeonmill.gateway.rollout_plan import plan_wave
from wigeonmill.gateway.targets import Target

logger = logging.getLogger(__name__)

# Time for the entries to learn that an engine gets no new work, and the
# interval of the polls for requests that still wait there.
PROPAGATION_MS = 80.0
# Maximum time that an order waits for the engine's queued requests to start.
QUEUE_DRAIN_TIMEOUT_MS = 700.0
# Time for short runs to end, because they may not be resumed elsewhere.
SHORT_RUN_WAIT_MS = 250.0
# Fraction of the time for new weights after which an order no longer waits
# for streams to end. Waiting makes a load take about twice as long.
URGENT_FRACTION = 0.4
# An order that is not reflected in the engine's report after this time is
# given again. If the first one still arrives, the engine rejects it, because
# its expected order count is outdated by then.
ORDER_LOST_AFTER_MS = 2_500.0


@dataclass(slots=True)
class _PendingOrder:
    version: int
    started_ms: int
    orders: int
    sent_ms: float


class WeightsRollout:
    """Orders engines to load in waves until all have the desired version."""

    def __init__(
        self,
        ctx: GatewayContext,
        leadership: Leadership,
        orders: EngineOrders,
        publisher: RolloutPublisher,
        entry: str,
        deadline_ms: float,
    ) -> None:
        self._ctx = ctx
        self._deadline_ms = deadline_ms
        self._clock = ctx.clock
        self._leadership = leadership
        self._orders = orders
        self._publisher = publisher
        self._entry = entry
        self._pending_orders: dict[str, _PendingOrder] = {}

    async def step(self) -> None:
        """Advance the rollout of each model, if this entry is the leader."""
        if not self._leadership.is_leader:
            self._pending_orders.clear()
            self._publisher.reset()
            return
        for model, version in self._ctx.desired.weight_versions.items():
            await self._step_model(model, version)

    async def _step_model(self, model: str, desired_version: int) -> None:
        engines = [
            target
            for target in self._ctx.directory.all()
            if model in target.weights
        ]
        behind = [
            target
            for target in engines
            if target.weights[model] < desired_version
            or target.id in self._pending_orders
        ]
        if not behind:
            if self._publisher.has_loading_engines:
                await self._publisher.publish(model, desired_version, (), {})
            return
        if not await self._publisher.take_over():
            return
        if not any(self._publisher.may_order(target.id) for target in behind):
            return
        reports = await asyncio.gather(
            *(self._orders.report(target) for target in behind)
        )
        reported: dict[str, EngineReport] = {}
        for target, outcome in zip(behind, reports):
            if isinstance(outcome, Err):
                continue
            reported[target.id] = outcome.ok_value
            self._process_report(target, model, outcome.ok_value)
        await self._order_next_wave(model, desired_version, engines, reported)

    def _process_report(
        self, target: Target, model: str, report: EngineReport
    ) -> None:
        """Update the known version, and drop an order that has ended.

        An order ends when the engine has its version, has restarted or has
        lost the order.
        """
        version = report.versions.get(model, 0)
        pending = self._pending_orders.get(target.id)
        if version >= target.weights.get(model, 0) and not report.busy:
            target.weights[model] = version
        if pending is None:
            return
        age_ms = self._clock.now_ms() - pending.sent_ms
        restarted = report.started_ms != pending.started_ms
        done = version >= pending.version and not report.busy
        lost = (
            not report.busy
            and report.orders <= pending.orders
            and age_ms > ORDER_LOST_AFTER_MS
        )
        if done or lost or restarted:
            del self._pending_orders[target.id]
            logger.info(
                'order settled',
                extra={
                    'target': target.id,
                    'version': version,
                    'outcome': 'done' if done else 'lost or restarted',
                    'age_ms': round(age_ms),
                },
            )

    async def _order_next_wave(
        self,
        model: str,
        desired_version: int,
        engines: list[Target],
        reported: dict[str, EngineReport],
    ) -> None:
        reachable = [
            EngineState(
                target.id,
                target.failure_domain,
                target.weights[model],
                target.id in self._pending_orders
                or _is_busy(reported, target),
                target.load.runs(),
                held=not self._publisher.may_order(target.id),
            )
            for target in engines
            if target.weights[model] >= desired_version
            or target.id in reported
            or target.id in self._pending_orders
        ]
        wave = plan_wave(reachable, desired_version)
        loaded = {
            target.id: target.weights[model]
            for target in engines
            if target.weights[model] >= desired_version
        }
        published = await self._publisher.publish(
            model, desired_version, wave.loading, loaded, wave.start
        )
        if not published:
            return
        if not wave.start:
            return
        by_id = {target.id: target for target in engines}
        await asyncio.gather(
            *(
                self._order(by_id[id_], model, desired_version)
                for id_ in wave.start
            )
        )

    async def _wait_for_empty_queue(
        self, target: Target
    ) -> EngineReport | None:
        """Wait until no requests are queued; return the last report.

        Return None if there was no report. The wait ends after
        `QUEUE_DRAIN_TIMEOUT_MS`; the engine rejects the requests that are
        still queued when it receives the order.
        """
        until_ms = self._clock.now_ms() + QUEUE_DRAIN_TIMEOUT_MS
        found: EngineReport | None = None
        while self._clock.now_ms() < until_ms:
            await asyncio.sleep(PROPAGATION_MS / 1000.0)
            report = await self._orders.report(target)
            if isinstance(report, Err):
                continue
            found = report.ok_value
            if found.waiting == 0:
                await asyncio.sleep(SHORT_RUN_WAIT_MS / 1000.0)
                break
        return found

    async def _order(
        self, target: Target, model: str, desired_version: int
    ) -> None:
        report = await self._wait_for_empty_queue(target)
        if report is None or not self._publisher.may_order(target.id):
            return
        order = WeightsOrder(
            model,
            desired_version,
            self._entry,
            self._leadership.fence,
            report.orders,
            self._is_urgent(model),
        )
        self._pending_orders[target.id] = _PendingOrder(
            desired_version,
            report.started_ms,
            report.orders,
            self._clock.now_ms(),
        )
        self._publisher.record_order(target.id)
        outcome = await self._orders.load_weights(target, order)
        logger.info(
            'order given',
            extra={
                'target': target.id,
                'model': model,
                'version': desired_version,
                'fence': order.fence,
                'expected_orders': order.expected_orders,
                'cut_streams': order.cut_streams,
                'outcome': outcome.value,
            },
        )
        self._ctx.metrics.count('weight_orders', outcome.value)
        if outcome is OrderOutcome.FENCED:
            self._leadership.step_down('an engine saw a higher fencing token')
        if outcome not in (OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN):
            self._pending_orders.pop(target.id, None)
        if outcome is OrderOutcome.ALREADY_DONE:
            target.weights[model] = max(target.weights[model], desired_version)

    def _is_urgent(self, model: str) -> bool:
        """Whether too little time remains to wait for streams to end.

        This is also the case in a process that has just started, because it
        does not know the version's age.
        """
        age_ms = self._ctx.desired.weight_version_age_ms(model)
        return age_ms >= URGENT_FRACTION * self._deadline_ms


def _is_busy(reported: dict[str, EngineReport], target: Target) -> bool:
    """Whether an engine executes an order, possibly of another leader."""
    report = reported.get(target.id)
    return report is not None and report.busy
