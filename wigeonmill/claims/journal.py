"""The journal of one shard, written by its owner with group commit."""

import asyncio
import random

import msgspec
from result import Ok

from wigeonmill.claims.backoff import Backoff
from wigeonmill.claims.head_writer import HeadWriter
from wigeonmill.claims.key_index import KeyIndex
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import RETRIES
from wigeonmill.claims.record import ClaimRecord
from wigeonmill.claims.record import encode_record
from wigeonmill.claims.retention import RetentionLease
from wigeonmill.claims.segment import decode_entries
from wigeonmill.claims.segment import encode_entry
from wigeonmill.claims.segment import encode_segment
from wigeonmill.claims.segment import Head
from wigeonmill.claims.segment import SealedSegment
from wigeonmill.claims.segment import segment_key
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.providers.key_value import KvErrorKind

# Maximum batch of one write; the key-value service limits values to 1 MiB.
MAX_BATCH_BYTES = 512 * 1024
FLUSHES = 'claim_flushes'


class JournalPolicy(msgspec.Struct, frozen=True):
    """Rate and size of a shard's writes.

    There is one write per `flush_interval_ms` on average; after an idle
    period, `burst` writes may follow each other without a wait. Every write
    contains the whole head, so `segment_bytes` bounds the bytes that each
    flush writes again.
    """

    flush_interval_ms: float = 10.0
    burst: int = 4
    segment_bytes: int = 32 * 1024


class _PendingEntry:
    """An entry that is not durable yet."""

    __slots__ = ('name', 'record', 'raw', 'size', 'committed')

    def __init__(
        self, name: str, record: bytes, committed: asyncio.Future
    ) -> None:
        self.name = name
        self.record = record
        self.raw = encode_entry(name, record)
        self.size = len(bytes(self.raw))
        self.committed = committed


class ShardJournal:
    """Appends entries; one compare-and-swap of the head commits many.

    `lost` is set permanently once another process owns the shard. An entry
    that was pending at that time is either in the journal that the new
    owner read or will never be in it.
    """

    def __init__(
        self,
        kv: KeyValue,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        retention: RetentionLease,
        policy: JournalPolicy,
        shard: int,
        head: Head,
        version: int,
    ) -> None:
        self._kv = kv
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._retention = retention
        self._policy = policy
        self._shard = shard
        self._writer = HeadWriter(kv, metrics, rng, shard, head, version)
        self._head_bytes = _total_bytes(head.entries)
        self._index = KeyIndex(clock, retention.max_lifetime_ms)
        self._queue: list[_PendingEntry] = []
        self._queue_bytes = 0
        self._flusher: asyncio.Task | None = None
        self._next_flush_ms = float('-inf')
        self.lost = False
        for entry in decode_entries(head.entries):
            self._index.add(entry.name, bytes(entry.record), head.number)

    @property
    def key_count(self) -> int:
        """Number of keys in the index."""
        return self._index.key_count

    @property
    def size_bytes(self) -> int:
        """Bytes of the retained and the pending entries."""
        return self._index.sealed_bytes + self._head_bytes + self._queue_bytes

    def get(self, name: str) -> ClaimRecord | None:
        """Return the durable state of a key."""
        return self._index.get(name)

    def load_sealed(self, segments: list[SealedSegment]) -> None:
        """Index the segments that earlier owners sealed, newest first."""
        number = self._writer.head.number
        for segment in segments:
            number -= 1
            size = _total_bytes(segment.entries)
            entries = decode_entries(segment.entries)
            self._index.load_older(number, size, entries)

    def drop_expired(self) -> None:
        """Drop the entries past retention."""
        self._index.drop_expired()

    async def append(self, name: str, record: ClaimRecord) -> bool:
        """Return True once the entry is durable, False if `lost`."""
        if self.lost:
            return False
        committed = asyncio.get_running_loop().create_future()
        pending = _PendingEntry(name, encode_record(record), committed)
        self._queue.append(pending)
        self._queue_bytes += pending.size
        if self._flusher is None or self._flusher.done():
            self._flusher = asyncio.ensure_future(self._flush_all())
        return await committed

    async def hand_over(self) -> None:
        """Flush the queue, then mark the shard as having no owner."""
        if self._flusher is not None:
            await self._flusher
        head = msgspec.structs.replace(self._writer.head, address='')
        if not self.lost:
            await self._writer.swap(head)
        self.lost = True

    async def _flush_all(self) -> None:
        while self._queue and not self.lost:
            await self._pace()
            batch = self._next_batch()
            if not await self._flush(batch):
                self._fail_pending(batch)
                return
            self._metrics.count(FLUSHES)
            for pending in batch:
                _resolve(pending.committed, True)

    async def _pace(self) -> None:
        """Wait until the rate limit allows the next write."""
        interval_ms = self._policy.flush_interval_ms
        remaining_ms = self._next_flush_ms - self._clock.now_ms()
        if remaining_ms > 0:
            await asyncio.sleep(remaining_ms / 1000.0)
        burst_ms = (self._policy.burst - 1) * interval_ms
        earliest_ms = self._clock.now_ms() - burst_ms
        self._next_flush_ms = max(self._next_flush_ms, earliest_ms)
        self._next_flush_ms += interval_ms

    def _next_batch(self) -> list[_PendingEntry]:
        size = 0
        batch: list[_PendingEntry] = []
        for pending in self._queue:
            if batch and size + pending.size > MAX_BATCH_BYTES:
                break
            size += pending.size
            batch.append(pending)
        self._queue_bytes -= size
        del self._queue[: len(batch)]
        return batch

    def _fail_pending(self, batch: list[_PendingEntry]) -> None:
        self.lost = True
        pending, self._queue = batch + self._queue, []
        for entry in pending:
            _resolve(entry.committed, False)

    async def _flush(self, batch: list[_PendingEntry]) -> bool:
        size = sum(pending.size for pending in batch)
        fits = self._head_bytes + size <= self._policy.segment_bytes
        full = self._index.head_expired or not fits
        added = [pending.raw for pending in batch]
        if full and self._writer.head.entries:
            written = await self._flush_sealed(added)
        else:
            raws = self._writer.head.entries + added
            head = msgspec.structs.replace(self._writer.head, entries=raws)
            written = await self._writer.swap(head)
        if written:
            self._head_bytes += size
            number = self._writer.head.number
            for entry in batch:
                self._index.add(entry.name, entry.record, number)
        return written

    async def _flush_sealed(self, added: list[msgspec.Raw]) -> bool:
        """Seal the head's entries and start the next segment."""
        old = self._writer.head
        previous = await self._seal()
        head = msgspec.structs.replace(
            old, number=old.number + 1, previous=previous, entries=added
        )
        if not await self._writer.swap(head):
            return False
        self._index.seal(old.number, self._head_bytes)
        self._head_bytes = 0
        return True

    async def _seal(self) -> str:
        """Write the head's entries as a sealed segment; return its key.

        The segment becomes part of the journal with the next write of the
        head.
        """
        head = self._writer.head
        key = segment_key(self._shard, head.number, head.tenure)
        segment = SealedSegment(head.previous, head.entries)
        data = encode_segment(segment)
        backoff = Backoff(self._rng)
        while True:
            lease = await self._retention.current()
            if lease:
                swapped = await self._kv.compare_and_swap(key, 0, data, lease)
                if isinstance(swapped, Ok):
                    return key
                kind = swapped.err_value.kind
                # Only this tenure writes this key: the segment is stored.
                if kind is KvErrorKind.CONFLICT:
                    return key
                self._metrics.count(RETRIES, kind.value)
                if kind is KvErrorKind.INVALID:
                    self._retention.invalidate(lease)
            await backoff.pause()


def _resolve(committed: asyncio.Future, result: bool) -> None:
    if not committed.done():
        committed.set_result(result)


def _total_bytes(raws: list[msgspec.Raw]) -> int:
    return sum(len(bytes(raw)) for raw in raws)


def new_head(
    tenure: bytes, owner: Holder, address: str, old: Head | None
) -> Head:
    """Return the head that a process writes to take over a shard."""
    if old is None:
        return Head(tenure, owner, address, 0, '', [])
    return msgspec.structs.replace(
        old, tenure=tenure, owner=owner, address=address
    )
