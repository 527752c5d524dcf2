"""Entries tell each other of their open work and of what they know.

An entry that the key-value service turns away hears of the operators'
changes, revoked keys and leaving targets from the others.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import logging
import random

from result import Err

from wigeonmill.addresses import split_address
from wigeonmill.gateway.cache_news import CacheEventExchange
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.target_load import PeerLoad
from wigeonmill.gateway.target_load import PRIORITIES
from wigeonmill.protocol.client import PeerClient
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.gen.inner.ttypes import EntryNews
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import OpenWork
from wigeonmill.protocol.gen.inner.ttypes import StoreRecord
from wigeonmill.protocol.gen.inner.ttypes import TargetLoss
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.protocol.server import InnerServer

logger = logging.getLogger(__name__)

ROLE = 'gateway'
# How often news go out, and to how many others at most at a time, in turn;
# with more entries than that each hears of another's work at longer intervals.
NEWS_INTERVAL_MS = 200.0
MAX_TOLD = 6
NEWS_TIMEOUT_MS = 500.0
# Stands for no revision: the sender wants no changes.
NOTHING_ASKED = -1
# Entries that were answered are remembered up to this number.
MAX_NAMES = 4_096


class Peers:
    """Exchanges news with the other entries over the inner protocol."""

    def __init__(
        self,
        ctx: GatewayContext,
        mirror: Mirror,
        me: str,
        addresses: Callable[[], Iterable[str]],
        keys: Callable[[], InnerKeys],
        caches: CacheEventExchange,
        rng: random.Random,
    ) -> None:
        self._ctx = ctx
        self._mirror = mirror
        self._me = me
        self._addresses = addresses
        self._keys = keys
        self._caches = caches
        self._rng = rng
        self._busy: set[str] = set()
        # Entries that are still to be told in this round.
        self._turn: list[str] = []
        # The last loss of a target that entries were told of: by address
        # those that were asked, by name those that were answered.
        self._told_losses: dict[str, int] = {}
        self._answered_losses: dict[str, int] = {}
        self._pool = PeerPool(self._make_client)
        self._server = InnerServer(
            me, ROLE, 0, keys, self._on_envelope, ctx.metrics
        )

    def listen(self, address: str) -> str:
        """Accept other entries at an IP:port; returns the one bound."""
        host, port = split_address(address)
        return self._server.listen_on(host, port)

    def close(self) -> None:
        """Close every connection."""
        self._server.close_all()
        self._pool.close()

    async def run(self) -> None:
        """Tell the others, until cancelled."""
        while True:
            await asyncio.sleep(NEWS_INTERVAL_MS / 1000.0)
            for number, address in enumerate(self._next_told()):
                asyncio.ensure_future(self._tell(address, asks=number == 0))

    def _next_told(self) -> list[str]:
        """Return who is told now: everyone in turn, in a random order."""
        others = set(self._addresses())
        self._told_losses = {
            name: number
            for name, number in self._told_losses.items()
            if name in others
        }
        told: list[str] = []
        for _round in range(2):
            while self._turn and len(told) < MAX_TOLD:
                address = self._turn.pop()
                free = address in others and address not in self._busy
                if free and address not in told:
                    told.append(address)
            if len(told) < MAX_TOLD:
                self._turn = list(others)
                self._rng.shuffle(self._turn)
        return told

    async def _tell(self, address: str, asks: bool) -> None:
        """Tell one entry; with `asks`, also ask it for what it knows.

        That is changes of the key-value service and news of the cache
        stores. One of several is asked, as all would answer the same and
        fill a small link.
        """
        self._busy.add(address)
        try:
            news = self._compose(None)
            last_loss = self._add_losses(
                news, self._told_losses.get(address, 0)
            )
            news.known_to = NOTHING_ASKED
            if asks:
                news.known_to = self._mirror.complete
                news.cache_points = self._caches.stale_points()
            envelope = Envelope(Kind.ENTRY_NEWS, entry_news=news)
            asked_ms = self._ctx.clock.now_ms()
            client = self._pool.get(address)
            reply = await client.request(envelope, NEWS_TIMEOUT_MS)
            if isinstance(reply, Err):
                self._ctx.metrics.count(
                    'entry_news_failed', reply.err_value.kind.value
                )
                # A silent connection is given up for a new one.
                self._pool.drop(address)
            elif reply.ok_value.entry_news is not None:
                answer = reply.ok_value.entry_news
                self._told_losses[address] = last_loss
                self._take(answer)
                self._caches.apply_updates(
                    answer.cache_updates or (), asked_ms
                )
        finally:
            self._busy.discard(address)

    def _on_envelope(self, conn: Conn, envelope: Envelope) -> None:
        news = envelope.entry_news
        if envelope.kind != Kind.ENTRY_NEWS or news is None:
            return
        self._take(news)
        asked_from = None if news.known_to == NOTHING_ASKED else news.known_to
        answer = self._compose(asked_from)
        known = self._answered_losses.get(news.sender, 0)
        if len(self._answered_losses) > MAX_NAMES:
            self._answered_losses.clear()
        self._answered_losses[news.sender] = self._add_losses(answer, known)
        answer.cache_updates = self._caches.updates_after(
            news.cache_points or ()
        )
        reply = Envelope(
            Kind.ENTRY_NEWS_REPLY, envelope.stream, 0, entry_news=answer
        )
        conn.send(reply)

    def _compose(self, known_to: int | None) -> EntryNews:
        records: list[Record] = []
        complete = self._mirror.complete
        if known_to is not None and complete > known_to:
            records, complete = self._mirror.changes_since(known_to)
        return EntryNews(
            sender=self._me,
            known_to=self._mirror.complete,
            open_work=self._open_work(),
            records=[_to_wire(record) for record in records],
            records_to=complete if known_to is not None else 0,
        )

    def _add_losses(self, news: EntryNews, known: int) -> int:
        """Add the losses after `known`; returns the last that is told."""
        losses = self._ctx.crash_guard.own_after(known)
        news.losses = [TargetLoss(o.fingerprint, o.loss) for o in losses]
        return losses[-1].number if losses else known

    def _open_work(self) -> list[OpenWork]:
        """Return what is open; targets without open work are left out."""
        return [
            OpenWork(
                target.id,
                target.load.own_runs(),
                _trimmed(target.load.tokens),
                _trimmed(target.load.waiting_tokens),
            )
            for target in self._ctx.directory.all()
            if target.load.own_runs()
        ]

    def _take(self, news: EntryNews) -> None:
        self._take_open_work(news)
        for loss in news.losses or ():
            self._ctx.crash_guard.hear(loss.fingerprint, loss.loss)
        if (news.records_to or 0) > self._mirror.complete:
            records = [_from_wire(record) for record in news.records or ()]
            count = self._mirror.merge(records, news.records_to)
            if count:
                logger.info(
                    'changes heard from another entry',
                    extra={
                        'entry': news.sender,
                        'count': count,
                        'complete': news.records_to,
                    },
                )

    def _take_open_work(self, news: EntryNews) -> None:
        now_ms = self._ctx.clock.now_ms()
        told = {work.target: work for work in news.open_work or ()}
        for target in self._ctx.directory.all():
            work = told.get(target.id)
            if work is None:
                target.load.clear_peer(news.sender)
                continue
            load = PeerLoad(
                work.runs,
                (work.tokens or [])[:PRIORITIES],
                (work.waiting_tokens or [])[:PRIORITIES],
                now_ms,
            )
            target.load.set_peer(news.sender, load)

    def _make_client(self, address: str) -> PeerClient:
        return PeerClient(
            address,
            self._me,
            ROLE,
            self._keys,
            lambda: 0,
            lambda _address, _serial: None,
        )


def _trimmed(by_priority: Sequence[int]) -> list[int]:
    """Return the numbers without zeros at the end."""
    used = len(by_priority)
    while used and not by_priority[used - 1]:
        used -= 1
    return list(by_priority[:used])


def _to_wire(record: Record) -> StoreRecord:
    return StoreRecord(
        record.key,
        record.revision,
        record.value is None,
        record.value or b'',
    )


def _from_wire(record: StoreRecord) -> Record:
    value = None if record.removed else record.value
    return Record(record.key, record.revision, value)
