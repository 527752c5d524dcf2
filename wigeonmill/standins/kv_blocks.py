"""The content of KV cache blocks as stand-in engines export it.

A block is one line of JSON (BlockHeader) and a payload. The payload is
derived from the key and the weight version, so that wrong content can be
detected.
"""

import enum
import hashlib

import msgspec


class BlockHeader(msgspec.Struct):
    """The key (hex), weight version and payload size of a block.

    `length` is in bytes.
    """

    key: str
    weight_version: str
    length: int


class BlockFault(enum.Enum):
    """The fault of a block with wrong content."""

    FOREIGN = 'foreign'
    STALE_VERSION = 'stale_version'
    CORRUPT = 'corrupt'


def encode_block(key: str, weight_version: str, length: int) -> bytes:
    """Return the content of a block with a payload of `length` bytes."""
    header = msgspec.json.encode(BlockHeader(key, weight_version, length))
    return header + b'\n' + _payload(key, weight_version, length)


def check_block(
    data: bytes, key: str, weight_version: str
) -> BlockFault | None:
    """Return the fault of `data` as the content of block `key`, or None."""
    line, _newline, payload = data.partition(b'\n')
    try:
        header = msgspec.json.decode(line, type=BlockHeader)
    except msgspec.MsgspecError:
        return BlockFault.CORRUPT
    if header.key != key:
        return BlockFault.FOREIGN
    if header.weight_version != weight_version:
        return BlockFault.STALE_VERSION
    if payload != _payload(key, weight_version, header.length):
        return BlockFault.CORRUPT
    return None


def _payload(key: str, weight_version: str, length: int) -> bytes:
    seed = hashlib.sha256(f'{weight_version}/{key}'.encode()).digest()
    repeats = -(-length // len(seed))
    return (seed * repeats)[:length]
