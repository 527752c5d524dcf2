"""Sends large records to other entries, in parts that they ask for.

Load: entries behind slow links whose configuration takes a second or more to
arrive. Open work, losses and limits use the same connections and must not wait
for it, so no part takes long, and few entries are served at the same time. A
transfer that has begun goes on after the record has been replaced.
"""

import collections
from collections.abc import Iterable
from hashlib import blake2b

from wigeonmill.clock import Clock
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.record_delta import encode_value
from wigeonmill.gateway.revisions import era_of
from wigeonmill.gateway.revisions import position
from wigeonmill.gateway.revisions import revision_of
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import RecordPart

# Values that are longer are sent in parts.
LARGE_VALUE_BYTES = 16 * 1024
PART_BYTES = 32 * 1024
# Limit of the entries that are served at the same time, and the time after
# its last request for which an entry counts.
MAX_SERVED = 2
SERVED_MS = 400.0
# Limits of the values and of the encoded ones that are kept for transfers in
# progress and as the basis of later ones.
MAX_KEPT_BYTES = 8 * 1024 * 1024
MAX_ENCODED_BYTES = 4 * 1024 * 1024
DIGEST_BYTES = 16

BUSY = 'busy'
UNKNOWN = 'unknown'

_Version = tuple[str, int]


def digest_of(encoded: bytes) -> bytes:
    """Return what identifies an encoded value."""
    return blake2b(encoded, digest_size=DIGEST_BYTES).digest()


def is_large(record: Record) -> bool:
    """Whether a record is sent in parts."""
    return record.value is not None and len(record.value) > LARGE_VALUE_BYTES


class RecordSender:
    """Answers the requests of other entries for parts of large records."""

    __slots__ = (
        '_clock',
        '_metrics',
        '_name',
        '_mirror',
        '_values',
        '_encoded',
        '_served',
    )

    def __init__(
        self, clock: Clock, metrics: Metrics, name: str, mirror: Mirror
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._name = name
        self._mirror = mirror
        # By key and position, oldest first.
        self._values: collections.OrderedDict[_Version, bytes] = (
            collections.OrderedDict()
        )
        self._encoded: collections.OrderedDict[
            tuple[str, int, int], tuple[bytes, bytes]
        ] = collections.OrderedDict()
        # When each entry that is being served sent its last request.
        self._served: dict[str, float] = {}
        mirror.subscribe(self._keep)

    def announce(self, records: Iterable[Record]) -> list[RecordPart]:
        """Return what names large records in an update."""
        return [
            RecordPart(
                key=record.key,
                revision=revision_of(record.revision),
                store_era=era_of(record.revision),
                size=len(record.value or b''),
            )
            for record in records
        ]

    def answer(self, asked: RecordPart) -> RecordPart:
        """Return the part that an entry asks for, or a refusal.

        Raises ValueError if the request is malformed.
        """
        at = position(asked.store_era or 0, asked.revision)
        offset = asked.offset or 0
        if offset < 0:
            raise ValueError(f'no offset: {offset}')
        reply = RecordPart(
            sender=self._name,
            key=asked.key,
            revision=asked.revision,
            store_era=asked.store_era,
            basis=0,
            offset=offset,
        )
        if self._value(asked.key, at) is None:
            reply.refusal = UNKNOWN
        elif not self._admit(asked.sender or ''):
            reply.refusal = BUSY
        else:
            self._add_data(reply, at, asked.basis or 0)
        outcome = reply.refusal or 'sent'
        self._metrics.count('record_parts', outcome)
        return reply

    def _add_data(self, reply: RecordPart, at: int, basis: int) -> None:
        basis_at = position(reply.store_era or 0, basis) if basis else 0
        if self._value(reply.key, basis_at) is None:
            basis = basis_at = 0
        digest, encoded = self._encode(reply.key, at, basis_at)
        reply.basis = basis
        reply.size = len(encoded)
        reply.digest = digest
        reply.data = encoded[reply.offset : reply.offset + PART_BYTES]

    def _encode(self, key: str, at: int, basis_at: int) -> tuple[bytes, bytes]:
        found = self._encoded.get((key, at, basis_at))
        if found is None:
            value = self._value(key, at) or b''
            encoded = encode_value(value, self._value(key, basis_at))
            found = digest_of(encoded), encoded
            self._encoded[key, at, basis_at] = found
            kept = sum(len(data) for _digest, data in self._encoded.values())
            while kept > MAX_ENCODED_BYTES and len(self._encoded) > 1:
                _key, (_digest, data) = self._encoded.popitem(last=False)
                kept -= len(data)
        return found

    def _value(self, key: str, at: int) -> bytes | None:
        """Return the value of a position, which may have been replaced."""
        value = self._values.get((key, at))
        record = self._mirror.get(key)
        # A restore of the service changes positions without notice.
        if value is None and record is not None and record.revision == at:
            value = record.value
        return value

    def _admit(self, entry: str) -> bool:
        now_ms = self._clock.now_ms()
        self._served = {
            name: asked_ms
            for name, asked_ms in self._served.items()
            if now_ms - asked_ms < SERVED_MS
        }
        if entry not in self._served and len(self._served) >= MAX_SERVED:
            return False
        self._served[entry] = now_ms
        return True

    def _keep(self, record: Record) -> None:
        if record.value is None or not is_large(record):
            return
        self._values[record.key, record.revision] = record.value
        kept = sum(len(value) for value in self._values.values())
        while kept > MAX_KEPT_BYTES and len(self._values) > 1:
            _version, value = self._values.popitem(last=False)
            kept -= len(value)
