"""Push-pull exchanges with few neighbors: liveness, rumors, configuration.

One neighbor is asked a second; that proves it alive. Rumors and a new
serial do not wait for that: they go to all neighbors at once.
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
from wigeonmill.membership.member import from_wire
from wigeonmill.membership.member import Member
from wigeonmill.membership.member import State
from wigeonmill.membership.member import to_wire
from wigeonmill.membership.overlay import neighbors
from wigeonmill.membership.peer_link import PeerLink
from wigeonmill.membership.view import View
from wigeonmill.membership.view_sync import ViewSync
from wigeonmill.membership.vm_news import LeavingVms
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.gen.inner.ttypes import Gossip

logger = logging.getLogger(__name__)

EXCHANGE_TIMEOUT_MS = 1_000.0
PULL_TIMEOUT_MS = 400.0
WHOLE_PULL_TIMEOUT_MS = 2_000.0
# An exchange that took longer than its timeout and this was held up by a
# pause of this process itself; it says nothing of the peer.
PAUSE_SLACK_MS = 3_000.0
RETRY_PAUSE_MS = 200.0
FLUSH_PAUSE_MS = 20.0
NO_ANSWER = -1
# Accounts in one message, but for the answer to a request for all.
MAX_MEMBERS = 64
MAX_SYNCED_MEMBERS = 4096


class Gossiper:
    """Exchanges messages with peers on behalf of one view."""

    def __init__(
        self,
        view: View,
        pool: PeerPool,
        holder: ConfigHolder,
        freshness: Freshness,
        vm_news: LeavingVms,
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
        self._vm_news = vm_news
        self._clock = clock
        self._metrics = metrics
        self._spawn = spawn
        self._on_change = on_change
        self._version = -1
        self._next_neighbor = 0
        self._flushing = False
        self._sync = ViewSync(view, clock)
        holder.subscribe(self._on_config)

    def refresh(self) -> None:
        """Choose neighbors anew and tell listeners, if the view changed."""
        if self.view.version == self._version:
            return
        self._version = self.view.version
        self.neighbors = neighbors(self.view.me, self.view.alive())
        self._link.keep(member.address for member in self.neighbors)
        self._on_change()

    async def probe_next(self) -> None:
        """Exchange with the next neighbor in turn."""
        if not self.neighbors:
            return
        self._next_neighbor += 1
        turn = self._next_neighbor % len(self.neighbors)
        await self.probe(self.neighbors[turn])

    async def probe(self, member: Member) -> None:
        """Exchange with a member; two failures make it suspect."""
        for attempt in range(2):
            start_ms = self._clock.now_ms()
            message = self._compose(member)
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
            logger.info('%s does not answer: suspect', member.name)
            self.poke()

    def probe_disputed(self, limit: int) -> None:
        """Ask up to `limit` members on whom peers' accounts differ."""
        for member in self._sync.take_disputed(limit):
            self._spawn(self._probe_stranger(member))

    async def contact(self, address: str) -> bool:
        """Exchange with whoever is at `address`; False if no answer."""
        member = next(
            (m for m in self.view.members.values() if m.address == address),
            None,
        )
        message = self._compose(member)
        message.want_members = self.view.alive_count == 1
        answered = await self.exchange(address, message)
        self._link.release(address)
        return answered

    async def catch_up(self) -> bool:
        """Get the newest configuration of all neighbors.

        Returns whether any answered and the newest is now in force.
        """
        asked = list(self.neighbors)
        serials = await asyncio.gather(
            *(self._ask_serial(member.address) for member in asked)
        )
        newest = max(serials, default=NO_ANSWER)
        if newest > self._holder.serial:
            await self.pull(asked[serials.index(newest)].address)
        return NO_ANSWER < newest <= self._holder.serial

    async def exchange(self, address: str, message: Gossip) -> bool:
        """Send a message and take the answer; False if there is none."""
        reply = await self._link.request(address, message, EXCHANGE_TIMEOUT_MS)
        if reply is None:
            return False
        self._take(reply.gossip, reply.serial, bool(message.want_members))
        if self._sync.due(reply.gossip.view_digest or 0):
            self._spawn(self._ask_for_view(address))
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
        """Return the answer to a peer's message."""
        sender = self._take(req, serial)
        reply = self._compose(sender)
        if req.want_config:
            self._config.fill_reply(req, serial, reply)
        if req.want_members:
            accounts = self.view.all_members()[:MAX_SYNCED_MEMBERS]
            reply.members = [to_wire(member) for member in accounts]
        return reply

    def poke(self) -> None:
        """Send rumors, the serial and the VM list to all neighbors soon."""
        if self._flushing:
            return
        self._flushing = True
        self._spawn(self._flush_later())

    async def say_goodbye(self) -> None:
        """Tell all neighbors that this process leaves; wait for them."""
        told = list(self.neighbors)
        self.view.leave()
        news = [self.view.me]
        await asyncio.gather(*(self._pass_on(m, news) for m in told))

    async def _probe_stranger(self, member: Member) -> None:
        await self.probe(member)
        self._link.release(member.address)

    async def _flush_later(self) -> None:
        await asyncio.sleep(FLUSH_PAUSE_MS / 1000.0)
        self._flushing = False
        self.refresh()
        if not self.neighbors:
            return
        news = self.view.pop_updates(MAX_MEMBERS)
        for member in self.neighbors:
            self._spawn(self._pass_on(member, news))
        if self.view.has_news:
            self.poke()

    async def _pass_on(self, member: Member, news: list[Member]) -> None:
        await self.exchange(member.address, self._compose(member, news))

    async def _pull(self, address: str, whole: bool) -> PullResult:
        message = self._compose(None)
        self._config.fill_request(message, whole)
        timeout_ms = WHOLE_PULL_TIMEOUT_MS if whole else PULL_TIMEOUT_MS
        reply = await self._link.request(address, message, timeout_ms)
        if reply is None:
            self._metrics.count('config_reads_failed', 'peer')
            return PullResult.NOTHING_NEWER
        pulled = self._config.apply_reply(reply.gossip, whole)
        self._take(reply.gossip, reply.serial)
        return pulled

    def _compose(
        self, peer: Member | None, news: list[Member] | None = None
    ) -> Gossip:
        members = [self.view.me]
        if peer is not None:
            # Whoever is taken for gone hears it and can refute.
            held = self.view.members.get(peer.name)
            if held is not None and held.state is not State.ALIVE:
                members.append(held)
        members += news or []
        message = Gossip(
            self.view.me.name,
            [to_wire(member) for member in members],
            view_digest=self.view.digest,
            config_age_ms=int(self._freshness.age_ms),
        )
        self._vm_news.fill(message)
        return message

    def _take(
        self, message: Gossip, serial: int, synced: bool = False
    ) -> Member | None:
        accounts = [
            account
            for account in map(from_wire, message.members or [])
            if account is not None
        ]
        if not accounts or accounts[0].name != message.sender:
            self._metrics.count('gossip_refused', 'no_sender')
            return None
        rumors = accounts[:1] if synced else accounts
        for account in rumors:
            self.view.merge_update(account)
        self.view.record_contact()
        if synced:
            self._sync.take(accounts)
        self._vm_news.take_gossip(message)
        if serial <= self._holder.serial:
            self._freshness.take(float(message.config_age_ms or 0))
        self.refresh()
        if self.view.has_news:
            self.poke()
        return accounts[0]

    async def _ask_serial(self, address: str) -> int:
        message = self._compose(None)
        reply = await self._link.request(address, message, EXCHANGE_TIMEOUT_MS)
        if reply is None:
            return NO_ANSWER
        self._take(reply.gossip, reply.serial)
        return reply.serial

    async def _ask_for_view(self, address: str) -> None:
        message = self._compose(None)
        message.want_members = True
        self._metrics.count('gossip_syncs')
        await self.exchange(address, message)

    def _was_paused(self, start_ms: float) -> bool:
        limit_ms = EXCHANGE_TIMEOUT_MS + PAUSE_SLACK_MS
        return self._clock.now_ms() - start_ms > limit_ms

    def _on_config(self, record: ConfigRecord) -> None:
        self.view.set_serial(record.serial)
        self.poke()
