"""Brings the engines to the weights that operators name, as leader."""

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
from wigeonmill.gateway.rollout_notice import RolloutNotice
from wigeonmill.gateway.rollout_plan import EngineState
from wigeonmill.gateway.rollout_plan import plan_wave
from wigeonmill.gateway.targets import Target

logger = logging.getLogger(__name__)

# Time for the entries to learn that an engine gets no new work, and between
# looks at what still waits there.
NOTICE_MS = 80.0
# Time for an engine's waiting requests to begin before it is ordered.
EMPTY_WAIT_MS = 700.0
# Time for short runs to end, which may not be resumed elsewhere.
SHORT_RUNS_MS = 250.0
# Share of the time for new weights after which streams are not waited for:
# waiting makes a load about twice as long.
URGENT_SHARE = 0.4
# An order that left no trace in the engine's report for this long is given
# again; late ones are then refused by the order count they expect.
ORDER_LOST_MS = 2_500.0


@dataclass(slots=True)
class _Ordered:
    version: int
    started_ms: int
    orders: int
    at_ms: float


class WeightsRollout:
    """Orders waves of engines until all have the wanted version."""

    def __init__(
        self,
        ctx: GatewayContext,
        leadership: Leadership,
        orders: EngineOrders,
        notice: RolloutNotice,
        entry: str,
        deadline_ms: float,
    ) -> None:
        self._ctx = ctx
        self._deadline_ms = deadline_ms
        self._clock = ctx.clock
        self._leadership = leadership
        self._orders = orders
        self._notice = notice
        self._entry = entry
        self._ordered: dict[str, _Ordered] = {}

    async def step(self) -> None:
        """Do what is due now; nothing unless this entry leads."""
        if not self._leadership.is_leader:
            self._ordered.clear()
            self._notice.reset()
            return
        for model, wanted in self._ctx.wanted.all_weights.items():
            await self._step_model(model, wanted)

    async def _step_model(self, model: str, wanted: int) -> None:
        engines = [
            target
            for target in self._ctx.directory.all()
            if model in target.weights
        ]
        behind = [
            target
            for target in engines
            if target.weights[model] < wanted or target.id in self._ordered
        ]
        if not behind:
            if self._notice.names_loading:
                await self._notice.announce(model, wanted, (), {})
            return
        if not await self._notice.take_over():
            return
        if not any(self._notice.may_order(target.id) for target in behind):
            return
        reports = await asyncio.gather(
            *(self._orders.report(target) for target in behind)
        )
        reported: dict[str, EngineReport] = {}
        for target, outcome in zip(behind, reports):
            if isinstance(outcome, Err):
                continue
            reported[target.id] = outcome.ok_value
            self._settle(target, model, outcome.ok_value)
        await self._advance(model, wanted, engines, reported)

    def _settle(
        self, target: Target, model: str, report: EngineReport
    ) -> None:
        """Take a report; an order ends once the engine has its version."""
        version = report.versions.get(model, 0)
        ordered = self._ordered.get(target.id)
        if version >= target.weights.get(model, 0) and not report.busy:
            target.weights[model] = version
        if ordered is None:
            return
        age_ms = self._clock.now_ms() - ordered.at_ms
        restarted = report.started_ms != ordered.started_ms
        done = version >= ordered.version and not report.busy
        lost = (
            not report.busy
            and report.orders <= ordered.orders
            and age_ms > ORDER_LOST_MS
        )
        if done or lost or restarted:
            del self._ordered[target.id]
            logger.info(
                'order settled',
                extra={
                    'target': target.id,
                    'version': version,
                    'outcome': 'done' if done else 'lost or restarted',
                    'age_ms': round(age_ms),
                },
            )

    async def _advance(
        self,
        model: str,
        wanted: int,
        engines: list[Target],
        reported: dict[str, EngineReport],
    ) -> None:
        reachable = [
            EngineState(
                target.id,
                target.failure_domain,
                target.weights[model],
                target.id in self._ordered or _is_busy(reported, target),
                target.load.runs(),
                held=not self._notice.may_order(target.id),
            )
            for target in engines
            if target.weights[model] >= wanted
            or target.id in reported
            or target.id in self._ordered
        ]
        wave = plan_wave(reachable, wanted)
        loaded = {
            target.id: target.weights[model]
            for target in engines
            if target.weights[model] >= wanted
        }
        announced = await self._notice.announce(
            model, wanted, wave.loading, loaded, wave.start
        )
        if not announced:
            return
        if not wave.start:
            return
        by_id = {target.id: target for target in engines}
        await asyncio.gather(
            *(self._order(by_id[id_], model, wanted) for id_ in wave.start)
        )

    async def _emptied(self, target: Target) -> EngineReport | None:
        """Wait until nothing waits at an engine; an order refuses the rest."""
        until_ms = self._clock.now_ms() + EMPTY_WAIT_MS
        found: EngineReport | None = None
        while self._clock.now_ms() < until_ms:
            await asyncio.sleep(NOTICE_MS / 1000.0)
            report = await self._orders.report(target)
            if isinstance(report, Err):
                continue
            found = report.ok_value
            if found.waiting == 0:
                await asyncio.sleep(SHORT_RUNS_MS / 1000.0)
                break
        return found

    async def _order(self, target: Target, model: str, wanted: int) -> None:
        report = await self._emptied(target)
        if report is None or not self._notice.may_order(target.id):
            return
        order = WeightsOrder(
            model,
            wanted,
            self._entry,
            self._leadership.fence,
            report.orders,
            self._is_urgent(model),
        )
        self._ordered[target.id] = _Ordered(
            wanted, report.started_ms, report.orders, self._clock.now_ms()
        )
        self._notice.note_ordered(target.id)
        outcome = await self._orders.load_weights(target, order)
        logger.info(
            'order given',
            extra={
                'target': target.id,
                'model': model,
                'version': wanted,
                'fence': order.fence,
                'expected_orders': order.expected_orders,
                'cut_streams': order.cut_streams,
                'outcome': outcome.value,
            },
        )
        self._ctx.metrics.count('weight_orders', outcome.value)
        if outcome is OrderOutcome.FENCED:
            self._leadership.step_down('an engine saw a higher fence')
        if outcome not in (OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN):
            self._ordered.pop(target.id, None)
        if outcome is OrderOutcome.ALREADY_DONE:
            target.weights[model] = max(target.weights[model], wanted)

    def _is_urgent(self, model: str) -> bool:
        """Whether too little time is left to wait for streams to end.

        A process that has just started does not know the version's age.
        """
        age_ms = self._ctx.wanted.weights_age_ms(model)
        return age_ms >= URGENT_SHARE * self._deadline_ms


def _is_busy(reported: dict[str, EngineReport], target: Target) -> bool:
    """Whether an engine carries out an order, perhaps a predecessor's."""
    report = reported.get(target.id)
    return report is not None and report.busy
