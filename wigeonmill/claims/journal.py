"""One shard's journal with group commit, as its owner writes it."""

import asyncio
import collections
import random

import msgspec
from result import Ok

from wigeonmill.claims.backoff import Backoff
from wigeonmill.claims.head_writer import HeadWriter
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import RETRIES
from wigeonmill.claims.record import ClaimRecord
from wigeonmill.claims.retention import RetentionLease
from wigeonmill.claims.segment import decode_entries
from wigeonmill.claims.segment import encode_entry
from wigeonmill.claims.segment import encode_segment
from wigeonmill.claims.segment import Entry
from wigeonmill.claims.segment import Head
from wigeonmill.claims.segment import SealedSegment
from wigeonmill.claims.segment import segment_key
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.platform.key_value import KeyValue
from wigeonmill.platform.key_value import KvErrorKind

# Largest batch of one write; values hold at most 1 MiB.
MAX_BATCH_BYTES = 512 * 1024
FLUSHES = 'claim_flushes'


class JournalPolicy(msgspec.Struct, frozen=True):
    """Pace and size of a shard's writes.

    Writes keep to one per `flush_interval_ms` on average; after a pause
    `burst` of them may follow each other without waiting. Every write
    carries the whole head, so `segment_bytes` bounds what is written again
    with each flush.
    """

    flush_interval_ms: float = 10.0
    burst: int = 4
    segment_bytes: int = 32 * 1024


class _Waiting:
    """An entry that is not durable yet."""

    __slots__ = ('entry', 'raw', 'size', 'committed')

    def __init__(self, entry: Entry, committed: asyncio.Future) -> None:
        self.entry = entry
        self.raw = encode_entry(entry)
        self.size = len(bytes(self.raw))
        self.committed = committed


class _Sealed:
    """A sealed segment as remembered until its retention is over."""

    __slots__ = ('at_ms', 'size', 'entries')

    def __init__(self, at_ms: float, size: int, entries: list[Entry]) -> None:
        self.at_ms = at_ms
        self.size = size
        self.entries = entries


class ShardJournal:
    """Appends entries; many share one compare-and-swap of the head.

    `lost` is set for good once another process owns the shard. Entries
    that were waiting then are either in the journal that the new owner
    read or never will be.
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
        self._head_bytes = _size(head.entries)
        # Entries of the head, in journal order.
        self.head_entries = decode_entries(head.entries)
        # The durable state of every key, by name.
        self.records: dict[str, ClaimRecord] = {}
        self.records.update((e.name, e.record) for e in self.head_entries)
        self._appended_ms = clock.now_ms()
        self._seal_next = False
        self._sealed: collections.deque[_Sealed] = collections.deque()
        self._sealed_bytes = 0
        self._queue: list[_Waiting] = []
        self._queue_bytes = 0
        self._flusher: asyncio.Task | None = None
        self._next_flush_ms = float('-inf')
        self.lost = False

    @property
    def size_bytes(self) -> int:
        """Bytes of entries kept, those under way included."""
        return self._sealed_bytes + self._head_bytes + self._queue_bytes

    def load_sealed(self, raws: list[msgspec.Raw]) -> None:
        """Take in what an earlier owner sealed; call newest first."""
        entries = decode_entries(raws)
        size = _size(raws)
        self._sealed.appendleft(_Sealed(self._clock.now_ms(), size, entries))
        self._sealed_bytes += size
        for entry in reversed(entries):
            self.records.setdefault(entry.name, entry.record)

    def _remember_sealed(self, size: int, entries: list[Entry]) -> None:
        now_ms = self._clock.now_ms()
        self._sealed.append(_Sealed(now_ms, size, entries))
        self._sealed_bytes += size

    def drop_expired(self) -> None:
        """Forget entries past retention."""
        oldest_ms = self._clock.now_ms() - self._retention.longest_ms
        expired: list[Entry] = []
        while self._sealed and self._sealed[0].at_ms < oldest_ms:
            segment = self._sealed.popleft()
            self._sealed_bytes -= segment.size
            expired += segment.entries
        if self.head_entries and self._appended_ms < oldest_ms:
            expired += self.head_entries
            self.head_entries = []
            self._seal_next = True
        for entry in expired:
            if self.records.get(entry.name) is entry.record:
                del self.records[entry.name]

    async def append(self, name: str, record: ClaimRecord) -> bool:
        """Return True once the entry is durable, False when `lost`."""
        if self.lost:
            return False
        committed = asyncio.get_running_loop().create_future()
        waiting = _Waiting(Entry(name, record), committed)
        self._queue.append(waiting)
        self._queue_bytes += waiting.size
        if self._flusher is None or self._flusher.done():
            self._flusher = asyncio.ensure_future(self._flush_all())
        return await committed

    async def hand_over(self) -> None:
        """Write what is queued, then leave the shard without an owner."""
        if self._flusher is not None:
            await self._flusher
        head = msgspec.structs.replace(self._writer.head, address='')
        if not self.lost:
            await self._writer.swap(head)
        self.lost = True

    async def _flush_all(self) -> None:
        while self._queue and not self.lost:
            await self._pace()
            batch = self._take_batch()
            if not await self._flush(batch):
                self._lose(batch)
                return
            self._metrics.count(FLUSHES)
            for waiting in batch:
                self.records[waiting.entry.name] = waiting.entry.record
                _resolve(waiting.committed, True)

    async def _pace(self) -> None:
        """Wait for the next write's turn."""
        interval_ms = self._policy.flush_interval_ms
        left_ms = self._next_flush_ms - self._clock.now_ms()
        if left_ms > 0:
            await asyncio.sleep(left_ms / 1000.0)
        saved_ms = (self._policy.burst - 1) * interval_ms
        earliest_ms = self._clock.now_ms() - saved_ms
        self._next_flush_ms = max(self._next_flush_ms, earliest_ms)
        self._next_flush_ms += interval_ms

    def _take_batch(self) -> list[_Waiting]:
        size = 0
        batch: list[_Waiting] = []
        for waiting in self._queue:
            if batch and size + waiting.size > MAX_BATCH_BYTES:
                break
            size += waiting.size
            batch.append(waiting)
        self._queue_bytes -= size
        del self._queue[: len(batch)]
        return batch

    def _lose(self, batch: list[_Waiting]) -> None:
        self.lost = True
        waiting, self._queue = batch + self._queue, []
        for one in waiting:
            _resolve(one.committed, False)

    async def _flush(self, batch: list[_Waiting]) -> bool:
        added = [waiting.raw for waiting in batch]
        entries = [waiting.entry for waiting in batch]
        size = sum(waiting.size for waiting in batch)
        fits = self._head_bytes + size <= self._policy.segment_bytes
        if (self._seal_next or not fits) and self._writer.head.entries:
            return await self._flush_sealed(added, entries, size)
        raws = self._writer.head.entries + added
        head = msgspec.structs.replace(self._writer.head, entries=raws)
        if not await self._writer.swap(head):
            return False
        self._head_bytes += size
        self.head_entries += entries
        self._appended_ms = self._clock.now_ms()
        return True

    async def _flush_sealed(
        self, added: list[msgspec.Raw], entries: list[Entry], size: int
    ) -> bool:
        """Seal the head's entries and start the next segment."""
        head = msgspec.structs.replace(
            self._writer.head,
            number=self._writer.head.number + 1,
            previous=await self._seal(),
            entries=added,
        )
        if not await self._writer.swap(head):
            return False
        self._remember_sealed(self._head_bytes, self.head_entries)
        self._seal_next = False
        self._head_bytes = size
        self.head_entries = entries
        self._appended_ms = self._clock.now_ms()
        return True

    async def _seal(self) -> str:
        """Write the head's entries under a name of their own.

        Returns the key. Only the head's next write makes it count.
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
                # The name is this tenure's: what is there is this segment.
                if kind is KvErrorKind.CONFLICT:
                    return key
                self._metrics.count(RETRIES, kind.value)
                if kind is KvErrorKind.INVALID:
                    self._retention.forget(lease)
            await backoff.pause()


def _resolve(committed: asyncio.Future, result: bool) -> None:
    if not committed.done():
        committed.set_result(result)


def _size(raws: list[msgspec.Raw]) -> int:
    return sum(len(bytes(raw)) for raw in raws)


def new_head(
    tenure: bytes, owner: Holder, address: str, old: Head | None
) -> Head:
    """Return the head with which a process takes a shard over."""
    if old is None:
        return Head(tenure, owner, address, 0, '', [])
    return msgspec.structs.replace(
        old, tenure=tenure, owner=owner, address=address
    )
