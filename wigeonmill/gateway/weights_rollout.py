"""Rolls out the weight versions that operators set, on the leader only."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
import logging

from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.engine_orders import EngineOrders
from wigeonmill.gateway.engine_orders import EngineReport
from wigeonmill.gateway.engine_orders import OrderOutcome
from wigeonmill.gateway.engine_orders import WeightsOrder
from wigeonmill.gateway.engine_reports import ReportPoller
from wigeonmill.gateway.leadership import Leadership
from wigeonmill.gateway.rollout_budget import RolloutBudget
from wigeonmill.gateway.rollout_notice import RolloutPublisher
from wigeonmill.gateway.rollout_plan import EngineState
from wigeonmill.gateway.rollout_plan import max_loading
from wigeonmill.gateway.rollout_plan import plan_wave
from wigeonmill.gateway.rollout_plan import Wave
from wigeonmill.gateway.sync import propagation_ms
from wigeonmill.gateway.targets import Target
from wigeonmill.log import loggable_ms

logger = logging.getLogger(__name__)

# Time for the entries to learn that an engine gets no new work, besides the
# time in which changes spread.
PROPAGATION_MS = 80.0
# An order that is not reflected in the engine's report after this time is
# given again. If the first one still arrives, the engine rejects it, because
# its expected order count is outdated by then.
ORDER_LOST_AFTER_MS = 1_000.0
# An engine that has been selected but has sent no report for this time makes
# room for another one.
SILENT_AFTER_MS = 1_500.0


@dataclass(slots=True)
class _Load:
    """The load of one engine: it drains, then it is ordered.

    `started_ms` and `orders` are those of the engine's report when it was
    ordered.
    """

    model: str
    version: int
    selected_ms: float
    drain_until_ms: float
    reported_ms: float
    ordered_ms: float | None = None
    started_ms: int = 0
    orders: int = 0


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
        self._clock = ctx.clock
        self._leadership = leadership
        self._orders = orders
        self._publisher = publisher
        self._entry = entry
        self._budget = RolloutBudget(deadline_ms)
        self._reports = ReportPoller(ctx.clock, orders)
        self._loads: dict[str, _Load] = {}
        self._order_calls: set[asyncio.Task[None]] = set()

    async def step(self) -> None:
        """Advance the rollout of each model, if this entry is the leader."""
        if not self._leadership.is_leader:
            self.close()
            self._publisher.reset()
            return
        self._forget_missing()
        for model, version in self._ctx.desired.weight_versions.items():
            await self._step_model(model, version)

    def close(self) -> None:
        """Cancel the calls in progress, and discard this entry's term."""
        self._reports.close()
        for call in self._order_calls:
            call.cancel()
        self._order_calls.clear()
        self._loads.clear()

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
            or self._load_of(target, model) is not None
        ]
        if not behind:
            if self._publisher.has_loading_engines:
                await self._publisher.publish(model, desired_version, (), {})
            return
        if not await self._publisher.take_over():
            return
        if not any(self._publisher.may_order(target.id) for target in behind):
            return
        await self._reports.poll(self._engines_to_poll(engines, behind))
        for target in behind:
            self._process_report(target, model)
        wave = self._plan_wave(model, desired_version, engines)
        drained = [t for t in behind if self._is_drained(t, model)]
        published = await self._publisher.publish(
            model,
            desired_version,
            wave.loading,
            _loaded(engines, model, desired_version),
            [target.id for target in drained],
        )
        if not published:
            return
        self._start_wave(wave, model, desired_version, engines)
        for target in drained:
            self._start_order(target, model, desired_version)

    def _forget_missing(self) -> None:
        """Drop the loads of engines that are gone."""
        present = {target.id for target in self._ctx.directory.all()}
        for id_ in list(self._loads):
            if id_ not in present:
                del self._loads[id_]

    def _load_of(self, target: Target, model: str) -> _Load | None:
        """Return the load of a model on an engine, if there is one."""
        load = self._loads.get(target.id)
        return load if load is not None and load.model == model else None

    def _engines_to_poll(
        self, engines: Sequence[Target], behind: Sequence[Target]
    ) -> Sequence[Target]:
        """Return the engines whose reports matter now.

        Those that wait are left out while no other engine may load.
        """
        if len(self._loads) < max_loading(len(engines)):
            return behind
        return [target for target in behind if target.id in self._loads]

    def _process_report(self, target: Target, model: str) -> None:
        """Update the known version, and drop a load that has ended.

        A load ends when the engine has its version, has restarted, has lost
        the order or is silent before it was ordered.
        """
        now_ms = self._clock.now_ms()
        load = self._load_of(target, model)
        report = self._reports.latest(target.id)
        if report is None:
            if (
                load is not None
                and load.ordered_ms is None
                and now_ms - load.reported_ms > SILENT_AFTER_MS
            ):
                self._end_load(target, 'silent')
            return
        version = report.versions.get(model, 0)
        if version >= target.weights.get(model, 0) and not report.busy:
            target.weights[model] = version
        if load is None:
            return
        load.reported_ms = now_ms
        if load.ordered_ms is None:
            if version >= load.version:
                self._end_load(target, 'done before')
            return
        age_ms = now_ms - load.ordered_ms
        if report.started_ms != load.started_ms:
            self._end_load(target, 'restarted')
        elif version >= load.version and not report.busy:
            self._budget.record_load(age_ms)
            self._end_load(target, 'done')
        elif (
            not report.busy
            and report.orders <= load.orders
            and age_ms > ORDER_LOST_AFTER_MS
        ):
            self._end_load(target, 'order lost')

    def _end_load(self, target: Target, outcome: str) -> None:
        load = self._loads.pop(target.id)
        logger.info(
            'load ended',
            extra={
                'target': target.id,
                'version': load.version,
                'outcome': outcome,
                'selected_ms_ago': round(
                    self._clock.now_ms() - load.selected_ms
                ),
            },
        )

    def _plan_wave(
        self, model: str, desired_version: int, engines: Sequence[Target]
    ) -> Wave:
        """Return the engines to select now, and all that are loading."""
        now_ms = self._clock.now_ms()
        states = [
            self._engine_state(target, model, now_ms)
            for target in engines
            if target.weights[model] >= desired_version
            or target.id in self._loads
            or self._reports.latest(target.id) is not None
        ]
        return plan_wave(states, desired_version)

    def _start_wave(
        self,
        wave: Wave,
        model: str,
        desired_version: int,
        engines: Sequence[Target],
    ) -> None:
        """Let the next engines drain; the entries know that they will load."""
        if not wave.start:
            return
        oldest = min(
            target.weights[model]
            for target in engines
            if target.id in wave.start
        )
        age_ms = self._ctx.desired.weight_version_age_ms(model, oldest)
        drain_ms = self._budget.drain_ms(age_ms, wave.waves_left)
        now_ms = self._clock.now_ms()
        for id_ in wave.start:
            self._loads[id_] = _Load(
                model, desired_version, now_ms, now_ms + drain_ms, now_ms
            )
        logger.info(
            'wave started',
            extra={
                'model': model,
                'version': desired_version,
                'age_ms': loggable_ms(age_ms),
                'targets': wave.start,
                'drain_ms': round(drain_ms),
            },
        )

    def _engine_state(
        self, target: Target, model: str, now_ms: float
    ) -> EngineState:
        load = self._loads.get(target.id)
        report = self._reports.latest(target.id)
        silent = (
            load is not None and now_ms - load.reported_ms > SILENT_AFTER_MS
        )
        return EngineState(
            target.id,
            target.failure_domain,
            target.weights[model],
            (load is not None and not silent)
            or (report is not None and report.busy),
            target.load.runs(),
            held=silent or not self._publisher.may_order(target.id),
        )

    def _is_drained(self, target: Target, model: str) -> bool:
        """Whether a selected engine can be ordered to load now."""
        load = self._load_of(target, model)
        report = self._reports.latest(target.id)
        if load is None or load.ordered_ms is not None or report is None:
            return False
        now_ms = self._clock.now_ms()
        if target.is_closed(now_ms):
            return False
        notice_ms = PROPAGATION_MS + propagation_ms(self._ctx.entry_count())
        if now_ms < load.selected_ms + notice_ms:
            return False
        return _is_idle(report) or now_ms >= load.drain_until_ms

    def _start_order(
        self, target: Target, model: str, desired_version: int
    ) -> None:
        """Order a drained engine that the published record names."""
        load = self._load_of(target, model)
        report = self._reports.latest(target.id)
        if load is None or report is None:
            return
        if report.busy or not self._publisher.may_order(target.id):
            del self._loads[target.id]
            return
        load.version = desired_version
        load.ordered_ms = self._clock.now_ms()
        load.started_ms = report.started_ms
        load.orders = report.orders
        self._publisher.record_order(target.id)
        call = asyncio.ensure_future(self._order(target, model, load, report))
        self._order_calls.add(call)
        call.add_done_callback(self._order_calls.discard)

    async def _order(
        self,
        target: Target,
        model: str,
        load: _Load,
        report: EngineReport,
    ) -> None:
        order = WeightsOrder(
            model,
            load.version,
            self._entry,
            self._leadership.fence,
            report.orders,
            cut_streams=not _is_idle(report),
        )
        outcome = await self._orders.load_weights(target, order)
        logger.info(
            'order given',
            extra={
                'target': target.id,
                'model': model,
                'version': load.version,
                'fence': order.fence,
                'expected_orders': order.expected_orders,
                'cut_streams': order.cut_streams,
                'outcome': outcome.value,
            },
        )
        self._ctx.metrics.count('weight_orders', outcome.value)
        if outcome is OrderOutcome.FENCED:
            self._leadership.step_down('an engine saw a higher fencing token')
        if (
            outcome not in (OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN)
            and self._loads.get(target.id) is load
        ):
            del self._loads[target.id]
        if outcome is OrderOutcome.ALREADY_DONE:
            known = target.weights[model]
            target.weights[model] = max(known, load.version)


def _is_idle(report: EngineReport) -> bool:
    return report.waiting == 0 and report.running == 0


def _loaded(
    engines: Sequence[Target], model: str, desired_version: int
) -> dict[str, int]:
    """Return the versions of the engines that have the desired one."""
    return {
        target.id: target.weights[model]
        for target in engines
        if target.weights[model] >= desired_version
    }
