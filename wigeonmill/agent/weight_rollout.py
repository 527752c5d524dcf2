"""Brings the agent's engine to the weight version of the configuration."""

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

IDLE_MS = 250.0
# Pause between looks at the board while others are under way; jittered.
BOARD_MS = 500.0
# How long an engine may take to report the version that it was ordered.
LOAD_TIMEOUT_MS = 120_000.0
# How long a target that serves again tells the others of its limit.
RAMP_MS = 60_000.0


@dataclass(frozen=True, slots=True)
class Wanted:
    """The model that the configuration gives to this target."""

    model: Model
    serial: int


class WeightRollout:
    """Drains, loads and serves again, in turn with the other targets."""

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
        self._ramp_until_ms = float('-inf')

    @property
    def _admission(self) -> Admission:
        return self._context.admission

    async def run(self) -> None:
        """Follow the configuration until cancelled."""
        while True:
            pause_ms = IDLE_MS
            wanted = self._wanted()
            if wanted is not None and self._behind(wanted):
                await self._step(wanted)
                if self._phase is TargetPhase.SERVING:
                    pause_ms = BOARD_MS * (0.5 + self._rng.random())
            elif wanted is not None and self._phase is not TargetPhase.SERVING:
                await self._serve(wanted)
            elif wanted is not None and self._ramps():
                await self._announce(wanted)
                pause_ms = BOARD_MS
            await asyncio.sleep(pause_ms / 1000.0)

    def _wanted(self) -> Wanted | None:
        context = self._context
        placement, document = context.placement, context.holder.document
        if placement is None or document is None:
            return None
        for model in document.models:
            if model.name == placement.service.model:
                return Wanted(model, context.holder.serial)
        return None

    def _behind(self, wanted: Wanted) -> bool:
        reported = self._admission.weight_version
        return bool(reported) and reported != wanted.model.version

    def _ramps(self) -> bool:
        """Tell whether the others still wait for this target to warm up."""
        return self._context.clock.now_ms() < self._ramp_until_ms

    async def _step(self, wanted: Wanted) -> None:
        """Do what the plan has for this target, if anything."""
        await self._announce(wanted)
        entries = await self._board.read(wanted.model.version)
        placement = self._context.placement
        if entries is None or placement is None:
            return
        settings = RolloutSettings(placement.service.concurrent_loads)
        loading = frozenset(e.target for e in entries if e.loading)
        plan = plan_rollout(
            make_reports(placement.service, entries),
            wanted.model.version,
            loading,
            settings,
        )
        own = self._context.settings.target
        for order in plan.orders:
            if order.target != own:
                continue
            if order.kind is OrderKind.DRAIN:
                await self._drain(wanted)
            elif order.kind is OrderKind.LOAD:
                await self._load(wanted, settings)

    async def _drain(self, wanted: Wanted) -> None:
        logger.info('draining to load %s', wanted.model.version)
        self._phase = TargetPhase.DRAINING
        self._admission.set_draining(True)
        await self._announce(wanted)

    async def _load(self, wanted: Wanted, settings: RolloutSettings) -> None:
        if not await self._slots.acquire(settings.concurrent_loads):
            self._context.metrics.count('rollout_waits', 'load_slot')
            return
        renewing = asyncio.ensure_future(self._renew())
        try:
            self._phase = TargetPhase.LOADING
            await self._announce(wanted)
            if await self._order(wanted):
                await self._wait_for_version(wanted)
        finally:
            renewing.cancel()
            await self._slots.release()
        self._phase = TargetPhase.DRAINING
        await self._announce(wanted)

    async def _order(self, wanted: Wanted) -> bool:
        held = self._slots.held
        # A process that was paused past its lease must not give the order.
        if held is None or not self._slots.valid:
            self._context.metrics.count('orders_withheld', 'lease_lapsed')
            return False
        order = LoadOrder(
            wanted.model.name,
            wanted.model.version,
            wanted.model.adapters,
            wanted.serial,
            held.order,
        )
        outcome = await self._engine.load(order)
        self._context.metrics.count('orders', outcome.value)
        return outcome in (OrderOutcome.ACCEPTED, OrderOutcome.UNKNOWN)

    async def _wait_for_version(self, wanted: Wanted) -> None:
        """Read back what the engine reports, whatever it answered."""
        deadline_ms = self._context.clock.now_ms() + LOAD_TIMEOUT_MS
        while self._context.clock.now_ms() < deadline_ms:
            health = await self._engine.health()
            if health is not None and health.serves(wanted.model.version):
                return
            await asyncio.sleep(IDLE_MS / 1000.0)
        self._context.metrics.count('orders_failed', 'not_reported')
        logger.error('the engine does not report %s', wanted.model.version)

    async def _renew(self) -> None:
        while True:
            await asyncio.sleep(RENEW_INTERVAL_MS / 1000.0)
            await self._slots.renew()

    async def _serve(self, wanted: Wanted) -> None:
        if self._admission.weight_version != wanted.model.version:
            return
        self._phase = TargetPhase.SERVING
        if not self._context.leaving:
            self._admission.set_draining(False)
        self._ramp_until_ms = self._context.clock.now_ms() + RAMP_MS
        logger.info('serving %s', wanted.model.version)
        while not await self._announce(wanted):
            await asyncio.sleep(BOARD_MS / 1000.0)

    async def _announce(self, wanted: Wanted) -> bool:
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
        written = await self._board.write(wanted.model.version, entry)
        self._announced = entry if written else None
        return written
