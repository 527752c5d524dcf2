"""Keeps the origins of open streams when all entries are lost at once.

Entries and their peers keep origins in memory. While targets of a service run
several software versions, each entry also writes those of its open streams to
the key-value service. A record names only streams whose callers have an event,
as the origin of such a stream never changes. So an old record lacks streams,
but is not wrong.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
import logging
import zlib

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import decode_own
from wigeonmill.gateway.own_records import ORIGINS_PREFIX
from wigeonmill.gateway.own_records import OriginsRecord
from wigeonmill.gateway.software_versions import SoftwareVersions
from wigeonmill.gateway.stream_origins import StreamOrigin
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind
from wigeonmill.providers.key_value import LeasedKeys

logger = logging.getLogger(__name__)

# All entries together write this often, and one no more often than at the
# interval. Those of a small fleet write at the same times, so that the entries
# that watch the key-value service read several records at once.
FLEET_WRITES_PER_S = 15.0
MIN_INTERVAL_MS = 400.0
MAX_ALIGNED_ENTRIES = 8
RETRY_MS = 1_000.0
# A caller may take up a broken stream for this time.
RESUMABLE_MS = 15_000.0
# Records outlive their entry for this time at least.
LEASE_TERM_MS = 60_000
LEASE_RENEWAL_MS = 20_000.0
# Limit of the streams in one record; broken ones are left out first.
MAX_STREAMS = 2_000
MAX_REQUEST_ID_LENGTH = 256


class OpenStreams:
    """The streams that callers of this entry may have to take up.

    They are identified by the request that began them.
    """

    __slots__ = ('_clock', '_open', '_broken')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._open: dict[str, StreamOrigin] = {}
        # Those that broke off, the first one first, and until when they may
        # be taken up.
        self._broken: dict[str, tuple[StreamOrigin, float]] = {}

    def begin(self, request_id: str, origin: StreamOrigin) -> None:
        """Record that the caller of a stream has an event of it."""
        if 0 < len(request_id) <= MAX_REQUEST_ID_LENGTH:
            self._broken.pop(request_id, None)
            self._open[request_id] = origin

    def end(self, request_id: str, complete: bool) -> None:
        """Record the end of a stream; an incomplete one may be taken up."""
        self._drop_expired()
        origin = self._open.pop(request_id, None)
        if origin is not None and not complete:
            until_ms = self._clock.now_ms() + RESUMABLE_MS
            self._broken[request_id] = (origin, until_ms)

    def of_services(
        self, services: Collection[str]
    ) -> Iterator[tuple[str, StreamOrigin]]:
        """Return the streams with a version of some services.

        Broken ones come first.
        """
        self._drop_expired()
        broken = [(id_, origin) for id_, (origin, _) in self._broken.items()]
        for request_id, origin in (*broken, *self._open.items()):
            if origin.service in services and origin.software_version:
                yield request_id, origin

    def __len__(self) -> int:
        return len(self._open) + len(self._broken)

    def _drop_expired(self) -> None:
        now_ms = self._clock.now_ms()
        while self._broken:
            request_id, (_origin, until_ms) = next(iter(self._broken.items()))
            if until_ms >= now_ms:
                return
            del self._broken[request_id]


class OriginRecords:
    """The origins in the records of all entries, also of lost ones."""

    __slots__ = ('_versions', '_by_key')

    def __init__(self, versions: SoftwareVersions) -> None:
        self._versions = versions
        self._by_key: dict[str, dict[str, StreamOrigin]] = {}

    def update(self, record: Record) -> None:
        """Apply a changed record."""
        self._by_key.pop(record.key, None)
        found = decode_own(record, OriginsRecord)
        if found is None:
            return
        origins = self._by_key[record.key] = {}
        for service, by_version in found.origins.items():
            for version, request_ids in by_version.items():
                # An empty version may stand for several ones.
                if version:
                    origin = StreamOrigin(service, version)
                    origins.update(dict.fromkeys(request_ids, origin))
            self._versions.record_origins(service, by_version)

    def get(self, request_id: str) -> StreamOrigin | None:
        """Return the origin of a stream, if all records agree on it."""
        found = {
            origins[request_id]
            for origins in self._by_key.values()
            if request_id in origins
        }
        return found.pop() if len(found) == 1 else None

    def describe(self, service: str) -> dict[str, object]:
        """Return what is known of the versions of a service, for the log."""
        return {
            'versions': sorted(self._versions.known(service)),
            'recorded': len(self),
        }

    def __len__(self) -> int:
        return sum(len(origins) for origins in self._by_key.values())


class OriginPublisher:
    """Writes the record of this entry when streams have begun."""

    __slots__ = (
        '_clock',
        '_metrics',
        '_streams',
        '_versions',
        '_keys',
        '_prefix',
        '_entry_count',
        '_terms',
        '_key',
        '_revision',
        '_lease',
        '_renewed_ms',
        '_slot',
        '_retry_at_ms',
        '_published',
        '_restores',
    )

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        streams: OpenStreams,
        versions: SoftwareVersions,
        keys: LeasedKeys,
        process: str,
        entry_count: Callable[[], int],
    ) -> None:
        """Create the publisher of the process with this unique name."""
        self._clock = clock
        self._metrics = metrics
        self._streams = streams
        self._versions = versions
        self._keys = keys
        self._prefix = f'{ORIGINS_PREFIX}{process}'
        self._entry_count = entry_count
        self._terms = 0
        self._key = ''
        self._revision = 0
        self._lease = 0
        self._renewed_ms = 0.0
        self._slot = 0
        self._retry_at_ms = 0.0
        self._published: set[str] = set()
        # How often the key-value service lost all leases.
        self._restores = 0

    async def step(self) -> None:
        """Write the record if that is due and it lacks a stream."""
        slot = int(self._slot_time_ms() // self._interval_ms())
        if slot == self._slot or self._clock.now_ms() < self._retry_at_ms:
            return
        self._slot = slot
        mixed = self._versions.mixed_services()
        if not mixed:
            return
        found = dict(list(self._streams.of_services(mixed))[-MAX_STREAMS:])
        if found.keys() <= self._published:
            return
        restores = self._restores
        written = await self._write(found)
        if restores != self._restores:
            return
        if isinstance(written, Err):
            self._handle_failure(written.err_value)
            return
        self._revision = written.ok_value
        self._published = set(found)

    def key_value_restored(self) -> None:
        """Write a new record: the service lost the lease with the old one."""
        self._restores += 1
        self._lease = 0
        self._published = set()

    def pause_ms(self) -> float:
        """Return the time until the next write may be due."""
        interval_ms = self._interval_ms()
        return interval_ms - self._slot_time_ms() % interval_ms

    def _slot_time_ms(self) -> float:
        """Return the time from which the slots for writes are counted."""
        aligned = self._entry_count() <= MAX_ALIGNED_ENTRIES
        offset_ms = 0 if aligned else zlib.crc32(self._prefix.encode())
        return self._clock.wall_ms() + offset_ms

    def _interval_ms(self) -> float:
        fleet_ms = 1_000.0 * self._entry_count() / FLEET_WRITES_PER_S
        return max(MIN_INTERVAL_MS, fleet_ms)

    async def _write(
        self, found: dict[str, StreamOrigin]
    ) -> Result[int, KvError]:
        leased = await self._ensure_lease()
        if isinstance(leased, Err):
            return leased
        by_service: dict[str, dict[str, list[str]]] = {}
        for request_id, origin in found.items():
            by_version = by_service.setdefault(origin.service, {})
            ids = by_version.setdefault(origin.software_version, [])
            ids.append(request_id)
        value = msgspec.json.encode(OriginsRecord(by_service))
        return await self._keys.compare_and_swap(
            self._key, self._revision, value, self._lease
        )

    async def _ensure_lease(self) -> Result[None, KvError]:
        now_ms = self._clock.now_ms()
        if self._lease and now_ms < self._renewed_ms + LEASE_RENEWAL_MS:
            return Ok(None)
        if self._lease:
            renewed = await self._keys.keep_alive(self._lease)
            if not isinstance(renewed, Err):
                self._renewed_ms = now_ms
            return renewed
        restores = self._restores
        granted = await self._keys.grant_lease(LEASE_TERM_MS)
        if isinstance(granted, Err):
            return granted
        if restores != self._restores:
            message = 'the key-value service was restored'
            return Err(KvError(KvErrorKind.UNAVAILABLE, message))
        self._lease = granted.ok_value
        self._renewed_ms = now_ms
        self._terms += 1
        self._key = f'{self._prefix}/{self._terms}'
        self._revision = 0
        return Ok(None)

    def _handle_failure(self, error: KvError) -> None:
        self._metrics.count('stream_origins_not_stored', error.kind.value)
        logger.info(
            'origins not stored',
            extra={'key': self._key, 'detail': error.message},
        )
        self._retry_at_ms = self._clock.now_ms() + RETRY_MS
        if error.kind is not KvErrorKind.UNAVAILABLE:
            # The revision of the record is not known. The next one has a key
            # of its own, and this one expires.
            self._lease = 0
            self._published = set()
