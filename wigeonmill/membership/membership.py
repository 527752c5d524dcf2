"""The membership of one process: view, gossip, readers, configuration."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
import random
from typing import Any

from wigeonmill.clock import Clock
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import Document
from wigeonmill.membership.availability import unavailable_targets
from wigeonmill.membership.catch_up import CatchUp
from wigeonmill.membership.config_feed import ConfigFeed
from wigeonmill.membership.freshness import Freshness
from wigeonmill.membership.gossip import Gossiper
from wigeonmill.membership.leaving_vms import LeavingVms
from wigeonmill.membership.member import Member
from wigeonmill.membership.member import State
from wigeonmill.membership.member import to_wire
from wigeonmill.membership.overlay import is_reader
from wigeonmill.membership.peer_source import PeerSource
from wigeonmill.membership.readers import Reader
from wigeonmill.membership.readers import VmListFeed
from wigeonmill.membership.view import View
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import MemberState
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.providers.vm_list import VmList

logger = logging.getLogger(__name__)

ROUND_MS = 1_000.0
# Rounds between attempts to contact a peer that is not alive in the view.
SEED_ROUNDS = 5
# Members probed in a round because the views of peers differ on them.
CONFLICTS_PER_ROUND = 16
LEAVE_TIMEOUT_MS = 1_000.0

Listener = Callable[[], None]


class Membership:
    """Maintains the membership of one process in the fleet."""

    def __init__(
        self,
        me: Member,
        seeds: list[str],
        pool: PeerPool,
        key_value: KeyValue,
        vm_list: VmList | None,
        holder: ConfigHolder,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        spawn: Callable[[Coroutine[Any, Any, None]], 'asyncio.Task[None]'],
    ) -> None:
        self.view = View(me, clock)
        self.leaving_vms = LeavingVms(self._on_leaving_vms)
        self.unavailable: frozenset[str] = frozenset()
        self._configured_seeds = seeds
        self._pool = pool
        self._holder = holder
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._spawn = spawn
        self._listeners: list[Listener] = []
        freshness = Freshness(clock)
        self.gossiper = Gossiper(
            self.view,
            pool,
            holder,
            freshness,
            self.leaving_vms,
            clock,
            metrics,
            spawn,
            self._on_members,
        )
        peers = PeerSource(self.view, self.gossiper, self._seeds, rng)
        self.feed = ConfigFeed(
            key_value, holder, freshness, peers, rng, metrics
        )
        self._catch_up = CatchUp(
            self.gossiper, self.feed, clock, metrics, spawn, self._notify
        )
        self._readers = [Reader(lambda: spawn(self.feed.watch_key()))]
        if vm_list is not None:
            vm_feed = VmListFeed(vm_list, self.leaving_vms, rng, metrics)
            self._readers.append(Reader(lambda: spawn(vm_feed.run())))
        holder.subscribe(lambda _record: self._on_members())
        metrics.gauge('config_age_ms', lambda: freshness.age_ms)
        self._register_gauges()

    @property
    def own_vm_leaving(self) -> bool:
        """Whether the VM list shows this process's VM as leaving."""
        me = self.view.me
        names = tuple(name for name in (me.name, me.target) if name)
        return self.leaving_vms.is_leaving(names, me.address)

    @property
    def catching_up(self) -> bool:
        """Whether this process was paused and may be out of date."""
        return self._catch_up.active

    @property
    def superseded(self) -> bool:
        """Whether a later process uses this process's name."""
        return self.view.superseded

    @property
    def is_reader(self) -> bool:
        """Whether this process is a reader of its failure domain."""
        return self._readers[0].active

    def start(self) -> None:
        """Start to update the configuration and to gossip with peers."""
        self._set_readers()
        self._spawn(self.feed.run_hinted_fetches())
        self._spawn(self._run())
        self._spawn(self._catch_up.run())

    def check_pause(self) -> None:
        """Detect a pause of this process; call before acting on messages."""
        self._catch_up.check()

    def subscribe(self, listener: Listener) -> None:
        """Call `listener` after changes of the membership.

        These are changes of the view, the leaving VMs, the configuration or
        `catching_up`.
        """
        self._listeners.append(listener)

    def handle(self, conn: Conn, envelope: Envelope) -> bool:
        """Answer a gossip message; False for other kinds of messages."""
        if envelope.kind != Kind.GOSSIP or envelope.gossip is None:
            return False
        serial = envelope.config_serial or 0
        answer = self.gossiper.answer(envelope.gossip, serial)
        reply = Envelope(
            Kind.GOSSIP_REPLY, envelope.stream, self._holder.serial
        )
        reply.gossip = answer
        conn.send(reply)
        return True

    def hint(self, source: str, serial: int) -> None:
        """Record that a peer (name or IP:port) announced `serial`."""
        self.feed.hint(source, serial)

    def wire_members(self) -> list[MemberState]:
        """Return the wire form of all members with their known serials."""
        return [to_wire(member) for member in self.view.all_members()]

    async def leave(self) -> None:
        """Announce that this process leaves, so that it gets no new work."""
        for reader in self._readers:
            reader.set_active(False)
        try:
            async with asyncio.timeout(LEAVE_TIMEOUT_MS / 1000.0):
                await self.gossiper.announce_leave()
        except asyncio.TimeoutError:
            self._metrics.count('gossip_failures', 'goodbye')

    def close(self) -> None:
        """Close all connections to peers."""
        self._pool.close()

    async def _run(self) -> None:
        rounds = 0
        while self.view.me.state is not State.LEFT:
            start_ms = self._clock.now_ms()
            self._round(rounds)
            rounds += 1
            pause_ms = ROUND_MS * self._rng.uniform(0.9, 1.1)
            await asyncio.sleep(pause_ms / 1000.0)
            elapsed_ms = self._clock.now_ms() - start_ms
            self._spawn(self.feed.read_if_stale(elapsed_ms))

    def _round(self, number: int) -> None:
        for member in self.view.tick():
            self._metrics.count('members_removed')
            logger.info('member %s is dead', member.name)
        self.gossiper.refresh()
        if self.view.has_pending_updates:
            self.gossiper.schedule_flush()
        self._spawn(self.gossiper.probe_next())
        self.gossiper.probe_conflicting(CONFLICTS_PER_ROUND)
        alone = self.view.alive_count == 1
        if alone or number % SEED_ROUNDS == 0:
            self._spawn(self._contact_unseen())

    async def _contact_unseen(self) -> None:
        """Contact a peer not alive in the view, so that split views merge."""
        alive_addresses = {member.address for member in self.view.alive()}
        alive_addresses.add(self.view.me.address)
        not_alive = [
            m.address for m in self.view.suspects() + self.view.gone()
        ]
        unseen = [
            a for a in not_alive + self._seeds() if a not in alive_addresses
        ]
        if unseen:
            await self.gossiper.contact(self._rng.choice(unseen))

    def _seeds(self) -> list[str]:
        seeds = list(self._configured_seeds)
        document: Document | None = self._holder.document
        if document is not None:
            for service in document.services:
                seeds.extend(target.agent for target in service.targets)
        return [seed for seed in seeds if seed != self.view.me.address]

    def _on_members(self) -> None:
        if self.view.me.state is State.ALIVE:
            self._set_readers()
        document = self._holder.document
        if document is not None:
            self.unavailable = unavailable_targets(
                document, self.view, self.leaving_vms
            )
        self._notify()

    def _notify(self) -> None:
        for listener in self._listeners:
            listener()

    def _on_leaving_vms(self) -> None:
        logger.info('%d VMs are leaving', len(self.leaving_vms.vms))
        self.gossiper.schedule_flush()
        self._on_members()

    def _set_readers(self) -> None:
        chosen = is_reader(self.view.me, self.view.alive())
        for reader in self._readers:
            reader.set_active(chosen)

    def _register_gauges(self) -> None:
        gauge = self._metrics.gauge
        view = self.view
        gauge('members_alive', lambda: float(view.alive_count))
        gauge('members_suspect', lambda: float(len(view.suspects())))
        gauge('members_gone', lambda: float(len(view.gone())))
        gauge('membership_frozen', lambda: float(view.frozen))
        gauge('config_reader', lambda: float(self.is_reader))
