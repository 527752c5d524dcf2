"""Encodes a large value as its differences from an earlier one.

Load: a configuration of thousands of routes or teams of which an operator
changes a few, sent to entries that have the previous one. Values are bytes
here; what they hold does not matter, but texts of many objects get short.
"""

import re
import zlib

import msgspec

# The longest value that is decoded.
MAX_VALUE_BYTES = 16 * 1024 * 1024
_LEVEL = 3
# Values are compared by pieces that end before an object or at a line's end.
_PIECE = re.compile(rb'[^{\n]+[{\n]?|[{\n]')
# Shorter pieces are not looked up, as a reference would not be shorter.
_MIN_PIECE_BYTES = 16

# A range of the earlier value (start, length), or new bytes.
_Step = tuple[int, int] | bytes
_decoder = msgspec.msgpack.Decoder(list[_Step])


def encode_value(value: bytes, basis: bytes | None) -> bytes:
    """Return `value` encoded against `basis`, an earlier value, if any."""
    steps = _compare(value, basis) if basis else [value]
    return zlib.compress(msgspec.msgpack.encode(steps), _LEVEL)


def decode_value(data: bytes, basis: bytes | None) -> bytes:
    """Return the encoded value.

    Raises ValueError if it is malformed or too long, or of another basis.
    """
    inflater = zlib.decompressobj()
    try:
        packed = inflater.decompress(data, MAX_VALUE_BYTES)
        if not inflater.eof:
            raise ValueError('the value is cut off or too long')
        steps = _decoder.decode(packed)
    except (zlib.error, msgspec.DecodeError) as exc:
        raise ValueError(f'malformed value: {exc}') from exc
    value = bytearray()
    for step in steps:
        value += step if isinstance(step, bytes) else _copy(step, basis or b'')
        if len(value) > MAX_VALUE_BYTES:
            raise ValueError('the value is too long')
    return bytes(value)


def _copy(step: tuple[int, int], basis: bytes) -> bytes:
    start, length = step
    if start < 0 or length < 0 or start + length > len(basis):
        raise ValueError('a range is not part of the basis')
    return basis[start : start + length]


def _compare(value: bytes, basis: bytes) -> list[_Step]:
    """Return the steps that make `value` of ranges of `basis`."""
    starts: dict[bytes, int] = {}
    for match in _PIECE.finditer(basis):
        starts.setdefault(match.group(), match.start())
    steps: list[_Step] = []
    new = bytearray()
    copied_start = copied_end = 0
    for match in _PIECE.finditer(value):
        piece = match.group()
        if copied_end > copied_start and basis.startswith(piece, copied_end):
            copied_end += len(piece)
            continue
        start = starts.get(piece, -1)
        if copied_end > copied_start:
            steps.append((copied_start, copied_end - copied_start))
            copied_start = copied_end = 0
        if start < 0 or len(piece) < _MIN_PIECE_BYTES:
            new += piece
            continue
        if new:
            steps.append(bytes(new))
            new.clear()
        copied_start, copied_end = start, start + len(piece)
    if copied_end > copied_start:
        steps.append((copied_start, copied_end - copied_start))
    if new:
        steps.append(bytes(new))
    return steps
