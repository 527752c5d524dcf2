"""Gets large records from other entries, in parts.

Load: slow links, on which a large record takes long to arrive and a second
transfer of it at the same time would delay both. A record is asked of one
entry at a time. A transfer goes on at its last byte, from the next entry that
has the record if one is silent, and is finished before that of a newer record
is begun.
"""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
import logging

from result import Err
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.record_delta import decode_value
from wigeonmill.gateway.record_sender import BUSY
from wigeonmill.gateway.record_sender import digest_of
from wigeonmill.gateway.revisions import era_of
from wigeonmill.gateway.revisions import revision_of
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerError
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import RecordPart

logger = logging.getLogger(__name__)

# Silence after which a part is asked of another entry.
PART_TIMEOUT_MS = 1_000.0
BUSY_PAUSE_MS = 50.0
# Limit of the records that are awaited at the same time.
MAX_AWAITED = 64
MAX_SOURCES = 8

Ask = Callable[[str, Envelope, float], Awaitable[Result[Envelope, PeerError]]]


class _Awaited:
    """A record that other entries have, and what has arrived of it."""

    __slots__ = ('key', 'at', 'sources', 'basis', 'data', 'digest', 'begun_ms')

    def __init__(
        self, key: str, at: int, basis: Record | None, begun_ms: float
    ) -> None:
        self.key = key
        self.at = at
        # Inner addresses; the first one is asked.
        self.sources: list[str] = []
        self.basis = basis
        self.data = bytearray()
        self.digest: bytes | None = None
        self.begun_ms = begun_ms

    def add_source(self, address: str) -> None:
        """Add an entry that has the record."""
        if address not in self.sources and len(self.sources) < MAX_SOURCES:
            self.sources.append(address)


class RecordFetcher:
    """Fetches the large records that other entries announce."""

    __slots__ = (
        '_clock',
        '_metrics',
        '_name',
        '_mirror',
        '_ask',
        '_on_received',
        '_awaited',
        '_later_era',
        '_next',
        '_tasks',
        '_part_ms',
    )

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        name: str,
        mirror: Mirror,
        ask: Ask,
        on_received: Callable[[], None],
    ) -> None:
        """Create the fetcher of an entry.

        `on_received` is called after a record was put into the mirror.
        """
        self._clock = clock
        self._metrics = metrics
        self._name = name
        self._mirror = mirror
        self._ask = ask
        self._on_received = on_received
        self._awaited: dict[str, _Awaited] = {}
        # Records of an era that the mirror has not begun.
        self._later_era: dict[str, Record] = {}
        # The newest version of a record of which another one is arriving.
        self._next: dict[str, _Awaited] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._part_ms = float('-inf')

    @property
    def is_receiving(self) -> bool:
        """Whether parts of a record are arriving."""
        silence_ms = self._clock.now_ms() - self._part_ms
        return silence_ms < PART_TIMEOUT_MS and any(
            not task.done() for task in self._tasks.values()
        )

    def has(self, key: str, at: int) -> bool:
        """Whether there is a record of a position, or a newer one."""
        known = self.record(key)
        return known is not None and known.revision >= at

    def record(self, key: str) -> Record | None:
        """Return a record, which the mirror lacks if its era is later."""
        later = self._later_era.get(key)
        if later and era_of(later.revision) > era_of(self._mirror.complete):
            return later
        self._later_era.pop(key, None)
        return self._mirror.get(key)

    def fetch(self, key: str, at: int, source: str) -> None:
        """Get a record of a position that the entry at `source` has."""
        if self.has(key, at):
            return
        awaited = self._choose(key, at)
        if awaited is None or awaited.at != at:
            return
        awaited.add_source(source)
        task = self._tasks.get(key)
        if task is None or task.done():
            self._tasks[key] = asyncio.ensure_future(self._run(key))

    def close(self) -> None:
        """Cancel all transfers."""
        for task in list(self._tasks.values()):
            task.cancel()

    def _choose(self, key: str, at: int) -> _Awaited | None:
        """Return the transfer of the version that is awaited of a record."""
        current = self._awaited.get(key)
        if current is not None and current.at >= at:
            return current
        begun_ms = self._clock.now_ms()
        newer = _Awaited(key, at, self._mirror.get(key), begun_ms)
        if current is None or not current.sources:
            if current is None and len(self._awaited) >= MAX_AWAITED:
                return None
            self._awaited[key] = newer
            return newer
        known = self._next.get(key)
        if known is None or known.at < at:
            self._next[key] = known = newer
        return known

    async def _run(self, key: str) -> None:
        """Get a record, and then the version that has replaced it, if any."""
        while True:
            awaited = self._awaited[key]
            while awaited.sources and not self.has(key, awaited.at):
                await self._fetch_part(awaited)
            if self.has(key, awaited.at):
                del self._awaited[key]
                self._on_received()
            later = self._next.pop(key, None)
            if later is None or self.has(key, later.at):
                return
            later.basis = self._mirror.get(key)
            self._awaited[key] = later

    async def _fetch_part(self, awaited: _Awaited) -> None:
        source = awaited.sources[0]
        basis = awaited.basis
        request = RecordPart(
            sender=self._name,
            key=awaited.key,
            revision=revision_of(awaited.at),
            store_era=era_of(awaited.at),
            basis=self._basis_revision(basis, awaited.at),
            offset=len(awaited.data),
        )
        reply = await self._ask(
            source,
            Envelope(Kind.RECORD_PART, record_part=request),
            PART_TIMEOUT_MS,
        )
        part = None if isinstance(reply, Err) else reply.ok_value.record_part
        if part is None:
            self._give_up(awaited, source, 'silent')
        elif part.refusal == BUSY:
            # The others may be free.
            awaited.sources.append(awaited.sources.pop(0))
            await asyncio.sleep(BUSY_PAUSE_MS / 1000.0)
        elif part.refusal or not part.size or not part.digest:
            self._give_up(awaited, source, 'unknown')
        else:
            self._part_ms = self._clock.now_ms()
            self._add_part(awaited, source, part)

    def _add_part(
        self, awaited: _Awaited, source: str, part: RecordPart
    ) -> None:
        if awaited.digest != part.digest:
            # Another entry may encode the record in another way.
            self._metrics.count('record_transfers', 'begun')
            begins = not awaited.data
            awaited.data.clear()
            awaited.digest = part.digest
            if not begins:
                return
        awaited.data += part.data or b''
        if not part.data:
            self._give_up(awaited, source, 'malformed')
        elif len(awaited.data) >= part.size:
            self._complete(awaited, source, part)

    def _complete(
        self, awaited: _Awaited, source: str, part: RecordPart
    ) -> None:
        basis = awaited.basis.value if awaited.basis and part.basis else None
        data = bytes(awaited.data)
        try:
            if digest_of(data) != awaited.digest:
                raise ValueError('the digest differs')
            value = decode_value(data, basis)
        except ValueError as exc:
            awaited.data.clear()
            awaited.digest = None
            awaited.basis = None
            logger.warning(
                'record of another entry not usable',
                extra={'key': awaited.key, 'detail': str(exc)},
            )
            self._give_up(awaited, source, 'malformed')
            return
        self._metrics.count('record_transfers', 'complete')
        logger.info(
            'record received from another entry',
            extra={
                'key': awaited.key,
                'revision': revision_of(awaited.at),
                'address': source,
                'bytes': len(value),
                'transferred_bytes': len(data),
                'basis': part.basis,
                'took_ms': round(self._clock.now_ms() - awaited.begun_ms),
            },
        )
        record = Record(awaited.key, awaited.at, value)
        if era_of(record.revision) > era_of(self._mirror.complete):
            # Only a listing begins an era.
            self._later_era[record.key] = record
        else:
            self._mirror.apply([record])

    def _give_up(self, awaited: _Awaited, source: str, reason: str) -> None:
        """Go on with another entry; what has arrived is kept."""
        awaited.sources.remove(source)
        self._metrics.count('record_transfers', reason)
        logger.info(
            'record not received from another entry',
            extra={
                'key': awaited.key,
                'revision': revision_of(awaited.at),
                'address': source,
                'reason': reason,
                'received_bytes': len(awaited.data),
            },
        )

    def _basis_revision(self, basis: Record | None, at: int) -> int:
        """Return the revision of the value to encode against (0: none)."""
        if basis is None or basis.value is None:
            return 0
        if era_of(basis.revision) != era_of(at):
            return 0
        return revision_of(basis.revision)
