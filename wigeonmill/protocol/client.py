"""The connecting side of inner connections, one per peer address."""

import asyncio
import collections
from collections.abc import Callable
from dataclasses import dataclass
import enum
import ssl

from result import Err
from result import Ok
from result import Result
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.conn import Traffic
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Hello
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.handshake import client_proofs
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.protocol.handshake import new_nonce
from wigeonmill.protocol.handshake import proof_matches
from wigeonmill.protocol.handshake import server_proofs

CONNECT_TIMEOUT_S = 2.0


class PeerErrorKind(enum.Enum):
    """Why there is no answer from a peer."""

    # There is no connection; nothing was sent.
    UNREACHABLE = 'unreachable'
    # The connection ended after the request may have been sent.
    CLOSED = 'closed'
    # No answer in time; the peer may still be working on the request.
    TIMEOUT = 'timeout'


@dataclass(frozen=True, slots=True)
class PeerError:
    """A failed exchange with a peer."""

    kind: PeerErrorKind
    message: str


class PeerStream:
    """The answers to one request, in order."""

    __slots__ = ('id', '_client', '_conn', '_received', '_waiter', '_ended')

    def __init__(self, stream_id: int, client: 'PeerClient', conn: Conn):
        self.id = stream_id
        self._client = client
        self._conn = conn
        self._received: collections.deque[Envelope] = collections.deque()
        self._waiter: asyncio.Future[bool] | None = None
        self._ended = False

    def send(self, envelope: Envelope) -> None:
        """Send an envelope on this stream."""
        envelope.stream = self.id
        envelope.config_serial = self._client.config_serial()
        self._conn.send(envelope)

    async def receive(
        self, timeout_ms: float, while_receiving: bool = False
    ) -> Result[Envelope, PeerError]:
        """Return the next answer, or an error if there is none.

        With `while_receiving`, no timeout ends while a long message arrives
        on the connection.
        """
        if not self._received and not self._ended:
            while not await self._wait(timeout_ms):
                if while_receiving and self._conn.is_receiving(timeout_ms):
                    continue
                error = PeerError(PeerErrorKind.TIMEOUT, 'no answer in time')
                return Err(error)
        if self._received:
            return Ok(self._received.popleft())
        return Err(PeerError(PeerErrorKind.CLOSED, 'connection ended'))

    async def _wait(self, timeout_ms: float) -> bool:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[bool] = loop.create_future()
        self._waiter = waiter
        timeout_s = max(timeout_ms, 0.0) / 1000.0
        timer = loop.call_later(timeout_s, _set_result, waiter, False)
        try:
            return await waiter
        finally:
            timer.cancel()

    def close(self) -> None:
        """Close the stream and wake its reader; later answers are dropped."""
        self._client.remove_stream(self.id)
        self.end()

    def deliver(self, envelope: Envelope) -> None:
        """Add an answer from the connection."""
        self._received.append(envelope)
        self._wake()

    def end(self) -> None:
        """Mark the stream as ended; no more answers will arrive."""
        self._ended = True
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None:
            _set_result(self._waiter, True)


class PeerClient:
    """A connection to one address, opened on first use and after a loss."""

    def __init__(
        self,
        address: str,
        process: str,
        role: str,
        keys: Callable[[], InnerKeys],
        config_serial: Callable[[], int],
        on_serial: Callable[[str, int], None],
        ssl_context: ssl.SSLContext | None = None,
        traffic: Traffic | None = None,
    ) -> None:
        self.address = address
        self.config_serial = config_serial
        self.incarnation = 0
        self._process = process
        self._role = role
        self._keys = keys
        self._on_serial = on_serial
        self._ssl = ssl_context
        self._traffic = traffic
        self._conn: Conn | None = None
        self._connecting: asyncio.Task[Conn | None] | None = None
        self._streams: dict[int, PeerStream] = {}
        self._next_stream = 1

    @property
    def connected(self) -> bool:
        """Whether there is a connection."""
        return self._conn is not None and not self._conn.closed

    @property
    def congested(self) -> bool:
        """Whether too much is waiting to be sent."""
        return self._conn is not None and self._conn.congested

    @property
    def unread_bytes(self) -> int:
        """Bytes received of an answer that is not complete."""
        return self._conn.unread_bytes if self._conn is not None else 0

    async def connect(self) -> bool:
        """Connect if necessary; return whether there is a connection."""
        return self.connected or await self._connect_once() is not None

    async def open(self, envelope: Envelope) -> Result[PeerStream, PeerError]:
        """Send `envelope` on a new stream."""
        conn = self._conn
        if conn is None or conn.closed:
            conn = await self._connect_once()
        if conn is None:
            message = f'{self.address} is unreachable'
            return Err(PeerError(PeerErrorKind.UNREACHABLE, message))
        stream = PeerStream(self._next_stream, self, conn)
        self._next_stream += 1
        self._streams[stream.id] = stream
        stream.send(envelope)
        return Ok(stream)

    async def request(
        self,
        envelope: Envelope,
        timeout_ms: float,
        while_receiving: bool = False,
    ) -> Result[Envelope, PeerError]:
        """Send a request and return its single answer (see `receive`)."""
        opened = await self.open(envelope)
        if opened.is_err():
            return Err(opened.unwrap_err())
        stream = opened.unwrap()
        try:
            return await stream.receive(timeout_ms, while_receiving)
        finally:
            stream.close()

    def notify(self, envelope: Envelope) -> None:
        """Send an envelope that has no answer; dropped if not connected."""
        if self._conn is not None:
            envelope.stream = 0
            envelope.config_serial = self.config_serial()
            self._conn.send(envelope)

    def remove_stream(self, stream_id: int) -> None:
        """Remove a stream, so that its later answers are dropped."""
        self._streams.pop(stream_id, None)

    def close(self) -> None:
        """Close the connection; open streams end."""
        if self._connecting is not None:
            self._connecting.cancel()
        if self._conn is not None:
            self._conn.close()

    async def _connect_once(self) -> Conn | None:
        if self._connecting is None or self._connecting.done():
            self._connecting = asyncio.ensure_future(self._connect())
        connecting = self._connecting
        # A cancelled caller must not cancel the connection attempt that it
        # shares with others, and an attempt that `close` cancels must not
        # cancel its callers.
        await asyncio.wait([connecting])
        return None if connecting.cancelled() else connecting.result()

    async def _connect(self) -> Conn | None:
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                return await self._dial()
        except (
            OSError,
            StreamClosedError,
            asyncio.TimeoutError,
            # The address is malformed.
            ValueError,
        ):
            return None

    async def _dial(self) -> Conn | None:
        host, _, port = self.address.rpartition(':')
        stream = await TCPClient().connect(
            host, int(port), ssl_options=self._ssl
        )
        conn = Conn(stream, self._traffic)
        if not await self._perform_handshake(conn):
            conn.close()
            return None
        self._conn = conn
        conn.add_close_callback(lambda: self._on_close(conn))
        asyncio.ensure_future(conn.dispatch(self._on_envelope))
        return conn

    async def _perform_handshake(self, conn: Conn) -> bool:
        challenge_envelope = await conn.receive()
        if challenge_envelope is None or challenge_envelope.challenge is None:
            return False
        keys = self._keys()
        nonce = new_nonce()
        server_nonce = challenge_envelope.challenge.nonce or b''
        proof = client_proofs(keys, server_nonce, nonce, self._process)[0]
        hello = Hello(self._process, self._role, nonce, proof)
        conn.send(Envelope(Kind.HELLO, 0, 0, hello=hello))
        reply = await conn.receive()
        welcome = reply.welcome if reply else None
        if welcome is None or not welcome.process:
            return False
        accepted = server_proofs(keys, server_nonce, nonce, welcome.process)
        if not proof_matches(welcome.proof, accepted):
            return False
        conn.peer = welcome.process
        conn.role = welcome.role or ''
        self.incarnation = welcome.incarnation or 0
        return True

    def _on_envelope(self, conn: Conn, envelope: Envelope) -> None:
        if envelope.config_serial:
            self._on_serial(self.address, envelope.config_serial)
        stream = self._streams.get(envelope.stream)
        if stream is not None:
            stream.deliver(envelope)

    def _on_close(self, conn: Conn) -> None:
        if self._conn is not conn:
            return
        self._conn = None
        streams = list(self._streams.values())
        self._streams.clear()
        for stream in streams:
            stream.end()


class PeerPool:
    """One client for each peer address."""

    def __init__(self, make_client: Callable[[str], PeerClient]) -> None:
        self._make_client = make_client
        self._clients: dict[str, PeerClient] = {}

    def get(self, address: str) -> PeerClient:
        """Return the client of `address`, created on first use."""
        client = self._clients.get(address)
        if client is None:
            client = self._make_client(address)
            self._clients[address] = client
        return client

    def drop(self, address: str) -> None:
        """Close and remove the client of `address`, if there is one."""
        client = self._clients.pop(address, None)
        if client is not None:
            client.close()

    def close(self) -> None:
        """Close every connection."""
        for client in self._clients.values():
            client.close()
        self._clients.clear()


def _set_result(waiter: 'asyncio.Future[bool]', answered: bool) -> None:
    if not waiter.done():
        waiter.set_result(answered)
