"""Keeps the quarantines of prompt parts when all entries start again.

The leader publishes them, so that entries that have just started know them
although no peer can tell them.
"""

import logging

import msgspec
from result import Err

from wigeonmill.clock import Clock
from wigeonmill.gateway.leadership import Leadership
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import decode_own
from wigeonmill.gateway.own_records import PART_QUARANTINES_KEY
from wigeonmill.gateway.own_records import PartQuarantineRecord
from wigeonmill.gateway.own_records import PartQuarantinesRecord
from wigeonmill.gateway.part_guard import PartGuard
from wigeonmill.providers.key_value import LeasedKeys

logger = logging.getLogger(__name__)

# Delay before a failed write is repeated.
RETRY_MS = 1_000.0

# By their parts, whether a request was sent in spite of each quarantine.
Groups = dict[frozenset[bytes], bool]


class PartQuarantines:
    """The published record of the quarantines."""

    __slots__ = ('_clock', '_guard', '_published', '_revision')

    def __init__(self, clock: Clock, guard: PartGuard) -> None:
        self._clock = clock
        self._guard = guard
        self._published: Groups = {}
        self._revision = 0

    @property
    def revision(self) -> int:
        """The revision of the published record; 0 if there is none."""
        return self._revision

    def update(self, record: Record) -> None:
        """Apply a changed record; malformed quarantines are ignored."""
        if record.revision <= self._revision:
            return
        self._revision = record.revision if record.value is not None else 0
        self._published = {}
        found = decode_own(record, PartQuarantinesRecord)
        for item in found.quarantines if found else ():
            parts = _decode_keys(item.parts)
            if not parts:
                logger.warning('malformed quarantine', extra={'item': item})
                continue
            self._published[parts] = item.probe_sent
            # The wall clock may have been set back in between.
            age_ms = max(0, self._clock.wall_ms() - item.since_unix_ms)
            self._guard.adopt(parts, age_ms, 'store', item.probe_sent)

    def to_publish(self) -> bytes | None:
        """Return the record to write in place of the published one, if any."""
        quarantines = self._guard.quarantines()
        groups = {item.parts: item.probe_sent for item in quarantines}
        if groups == self._published:
            return None
        now_ms = self._clock.now_ms()
        wall_ms = self._clock.wall_ms()
        record = PartQuarantinesRecord(
            [
                PartQuarantineRecord(
                    sorted(key.hex() for key in item.parts),
                    int(wall_ms - (now_ms - item.since_ms)),
                    item.probe_sent,
                )
                for item in quarantines
            ]
        )
        return msgspec.json.encode(record)


class PartQuarantinesPublisher:
    """Writes the record of the quarantines when they change."""

    __slots__ = (
        '_clock',
        '_quarantines',
        '_leadership',
        '_keys',
        '_retry_at_ms',
    )

    def __init__(
        self,
        clock: Clock,
        quarantines: PartQuarantines,
        leadership: Leadership,
        keys: LeasedKeys,
    ) -> None:
        self._clock = clock
        self._quarantines = quarantines
        self._leadership = leadership
        self._keys = keys
        self._retry_at_ms = 0.0

    async def step(self) -> None:
        """Publish the quarantines, if this entry leads and they changed."""
        if not self._leadership.is_leader:
            return
        if self._clock.now_ms() < self._retry_at_ms:
            return
        value = self._quarantines.to_publish()
        if value is None:
            return
        written = await self._keys.compare_and_swap(
            PART_QUARANTINES_KEY, self._quarantines.revision, value
        )
        if isinstance(written, Err):
            # After a conflict the record has to arrive first.
            self._retry_at_ms = self._clock.now_ms() + RETRY_MS
            logger.warning(
                'part quarantines not published',
                extra={'detail': written.err_value.message},
            )
            return
        record = Record(PART_QUARANTINES_KEY, written.ok_value, value)
        self._quarantines.update(record)
        logger.info('part quarantines published')


def _decode_keys(texts: list[str]) -> frozenset[bytes]:
    try:
        return frozenset(bytes.fromhex(text) for text in texts)
    except ValueError:
        return frozenset()
