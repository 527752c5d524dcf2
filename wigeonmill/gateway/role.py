"""The gateway role: all components of an entry on the users' platform."""

import asyncio
from collections.abc import Callable
from collections.abc import Sequence
import logging
import random
import secrets
import signal
import socket
import time

import msgspec
from result import Err
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.early_listener import EARLY_STOP
from wigeonmill.early_listener import STOP_SIGNALS
from wigeonmill.early_listener import take
from wigeonmill.gateway.adapter import Adapter
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.cache_cleaner import CacheCleaner
from wigeonmill.gateway.cache_event_exchange import CacheEventExchange
from wigeonmill.gateway.cache_planner import StorePlanner
from wigeonmill.gateway.caller_memory import CallerMemory
from wigeonmill.gateway.context import AnswerLimits
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import DesiredState
from wigeonmill.gateway.domain_costs import DomainCosts
from wigeonmill.gateway.explanation import Explainer
from wigeonmill.gateway.extra_work import ExtraWorkLimits
from wigeonmill.gateway.forwarder import Forwarder
from wigeonmill.gateway.inner_key import SharedInnerKey
from wigeonmill.gateway.intake import RecordIntake
from wigeonmill.gateway.leadership import Leadership
from wigeonmill.gateway.machine_limits import caller_conns_limit
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.origin_exchange import SharedStreamOrigins
from wigeonmill.gateway.origin_records import OriginPublisher
from wigeonmill.gateway.origin_records import OriginRecords
from wigeonmill.gateway.own_records import decode_own
from wigeonmill.gateway.own_records import ENTRY_PREFIX
from wigeonmill.gateway.own_records import LEADER_KEY
from wigeonmill.gateway.own_records import LeaderRecord
from wigeonmill.gateway.part_records import PartQuarantines
from wigeonmill.gateway.part_records import PartQuarantinesPublisher
from wigeonmill.gateway.peers import Peers
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.registration import EntriesByLink
from wigeonmill.gateway.registration import EntryList
from wigeonmill.gateway.registration import Registration
from wigeonmill.gateway.revisions import era_of
from wigeonmill.gateway.revisions import revision_of
from wigeonmill.gateway.rollout_exchange import RolloutExchange
from wigeonmill.gateway.rollout_notice import RolloutPublisher
from wigeonmill.gateway.server import GatewayServer
from wigeonmill.gateway.service_rollout import RolloutLimits
from wigeonmill.gateway.settings import GatewaySettings
from wigeonmill.gateway.software_rollout import SoftwareRolloutLeader
from wigeonmill.gateway.software_versions import SoftwareVersions
from wigeonmill.gateway.software_versions import SoftwareVersionsPublisher
from wigeonmill.gateway.status_server import StatusServer
from wigeonmill.gateway.store_watch import StoreWatch
from wigeonmill.gateway.supervision import run_supervised
from wigeonmill.gateway.sync import MirrorSync
from wigeonmill.gateway.target_client import TargetClient
from wigeonmill.gateway.weights_rollout import WeightsRollout
from wigeonmill.log import loggable_ms
from wigeonmill.metrics import Metrics
from wigeonmill.process_memory import machine_bytes
from wigeonmill.process_memory import max_descriptors
from wigeonmill.process_memory import resident_bytes
from wigeonmill.process_memory import return_free_memory
from wigeonmill.process_memory import separate_large_blocks
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.providers.key_value import KvEntry
from wigeonmill.providers.reply_head import ReplyFault
from wigeonmill.providers.transfers import TransferLoop
from wigeonmill.settings_fault import SettingsFault

logger = logging.getLogger(__name__)

TICK_MS = 100.0
CACHE_CLEAN_INTERVAL_MS = 500.0
COUNTERS_INTERVAL_MS = 10_000.0
# A settings file that can't be read may be in the middle of being written.
RELOAD_RETRY_MS = 250.0
MAX_RELOAD_RETRIES = 20
# After SIGTERM the balancer may still send callers until two readiness checks
# have failed. A request that arrives later than three seconds after SIGTERM
# might not be finished in time.
CLOSE_IDLE_AFTER_MS = 800.0
STOP_ACCEPTING_AFTER_MS = 2_700.0
# Term of the leader's lease, after which the lease of a lost leader expires. A
# slow service responds to a renewal within a quarter of a second.
LEADER_TERM_MS = 1_500.0
# Timeout of the last calls to the key-value service.
RELEASE_TIMEOUT_S = 0.3
# Limit of the close of callers' connections once no request is served.
CLOSE_TIMEOUT_S = 0.05
# Time before SIGKILL at which a drain ends. It is for the last calls to the
# key-value service and the end of the process.
STOP_MS = 600.0
# Fraction of the time before SIGKILL that a drain may take at least.
DRAIN_FRACTION = 0.84


LoadSettings = Callable[[], Result[GatewaySettings, list[SettingsFault]]]


class GatewayRole:
    """One entry process on the users' platform."""

    def __init__(
        self,
        settings: GatewaySettings,
        adapter: Adapter,
        transfers: TransferLoop,
        clock: Clock,
        rng: random.Random,
        load_settings: LoadSettings,
        uptime_ms: float = 0.0,
        listening: Sequence[socket.socket] = (),
    ) -> None:
        """Create the role of a process that has run for `uptime_ms`.

        `listening` are sockets at which callers may be waiting already.
        """
        self._listening = listening
        self._settings = settings
        self._reload_timer: asyncio.TimerHandle | None = None
        self._load_settings = load_settings
        self._adapter = adapter
        self._clock = clock
        self.metrics = Metrics()
        self._transfers = transfers
        transfers.on_malformed = self._count_malformed
        self._stop = asyncio.Event()
        self._mirror = Mirror()
        self._entries = EntryList(
            clock,
            settings.process,
            settings.expected_entries,
            settings.link_mbps,
        )
        limits = RetryLimits(
            settings.retry_ratio,
            settings.retry_slack,
            settings.retry_window_ms,
        )
        self._ctx = GatewayContext(
            clock,
            rng,
            self.metrics,
            limits,
            self._entries.count,
            settings.weights_deadline_ms,
            self._entries.position,
            settings.contact_ms,
            uptime_ms,
            settings.max_closed_ms,
            AnswerLimits(
                body=settings.max_answer_bytes,
                event=settings.max_event_bytes,
                unsent=settings.max_unsent_bytes,
                held=settings.max_held_bytes,
            ),
            self._entries.is_selected,
            ExtraWorkLimits(
                settings.extra_work_share, settings.extra_work_window_ms
            ),
            RolloutLimits(
                settings.rollout_share,
                settings.rollout_slack,
                settings.rollback_ms,
            ),
            settings.restart_order_ms,
            settings.shares_by_demand,
            self._entries.is_counted,
        )
        self._ctx.start_hold.enabled = settings.hold_at_start
        self._ctx.fair_admission = settings.fair_admission
        self._ctx.fair_admission_pace = settings.fair_admission_pace
        self._sync = MirrorSync(
            adapter.source,
            self._mirror,
            clock,
            rng,
            self.metrics,
            self._on_connection_change,
            self._ctx.freshness,
            EntriesByLink(self._entries),
            lambda: self._peers.is_receiving,
        )
        self._registration = Registration(
            adapter.keys,
            clock,
            settings.process,
            settings.inner,
            settings.link_mbps,
        )
        self._leadership = Leadership(
            adapter.keys,
            clock,
            settings.process,
            term_ms=max(LEADER_TERM_MS, settings.key_value_ttl_min_ms),
            takeover_delay_ms=settings.lease_ms,
        )
        adapter.engines.subscribe(self._ctx.notices.record)
        publisher = RolloutPublisher(self._ctx, self._leadership, adapter.keys)
        self._rollout = WeightsRollout(
            self._ctx,
            self._leadership,
            adapter.engines,
            publisher,
            settings.process,
            settings.weights_deadline_ms,
        )
        self._inner_key = SharedInnerKey(adapter.keys)
        self._stores = StoreWatch(
            adapter.caches, clock, self.metrics, self._entries.is_selected
        )
        self._peers = Peers(
            self._ctx,
            self._mirror,
            settings.process,
            self._peer_addresses,
            self._inner_key.current,
            CacheEventExchange(self._stores),
            rng,
            settings.failure_domain,
            settings.domain_transfer_cost > 0,
            settings.contact_ms,
        )
        self._versions = SoftwareVersions(
            clock, self._ctx.directory, self._ctx.freshness
        )
        self._versions_publisher = SoftwareVersionsPublisher(
            clock, self._versions, self._leadership, adapter.keys
        )
        quarantines = PartQuarantines(clock, self._ctx.part_guard)
        self._quarantines_publisher = PartQuarantinesPublisher(
            clock, quarantines, self._leadership, adapter.keys
        )
        origin_records = OriginRecords(self._versions)
        self._origin_publisher = OriginPublisher(
            clock,
            self.metrics,
            self._ctx.open_streams,
            self._versions,
            adapter.keys,
            f'{settings.process}/{secrets.token_hex(4)}',
            self._entries.count,
        )
        origins = SharedStreamOrigins(
            clock,
            self.metrics,
            settings.process,
            self._peers,
            self._versions.only_version,
            origin_records,
            self._sync.confirm,
        )
        self._peers.handle(Kind.STREAM_ORIGINS, origins.answer)
        self._ctx.origins = origins
        self._rollout_exchange = RolloutExchange(
            clock,
            self.metrics,
            rng,
            settings.process,
            self._ctx.rollouts,
            self._peers,
            self._leader_address,
        )
        self._peers.handle(
            Kind.SOFTWARE_ROLLOUT, self._rollout_exchange.receive
        )
        self._software_rollout = SoftwareRolloutLeader(
            clock,
            self._ctx.freshness,
            self.metrics,
            self._ctx.rollouts,
            self._ctx.directory,
            self._leadership,
            adapter.keys,
            self._mirror,
            adapter.rollouts,
            self._has_service,
        )
        self._cleaner = CacheCleaner(
            self._ctx, self._leadership, adapter.caches, self._stores
        )
        self._server = self._make_server(rng)
        self._memory = self._make_memory()
        intake = RecordIntake(
            self._ctx,
            adapter.decoder,
            self._entries,
            self._inner_key,
            publisher,
            self._versions,
            quarantines,
            origin_records,
            self._on_desired_state,
            adapter.source.adopt_era,
        )
        self._mirror.subscribe(intake.apply_record)
        self._mirror.subscribe_restores(self._on_key_value_restored)
        self._status = StatusServer(
            adapter.ready_path,
            lambda: self.ready,
            self.metrics,
            self._explainer,
        )

    @property
    def ready(self) -> bool:
        """Whether this process accepts new callers."""
        config = self._ctx.desired.state
        return config is not None and not self._server.draining

    async def run(self) -> None:
        """Serve until SIGTERM or SIGINT, then drain and stop."""
        logger.info(
            'started',
            extra={
                'domain': self._settings.failure_domain,
                'callers': self._settings.callers,
            },
        )
        self._install_signals()
        # They may have changed since the process read them.
        self._reload()
        self._listen()
        self._sync.start()
        tasks = [
            asyncio.ensure_future(run_supervised(loop))
            for loop in (
                self._run_housekeeping,
                self._run_registration,
                self._run_leadership,
                self._run_rollout,
                self._run_software_rollout,
                self._run_versions_publisher,
                self._run_quarantines_publisher,
                self._run_origin_publisher,
                self._run_cache_cleaner,
                self._ensure_inner_key,
                self._peers.run,
            )
        ]
        await self._stop.wait()
        await self._drain()
        self._server.end_requests()
        for task in tasks:
            task.cancel()
        await self._release_leases()
        self._log_counters()
        self._stores.close()
        self._peers.close()
        self._sync.close()
        await self._close_server()
        self._status.close()
        self._transfers.close()
        # The loop restores the default action of its signals as it closes.
        asyncio.get_running_loop().remove_signal_handler(signal.SIGHUP)
        signal.signal(signal.SIGHUP, signal.SIG_IGN)
        logger.info('stopped')

    def _listen(self) -> None:
        idle_ms = self._settings.idle_ms
        callers = take(self._listening, self._settings.callers)
        self._server.listen_at(callers, idle_ms)
        self._status.listen(self._settings.ready)
        if self._settings.metrics:
            self._status.listen(self._settings.metrics)
        self._peers.listen(self._settings.inner)

    async def _drain(self) -> None:
        """Finish open and begun requests, and close idle connections.

        Their callers then connect to other entries.
        """
        started_ms = self._clock.now_ms()
        if EARLY_STOP.boot_ms is not None:
            started_ms -= self._clock.boot_ms() - EARLY_STOP.boot_ms
        self._server.draining = True
        logger.info('draining', extra={'open': self._server.open_requests})
        grace_ms = self._settings.grace_ms
        limit_ms = max(grace_ms - STOP_MS, grace_ms * DRAIN_FRACTION)
        elapsed_ms = 0.0
        while True:
            tick_ms = max(0.0, min(TICK_MS, limit_ms - elapsed_ms))
            await asyncio.sleep(tick_ms / 1000.0)
            elapsed_ms = self._clock.now_ms() - started_ms
            drained = False
            try:
                drained = self._drain_step(elapsed_ms)
            except Exception:
                # The open requests still have their time.
                logger.exception('internal error in a drain')
            if drained or elapsed_ms >= limit_ms:
                break
        logger.info('drained', extra={'open': self._server.open_requests})

    def _drain_step(self, elapsed_ms: float) -> bool:
        """Close what has no request; return whether none is left."""
        if elapsed_ms >= CLOSE_IDLE_AFTER_MS:
            self._server.close_idle()
        if elapsed_ms < STOP_ACCEPTING_AFTER_MS:
            return False
        if not self._server.refusing:
            self._server.stop_accepting()
        return (
            self._server.open_requests == 0
            and self._server.begun_requests == 0
            and not self._server.has_unsent
        )

    async def _release_leases(self) -> None:
        """Release leases, so that others need not wait until they expire."""
        try:
            async with asyncio.timeout(RELEASE_TIMEOUT_S):
                await asyncio.gather(
                    self._leadership.resign(), self._registration.withdraw()
                )
        except asyncio.TimeoutError:
            logger.warning('leases not released in time')

    async def _close_server(self) -> None:
        try:
            async with asyncio.timeout(CLOSE_TIMEOUT_S):
                await self._server.close()
        except asyncio.TimeoutError:
            logger.warning('connections of callers not closed in time')

    async def _run_housekeeping(self) -> None:
        """Drop missing targets, measure the loop lag and log the counters."""
        logged_ms = self._clock.now_ms()
        lag = self.metrics.histogram('gateway_loop_lag')
        while True:
            due_ms = self._clock.now_ms() + TICK_MS
            await asyncio.sleep(TICK_MS / 1000.0)
            lag.record(max(0.0, self._clock.now_ms() - due_ms))
            self._ctx.directory.expire()
            self._versions.observe()
            self._ctx.suspicions.observe()
            self._ctx.demand_shares.observe()
            self._ctx.held.check()
            self._check_memory()
            if self._clock.now_ms() - logged_ms >= COUNTERS_INTERVAL_MS:
                logged_ms = self._clock.now_ms()
                self._log_counters()

    def _check_memory(self) -> None:
        self._memory.check()
        self._server.max_unread_bytes = self._memory.max_unread_bytes

    def _log_counters(self) -> None:
        lag = self.metrics.histogram('gateway_loop_lag')
        logger.info(
            'counters',
            extra={
                'metrics': self.metrics.counters(),
                'loop_lag_p99_ms': lag.percentile(99.0),
                'processor_ms': round(time.process_time() * 1000.0),
            },
        )

    async def _run_registration(self) -> None:
        """Keep this entry registered."""
        key = ENTRY_PREFIX + self._settings.process
        while True:
            await self._registration.step(self._mirror.get(key))
            await asyncio.sleep(TICK_MS / 1000.0)

    async def _ensure_inner_key(self) -> None:
        while not self._inner_key.known:
            if self._mirror.complete:
                await self._inner_key.ensure()
            await asyncio.sleep(TICK_MS / 1000.0)

    def _peer_addresses(self) -> set[str]:
        peers = set(self._entries.peers().values())
        return (peers | set(self._settings.seeds)) - {self._settings.inner}

    async def _run_leadership(self) -> None:
        """Acquire the leader's lease when it is free, and renew it."""
        while True:
            await self._leadership.step(self._known_leader())
            await asyncio.sleep(TICK_MS / 1000.0)

    async def _run_rollout(self) -> None:
        while True:
            await self._rollout.step()
            await asyncio.sleep(TICK_MS / 1000.0)

    async def _run_software_rollout(self) -> None:
        while True:
            self._rollout_exchange.step()
            await self._software_rollout.step()
            await asyncio.sleep(TICK_MS / 1000.0)

    async def _run_versions_publisher(self) -> None:
        while True:
            await self._versions_publisher.step()
            await asyncio.sleep(TICK_MS / 1000.0)

    async def _run_quarantines_publisher(self) -> None:
        while True:
            await self._quarantines_publisher.step()
            await asyncio.sleep(TICK_MS / 1000.0)

    async def _run_origin_publisher(self) -> None:
        while True:
            await self._origin_publisher.step()
            await asyncio.sleep(self._origin_publisher.pause_ms() / 1000.0)

    async def _run_cache_cleaner(self) -> None:
        while True:
            await self._cleaner.step()
            await asyncio.sleep(CACHE_CLEAN_INTERVAL_MS / 1000.0)

    def _known_leader(self) -> KvEntry | None:
        record = self._mirror.get(LEADER_KEY)
        if record is None or record.value is None:
            return None
        return KvEntry(record.key, record.value, record.revision)

    def _leader_address(self) -> str | None:
        """Return the inner address of the leader, unless this one leads."""
        record = self._mirror.get(LEADER_KEY)
        leader = decode_own(record, LeaderRecord) if record else None
        return self._entries.peers().get(leader.entry) if leader else None

    def _has_service(self, service: str) -> bool:
        """Whether a service is known; any may be without a configuration."""
        state = self._ctx.desired.state
        return state is None or service in state.services

    def _on_desired_state(self, state: DesiredState) -> None:
        self._ctx.directory.set_services(state.services.keys())
        self._stores.set_stores(state.stores)
        self._server.set_limits(state.limits)
        # A large state leaves less for callers.
        self._memory.measure()
        table = self._ctx.desired.table
        self._ctx.start_hold.release(
            lambda req: table.match(req.host, req.path)
        )

    def _on_connection_change(self, connected: bool) -> None:
        if connected:
            self._ctx.directory.key_value_recovered()
        else:
            self._ctx.directory.key_value_lost()

    def _on_key_value_restored(self, previous: int) -> None:
        """Expect the records that a copy of the service lacks once more."""
        self.metrics.count('key_value_restores')
        logger.warning(
            'key-value service restored from a copy',
            extra={
                'previous_era': era_of(previous),
                'previous_revision': revision_of(previous),
                'copy_age_ms': loggable_ms(self._ctx.freshness.age_ms),
                'was_leader': self._leadership.is_leader,
            },
        )
        self._ctx.directory.key_value_restored()
        self._ctx.desired.key_value_restored()
        self._leadership.key_value_restored()
        self._registration.key_value_restored()
        self._origin_publisher.key_value_restored()

    def _make_server(self, rng: random.Random) -> GatewayServer:
        ctx = self._ctx
        picker = Picker(
            self._clock,
            rng,
            ctx.directory,
            ctx.circuits,
            ctx.desired.is_domain_closed,
            self._settings.regions,
            ctx.suspicions,
            DomainCosts(
                self._settings.failure_domain,
                self._settings.domain_transfer_cost,
            ),
            ctx.unseen_work if self._settings.memory_bounds else None,
        )
        client = TargetClient(
            self._transfers, self._adapter.targets, self._clock, ctx.notices
        )
        planner = StorePlanner(
            self._stores,
            lambda team: ctx.desired.caches.owner(team),
            self.metrics,
        )
        self._explainer = Explainer(ctx, client, picker, planner)
        forwarder = Forwarder(ctx, client, picker, planner)
        descriptors = max_descriptors()
        if self._settings.max_descriptors:
            stated = int(self._settings.max_descriptors)
            descriptors = min(descriptors, stated)
        return GatewayServer(
            forwarder,
            self._adapter.callers,
            self._clock,
            self.metrics,
            ctx.held,
            caller_conns_limit(descriptors),
        )

    def _count_malformed(self, fault: ReplyFault) -> None:
        self.metrics.count('gateway_replies_malformed', fault.value)

    def _make_memory(self) -> CallerMemory:
        memory_bytes = int(self._settings.memory_mb * 1_000_000)
        return CallerMemory(
            self._clock,
            self._ctx.held,
            memory_bytes or machine_bytes(),
            self._settings.max_held_bytes,
            resident_bytes,
            return_free_memory,
            separate_large_blocks,
        )

    def _install_signals(self) -> None:
        loop = asyncio.get_running_loop()
        for number in STOP_SIGNALS:
            loop.add_signal_handler(number, self._stop.set)
        if EARLY_STOP.boot_ms is not None:
            self._stop.set()
        loop.add_signal_handler(signal.SIGHUP, self._reload)

    def _reload(self, retries: int = MAX_RELOAD_RETRIES) -> None:
        """Reload the settings that can change at run time."""
        if self._reload_timer is not None:
            self._reload_timer.cancel()
            self._reload_timer = None
        loaded = self._load_settings()
        if isinstance(loaded, Err):
            for fault in loaded.err_value:
                logger.error(
                    'settings not reloaded', extra={'fault': str(fault)}
                )
            if retries > 0:
                self._reload_timer = asyncio.get_running_loop().call_later(
                    RELOAD_RETRY_MS / 1000.0, self._reload, retries - 1
                )
            return
        seeds, grace_ms = loaded.ok_value.seeds, loaded.ok_value.grace_ms
        self._settings = msgspec.structs.replace(
            self._settings, seeds=seeds, grace_ms=grace_ms
        )
        logger.info(
            'settings reloaded', extra={'seeds': seeds, 'grace_ms': grace_ms}
        )
