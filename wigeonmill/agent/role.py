"""The agent role of a process, which serves one target."""

import asyncio
from collections.abc import Callable
import logging

from wigeonmill.agent.admission import make_admission
from wigeonmill.agent.admission_types import AdmissionSettings
from wigeonmill.agent.admission_types import Refusal
from wigeonmill.agent.admission_types import RefusalReason
from wigeonmill.agent.cache_follower import CacheFollower
from wigeonmill.agent.cache_manager import CacheManager
from wigeonmill.agent.calls import CallClient
from wigeonmill.agent.context import AgentContext
from wigeonmill.agent.context import find_placement
from wigeonmill.agent.context import Placement
from wigeonmill.agent.engine import EngineClient
from wigeonmill.agent.engine_cache import EngineCacheClient
from wigeonmill.agent.load_slots import LoadSlots
from wigeonmill.agent.model_messages import refusal_message
from wigeonmill.agent.model_service import ModelService
from wigeonmill.agent.model_service import STARTING_RETRY_MS
from wigeonmill.agent.plain_service import PlainService
from wigeonmill.agent.quarantine import Quarantine
from wigeonmill.agent.quarantine_share import QuarantineShare
from wigeonmill.agent.rollout_board import RolloutBoard
from wigeonmill.agent.run_adoption import RunAdopter
from wigeonmill.agent.run_ids import RunIdSigner
from wigeonmill.agent.service import AgentService
from wigeonmill.agent.store_pool import StorePool
from wigeonmill.agent.target_watch import TargetWatch
from wigeonmill.agent.weight_rollout import WeightRollout
from wigeonmill.cache.decider import CacheDecider
from wigeonmill.cache.decider import DeciderSettings
from wigeonmill.cache.decider import Speeds
from wigeonmill.cache.link_budget import LinkBudget
from wigeonmill.claims.grouped import make_grouped_store
from wigeonmill.claims.model import ClaimStore
from wigeonmill.claims.model import Holder
from wigeonmill.claims.peers import ClaimServer
from wigeonmill.claims.peers import PeerTransport
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import ServiceKind
from wigeonmill.node import Node
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Refused

logger = logging.getLogger(__name__)

TICK_INTERVAL_MS = 50
DRAIN_POLL_MS = 20


class AgentRole:
    """Serves one target, from its first configuration until it is drained."""

    def __init__(self, node: Node) -> None:
        self._node = node
        self._context: AgentContext | None = None
        self._service: AgentService | None = None
        self._engine: EngineClient | None = None
        self._calls: CallClient | None = None
        self._claims: ClaimStore | None = None
        self._close_callbacks: list[Callable[[], None]] = []
        self._draining = False
        self._own_vm_leaving = False
        node.handlers.append(self._handle)
        node.holder.subscribe(self._on_config)
        node.membership.subscribe(self._on_membership)

    def start(self) -> None:
        """Start serving if a configuration is already in force."""
        record = self._node.holder.record
        if record is not None:
            self._on_config(record)

    async def drain(self) -> None:
        """Refuse new and waiting requests and wait for the runs in flight.

        Returns once their answers are delivered.
        """
        self._draining = True
        context, service = self._context, self._service
        if context is None or service is None:
            return
        self._set_leaving(context, service, True)
        while service.busy or context.runs.has_attached_runs():
            await asyncio.sleep(DRAIN_POLL_MS / 1000.0)

    async def close(self) -> None:
        """Close the clients of the target, the claims and the store VMs."""
        if self._claims is not None:
            await self._claims.close()
        if self._engine is not None:
            self._engine.close()
        if self._calls is not None:
            self._calls.close()
        for close in self._close_callbacks:
            close()

    def _handle(self, conn: Conn, envelope: Envelope) -> bool:
        if self._service is None:
            return self._refuse_starting(conn, envelope)
        return self._service.handle(conn, envelope)

    def _refuse_starting(self, conn: Conn, envelope: Envelope) -> bool:
        """Refuse work before the first configuration of this agent.

        Returns False if the message is not about work.
        """
        refusal = Refusal(RefusalReason.STARTING, STARTING_RETRY_MS)
        reply = Envelope(
            Kind.REFUSED, envelope.stream, self._node.holder.serial
        )
        if envelope.kind == Kind.OFFER_REQUEST:
            reply.kind = Kind.OFFER
            reply.offer = refusal_message(refusal)
        elif envelope.kind in (Kind.RUN, Kind.CALL):
            reply.refused = Refused(
                refusal.reason.value, '', refusal.retry_after_ms, True
            )
        else:
            return False
        self._node.metrics.count('agent_refusals', refusal.reason.value)
        conn.send(reply)
        return True

    def _on_config(self, record: ConfigRecord) -> None:
        name = self._node.settings.agent.target
        placement = find_placement(record.document, name)
        if self._service is not None:
            return
        if placement is None:
            logger.warning('target %s is not in the configuration', name)
            return
        self._start_service(placement)

    def _start_service(self, placement: Placement) -> None:
        node = self._node
        service = placement.service
        admission = make_admission(
            node.clock,
            AdmissionSettings(
                cold_concurrency=service.cold_concurrency,
                max_concurrency=service.max_concurrency,
            ),
            Quarantine(
                source=f'{node.settings.agent.target}/{node.incarnation}'
            ),
        )
        context = AgentContext(
            node.settings.agent,
            node.holder,
            admission,
            RunIdSigner(node.keys),
            node.clock,
            node.metrics,
            node.incarnation,
        )
        engine = EngineClient(placement.target.address)
        models, plain, adopter = None, None, None
        if service.kind is ServiceKind.MODEL:
            manager = self._make_cache_manager(context, placement)
            rollout = self._make_rollout(context, placement, engine)
            node.spawn(rollout.run())
            share = QuarantineShare(
                node.key_value, admission.quarantine, node.clock, node.metrics
            )
            node.spawn(share.run())
            adopter = RunAdopter(context, engine)
            models = ModelService(
                context, engine, manager, lambda: share.ready
            )
        else:
            plain = self._make_plain_service(context, placement)
        self._context = context
        self._engine = engine
        self._service = AgentService(context, models, plain, adopter)
        watch = TargetWatch(
            engine,
            admission,
            node.settings.agent.health_interval_ms,
            self._service.tick,
            node.metrics,
        )
        node.spawn(watch.run())
        node.spawn(self._tick(self._service))
        logger.info('serving target %s', node.settings.agent.target)
        self._on_membership()

    def _make_rollout(
        self, context: AgentContext, placement: Placement, engine: EngineClient
    ) -> WeightRollout:
        node = self._node
        service = placement.service.name
        target = node.settings.agent.target
        slots = LoadSlots(node.key_value, node.clock, service, target)
        board = RolloutBoard(node.key_value, service)
        return WeightRollout(context, engine, board, slots, node.rng)

    def _make_cache_manager(
        self, context: AgentContext, placement: Placement
    ) -> CacheManager:
        node = self._node
        block_tokens = placement.service.block_tokens
        estimator = context.admission.health.estimator
        decider = CacheDecider(
            DeciderSettings(block_tokens, node.settings.agent.block_bytes),
            LinkBudget(0),
            Speeds(estimator.link_bytes_per_ms, estimator.prefill_ms(1)),
        )
        engine = EngineCacheClient(placement.target.address, node.clock)
        stores = StorePool(node.clock)

        def configure(record: ConfigRecord) -> None:
            limits = record.document.limits
            decider.budget.set_limit(limits.store_link_bytes_per_second)
            stores.configure(record.document)

        node.holder.subscribe(configure)
        if node.holder.record is not None:
            configure(node.holder.record)
        manager = CacheManager(
            decider,
            engine,
            stores,
            estimator,
            block_tokens,
            node.clock,
            node.metrics,
            lambda: context.admission.queued > 0,
        )
        follower = CacheFollower(engine, decider.view, node.metrics)
        node.spawn(follower.run())
        node.spawn(manager.run_exports())
        self._close_callbacks.append(engine.close)
        self._close_callbacks.append(stores.close)
        return manager

    def _make_plain_service(
        self, context: AgentContext, placement: Placement
    ) -> PlainService:
        node = self._node
        holder = Holder(node.settings.agent.target, node.incarnation)
        self._calls = CallClient(placement.target.address)
        store = make_grouped_store(
            node.key_value,
            PeerTransport(node.peers),
            node.clock,
            node.metrics,
            holder,
            node.settings.inner_advertised or node.address,
            node.rng,
        )
        node.handlers.append(
            ClaimServer(store, lambda: node.holder.serial).handle
        )
        self._claims = store
        return PlainService(context, self._calls, self._claims)

    def _on_membership(self) -> None:
        context, service = self._context, self._service
        if context is None or service is None or self._draining:
            return
        membership = self._node.membership
        vm_leaving = membership.own_vm_leaving
        if vm_leaving != self._own_vm_leaving:
            self._own_vm_leaving = vm_leaving
            logger.info('the VM is leaving: %s', vm_leaving)
        leaving = vm_leaving or membership.catching_up
        if leaving != context.leaving:
            self._set_leaving(context, service, leaving)

    def _set_leaving(
        self, context: AgentContext, service: AgentService, leaving: bool
    ) -> None:
        context.leaving = leaving
        context.admission.set_draining(leaving)
        service.tick()

    async def _tick(self, service: AgentService) -> None:
        while True:
            self._node.membership.check_pause()
            service.tick()
            await asyncio.sleep(TICK_INTERVAL_MS / 1000.0)
