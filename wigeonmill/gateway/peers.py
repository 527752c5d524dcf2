"""Exchanges open requests, target losses, limits and records of entries.

An entry that the key-value service rejects learns of configuration changes,
revoked keys and leaving targets from its peers.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
from dataclasses import dataclass
import logging
import random
import secrets

from result import Err
from result import Result

from wigeonmill.addresses import split_address
from wigeonmill.gateway.cache_event_exchange import CacheEventExchange
from wigeonmill.gateway.context import DEFAULT_CONTACT_MS
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.demand_exchange import apply_claims
from wigeonmill.gateway.demand_exchange import claims_to_wire
from wigeonmill.gateway.leaving_exchange import LeavingExchange
from wigeonmill.gateway.limit_exchange import LimitExchange
from wigeonmill.gateway.loss_log import RunOutcome
from wigeonmill.gateway.loss_log import SERVED
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.peer_rotation import PeerRotation
from wigeonmill.gateway.record_fetcher import RecordFetcher
from wigeonmill.gateway.record_sender import is_large
from wigeonmill.gateway.record_sender import RecordSender
from wigeonmill.gateway.revisions import era_of
from wigeonmill.gateway.revisions import position
from wigeonmill.gateway.revisions import revision_of
from wigeonmill.gateway.suspicion_exchange import pace_to_send
from wigeonmill.gateway.suspicion_exchange import SuspicionExchange
from wigeonmill.gateway.target_load import PeerLoad
from wigeonmill.gateway.target_load import PRIORITIES
from wigeonmill.gateway.team_share_exchange import apply_shares
from wigeonmill.gateway.team_share_exchange import shares_to_wire
from wigeonmill.protocol.client import PeerClient
from wigeonmill.protocol.client import PeerError
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.gen.inner.ttypes import EntryNews
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import OpenWork
from wigeonmill.protocol.gen.inner.ttypes import PartOutcome
from wigeonmill.protocol.gen.inner.ttypes import PartQuarantine
from wigeonmill.protocol.gen.inner.ttypes import RecordPart
from wigeonmill.protocol.gen.inner.ttypes import ServedRequest
from wigeonmill.protocol.gen.inner.ttypes import StoreRecord
from wigeonmill.protocol.gen.inner.ttypes import TargetLoss
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.protocol.server import InnerServer

logger = logging.getLogger(__name__)

ROLE = 'gateway'
# Interval of the updates, and the number of peers that get one per interval.
# With more peers, the updates rotate among them, so that each peer gets one
# at longer intervals.
UPDATE_INTERVAL_MS = 200.0
MAX_PEERS_PER_ROUND = 6
UPDATE_TIMEOUT_MS = 500.0
# Sent in place of a revision if the sender requests no changes.
NO_REVISION = -1
# Limit of the entries for which the last loss sent in a reply is tracked.
MAX_TRACKED_ENTRIES = 4_096

# Returns the reply to a message, or None if there is none.
Handler = Callable[[Envelope], Envelope | None]


@dataclass(frozen=True, slots=True)
class _Update:
    """Records of a peer, of which large ones are still to be fetched.

    With these, the copy is complete up to `complete`. With `listing` they are
    all present records.
    """

    sender: str
    records: list[Record]
    large: list[tuple[str, int]]
    complete: int
    listing: bool


class Peers:
    """Exchanges updates with the other entries over the inner protocol."""

    def __init__(
        self,
        ctx: GatewayContext,
        mirror: Mirror,
        name: str,
        addresses: Callable[[], Iterable[str]],
        keys: Callable[[], InnerKeys],
        caches: CacheEventExchange,
        rng: random.Random,
        domain: str = '',
        prefers_domain: bool = False,
        contact_ms: float = DEFAULT_CONTACT_MS,
    ) -> None:
        """Create the exchange of an entry in a failure domain.

        With `prefers_domain`, most updates go to entries of that domain,
        except for `contact_ms` after news that only this entry tells.
        """
        self._ctx = ctx
        self._mirror = mirror
        self._name = name
        self._addresses = addresses
        self._keys = keys
        self._caches = caches
        self._limits = LimitExchange(ctx.clock, ctx.directory, ctx.notices)
        self._domain = domain
        self._prefers_domain = prefers_domain
        self._contact_ms = contact_ms
        self._rotation = PeerRotation(rng, prefers_domain)
        # Addresses of entries that have named another failure domain.
        self._far: set[str] = set()
        self._silences = SuspicionExchange(ctx.directory, ctx.suspicions)
        self._leaving = LeavingExchange(ctx.directory, ctx.notices)
        self._in_flight: set[str] = set()
        # The number of the last target loss sent to each entry: in requests
        # by address, in replies by entry name. A process that has restarted
        # has none of them: it has another incarnation and connects anew. In
        # requests it is also sent what others observed, up to the last number.
        self._sent_losses: dict[str, tuple[int, int, int]] = {}
        self._replied_losses: dict[str, tuple[Conn, int]] = {}
        self._sender = RecordSender(ctx.clock, ctx.metrics, name, mirror)
        self._fetcher = RecordFetcher(
            ctx.clock, ctx.metrics, name, mirror, self.request, self._complete
        )
        # The newest update whose large records are still being fetched.
        self._incomplete: _Update | None = None
        self._handlers: dict[int, Handler] = {Kind.RECORD_PART: self._on_part}
        self._pool = PeerPool(self._make_client)
        self._server = InnerServer(
            name,
            ROLE,
            secrets.randbits(62) + 1,
            keys,
            self._on_envelope,
            ctx.metrics,
        )

    def listen(self, address: str) -> str:
        """Accept other entries at an IP:port; return the bound address."""
        host, port = split_address(address)
        return self._server.listen_on(host, port)

    def close(self) -> None:
        """Close every connection."""
        self._fetcher.close()
        self._server.close_all()
        self._pool.close()

    @property
    def is_receiving(self) -> bool:
        """Whether a large record is arriving from a peer."""
        return self._fetcher.is_receiving

    def handle(self, kind: int, handler: Handler) -> None:
        """Pass messages of another kind to `handler`."""
        self._handlers[kind] = handler

    def addresses(self) -> Iterable[str]:
        """Return the inner addresses of the other entries."""
        return self._addresses()

    def is_connected(self, address: str) -> bool:
        """Whether there is a connection to a peer."""
        return self._pool.get(address).connected

    async def connect(self, address: str) -> bool:
        """Connect if necessary; return whether there is a connection."""
        return await self._pool.get(address).connect()

    def notify(self, address: str, envelope: Envelope) -> bool:
        """Send a message without an answer; return False if it can't be."""
        client = self._pool.get(address)
        if not client.connected or client.congested:
            return False
        client.notify(envelope)
        return True

    async def request(
        self, address: str, envelope: Envelope, timeout_ms: float
    ) -> Result[Envelope, PeerError]:
        """Return the answer of a peer.

        The connection stays open without an answer, because older entries
        ignore messages of a kind that they don't know.
        """
        return await self._pool.get(address).request(envelope, timeout_ms)

    async def run(self) -> None:
        """Send updates to the peers until cancelled."""
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_MS / 1000.0)
            for number, address in enumerate(self._next_peers()):
                asyncio.ensure_future(
                    self._send_update(address, ask=number == 0)
                )

    def _next_peers(self) -> list[str]:
        """Return the peers of the next interval.

        Peers that have not answered their last update yet are skipped.
        """
        known = set(self._addresses())
        self._sent_losses = {
            peer: sent
            for peer, sent in self._sent_losses.items()
            if peer in known
        }
        self._far &= known
        return self._rotation.next(
            known,
            self._in_flight,
            self._far,
            MAX_PEERS_PER_ROUND,
            self._prefers_domain and self._has_urgent_news(),
        )

    def _has_urgent_news(self) -> bool:
        """Whether there is a recent loss or limit, told first hand only."""
        lost_ms = self._ctx.clock.now_ms() - self._ctx.loss_log.last_local_ms
        return (
            self._limits.has_named_within(self._contact_ms)
            or lost_ms < self._contact_ms
        )

    async def _send_update(self, address: str, ask: bool) -> None:
        """Send an update to one entry; with `ask`, also request its data.

        Requested are changes of the key-value service and updates of the
        cache stores. Only one of several peers is asked, because all would
        answer the same and fill a slow link.
        """
        self._in_flight.add(address)
        try:
            update = self._build_update(None)
            update.records_apart = True if ask else None
            last_number = self._ctx.loss_log.last_number
            told, known, all_to = self._sent_losses.get(
                address, (None, 0, last_number)
            )
            last_loss = self._add_losses(update, known, all_to)
            update.known_to = NO_REVISION
            if ask:
                update.known_to = revision_of(self._mirror.complete)
                update.cache_points = self._caches.stale_points()
            envelope = Envelope(Kind.ENTRY_NEWS, entry_news=update)
            requested_ms = self._ctx.clock.now_ms()
            requested_boot_ms = self._ctx.clock.boot_ms()
            client = self._pool.get(address)
            reply = await client.request(
                envelope, UPDATE_TIMEOUT_MS, while_receiving=True
            )
            if isinstance(reply, Err):
                error = reply.err_value
                self._ctx.metrics.count('entry_news_failed', error.kind.value)
                logger.info(
                    'update not answered by another entry',
                    extra={
                        'address': address,
                        'kind': error.kind.value,
                        'received_bytes': client.unread_bytes,
                        'asked': ask,
                        'took_ms': round(
                            self._ctx.clock.boot_ms() - requested_boot_ms
                        ),
                    },
                )
                # A connection without a reply is replaced by a new one.
                self._pool.drop(address)
            elif reply.ok_value.entry_news is not None:
                answer = reply.ok_value.entry_news
                process = client.incarnation
                if told not in (None, process):
                    last_loss, all_to = 0, last_number
                self._sent_losses[address] = (process, last_loss, all_to)
                self._record_domain(address, answer.failure_domain)
                self._apply_update(answer, address)
                apply_claims(
                    self._ctx.demand_shares,
                    answer.sender,
                    answer.demand_claims or (),
                    requested_boot_ms,
                )
                if ask:
                    self._confirm_copy(answer, requested_boot_ms)
                self._caches.apply_updates(
                    answer.cache_updates or (), requested_ms
                )
        finally:
            self._in_flight.discard(address)

    def _on_envelope(self, conn: Conn, envelope: Envelope) -> None:
        try:
            self._handle_envelope(conn, envelope)
        except Exception:
            # The other messages on the connection are not concerned.
            self._ctx.metrics.count('entry_news_failed', 'internal')
            logger.exception('message of another entry not handled')

    def _handle_envelope(self, conn: Conn, envelope: Envelope) -> None:
        handler = self._handlers.get(envelope.kind)
        if handler is not None:
            reply = handler(envelope)
            if reply is not None:
                conn.send(reply)
            return
        update = envelope.entry_news
        if envelope.kind != Kind.ENTRY_NEWS or update is None:
            return
        self._apply_update(update)
        answer = self._build_update(
            self._requested_after(update), bool(update.records_apart)
        )
        answer.demand_claims = claims_to_wire(self._ctx.demand_shares) or None
        told, known = self._replied_losses.get(update.sender, (conn, 0))
        if told is not conn:
            known = 0
        if len(self._replied_losses) > MAX_TRACKED_ENTRIES:
            self._replied_losses.clear()
        last_loss = self._add_losses(answer, known)
        self._replied_losses[update.sender] = (conn, last_loss)
        answer.cache_updates = self._caches.updates_after(
            update.cache_points or ()
        )
        reply = Envelope(
            Kind.ENTRY_NEWS_REPLY, envelope.stream, 0, entry_news=answer
        )
        conn.send(reply)

    def _requested_after(self, update: EntryNews) -> int | None:
        """Return the position after which a peer requests changes, if any."""
        if update.known_to == NO_REVISION:
            return None
        era = update.store_era
        if era is None:
            # Older entries know no eras.
            era = era_of(self._mirror.complete)
        try:
            return position(era, update.known_to)
        except ValueError as exc:
            _log_malformed(update, exc)
            return None

    def _on_part(self, envelope: Envelope) -> Envelope | None:
        """Answer a peer that asks for a part of a large record."""
        asked = envelope.record_part
        if asked is None:
            return None
        return Envelope(
            Kind.RECORD_PART_REPLY,
            envelope.stream,
            0,
            record_part=self._sender.answer(asked),
        )

    def _build_update(
        self, known_to: int | None, records_apart: bool = False
    ) -> EntryNews:
        """Return an update, with the changes after `known_to` if it is set.

        With `records_apart`, large records are only named.
        """
        large: list[Record] = []
        records: list[Record] = []
        listing = False
        complete = self._mirror.complete
        if known_to is not None and complete > known_to:
            listing = self._mirror.lacks_changes_since(known_to)
            if listing:
                records = self._mirror.present()
            else:
                records, complete = self._mirror.changes_since(known_to)
        if records_apart:
            large = [record for record in records if is_large(record)]
            records = [record for record in records if not is_large(record)]
        return EntryNews(
            sender=self._name,
            known_to=revision_of(self._mirror.complete),
            open_work=self._open_work(),
            records=[_to_wire(record) for record in records],
            records_to=revision_of(complete) if known_to is not None else 0,
            store_era=era_of(self._mirror.complete),
            listing=listing or None,
            large_records=self._sender.announce(large) or None,
            copy_age_ms=self._ctx.freshness.age_ms,
            limits=self._limits.to_send() or None,
            failure_domain=self._domain or None,
            rollouts=self._ctx.rollouts.reports() or None,
            silences=self._silences.to_send() or None,
            leaving=self._leaving.to_send() or None,
            served_work=shares_to_wire(self._ctx.team_shares) or None,
        )

    def _add_losses(
        self, update: EntryNews, known: int, all_to: int = 0
    ) -> int:
        """Add the losses after number `known`; return the last number."""
        losses = self._ctx.loss_log.after(known, all_to)
        now_ms = self._ctx.clock.now_ms()
        update.losses = [
            TargetLoss(
                item.fingerprint,
                item.loss,
                int(now_ms - item.at_ms),
                int(item.ran_ms) or None,
            )
            for item in losses
            if item.outcome is None and item.loss != SERVED
        ]
        update.served_requests = [
            ServedRequest(item.fingerprint, int(now_ms - item.at_ms))
            for item in losses
            if item.outcome is None and item.loss == SERVED
        ] or None
        update.part_outcomes = [
            PartOutcome(
                list(item.outcome.keys),
                item.outcome.lifetime,
                int(now_ms - item.at_ms),
                int(item.outcome.ran_ms) or None,
            )
            for item in losses
            if item.outcome is not None
        ] or None
        update.part_quarantines = [
            PartQuarantine(
                list(item.parts),
                int(now_ms - item.since_ms),
                item.probe_sent or None,
            )
            for item in self._ctx.part_guard.quarantines()
        ] or None
        return losses[-1].number if losses else known

    def _open_work(self) -> list[OpenWork]:
        """Return the open requests of this entry per target that has any."""
        return [
            OpenWork(
                target.id,
                target.load.own_runs(),
                _trim_zeros(target.load.tokens),
                _trim_zeros(target.load.waiting_tokens),
                *pace_to_send(target),
            )
            for target in self._ctx.directory.all()
            if target.load.own_runs() or pace_to_send(target)
        ]

    def _apply_update(self, update: EntryNews, source: str = '') -> None:
        """Apply an update; `source` is the address of its sender."""
        self._apply_open_work(update)
        shares = update.served_work or ()
        apply_shares(self._ctx.team_shares, update.sender, shares)
        self._apply_request_outcomes(update)
        self._limits.apply(update.limits or ())
        self._ctx.rollouts.apply_reports(update.rollouts or ())
        self._silences.apply(update.sender, update.silences or ())
        self._leaving.apply(update.leaving or ())
        guard = self._ctx.part_guard
        for outcome in update.part_outcomes or ():
            observed = RunOutcome(
                tuple(outcome.parts or ()),
                outcome.lifetime or '',
                max(0, outcome.ran_ms or 0),
            )
            guard.record_remote(observed, max(0, outcome.age_ms or 0))
        for quarantine in update.part_quarantines or ():
            age_ms = max(0, quarantine.age_ms or 0)
            guard.adopt(
                quarantine.parts or (),
                age_ms,
                'peer',
                bool(quarantine.probe_sent),
            )
        self._apply_records(update, source)

    def _apply_request_outcomes(self, update: EntryNews) -> None:
        guard = self._ctx.crash_guard
        for loss in update.losses or ():
            guard.record_remote(
                loss.fingerprint,
                loss.loss,
                max(0, loss.age_ms or 0),
                max(0, loss.ran_ms or 0),
            )
        for served in update.served_requests or ():
            guard.record_served_remote(
                served.fingerprint, max(0, served.age_ms or 0)
            )

    def _apply_records(self, update: EntryNews, source: str) -> None:
        """Apply the records of a peer whose copy is more complete."""
        if not update.records_to:
            return
        era = update.store_era or 0
        try:
            complete = position(era, update.records_to)
            records = [
                _from_wire(record, era) for record in update.records or ()
            ]
            large = [
                _named_record(part) for part in update.large_records or ()
            ]
        except ValueError as exc:
            _log_malformed(update, exc)
            return
        if complete <= self._mirror.complete:
            return
        received = _Update(
            update.sender, records, large, complete, bool(update.listing)
        )
        if self._apply_complete(received):
            return
        if not received.listing:
            self._mirror.apply(records)
        self._incomplete = received
        for key, at in large:
            self._fetcher.fetch(key, at, source)

    def _complete(self) -> None:
        """Apply an update whose large records have arrived."""
        update = self._incomplete
        if update is not None and self._apply_complete(update):
            self._incomplete = None

    def _apply_complete(self, update: _Update) -> bool:
        """Apply an update; return False if a large record is missing."""
        if not all(self._fetcher.has(key, at) for key, at in update.large):
            return False
        if update.complete <= self._mirror.complete:
            return True
        if update.listing:
            known = [self._fetcher.record(key) for key, _at in update.large]
            listed = [*update.records, *(record for record in known if record)]
            count = self._mirror.replace(listed, update.complete)
        else:
            count = self._mirror.merge(update.records, update.complete)
        if count or update.large:
            logger.info(
                'changes received from a peer',
                extra={
                    'entry': update.sender,
                    'count': count,
                    'complete': revision_of(update.complete),
                    'era': era_of(update.complete),
                    'bytes': sum(len(r.value or b'') for r in update.records),
                    'large': len(update.large),
                },
            )
        return True

    def _record_domain(self, address: str, domain: str | None) -> None:
        """Record where a peer is; older entries do not say it."""
        if domain and domain != self._domain:
            self._far.add(address)
        else:
            self._far.discard(address)

    def _confirm_copy(
        self, answer: EntryNews, requested_boot_ms: float
    ) -> None:
        """Adopt the freshness of a peer, if this copy is as complete."""
        if answer.copy_age_ms is None:
            # Older entries do not send it.
            return
        era = era_of(self._mirror.complete)
        if answer.store_era not in (None, era):
            return
        if revision_of(self._mirror.complete) >= answer.known_to:
            # The reply may have been waiting while the process was suspended.
            took_ms = self._ctx.clock.boot_ms() - requested_boot_ms
            self._ctx.freshness.confirm(answer.copy_age_ms + took_ms)

    def _apply_open_work(self, update: EntryNews) -> None:
        now_ms = self._ctx.clock.now_ms()
        by_target = {work.target: work for work in update.open_work or ()}
        for target in self._ctx.directory.all():
            work = by_target.get(target.id)
            if work is None:
                target.load.clear_peer_load(update.sender)
                continue
            load = PeerLoad(
                work.runs,
                (work.tokens or [])[:PRIORITIES],
                (work.waiting_tokens or [])[:PRIORITIES],
                now_ms,
            )
            target.load.set_peer_load(update.sender, load)
            self._silences.apply_pace(target, work)

    def _make_client(self, address: str) -> PeerClient:
        return PeerClient(
            address,
            self._name,
            ROLE,
            self._keys,
            lambda: 0,
            lambda _address, _serial: None,
        )


def _trim_zeros(by_priority: Sequence[int]) -> list[int]:
    """Return the numbers without trailing zeros."""
    used = len(by_priority)
    while used and not by_priority[used - 1]:
        used -= 1
    return list(by_priority[:used])


def _log_malformed(update: EntryNews, exc: ValueError) -> None:
    logger.warning(
        'malformed update of an entry',
        extra={'entry': update.sender, 'detail': str(exc)},
    )


def _to_wire(record: Record) -> StoreRecord:
    return StoreRecord(
        record.key,
        revision_of(record.revision),
        record.value is None,
        record.value or b'',
    )


def _named_record(part: RecordPart) -> tuple[str, int]:
    """Return the key and position of a large record that a peer names."""
    if not part.key:
        raise ValueError('a record without a key')
    return part.key, position(part.store_era or 0, part.revision or 0)


def _from_wire(record: StoreRecord, era: int) -> Record:
    value = None if record.removed else record.value
    return Record(record.key, position(era, record.revision), value)
