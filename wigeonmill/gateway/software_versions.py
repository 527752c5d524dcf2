"""The software versions that the targets of each service had recently.

They tell which software began a stream if it can only have been one. The
leader publishes them, so that entries that have just started know them, too.
"""

from collections.abc import Iterable
import logging

import msgspec
from result import Err

from wigeonmill.clock import Clock
from wigeonmill.gateway.freshness import Freshness
from wigeonmill.gateway.freshness import OUT_OF_REACH_MS
from wigeonmill.gateway.leadership import Leadership
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import decode_own
from wigeonmill.gateway.own_records import SOFTWARE_VERSIONS_KEY
from wigeonmill.gateway.own_records import SoftwareVersionsRecord
from wigeonmill.gateway.targets import Directory
from wigeonmill.providers.key_value import LeasedKeys

logger = logging.getLogger(__name__)

# A version counts for this time after its last target is gone. It exceeds the
# time for which a caller may resume a stream.
RETENTION_MS = 60_000.0
# Delay before a failed write is repeated.
RETRY_MS = 1_000.0

Versions = dict[str, list[str]]


class SoftwareVersions:
    """Tracks the versions of each service within the retention time.

    A target that states no version counts as one with an empty version.
    """

    __slots__ = (
        '_clock',
        '_directory',
        '_freshness',
        '_seen_ms',
        '_observed_ms',
        '_published',
        '_revision',
        '_lost',
    )

    def __init__(
        self, clock: Clock, directory: Directory, freshness: Freshness
    ) -> None:
        self._clock = clock
        self._directory = directory
        self._freshness = freshness
        # When each version was last seen, by service. A published version
        # counts as seen when this entry learns of it.
        self._seen_ms: dict[str, dict[str, float]] = {}
        self._observed_ms = float('-inf')
        # The published versions; None if they are not known.
        self._published: Versions | None = None
        self._revision = 0
        # Whether the record was removed or is malformed.
        self._lost = False

    @property
    def revision(self) -> int:
        """The revision of the published record; 0 if there is none."""
        return self._revision

    def update(self, record: Record) -> None:
        """Apply a changed record."""
        if record.revision <= self._revision:
            return
        self._revision = record.revision if record.value is not None else 0
        earlier = self._published or {}
        found = decode_own(record, SoftwareVersionsRecord)
        if found is None:
            self._published = None
            self._lost = True
            return
        self._lost = False
        self._published = found.versions
        for service, versions in found.versions.items():
            known = earlier.get(service, ())
            self._mark_seen(service, (v for v in versions if v not in known))

    def observe(self) -> None:
        """Register the versions of all targets; forget the expired ones."""
        now_ms = self._clock.now_ms()
        interrupted = now_ms - self._observed_ms > OUT_OF_REACH_MS
        if interrupted or self._freshness.out_of_reach:
            # Targets of these versions may have been there unnoticed.
            for service, versions in (self._published or {}).items():
                self._mark_seen(service, versions)
        self._observed_ms = now_ms
        for target in self._directory.all():
            self._mark_seen(target.service, (target.software_version,))
        oldest_ms = now_ms - RETENTION_MS
        for service, seen_ms in list(self._seen_ms.items()):
            for version, at_ms in list(seen_ms.items()):
                if at_ms < oldest_ms:
                    del seen_ms[version]
            if not seen_ms:
                del self._seen_ms[service]

    def only_version(self, service: str) -> str | None:
        """Return the version that began every stream of a service.

        Return None if that may have been more than one, or is not known.
        """
        if not self._is_complete:
            return None
        self.observe()
        versions = self.known(service)
        if len(versions) != 1:
            return None
        # An empty version may stand for several ones.
        return versions.pop() or None

    def mixed_services(self) -> list[str]:
        """Return the services that had several versions recently."""
        published = self._published or {}
        return [
            service
            for service in {*self._seen_ms, *published}
            if len(self.known(service)) > 1
        ]

    def record_origins(self, service: str, versions: Iterable[str]) -> None:
        """Record versions that began streams, though they may be gone."""
        self._mark_seen(service, versions)

    def known(self, service: str) -> set[str]:
        """Return the versions that a service had recently, as far as known."""
        published = self._published or {}
        return {*self._seen_ms.get(service, ()), *published.get(service, ())}

    def to_publish(self) -> Versions | None:
        """Return what is to be published in place of the current record."""
        if self._freshness.out_of_reach:
            return None
        never_published = not self._revision and not self._lost
        if not (self._is_complete or never_published):
            return None
        self.observe()
        versions = {
            service: sorted(seen_ms)
            for service, seen_ms in sorted(self._seen_ms.items())
        }
        return None if versions == (self._published or {}) else versions

    @property
    def _is_complete(self) -> bool:
        """Whether all versions within the retention time are known."""
        if self._freshness.cut_off:
            return False
        return (
            self._published is not None
            or self._freshness.followed_ms >= RETENTION_MS
        )

    def _mark_seen(self, service: str, versions: Iterable[str]) -> None:
        now_ms = self._clock.now_ms()
        for version in versions:
            self._seen_ms.setdefault(service, {})[version] = now_ms


class SoftwareVersionsPublisher:
    """Writes the record of the software versions when they change."""

    __slots__ = ('_clock', '_versions', '_leadership', '_keys', '_retry_at_ms')

    def __init__(
        self,
        clock: Clock,
        versions: SoftwareVersions,
        leadership: Leadership,
        keys: LeasedKeys,
    ) -> None:
        self._clock = clock
        self._versions = versions
        self._leadership = leadership
        self._keys = keys
        self._retry_at_ms = 0.0

    async def step(self) -> None:
        """Publish the versions, if this entry leads and they have changed."""
        if not self._leadership.is_leader:
            return
        if self._clock.now_ms() < self._retry_at_ms:
            return
        versions = self._versions.to_publish()
        if versions is None:
            return
        value = msgspec.json.encode(SoftwareVersionsRecord(versions))
        written = await self._keys.compare_and_swap(
            SOFTWARE_VERSIONS_KEY, self._versions.revision, value
        )
        if isinstance(written, Err):
            # After a conflict the record has to arrive first.
            self._retry_at_ms = self._clock.now_ms() + RETRY_MS
            logger.warning(
                'software versions not published',
                extra={'detail': written.err_value.message},
            )
            return
        revision = written.ok_value
        self._versions.update(Record(SOFTWARE_VERSIONS_KEY, revision, value))
        logger.info(
            'software versions published', extra={'versions': versions}
        )
