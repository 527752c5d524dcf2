"""One inner connection: frames over a tornado stream, many at a time."""

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
from wigeonmill.protocol.gen.inner.ttypes import Envelope

logger = logging.getLogger(__name__)

# Above this many unsent bytes a connection asks its senders to wait.
HIGH_WATER_BYTES = 1 << 20

READ_BYTES = 65536

OnEnvelope = Callable[['Conn', Envelope], None]


class Traffic:
    """Bytes of many connections, without those of TLS."""

    __slots__ = ('sent_bytes', 'received_bytes')

    def __init__(self) -> None:
        self.sent_bytes = 0
        self.received_bytes = 0


class Conn:
    """Sends and receives envelopes on one stream.

    Frames that are sent within one turn of the loop leave in one write.
    `peer` and `role` are set once the peer has proved its key.
    """

    __slots__ = (
        'stream',
        'peer',
        'role',
        'closed',
        'on_drain',
        '_traffic',
        '_in',
        '_received',
        '_out',
        '_writing',
        '_scheduled',
        '_close_callbacks',
    )

    def __init__(
        self, stream: IOStream, traffic: Traffic | None = None
    ) -> None:
        self.stream = stream
        self._traffic = traffic or Traffic()
        self.peer = ''
        self.role = ''
        self.closed = False
        self.on_drain: Callable[[], None] | None = None
        self._in = bytearray()
        self._received: collections.deque[Envelope] = collections.deque()
        self._out = bytearray()
        self._writing = False
        self._scheduled = False
        self._close_callbacks: list[Callable[[], None]] = []
        stream.set_close_callback(self._on_close)
        stream.set_nodelay(True)

    @property
    def unsent_bytes(self) -> int:
        """Bytes that wait for the present write to end."""
        return len(self._out)

    @property
    def congested(self) -> bool:
        """True when senders should wait for `on_drain`."""
        return len(self._out) > HIGH_WATER_BYTES

    def send(self, envelope: Envelope) -> None:
        """Queue a frame; does nothing once the connection is closed."""
        if self.closed:
            return
        self._out += encode_frame(envelope)
        if self._writing or self._scheduled:
            return
        self._scheduled = True
        asyncio.get_running_loop().call_soon(self._flush)

    async def receive(self) -> Envelope | None:
        """Return the next envelope, or None when the connection ended.

        A malformed frame closes the connection.
        """
        while not self._received:
            if not await self._read_frames():
                return None
        return self._received.popleft()

    async def dispatch(self, on_envelope: OnEnvelope) -> None:
        """Hand every envelope to `on_envelope` until the connection ends."""
        while True:
            envelope = await self.receive()
            if envelope is None:
                return
            on_envelope(self, envelope)

    def add_close_callback(self, callback: Callable[[], None]) -> None:
        """Call `callback` once the connection is closed."""
        if self.closed:
            callback()
            return
        self._close_callbacks.append(callback)

    def close(self) -> None:
        """Close the stream; queued frames are dropped."""
        self.stream.close()

    async def _read_frames(self) -> bool:
        """Read what has arrived; several frames may come at once."""
        try:
            data = await self.stream.read_bytes(READ_BYTES, partial=True)
        except (StreamClosedError, ssl.SSLError):
            return False
        self._traffic.received_bytes += len(data)
        self._in += data
        start = 0
        while True:
            body_at = start + LENGTH_BYTES
            if len(self._in) < body_at:
                break
            length = decode_length(bytes(self._in[start:body_at]))
            if length.is_err():
                self._reject(length.unwrap_err().message)
                return False
            end = body_at + length.unwrap()
            if len(self._in) < end:
                break
            envelope = decode_body(bytes(self._in[body_at:end]))
            if envelope.is_err():
                self._reject(envelope.unwrap_err().message)
                return False
            self._received.append(envelope.unwrap())
            start = end
        del self._in[:start]
        return True

    def _reject(self, message: str) -> None:
        logger.warning('closing connection of %s: %s', self.peer, message)
        self.stream.close()

    def _flush(self) -> None:
        self._scheduled = False
        if self.closed or not self._out:
            return
        data = bytes(self._out)
        self._out.clear()
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
        if self._out:
            self._flush()
        elif self.on_drain is not None:
            self.on_drain()

    def _on_close(self) -> None:
        self.closed = True
        self._out.clear()
        callbacks = self._close_callbacks
        self._close_callbacks = []
        for callback in callbacks:
            callback()
