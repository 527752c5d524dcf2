"""Push-pull gossip with few neighbors: liveness, updates, configuration.

One neighbor is probed per second, which shows that it is alive. Updates and
new serials do not wait for the next probe but go to all neighbors at once.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
from typing import Any

from wigeonmill.clock import Clock
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import ConfigRecord
from wigeonmill.membership.config_exchange import ConfigExchange
from wigeonmill.membership.config_exchange import PullResult
from wigeonmill.membership.freshness import Freshness
from wigeonmill.membership.leaving_vms import LeavingVms
from wigeonmill.membership.member import from_wire
from wigeonmill.membership.member import Member
from wigeonmill.membership.member import State
from wigeonmill.membership.member import to_wire
from wigeonmill.membership.overlay import neighbors
from wigeonmill.membership.peer_link import PeerLink
from wigeonmill.membership.view import View
from wigeonmill.membership.view_sync import ViewSync
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.gen.inner.ttypes import Gossip

logger = logging.getLogger(__name__)

EXCHANGE_TIMEOUT_MS = 1_000.0
PULL_TIMEOUT_MS = 400.0
WHOLE_PULL_TIMEOUT_MS = 2_000.0
# An exchange that took this much longer than its timeout was delayed by a
# pause of this process itself and says nothing about the peer.
PAUSE_SLACK_MS = 3_000.0
RETRY_PAUSE_MS = 200.0
FLUSH_DELAY_MS = 20.0
NO_ANSWER = -1
# Member records in one message, except in a reply to a whole-view request.
MAX_MEMBERS = 64
MAX_SYNCED_MEMBERS = 4096


class Gossiper:
    """Exchanges gossip messages with peers for one view."""

    def __init__(
        self,
        view: View,
        pool: PeerPool,
        holder: ConfigHolder,
        freshness: Freshness,
        leaving_vms: LeavingVms,
        clock: Clock,
        metrics: Metrics,
        spawn: Callable[[Coroutine[Any, Any, None]], 'asyncio.Task[None]'],
        on_change: Callable[[], None],
    ) -> None:
        self.view = view
        self.neighbors: list[Member] = []
        self._link = PeerLink(pool, metrics)
        self._holder = holder
        self._config = ConfigExchange(holder, metrics)
        self._freshness = freshness
        self._leaving_vms = leaving_vms
        self._clock = clock
        self._metrics = metrics
        self._spawn = spawn
        self._on_change = on_change
        self._refreshed_version = -1
        self._next_neighbor = 0
        self._flush_scheduled = False
        self._sync = ViewSync(view, clock)
        holder.subscribe(self._on_config)

    def refresh(self) -> None:
        """Choose the neighbors again and notify, if the view changed."""
        if self.view.version == self._refreshed_version:
            return
        self._refreshed_version = self.view.version
        self.neighbors = neighbors(self.view.me, self.view.alive())
        self._link.keep_only(member.address for member in self.neighbors)
        self._on_change()

    async def probe_next(self) -> None:
        """Probe the next neighbor in round-robin order."""
        if not self.neighbors:
            return
        self._next_neighbor += 1
        index = self._next_neighbor % len(self.neighbors)
        await self.probe(self.neighbors[index])

    async def probe(self, member: Member) -> None:
        """Exchange with a member; mark it as suspect after two failures."""
        for attempt in range(2):
            start_ms = self._clock.now_ms()
            message = self._build_message(member)
            if await self.exchange(member.address, message):
                return
            if self._was_paused(start_ms):
                self._metrics.count('gossip_failures', 'own_pause')
                return
            if not attempt:
                self._metrics.count('gossip_retries', 'no_answer')
                await asyncio.sleep(RETRY_PAUSE_MS / 1000.0)
        if self.view.suspect(member.name, len(self.neighbors)):
            self._metrics.count('members_suspected')
            logger.info('member %s does not answer, now suspect', member.name)
            self.schedule_flush()

    def probe_conflicting(self, limit: int) -> None:
        """Probe up to `limit` members on which the views of peers differ."""
        for member in self._sync.pop_conflicting(limit):
            self._spawn(self._probe_and_release(member))

    async def contact(self, address: str) -> bool:
        """Exchange with the peer at `address`; False without an answer."""
        member = next(
            (m for m in self.view.members.values() if m.address == address),
            None,
        )
        message = self._build_message(member)
        message.want_members = self.view.alive_count == 1
        answered = await self.exchange(address, message)
        self._link.release(address)
        return answered

    async def catch_up(self) -> bool:
        """Fetch the newest configuration of all neighbors.

        Returns whether any neighbor answered and the newest is in force.
        """
        peers = list(self.neighbors)
        serials = await asyncio.gather(
            *(self._fetch_serial(member.address) for member in peers)
        )
        newest = max(serials, default=NO_ANSWER)
        if newest > self._holder.serial:
            await self.pull(peers[serials.index(newest)].address)
        return NO_ANSWER < newest <= self._holder.serial

    async def exchange(self, address: str, message: Gossip) -> bool:
        """Send a message and apply the reply; False if there is none."""
        reply = await self._link.request(address, message, EXCHANGE_TIMEOUT_MS)
        if reply is None:
            return False
        self._apply_message(
            reply.gossip, reply.serial, bool(message.want_members)
        )
        if self._sync.is_due(reply.gossip.view_digest or 0):
            self._spawn(self._sync_view(address))
        return True

    async def pull(self, address: str) -> bool:
        """Fetch the configuration from a peer; True if one was adopted."""
        pulled = await self._pull(address, self._holder.sections is None)
        if pulled is PullResult.BROKEN:
            self._metrics.count('config_retries', 'whole')
            pulled = await self._pull(address, whole=True)
        self._link.release(address)
        return pulled is PullResult.ADOPTED

    def answer(self, req: Gossip, serial: int) -> Gossip:
        """Apply a peer's message and return the reply."""
        sender = self._apply_message(req, serial)
        reply = self._build_message(sender)
        if req.want_config:
            self._config.fill_reply(req, serial, reply)
        if req.want_members:
            records = self.view.all_members()[:MAX_SYNCED_MEMBERS]
            reply.members = [to_wire(record) for record in records]
        return reply

    def schedule_flush(self) -> None:
        """Send updates, serial and leaving VMs to all neighbors soon."""
        if self._flush_scheduled:
            return
        self._flush_scheduled = True
        self._spawn(self._flush_later())

    async def announce_leave(self) -> None:
        """Notify all neighbors that this process leaves; wait for them."""
        recipients = list(self.neighbors)
        self.view.leave()
        updates = [self.view.me]
        await asyncio.gather(
            *(self._send_updates(m, updates) for m in recipients)
        )

    async def _probe_and_release(self, member: Member) -> None:
        await self.probe(member)
        self._link.release(member.address)

    async def _flush_later(self) -> None:
        await asyncio.sleep(FLUSH_DELAY_MS / 1000.0)
        self._flush_scheduled = False
        self.refresh()
        if not self.neighbors:
            return
        updates = self.view.pop_updates(MAX_MEMBERS)
        for member in self.neighbors:
            self._spawn(self._send_updates(member, updates))
        if self.view.has_pending_updates:
            self.schedule_flush()

    async def _send_updates(
        self, member: Member, updates: list[Member]
    ) -> None:
        await self.exchange(
            member.address, self._build_message(member, updates)
        )

    async def _pull(self, address: str, whole: bool) -> PullResult:
        message = self._build_message(None)
        self._config.fill_request(message, whole)
        timeout_ms = WHOLE_PULL_TIMEOUT_MS if whole else PULL_TIMEOUT_MS
        reply = await self._link.request(address, message, timeout_ms)
        if reply is None:
            self._metrics.count('config_reads_failed', 'peer')
            return PullResult.NOTHING_NEWER
        pulled = self._config.apply_reply(reply.gossip, whole)
        self._apply_message(reply.gossip, reply.serial)
        return pulled

    def _build_message(
        self, peer: Member | None, updates: list[Member] | None = None
    ) -> Gossip:
        members = [self.view.me]
        if peer is not None:
            # Lets the peer refute a record that does not show it as alive.
            known = self.view.members.get(peer.name)
            if known is not None and known.state is not State.ALIVE:
                members.append(known)
        members += updates or []
        message = Gossip(
            self.view.me.name,
            [to_wire(member) for member in members],
            view_digest=self.view.digest,
            config_age_ms=int(self._freshness.age_ms),
        )
        self._leaving_vms.fill(message)
        return message

    def _apply_message(
        self, message: Gossip, serial: int, synced: bool = False
    ) -> Member | None:
        updates = [
            update
            for update in map(from_wire, message.members or [])
            if update is not None
        ]
        if not updates or updates[0].name != message.sender:
            self._metrics.count('gossip_refused', 'no_sender')
            return None
        direct_updates = updates[:1] if synced else updates
        for update in direct_updates:
            self.view.merge_update(update)
        self.view.record_contact()
        if synced:
            self._sync.merge_view(updates)
        self._leaving_vms.apply_gossip(message)
        if serial <= self._holder.serial:
            self._freshness.merge_age(float(message.config_age_ms or 0))
        self.refresh()
        if self.view.has_pending_updates:
            self.schedule_flush()
        return updates[0]

    async def _fetch_serial(self, address: str) -> int:
        message = self._build_message(None)
        reply = await self._link.request(address, message, EXCHANGE_TIMEOUT_MS)
        if reply is None:
            return NO_ANSWER
        self._apply_message(reply.gossip, reply.serial)
        return reply.serial

    async def _sync_view(self, address: str) -> None:
        message = self._build_message(None)
        message.want_members = True
        self._metrics.count('gossip_syncs')
        await self.exchange(address, message)

    def _was_paused(self, start_ms: float) -> bool:
        limit_ms = EXCHANGE_TIMEOUT_MS + PAUSE_SLACK_MS
        return self._clock.now_ms() - start_ms > limit_ms

    def _on_config(self, record: ConfigRecord) -> None:
        self.view.set_serial(record.serial)
        self.schedule_flush()
