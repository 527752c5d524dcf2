"""Rolls out the configured weight version to the agent's engine."""

import asyncio
from dataclasses import dataclass
import logging
import random

from wigeonmill.agent.admission import Admission
from wigeonmill.agent.context import AgentContext
from wigeonmill.agent.engine import EngineClient
from wigeonmill.agent.engine import LoadOrder
from wigeonmill.agent.engine import OrderOutcome
from wigeonmill.agent.load_slots import LoadSlots
from wigeonmill.agent.load_slots import RENEW_INTERVAL_MS
from wigeonmill.agent.rollout import OrderKind
from wigeonmill.agent.rollout import plan_rollout
from wigeonmill.agent.rollout import RolloutSettings
from wigeonmill.agent.rollout import TargetPhase
from wigeonmill.agent.rollout_board import BoardEntry
from wigeonmill.agent.rollout_board import make_reports
from wigeonmill.agent.rollout_board import RolloutBoard
from wigeonmill.config.model import Model

logger = logging.getLogger(__name__)

POLL_MS = 250.0
# Mean interval of the polls of the rollout board, jittered, while other
# targets are updated.
BOARD_POLL_MS = 500.0
# Time within which an engine must report the version it was ordered to load.
LOAD_TIMEOUT_MS = 120_000.0
# Time for which a target that serves again publishes its limit to the others.
RAMP_UP_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class DesiredModel:
    """The model that the configuration assigns to this target."""

    model: Model
    serial: int


class WeightRollout:
    """Drains, loads and serves again, coordinated with the other targets."""

    def __init__(
        self,
        context: AgentContext,
        engine: EngineClient,
        board: RolloutBoard,
        slots: LoadSlots,
        rng: random.Random,
    ) -> None:
        self._context = context
        self._engine = engine
        self._board = board
        self._slots = slots
        self._rng = rng
        self._phase = TargetPhase.SERVING
        self._announced: BoardEntry | None = None
        self._ramp_up_until_ms = float('-inf')

    @property
    def _admission(self) -> Admission:
        return self._context.admission

    async def run(self) -> None:
        """Apply the configured version until cancelled."""
        while True:
            pause_ms = POLL_MS
            desired = self._desired_model()
            if desired is not None and self._is_outdated(desired):
                await self._step(desired)
                if self._phase is TargetPhase.SERVING:
                    pause_ms = BOARD_POLL_MS * (0.5 + self._rng.random())
            elif (
                desired is not None and self._phase is not TargetPhase.SERVING
            ):
                await self._serve(desired)
            elif desired is not None and self._is_ramping_up():
                await self._announce(desired)
                pause_ms = BOARD_POLL_MS
            await asyncio.sleep(pause_ms / 1000.0)

    def _desired_model(self) -> DesiredModel | None:
        context = self._context
        placement, document = context.placement, context.holder.document
        if placement is None or document is None:
            return None
        for model in document.models:
            if model.name == placement.service.model:
                return DesiredModel(model, context.holder.serial)
        return None

    def _is_outdated(self, desired: DesiredModel) -> bool:
        reported = self._admission.weight_version
        return bool(reported) and reported != desired.model.version

    def _is_ramping_up(self) -> bool:
        """Return whether the limit is still published during the warm-up."""
        return self._context.clock.now_ms() < self._ramp_up_until_ms

    async def _step(self, desired: DesiredModel) -> None:
        """Execute the plan's orders for this target, if any."""
        await self._announce(desired)
        entries = await self._board.read(desired.model.version)
        placement = self._context.placement
        if entries is None or placement is None:
            return
        settings = RolloutSettings(placement.service.concurrent_loads)
        loading = frozenset(e.target for e in entries if e.loading)
        plan = plan_rollout(
            make_reports(placement.service, entries),
            desired.model.version,
            loading,
            settings,
        )
        own = self._context.settings.target
        for order in plan.orders:
            if order.target != own:
                continue
            if order.kind is OrderKind.DRAIN:
                await self._drain(desired)
            elif order.kind is OrderKind.LOAD:
                await self._load(desired, settings)

    async def _drain(self, desired: DesiredModel) -> None:
        logger.info(
            'draining to load weight version %s', desired.model.version
        )
        self._phase = TargetPhase.DRAINING
        self._admission.set_draining(True)
        await self._announce(desired)

    async def _load(
        self, desired: DesiredModel, settings: RolloutSettings
    ) -> None:
        if not await self._slots.acquire(settings.concurrent_loads):
            self._context.metrics.count('rollout_waits', 'load_slot')
            return
        renewing = asyncio.ensure_future(self._renew())
        try:
            self._phase = TargetPhase.LOADING
            await self._announce(desired)
            if await self._order(desired):
                await self._wait_for_version(desired)
        finally:
            renewing.cancel()
            await self._slots.release()
        self._phase = TargetPhase.DRAINING
        await self._announce(desired)

    async def _order(self, desired: DesiredModel) -> bool:
        held = self._slots.held
        # A process that was paused until its lease expired must not send the
        # order.
        if held is None or not self._slots.valid:
            self._context.metrics.count('orders_withheld', 'lease_lapsed')
            return False
        order = LoadOrder(
            desired.model.name,
            desired.model.version,
            desired.model.adapters,
            desired.serial,
            held.order,
        )
        outcome = await self._engine.load(order)
        self._context.metrics.count('orders', outcome.value)
        return outcome in (OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN)

    async def _wait_for_version(self, desired: DesiredModel) -> None:
        """Poll the engine's reports, as its reply to the order may be lost."""
        deadline_ms = self._context.clock.now_ms() + LOAD_TIMEOUT_MS
        while self._context.clock.now_ms() < deadline_ms:
            health = await self._engine.health()
            if health is not None and health.serves(desired.model.version):
                return
            await asyncio.sleep(POLL_MS / 1000.0)
        self._context.metrics.count('orders_failed', 'not_reported')
        logger.error(
            'engine does not report weight version %s', desired.model.version
        )

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_MS / 1000.0)
            await self._slots.renew()

    async def _serve(self, desired: DesiredModel) -> None:
        if self._admission.weight_version != desired.model.version:
            return
        self._phase = TargetPhase.SERVING
        if not self._context.leaving:
            self._admission.set_draining(False)
        self._ramp_up_until_ms = self._context.clock.now_ms() + RAMP_UP_MS
        logger.info('serving weight version %s', desired.model.version)
        while not await self._announce(desired):
            await asyncio.sleep(BOARD_POLL_MS / 1000.0)

    async def _announce(self, desired: DesiredModel) -> bool:
        entry = BoardEntry(
            self._context.settings.target,
            self._phase.value,
            self._admission.weight_version,
            self._admission.limit,
            self._admission.running,
            self._phase is TargetPhase.LOADING,
        )
        if entry == self._announced:
            return True
        written = await self._board.write(desired.model.version, entry)
        self._announced = entry if written else None
        return written
