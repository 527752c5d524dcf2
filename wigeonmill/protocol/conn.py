"""An inner connection: sends and receives frames on a tornado stream."""

import asyncio
import collections
from collections.abc import Callable
import logging
import ssl

from tornado.iostream import IOStream
from tornado.iostream import StreamClosedError

from wigeonmill.protocol.codec import decode_body
from wigeonmill.protocol.codec import decode_length
from wigeonmill.protocol.codec import encode_frame
from wigeonmill.protocol.codec import LENGTH_BYTES
from wigeonmill.protocol.codec import MAX_FRAME_BYTES
from wigeonmill.protocol.gen.inner.ttypes import Envelope

logger = logging.getLogger(__name__)

# Number of unsent bytes above which a connection reports congestion.
HIGH_WATER_BYTES = 1 << 20

READ_CHUNK_BYTES = 65536
# The slowest transfer of a frame that counts as one.
MIN_BYTES_PER_S = 8 * 1024

OnEnvelope = Callable[['Conn', Envelope], None]


class Traffic:
    """Counts the bytes of many connections, excluding the TLS overhead."""

    __slots__ = ('sent_bytes', 'received_bytes')

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0


class Conn:
    """Sends and receives envelopes on one stream.

    Frames that are sent in one iteration of the event loop are combined into
    one write. `peer` and `role` are set once the peer has proved its key.
    """

    __slots__ = (
        'stream',
        'peer',
        'role',
        'closed',
        'on_drain',
        '_traffic',
        '_read_buffer',
        '_read_s',
        '_frame_began_s',
        '_received',
        '_write_buffer',
        '_writing',
        '_flush_scheduled',
        '_close_callbacks',
        'max_frame_bytes',
    )

    def __init__(
        self, stream: IOStream, traffic: Traffic | None = None
    ) -> None:
        self.stream = stream
        self._traffic = traffic or Traffic()
        self.peer = ''
        self.role = ''
        self.closed = False
        # A longer frame closes the connection.
        self.max_frame_bytes = MAX_FRAME_BYTES
        self.on_drain: Callable[[], None] | None = None
        self._read_buffer = bytearray()
        # When bytes were read last, and when the incomplete frame began.
        self._read_s = self._frame_began_s = 0.0
        self._received: collections.deque[Envelope] = collections.deque()
        self._write_buffer = bytearray()
        self._writing = False
        self._flush_scheduled = False
        self._close_callbacks: list[Callable[[], None]] = []
        stream.set_close_callback(self._on_close)
        stream.set_nodelay(True)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the current write to end."""
        return len(self._write_buffer)

    @property
    def unread_bytes(self) -> int:
        """Bytes received of a frame that is not complete."""
        return len(self._read_buffer)

    def is_receiving(self, within_ms: float) -> bool:
        """Whether a part of an incomplete frame has come lately.

        It arrived in the last `within_ms`, at the least rate or a higher one.
        """
        now_s = asyncio.get_running_loop().time()
        frame_s = now_s - self._frame_began_s
        return (
            not self.closed
            and bool(self._read_buffer)
            and (now_s - self._read_s) * 1000.0 < within_ms
            and len(self._read_buffer) >= MIN_BYTES_PER_S * frame_s
        )

    @property
    def congested(self) -> bool:
        """Whether senders should wait for `on_drain`."""
        return len(self._write_buffer) > HIGH_WATER_BYTES

    def send(self, envelope: Envelope) -> None:
        """Queue a frame; does nothing if the connection is closed."""
        if self.closed:
            return
        self._write_buffer += encode_frame(envelope)
        if self._writing or self._flush_scheduled:
            return
        self._flush_scheduled = True
        asyncio.get_running_loop().call_soon(self._flush)

    async def receive(self) -> Envelope | None:
        """Return the next envelope, or None when the connection has ended.

        A malformed frame closes the connection.
        """
        while not self._received:
            if not await self._read_frames():
                return None
        return self._received.popleft()

    async def dispatch(self, on_envelope: OnEnvelope) -> None:
        """Pass every envelope to `on_envelope` until the connection ends."""
        while True:
            envelope = await self.receive()
            if envelope is None:
                return
            on_envelope(self, envelope)

    def add_close_callback(self, callback: Callable[[], None]) -> None:
        """Call `callback` when the connection is closed, or now if it is."""
        if self.closed:
            callback()
            return
        self._close_callbacks.append(callback)

    def close(self) -> None:
        """Close the stream; queued frames are dropped."""
        self.stream.close()

    async def _read_frames(self) -> bool:
        """Read and decode the frames that have arrived, possibly several.

        Returns False if the connection has ended or a frame is malformed.
        """
        try:
            data = await self.stream.read_bytes(READ_CHUNK_BYTES, partial=True)
        except (StreamClosedError, ssl.SSLError):
            return False
        self._traffic.received_bytes += len(data)
        self._read_s = asyncio.get_running_loop().time()
        if not self._read_buffer:
            self._frame_began_s = self._read_s
        self._read_buffer += data
        start = 0
        while True:
            body_start = start + LENGTH_BYTES
            if len(self._read_buffer) < body_start:
                break
            length = decode_length(bytes(self._read_buffer[start:body_start]))
            if length.is_err():
                self._reject(length.unwrap_err().message)
                return False
            if length.unwrap() > self.max_frame_bytes:
                self._reject(f'a frame of {length.unwrap()} bytes')
                return False
            end = body_start + length.unwrap()
            if len(self._read_buffer) < end:
                break
            envelope = decode_body(bytes(self._read_buffer[body_start:end]))
            if envelope.is_err():
                self._reject(envelope.unwrap_err().message)
                return False
            self._received.append(envelope.unwrap())
            start = end
        if start:
            self._frame_began_s = self._read_s
        del self._read_buffer[:start]
        return True

    def _reject(self, message: str) -> None:
        logger.warning('closing connection of %s: %s', self.peer, message)
        self.stream.close()

    def _flush(self) -> None:
        self._flush_scheduled = False
        if self.closed or not self._write_buffer:
            return
        data = bytes(self._write_buffer)
        self._write_buffer.clear()
        self._traffic.sent_bytes += len(data)
        self._writing = True
        try:
            fut = self.stream.write(data)
        except StreamClosedError:
            return
        if fut.done():
            self._on_written(fut)
        else:
            fut.add_done_callback(self._on_written)

    def _on_written(self, fut: 'asyncio.Future[None]') -> None:
        self._writing = False
        if fut.cancelled() or fut.exception() is not None:
            return
        if self._write_buffer:
            self._flush()
        elif self.on_drain is not None:
            self.on_drain()

    def _on_close(self) -> None:
        self.closed = True
        self._write_buffer.clear()
        callbacks = self._close_callbacks
        self._close_callbacks = []
        for callback in callbacks:
            callback()
