"""The stored values that make up the journal of one shard.

The head holds the newest entries and the owner; each write of it is a
compare-and-swap, which fences any previous owner. Full segments are sealed
under keys of their own and are immutable. Each segment links to the one
before it, so a segment that is not reachable from the head is ignored, and
the oldest ones may expire while the rest stays readable.
"""

import msgspec

from wigeonmill.claims.model import Holder

JOURNAL_PREFIX = 'wigeonmill/claims/journal/'

NUMBER_DIGITS = 10
# A listing's prefix omits this many last digits of the segment number, so
# that a page holds 100 segments.
PAGE_DIGITS = 2


class Entry(msgspec.Struct, frozen=True, array_like=True):
    """The new state of one key; `record` is an encoded ClaimRecord."""

    name: str
    record: msgspec.Raw


class Head(msgspec.Struct, array_like=True):
    """The owner of a shard and its newest entries.

    `tenure` is a random token, unique to one period of ownership. An empty
    `address` means that the shard was handed over and has no owner.
    `previous` is the key of the newest sealed segment, or empty.
    """

    tenure: bytes
    owner: Holder
    address: str
    number: int
    previous: str
    entries: list[msgspec.Raw]


class SealedSegment(msgspec.Struct, frozen=True, array_like=True):
    """The immutable entries of a sealed segment."""

    previous: str
    entries: list[msgspec.Raw]


def head_key(shard: int) -> str:
    """Return the key of a shard's head."""
    return f'{JOURNAL_PREFIX}{shard:03d}/head'


def segments_prefix(shard: int) -> str:
    """Return the prefix of a shard's sealed segments."""
    return f'{JOURNAL_PREFIX}{shard:03d}/segment/'


def segment_key(shard: int, number: int, tenure: bytes) -> str:
    """Return the key of a sealed segment, which is unique to a tenure."""
    return f'{segments_prefix(shard)}{number:0{NUMBER_DIGITS}d}-{tenure.hex()}'


def page_prefix(shard: int, key: str) -> str:
    """Return the prefix of the page of 100 segments that holds `key`."""
    prefix = segments_prefix(shard)
    digits = key.removeprefix(prefix)[: NUMBER_DIGITS - PAGE_DIGITS]
    return prefix + digits


def shard_of(name: str, shards: int) -> int:
    """Return the shard that the key `name` (hex digest) belongs to."""
    return int(name[:8], 16) % shards


def encode_entry(name: str, record: bytes) -> msgspec.Raw:
    """Encode one entry once, so that head writes do not encode it again."""
    entry = Entry(name, msgspec.Raw(record))
    return msgspec.Raw(msgspec.msgpack.encode(entry))


def decode_entries(entries: list[msgspec.Raw]) -> list[Entry]:
    """Decode entries in journal order."""
    return [msgspec.msgpack.decode(raw, type=Entry) for raw in entries]


def encode_head(head: Head) -> bytes:
    """Encode a head for the key-value service."""
    return msgspec.msgpack.encode(head)


def decode_head(data: bytes) -> Head:
    """Decode a head; raises msgspec.DecodeError when malformed."""
    return msgspec.msgpack.decode(data, type=Head)


def encode_segment(segment: SealedSegment) -> bytes:
    """Encode a sealed segment for the key-value service."""
    return msgspec.msgpack.encode(segment)


def decode_segment(data: bytes) -> SealedSegment:
    """Decode a segment; raises msgspec.DecodeError when malformed."""
    return msgspec.msgpack.decode(data, type=SealedSegment)
