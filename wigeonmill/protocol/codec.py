"""Encodes and decodes inner frames: a length and a thrift Envelope."""

from dataclasses import dataclass
import struct

from result import Err
from result import Ok
from result import Result
from thrift.protocol.TCompactProtocol import TCompactProtocolAccelerated
from thrift.transport.TTransport import TMemoryBuffer

from wigeonmill.protocol.gen.inner.ttypes import Envelope

MAX_FRAME_BYTES = 16 * 1024 * 1024
MAX_LIST_ITEMS = 100_000
LENGTH_BYTES = 4
_LENGTH = struct.Struct('>I')
# Creating a protocol object costs more than decoding a frame with it. One
# object can be reused, as all frames are encoded and decoded on one thread.
_PROTOCOL = TCompactProtocolAccelerated(
    TMemoryBuffer(),
    string_length_limit=MAX_FRAME_BYTES,
    container_length_limit=MAX_LIST_ITEMS,
    fallback=False,
)


@dataclass(frozen=True, slots=True)
class FrameError:
    """An invalid frame; its connection must be closed."""

    message: str


def encode_frame(envelope: Envelope) -> bytes:
    """Return `envelope` as a frame, prefixed with its length."""
    out = TMemoryBuffer()
    _PROTOCOL.trans = out
    envelope.write(_PROTOCOL)
    body = out.getvalue()
    return _LENGTH.pack(len(body)) + body


def decode_length(header: bytes) -> Result[int, FrameError]:
    """Return the length of a frame's body in bytes from its 4-byte header."""
    if len(header) != LENGTH_BYTES:
        return Err(FrameError(f'frame header has {len(header)} bytes'))
    (length,) = _LENGTH.unpack(header)
    if length == 0 or length > MAX_FRAME_BYTES:
        return Err(FrameError(f'frame length {length} is out of range'))
    return Ok(length)


def decode_body(body: bytes) -> Result[Envelope, FrameError]:
    """Return the envelope in a frame's body."""
    envelope = Envelope()
    _PROTOCOL.trans = TMemoryBuffer(body)
    try:
        envelope.read(_PROTOCOL)
    except Exception as exc:
        # The accelerated codec raises many exception types for bad input.
        return Err(FrameError(f'malformed frame: {type(exc).__name__}'))
    if envelope.kind is None or envelope.stream is None:
        return Err(FrameError('frame without kind or stream'))
    return Ok(envelope)
