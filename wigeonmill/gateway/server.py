"""Serves callers: tornado's HTTP server in front of a forwarder."""

import asyncio
import enum
import logging
import math
import socket
import weakref

from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.ioloop import PeriodicCallback
from tornado.iostream import IOStream

from wigeonmill.clock import Clock
from wigeonmill.early_listener import listen
from wigeonmill.early_listener import RECEIVE_BUFFER_BYTES
from wigeonmill.gateway.acceptor import Acceptor
from wigeonmill.gateway.caller_channel import HttpChannel
from wigeonmill.gateway.caller_channel import SHUTTING_DOWN
from wigeonmill.gateway.caller_codec import CallerCodec
from wigeonmill.gateway.desired import RequestLimits
from wigeonmill.gateway.forwarder import Forwarder
from wigeonmill.gateway.held_bytes import HeldBytes
from wigeonmill.gateway.idle_conns import has_no_input
from wigeonmill.gateway.idle_conns import IdleConns
from wigeonmill.gateway.request_reader import RequestReader
from wigeonmill.gateway.unread_input import unread_bytes
from wigeonmill.metrics import Metrics

logger = logging.getLogger(__name__)

# Limit of the head of a request, which the configuration may raise.
MAX_HEADER_BYTES = 64 * 1024
# A head that is longer by this factor is not read to its end and gets no
# answer.
MAX_READ_HEADER_FACTOR = 2
# Limit of a body until a configuration is known.
MAX_BODY_BYTES = 16 * 1024 * 1024
# What may lie unread on a connection: the kernel's queue, of which it counts
# twice the size that was asked for, and what tornado has read ahead.
MAX_CONN_UNREAD_BYTES = 2 * RECEIVE_BUFFER_BYTES + 2 * MAX_HEADER_BYTES
# Callers may reuse an idle connection up to the limit that operators set. The
# server waits a little longer, so that it does not close a connection while a
# request is on its way.
IDLE_SLACK_MS = 2_000.0
IDLE_CHECK_MS = 250.0
# Time after which a caller's connection that has sent no more is closed rather
# than one that was used before.
STALL_MS = 1_000.0


class CloseReason(enum.Enum):
    """Why a connection was closed before its request started."""

    CALLER = 'caller'
    IDLE = 'idle'
    DRAIN = 'drain'
    # The end of an answer without a length or chunks, or of a refusal.
    ANSWER = 'answer'
    # The head took too long.
    HEAD = 'head'
    # Too many connections were open.
    CONNECTIONS = 'connections'
    # Too much lay unread on all connections.
    UNREAD = 'unread'


class GatewayServer(HTTPServerConnectionDelegate):
    """Accepts callers' connections and counts open requests."""

    def __init__(
        self,
        forwarder: Forwarder,
        codec: CallerCodec,
        clock: Clock,
        metrics: Metrics,
        held: HeldBytes | None = None,
        max_conns: int = 2**31,
    ) -> None:
        """Create a server with at most `max_conns` connections."""
        self.held = held or HeldBytes(clock)
        metrics.gauge('gateway_held_bytes', lambda: self.held.total)
        metrics.gauge('gateway_held_limit', lambda: self.held.max_bytes)
        metrics.gauge('gateway_open_conns', lambda: self.open_conns)
        self._max_conns = max_conns
        # What may lie unread on all connections, in bytes.
        self.max_unread_bytes = 2**62
        self.forwarder = forwarder
        self.codec = codec
        self.clock = clock
        self.metrics = metrics
        self.draining = False
        # Whether new requests are refused because the process will stop.
        self.refusing = False
        self.max_body_bytes = MAX_BODY_BYTES
        self.max_header_bytes = MAX_HEADER_BYTES
        self.port = 0
        self._open: set[HttpChannel] = set()
        # Requests of which the head was read, but not the whole body.
        self._reading: weakref.WeakSet[RequestReader] = weakref.WeakSet()
        # Connections with an answer that the kernel has not taken yet.
        self._unsent: weakref.WeakSet[HTTP1Connection] = weakref.WeakSet()
        # Streams whose next request is refused because of a drain.
        self._ending: weakref.WeakSet[IOStream] = weakref.WeakSet()
        self._idle = IdleConns(clock)
        self._conn_check = PeriodicCallback(self._check_conns, IDLE_CHECK_MS)
        # By stream, because each request has a connection object of its own.
        self._close_reasons: weakref.WeakKeyDictionary[
            IOStream, CloseReason
        ] = weakref.WeakKeyDictionary()
        self.last_request_ms = clock.now_ms()
        self._server: HTTPServer | None = None
        self._acceptor: Acceptor | None = None
        # Streams on which a request has arrived.
        self._used: weakref.WeakSet[IOStream] = weakref.WeakSet()

    @property
    def open_conns(self) -> int:
        """The number of connections that are open."""
        # Tornado has no public name for them.
        return len(self._server._connections) if self._server else 0

    @property
    def open_requests(self) -> int:
        """The number of requests that are being served."""
        return len(self._open)

    @property
    def begun_requests(self) -> int:
        """The number of requests of which only a part was read."""
        return len(self._reading) + self._idle.count_with_input()

    @property
    def has_unsent(self) -> bool:
        """Whether an answer is still being sent."""
        return any(conn.stream.writing() for conn in self._unsent)

    def add_unsent(self, conn: HTTP1Connection) -> None:
        """Add a connection on which an answer is still being sent."""
        self._unsent.add(conn)

    def add_open(self, channel: HttpChannel) -> None:
        """Add the channel of a request that is being served."""
        self._open.add(channel)

    def remove_open(self, channel: HttpChannel) -> None:
        """Remove the channel of a request that has ended."""
        self._open.discard(channel)

    def end_requests(self) -> None:
        """End the open requests and refuse those that are read later.

        Callers get a whole answer unless a part of one was written, also those
        that have not sent the whole body.
        """
        self.refusing = True
        for reader in list(self._reading):
            reader.refuse_unread(SHUTTING_DOWN)
        for channel in list(self._open):
            channel.end_by_shutdown()

    def listen(self, address: str, idle_ms: float) -> None:
        """Listen at an IP:port address."""
        self.listen_at(listen(address), idle_ms)

    def listen_at(self, sock: socket.socket, idle_ms: float) -> None:
        """Accept the connections of a socket that listens."""
        self.port = sock.getsockname()[1]
        self._server = HTTPServer(self)
        # Its timer keeps the limit that it was started with and does not see
        # what has arrived when it fires.
        self._server.conn_params.header_timeout = None
        self._set_max_header(self.max_header_bytes)
        self._acceptor = Acceptor(
            sock, self._add_conn, self._close_for_room, self.metrics
        )
        self.set_idle_time(idle_ms)
        self._conn_check.start()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(request_conn, HTTP1Connection)
        is_used = request_conn.stream in self._used
        self._idle.add(request_conn, is_used)
        if request_conn.stream in self._ending:
            # By then tornado has begun to read.
            loop = asyncio.get_running_loop()
            loop.call_soon(self._close_if_idle, request_conn)
        return RequestReader(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        pass

    def add_reading(self, reader: 'RequestReader') -> None:
        """Add a request whose body is being read."""
        self._reading.add(reader)

    def remove_reading(self, reader: 'RequestReader') -> None:
        """Remove a request that was read or whose connection closed."""
        self._reading.discard(reader)

    def remove_idle(self, conn: HTTP1Connection) -> None:
        """Remove a connection that has a request or that was closed."""
        self._idle.remove(conn)
        self._used.add(conn.stream)

    def close_reason_of(self, conn: HTTP1Connection) -> str:
        """Return why a closed connection was closed."""
        return self._close_reasons.get(conn.stream, CloseReason.CALLER).value

    def stop_accepting(self) -> None:
        """Stop accepting new connections and requests."""
        self.refusing = True
        if self._acceptor is not None:
            self._acceptor.close()

    def close_idle(self) -> int:
        """Close the connections without a request; return their number."""
        idle = self._idle.without_input()
        for conn in idle:
            self._close_idle(conn, CloseReason.DRAIN)
        return len(idle)

    def _add_conn(self, conn: socket.socket, address: object) -> None:
        assert self._server is not None
        if self.open_conns >= self._max_conns and not self._close_for_room():
            # Its caller may repeat the request at once, as none was read.
            conn.close()
            self.metrics.count('gateway_conns_closed', 'none_idle')
            return
        assert isinstance(address, tuple)
        conn.setblocking(False)
        self._server.handle_stream(IOStream(conn), address)

    def _close_for_room(self) -> bool:
        """Close the connection of which least is expected; tell if any was.

        That is one that has sent nothing, or stopped inside a request, for
        the longest time, and else the one that was idle longest.
        """
        since_ms = self.clock.now_ms() - STALL_MS
        conn = self._idle.longest_unused(since_ms)
        if conn is None:
            conn = self._stalled(since_ms)
        if conn is None:
            conn = self._idle.longest()
        if conn is None:
            return False
        self._close_idle(conn, CloseReason.CONNECTIONS)
        return True

    def _stalled(self, since_ms: float) -> HTTP1Connection | None:
        reader = min(self._reading, key=lambda r: r.received_ms, default=None)
        if reader is None or reader.received_ms > since_ms:
            return None
        return reader.conn

    def _close_expired(self) -> None:
        for conn in self._idle.expired():
            self._close_idle(conn, CloseReason.IDLE)

    def _check_conns(self) -> None:
        """Close the connections whose time is over or that hold too much."""
        self._close_expired()
        for conn in self._idle.expired_heads():
            self._close_idle(conn, CloseReason.HEAD)
        now_ms = self.clock.now_ms()
        for reader in list(self._reading):
            reader.check_deadline(now_ms)
        if self.open_conns * MAX_CONN_UNREAD_BYTES > self.max_unread_bytes:
            self._check_unread()

    def _check_unread(self) -> None:
        """Close those with most input until the rest keeps the bound."""
        assert self._server is not None
        streams = [conn.stream for conn in self._server._connections]
        unread = sorted(((unread_bytes(s), id(s), s) for s in streams))
        total = sum(size for size, _id, _stream in unread)
        while total > self.max_unread_bytes:
            size, _id, stream = unread.pop()
            total -= size
            self._close_reasons[stream] = CloseReason.UNREAD
            self._log_closed(CloseReason.UNREAD, size)
            stream.close()

    def _close_idle(self, conn: HTTP1Connection, reason: CloseReason) -> None:
        self._idle.remove(conn)
        self._close(conn, reason)

    def close_after_answer(self, conn: HTTP1Connection) -> None:
        """Close a connection whose last answer was sent."""
        reason = CloseReason.DRAIN if self.draining else CloseReason.ANSWER
        self._close(conn, reason)

    def end_conn(self, conn: HTTP1Connection) -> None:
        """Refuse the next request on a connection, or close it if idle."""
        self._ending.add(conn.stream)

    def refuses(self, conn: HTTP1Connection) -> bool:
        """Whether a request on a connection comes too late for a drain."""
        return self.refusing or conn.stream in self._ending

    def _close_if_idle(self, conn: HTTP1Connection) -> None:
        if has_no_input(conn):
            self._close_idle(conn, CloseReason.DRAIN)

    def _close(self, conn: HTTP1Connection, reason: CloseReason) -> None:
        self._close_reasons[conn.stream] = reason
        if reason in (CloseReason.HEAD, CloseReason.CONNECTIONS):
            self._log_closed(reason, unread_bytes(conn.stream))
        conn.close()

    def _log_closed(self, reason: CloseReason, size: int) -> None:
        self.metrics.count('gateway_conns_closed', reason.value)
        logger.info(
            'connection closed',
            extra={
                'reason': reason.value,
                'unread_bytes': size,
                'open_conns': self.open_conns,
            },
        )

    def set_limits(self, limits: RequestLimits) -> None:
        """Set the limits of requests, also on connections that are open."""
        self.set_idle_time(limits.idle_ms)
        self.max_body_bytes = limits.body_bytes
        self.max_header_bytes = max(MAX_HEADER_BYTES, limits.header_bytes)
        self._set_max_header(self.max_header_bytes)
        head_ms = limits.header_ms + IDLE_SLACK_MS
        self._idle.max_head_checks = math.ceil(head_ms / IDLE_CHECK_MS)

    def _set_max_header(self, size: int) -> None:
        if self._server is not None:
            params = self._server.conn_params
            params.max_header_size = size * MAX_READ_HEADER_FACTOR

    def set_idle_time(self, idle_ms: float) -> None:
        """Set how long callers may reuse idle connections."""
        self._idle.limit_ms = idle_ms + IDLE_SLACK_MS

    async def close(self) -> None:
        """Stop accepting and close every connection."""
        self._conn_check.stop()
        if self._acceptor is not None:
            self._acceptor.close()
        if self._server is not None:
            await self._server.close_all_connections()


def retry_after_s(retry_after_ms: float) -> str:
    """Return a Retry-After value in seconds, rounded up to hundredths."""
    return f'{math.ceil(retry_after_ms / 10.0) / 100.0:.2f}'
