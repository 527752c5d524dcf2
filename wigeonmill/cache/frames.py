"""The format of a stored cache block: one immutable, checksummed frame.

A frame is self-contained. Its layout, big-endian, is: magic, key, team tag,
digest of the weight version, write generation, payload length, payload,
checksum (XXH3, 128 bits) over everything before it. A frame that is short,
altered or not the requested one counts as a miss and is never used.
"""

from dataclasses import dataclass
import enum
import hashlib
import struct

from result import Err
from result import Ok
from result import Result
import xxhash

from wigeonmill.cache.keys import KEY_BYTES
from wigeonmill.cache.keys import team_tag

MAGIC = b'WMB1'
_HEADER = struct.Struct(f'>4s{KEY_BYTES}s{KEY_BYTES}s{KEY_BYTES}sQQ')
_CHECKSUM_BYTES = 16
FRAME_OVERHEAD_BYTES = _HEADER.size + _CHECKSUM_BYTES
MAX_PAYLOAD_BYTES = 1 << 30


class FrameMiss(enum.Enum):
    """Why a frame is not the requested block."""

    SHORT = 'short'
    LONG = 'long'
    MAGIC = 'magic'
    CHECKSUM = 'checksum'
    OTHER_KEY = 'other_key'
    OTHER_TEAM = 'other_team'
    OTHER_WEIGHT_VERSION = 'other_weight_version'
    OTHER_GENERATION = 'other_generation'


@dataclass(frozen=True, slots=True)
class FrameId:
    """The identity of a frame; `generation` is unique to one write.

    In a requested id, generation 0 accepts any write of the block.
    """

    key: bytes
    team: str
    weight_version: str
    generation: int = 0


def encode_frame(frame_id: FrameId, payload: bytes) -> bytes:
    """Return the frame of one block.

    Raises ValueError if the size of the key or the payload is invalid.
    """
    if len(frame_id.key) != KEY_BYTES:
        raise ValueError(f'invalid key size: {len(frame_id.key)} bytes')
    if len(payload) > MAX_PAYLOAD_BYTES:
        raise ValueError(f'payload too large: {len(payload)} bytes')
    header = _HEADER.pack(
        MAGIC,
        frame_id.key,
        team_tag(frame_id.team),
        _version_tag(frame_id.weight_version),
        frame_id.generation,
        len(payload),
    )
    hasher = xxhash.xxh3_128(header)
    hasher.update(payload)
    return b''.join((header, payload, hasher.digest()))


def decode_frame(frame: bytes, requested: FrameId) -> Result[bytes, FrameMiss]:
    """Return the payload of the requested block, or why it is a miss."""
    if len(frame) < FRAME_OVERHEAD_BYTES:
        return Err(FrameMiss.SHORT)
    fields = _HEADER.unpack_from(frame)
    magic, key, team, version, generation, length = fields
    if magic != MAGIC:
        return Err(FrameMiss.MAGIC)
    if len(frame) != length + FRAME_OVERHEAD_BYTES:
        short = len(frame) < length + FRAME_OVERHEAD_BYTES
        return Err(FrameMiss.SHORT if short else FrameMiss.LONG)
    view = memoryview(frame)
    if xxhash.xxh3_128_digest(view[:-_CHECKSUM_BYTES]) != bytes(
        view[-_CHECKSUM_BYTES:]
    ):
        return Err(FrameMiss.CHECKSUM)
    if key != requested.key:
        return Err(FrameMiss.OTHER_KEY)
    if team != team_tag(requested.team):
        return Err(FrameMiss.OTHER_TEAM)
    if version != _version_tag(requested.weight_version):
        return Err(FrameMiss.OTHER_WEIGHT_VERSION)
    if requested.generation and generation != requested.generation:
        return Err(FrameMiss.OTHER_GENERATION)
    return Ok(bytes(view[_HEADER.size : -_CHECKSUM_BYTES]))


def frame_name(key: bytes) -> str:
    """Return the name of a block on its store VM."""
    return key.hex()


def _version_tag(weight_version: str) -> bytes:
    data = weight_version.encode()
    digest = hashlib.blake2b(data, digest_size=KEY_BYTES, person=b'wm-version')
    return digest.digest()
