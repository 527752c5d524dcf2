"""The accepting side of inner connections."""

import asyncio
from collections.abc import Callable
import logging
import socket
import ssl

from tornado.iostream import IOStream
from tornado.netutil import bind_sockets
from tornado.tcpserver import TCPServer

from wigeonmill.metrics import Metrics
from wigeonmill.protocol.codec import MAX_FRAME_BYTES
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.conn import OnEnvelope
from wigeonmill.protocol.conn import Traffic
from wigeonmill.protocol.gen.inner.ttypes import Challenge
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Welcome
from wigeonmill.protocol.handshake import client_proofs
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.protocol.handshake import new_nonce
from wigeonmill.protocol.handshake import proof_matches
from wigeonmill.protocol.handshake import server_proofs

logger = logging.getLogger(__name__)

HANDSHAKE_TIMEOUT_S = 5.0
# Limit of a frame of a process that has not proved its key.
MAX_HANDSHAKE_BYTES = 16 * 1024


class InnerServer(TCPServer):
    """Accepts inner connections and dispatches their envelopes."""

    def __init__(
        self,
        process: str,
        role: str,
        incarnation: int,
        keys: Callable[[], InnerKeys],
        on_envelope: OnEnvelope,
        metrics: Metrics,
        ssl_context: ssl.SSLContext | None = None,
        traffic: Traffic | None = None,
    ) -> None:
        super().__init__(ssl_options=ssl_context)
        self._process = process
        self._role = role
        self._incarnation = incarnation
        self._keys = keys
        self._on_envelope = on_envelope
        self._metrics = metrics
        self._traffic = traffic
        self._conns: set[Conn] = set()
        self._bound_sockets: list[socket.socket] = []

    def bind_to(self, host: str, port: int) -> str:
        """Bind to `host` and `port` (0: any); returns the bound IP:port."""
        self._bound_sockets = bind_sockets(port, host)
        bound = self._bound_sockets[0].getsockname()
        return f'{bound[0]}:{bound[1]}'

    def accept(self) -> None:
        """Accept connections at the bound address."""
        self.add_sockets(self._bound_sockets)

    def listen_on(self, host: str, port: int) -> str:
        """Bind and accept connections; returns the bound IP:port."""
        address = self.bind_to(host, port)
        self.accept()
        return address

    async def handle_stream(
        self, stream: IOStream, address: tuple[str, int]
    ) -> None:
        conn = Conn(stream, self._traffic)
        conn.max_frame_bytes = MAX_HANDSHAKE_BYTES
        if not await self._authenticate(conn):
            self._metrics.count('inner_refusals', 'handshake')
            conn.close()
            return
        conn.max_frame_bytes = MAX_FRAME_BYTES
        self._conns.add(conn)
        try:
            await conn.dispatch(self._on_envelope)
        finally:
            self._conns.discard(conn)
            conn.close()

    async def _authenticate(self, conn: Conn) -> bool:
        nonce = new_nonce()
        challenge = Envelope(
            Kind.CHALLENGE, 0, 0, challenge=Challenge(nonce=nonce)
        )
        conn.send(challenge)
        try:
            async with asyncio.timeout(HANDSHAKE_TIMEOUT_S):
                envelope = await conn.receive()
        except asyncio.TimeoutError:
            return False
        hello = envelope.hello if envelope else None
        if hello is None or not hello.process or not hello.nonce:
            return False
        keys = self._keys()
        accepted = client_proofs(keys, nonce, hello.nonce, hello.process)
        if not proof_matches(hello.proof, accepted):
            logger.warning('process %s failed to prove its key', hello.process)
            return False
        conn.peer = hello.process
        conn.role = hello.role or ''
        proofs = server_proofs(keys, nonce, hello.nonce, self._process)
        index = accepted.index(hello.proof)
        welcome = Welcome(
            self._process, self._role, self._incarnation, proofs[index]
        )
        conn.send(Envelope(Kind.WELCOME, 0, 0, welcome=welcome))
        return True

    def close_all(self) -> None:
        """Stop accepting connections and close the open ones."""
        self.stop()
        for conn in list(self._conns):
            conn.close()
