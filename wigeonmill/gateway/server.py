"""Serves callers: tornado's HTTP server in front of a forwarder."""

import asyncio
from collections.abc import Callable
import enum
import logging
import math
import socket
import struct
from typing import Protocol
import weakref

from result import Err
from result import Result
from tornado.http1connection import HTTP1Connection
from tornado.httpserver import HTTPServer
from tornado.httputil import HTTPConnection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import HTTPServerConnectionDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import responses
from tornado.httputil import ResponseStartLine
from tornado.ioloop import PeriodicCallback
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from wigeonmill.addresses import split_address
from wigeonmill.clock import Clock
from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.answers import Progress
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.answers import RequestState
from wigeonmill.gateway.desired import RequestLimits
from wigeonmill.gateway.forwarder import Forwarder
from wigeonmill.gateway.idle_conns import IdleConns
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.request import HeaderFields
from wigeonmill.log import loggable_ms
from wigeonmill.metrics import Metrics

logger = logging.getLogger(__name__)

# Limits of what is read of a request. The configuration may raise them, and
# its own lower ones apply to requests that were read.
MAX_HEADER_BYTES = 64 * 1024
# A longer head is not read to its end and gets no answer.
MAX_READ_HEADER_BYTES = 1024 * 1024
MAX_BODY_BYTES = 16 * 1024 * 1024
# Maximum number of connections that wait to be accepted.
BACKLOG = 1024
# Callers may reuse an idle connection up to the limit that operators set. The
# server waits a little longer, so that it does not close a connection while a
# request is on its way.
IDLE_SLACK_MS = 2_000.0
IDLE_CHECK_MS = 250.0
# SO_LINGER with a time of 0 s: a close resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
_STATUSES_WITHOUT_BODY = (204, 304)
_INTERNAL_ERROR = Refusal(Reason.INTERNAL, 'internal error')
_HEADERS_TOO_LARGE = Refusal(
    Reason.HEADERS_TOO_LARGE, 'the header fields are too large'
)
# Another entry can serve the request at once.
_SHUTTING_DOWN = Refusal(
    Reason.SHUTTING_DOWN, 'this entry is shutting down', 50.0
)
_CUT_BY_SHUTDOWN = Refusal(
    Reason.MAY_HAVE_RUN, 'this entry was shut down before the answer came'
)


class RequestEnd(enum.Enum):
    """How a request ended for its caller; each has a counter."""

    ANSWERED = 'answered'
    REFUSED = 'refused'
    BROKEN_OFF = 'broken_off'
    CALLER_CLOSED = 'caller_closed'
    DRAIN_ENDED = 'drain_ended'
    INTERNAL_ERROR = 'internal_error'


class CloseReason(enum.Enum):
    """Why a connection was closed before its request started."""

    CALLER = 'caller'
    IDLE = 'idle'
    DRAIN = 'drain'


class CallerCodec(Protocol):
    """Decodes callers' requests and encodes the gateway's refusals."""

    def request(
        self,
        start: RequestStartLine,
        headers: HTTPHeaders,
        body: bytes,
        arrived_ms: float,
    ) -> Result[CallerRequest, Refusal]:
        """Return the decoded request, or a refusal if it is malformed."""

    def refusal(
        self, refusal: Refusal, request_id: str
    ) -> tuple[HeaderFields, bytes]:
        """Return the header fields and the body of a refusal."""


class GatewayServer(HTTPServerConnectionDelegate):
    """Accepts callers' connections and counts open requests."""

    def __init__(
        self,
        forwarder: Forwarder,
        codec: CallerCodec,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self.forwarder = forwarder
        self.codec = codec
        self.clock = clock
        self.metrics = metrics
        self.draining = False
        # Whether requests are refused because the process is about to stop.
        self.refusing = False
        self.max_body_bytes = MAX_BODY_BYTES
        self.max_header_bytes = MAX_HEADER_BYTES
        self.port = 0
        self._open: set[_Channel] = set()
        # Connections with an answer that the kernel has not taken yet.
        self._unsent: weakref.WeakSet[HTTP1Connection] = weakref.WeakSet()
        self._idle = IdleConns(clock)
        self._idle_check = PeriodicCallback(self._close_expired, IDLE_CHECK_MS)
        self._close_reasons: weakref.WeakKeyDictionary[
            HTTP1Connection, CloseReason
        ] = weakref.WeakKeyDictionary()
        self.last_request_ms = clock.now_ms()
        self._server: HTTPServer | None = None

    @property
    def open_requests(self) -> int:
        """The number of requests that are being served."""
        return len(self._open)

    @property
    def has_unsent(self) -> bool:
        """Whether an answer is still being sent."""
        return any(conn.stream.writing() for conn in self._unsent)

    def add_unsent(self, conn: HTTP1Connection) -> None:
        """Add a connection on which an answer is still being sent."""
        self._unsent.add(conn)

    def add_open(self, channel: '_Channel') -> None:
        """Add the channel of a request that is being served."""
        self._open.add(channel)

    def remove_open(self, channel: '_Channel') -> None:
        """Remove the channel of a request that has ended."""
        self._open.discard(channel)

    def end_requests(self) -> None:
        """End the open requests and refuse those that are read later.

        Callers get a whole answer unless a part of one was written.
        """
        self.refusing = True
        for channel in list(self._open):
            channel.end_by_shutdown()

    def listen(self, address: str, idle_ms: float) -> None:
        """Listen at an IP:port address."""
        host, port = split_address(address)
        sockets = bind_sockets(port, host, backlog=BACKLOG)
        self.port = sockets[0].getsockname()[1]
        self._server = HTTPServer(
            self,
            max_header_size=MAX_READ_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
        )
        # Its timer keeps the limit that it was started with and does not see
        # what has arrived when it fires.
        self._server.conn_params.header_timeout = None
        self._server.add_sockets(sockets)
        self.set_idle_time(idle_ms)
        self._idle_check.start()

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(request_conn, HTTP1Connection)
        self._idle.add(request_conn)
        return _RequestReader(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        pass

    def remove_idle(self, conn: HTTP1Connection) -> None:
        """Remove a connection that has a request or that was closed."""
        self._idle.remove(conn)

    def close_reason(self, conn: HTTP1Connection) -> CloseReason:
        """Return why a closed connection was closed."""
        return self._close_reasons.get(conn, CloseReason.CALLER)

    def stop_accepting(self) -> None:
        """Stop accepting new connections."""
        if self._server is not None:
            self._server.stop()

    def close_idle(self) -> int:
        """Close the connections without a request; return their number."""
        idle = self._idle.without_input()
        for conn in idle:
            self._close_idle(conn, CloseReason.DRAIN)
        return len(idle)

    def _close_expired(self) -> None:
        for conn in self._idle.expired():
            self._close_idle(conn, CloseReason.IDLE)

    def _close_idle(self, conn: HTTP1Connection, reason: CloseReason) -> None:
        self._idle.remove(conn)
        self._close_reasons[conn] = reason
        conn.close()

    def set_limits(self, limits: RequestLimits) -> None:
        """Set the limits of requests, also on connections that are open."""
        self.set_idle_time(limits.idle_ms)
        self.max_body_bytes = max(MAX_BODY_BYTES, limits.body_bytes)
        self.max_header_bytes = max(MAX_HEADER_BYTES, limits.header_bytes)

    def set_idle_time(self, idle_ms: float) -> None:
        """Set how long callers may reuse idle connections."""
        self._idle.limit_ms = idle_ms + IDLE_SLACK_MS

    async def close(self) -> None:
        """Stop accepting and close every connection."""
        self._idle_check.stop()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


class _RequestReader(HTTPMessageDelegate):
    """Reads one request and starts to serve it."""

    def __init__(self, server: GatewayServer, conn: HTTP1Connection) -> None:
        self._server = server
        self._conn = conn
        self._start: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._body: list[bytes] = []
        self._received_ms = server.clock.now_ms()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._server.remove_idle(self._conn)
        self._conn.set_max_body_size(self._server.max_body_bytes)
        self._start = start_line
        self._headers = headers
        self._received_ms = self._server.clock.now_ms()

    def data_received(self, chunk: bytes) -> None:
        self._body.append(chunk)
        self._received_ms = self._server.clock.now_ms()

    def finish(self) -> None:
        assert self._start is not None
        channel = _Channel(self._server, self._conn, self._start)
        try:
            self._start_serving(channel, self._start)
        except Exception as exc:
            channel.fail_to_start(exc)

    def _start_serving(
        self, channel: '_Channel', start: RequestStartLine
    ) -> None:
        server = self._server
        now_ms = server.clock.now_ms()
        decoded = server.codec.request(
            start, self._headers, b''.join(self._body), now_ms
        )
        if self._conn.stream.closed():
            # The caller has disconnected, or the server closed the connection
            # while the request was on its way.
            self._log_dropped(decoded, now_ms)
            return
        server.last_request_ms = now_ms
        if isinstance(decoded, Err):
            channel.refuse_unserved(decoded.err_value)
        elif _size(self._headers) > server.max_header_bytes:
            channel.refuse_unserved(_HEADERS_TOO_LARGE, decoded.ok_value)
        elif server.refusing:
            channel.refuse_unserved(_SHUTTING_DOWN, decoded.ok_value)
        else:
            channel.serve(decoded.ok_value)

    def _log_dropped(
        self, decoded: Result[CallerRequest, Refusal], now_ms: float
    ) -> None:
        reason = self._server.close_reason(self._conn)
        self._server.metrics.count('gateway_requests_dropped', reason.value)
        req = decoded.ok()
        logger.info(
            'request dropped on a closed connection',
            extra={
                'request_id': req.id if req else '',
                'closed_by': reason.value,
                'since_last_byte_ms': loggable_ms(now_ms - self._received_ms),
                'error': repr(self._conn.stream.error),
            },
        )

    def on_connection_close(self) -> None:
        self._server.remove_idle(self._conn)
        self._body.clear()


class _Channel:
    """Writes one answer; a disconnect of the caller cancels the request."""

    __slots__ = (
        '_server',
        '_conn',
        '_task',
        '_req',
        '_progress',
        '_end',
        '_begun',
        '_finished',
        '_caller_disconnected',
        '_has_chunks',
        '_is_head',
        '_ends_with_conn',
        '_unsent_bytes',
    )

    def __init__(
        self,
        server: GatewayServer,
        conn: HTTP1Connection,
        start: RequestStartLine,
    ) -> None:
        self._server = server
        self._conn = conn
        # Without chunks an answer in parts ends with its connection.
        self._has_chunks = start.version != 'HTTP/1.0'
        self._is_head = start.method == 'HEAD'
        self._ends_with_conn = False
        self._unsent_bytes = 0
        self._task: asyncio.Task[None] | None = None
        self._req: CallerRequest | None = None
        self._progress: Callable[[], Progress] | None = None
        self._end = RequestEnd.BROKEN_OFF
        # Whether a part of the answer was written.
        self._begun = False
        self._finished = False
        self._caller_disconnected = False

    @property
    def closed(self) -> bool:
        """Whether the caller has disconnected."""
        return self._caller_disconnected or self._conn.stream.closed()

    @property
    def unsent_bytes(self) -> int:
        """The bytes written since the kernel had last taken all of them."""
        return self._unsent_bytes if self._conn.stream.writing() else 0

    def serve(self, req: CallerRequest) -> None:
        """Start to serve the request; its answer uses this channel."""
        self._req = req
        self._conn.stream.set_nodelay(True)
        self._task = asyncio.ensure_future(
            self._server.forwarder.serve(req, self)
        )
        self._server.add_open(self)
        self._task.add_done_callback(self._on_done)
        self._conn.set_close_callback(self._on_close)

    def track(self, progress: Callable[[], Progress]) -> None:
        """Set what returns the state of the request, for its log."""
        self._progress = progress

    def refuse_unserved(
        self, refusal: Refusal, req: CallerRequest | None = None
    ) -> None:
        """Refuse a request before a forwarder has it.

        `req` is None if it could not be decoded.
        """
        self._req = req
        self.refuse(refusal)
        self._count_refusal(refusal)
        self._count_end()
        logger.info(
            'request finished',
            extra={
                'request_id': req.id if req else '',
                'outcome': self._end.value,
                'reason': refusal.reason.value,
                'detail': refusal.message,
            },
        )

    def refuse(self, refusal: Refusal) -> None:
        """Send a refusal of the gateway."""
        request_id = self._req.id if self._req else ''
        fields, body = self._server.codec.refusal(refusal, request_id)
        self._write_whole(AnswerHead(refusal.status, fields), body)
        self._finish_as(RequestEnd.REFUSED)

    def answer(self, head: AnswerHead, body: bytes) -> None:
        """Send a complete answer."""
        self._write_whole(head, body)
        self._finish_as(RequestEnd.ANSWERED)

    def _write_whole(self, head: AnswerHead, body: bytes) -> None:
        if self.closed:
            return
        headers = self._headers(head)
        if head.status in _STATUSES_WITHOUT_BODY:
            body = b''
        elif body or not self._is_head:
            headers['Content-Length'] = str(len(body))
        if self._is_head:
            body = b''
        self._conn.write_headers(_start_line(head.status), headers, body)
        self._begun = True

    def begin(self, head: AnswerHead) -> None:
        """Send the head of an answer whose body follows in parts."""
        if not self.closed:
            headers = self._headers(head)
            self._ends_with_conn = not self._has_chunks
            self._conn.write_headers(_start_line(head.status), headers)
            self._begun = True

    def send(self, data: bytes) -> None:
        """Send the next part of the body."""
        if not self.closed and not self._is_head:
            self._unsent_bytes = self.unsent_bytes + len(data)
            self._conn.write(data)

    def finish(self) -> None:
        """End the body as complete."""
        self._finish_as(RequestEnd.ANSWERED)

    def _finish_as(self, end: RequestEnd) -> None:
        if self.closed:
            self._finished = True
            self._end = RequestEnd.CALLER_CLOSED
            return
        self._conn.finish()
        self._finished = True
        self._end = end
        if self._conn.stream.writing():
            self._server.add_unsent(self._conn)
        if self._server.draining or self._ends_with_conn:
            # The head may have been sent before the drain started, so that
            # the caller does not know that the connection will be closed.
            asyncio.ensure_future(_close_after_flush(self._conn))

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        self._finished = True
        if self._ends_with_conn and not self.closed:
            # An orderly close would mark the end of the answer.
            self._conn.stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        self._conn.close()

    def end_by_shutdown(self) -> None:
        """End a request for which the process has no time left."""
        if self._finished or self.closed or self._task is None:
            return
        try:
            if self._begun:
                self.abort()
            elif self._read_progress().state is RequestState.WAITING:
                self._count_refusal(_SHUTTING_DOWN)
                self.refuse(_SHUTTING_DOWN)
            else:
                self._count_refusal(_CUT_BY_SHUTDOWN)
                self.refuse(_CUT_BY_SHUTDOWN)
        except Exception as exc:
            self.fail(exc)
        self._end = RequestEnd.DRAIN_ENDED
        self._task.cancel()

    def fail_to_start(self, exc: Exception) -> None:
        """End a request that could not be served because of an error."""
        try:
            self.fail(exc)
        finally:
            self._count_end()

    def fail(self, exc: BaseException) -> None:
        """End the request after an internal error.

        The caller gets a whole answer if nothing was written before.
        """
        if self._finished:
            logger.error(
                'internal error after an answer',
                extra={'request_id': self._req.id if self._req else ''},
                exc_info=exc,
            )
            return
        try:
            if not self._begun:
                self._refuse_after_error()
        except Exception:
            logger.exception('answer to an internal error not sent')
        finally:
            if not self._finished:
                self.abort()
        self._end = RequestEnd.INTERNAL_ERROR
        self._count_refusal(_INTERNAL_ERROR)
        self._log_end(exc)

    def _refuse_after_error(self) -> None:
        try:
            self.refuse(_INTERNAL_ERROR)
        except Exception:
            # The codec of refusals may be what is broken.
            if self._begun:
                raise
            body = _INTERNAL_ERROR.message.encode()
            self.answer(AnswerHead(_INTERNAL_ERROR.status, ()), body)

    def _count_refusal(self, refusal: Refusal) -> None:
        self._server.metrics.count('gateway_refusals', refusal.reason.value)

    def _read_progress(self) -> Progress:
        assert self._req is not None
        if self._progress is not None:
            return self._progress()
        took_ms = self._server.clock.now_ms() - self._req.arrived_ms
        return Progress(
            RequestState.WAITING, '', self._req.deadline_ms - took_ms
        )

    def _count_end(self) -> None:
        self._server.metrics.count('gateway_requests_ended', self._end.value)

    def _log_end(self, exc: BaseException | None = None) -> None:
        """Log the end of a request whose run did not log it."""
        extra: dict[str, object] = {'outcome': self._end.value}
        req = self._req
        if req is not None:
            took_ms = self._server.clock.now_ms() - req.arrived_ms
            progress = self._read_progress()
            extra |= {
                'request_id': req.id,
                'state': progress.state.value,
                'target': progress.target_id,
                'took_ms': round(took_ms, 1),
                'remaining_ms': loggable_ms(progress.remaining_ms),
            }
        if self._conn.stream.error is not None:
            extra['error'] = repr(self._conn.stream.error)
        level = logging.INFO if exc is None else logging.ERROR
        logger.log(level, 'request finished', extra=extra, exc_info=exc)

    def _headers(self, head: AnswerHead) -> HTTPHeaders:
        headers = HTTPHeaders()
        for name, value in head.fields:
            headers.add(name, value)
        if self._server.draining:
            headers['Connection'] = 'close'
        return headers

    def _on_close(self) -> None:
        self._caller_disconnected = True
        if self._task is not None and not self._finished:
            self._task.cancel()

    def _on_done(self, task: 'asyncio.Task[None]') -> None:
        self._server.remove_open(self)
        try:
            self._conclude(task)
        finally:
            self._count_end()

    def _conclude(self, task: 'asyncio.Task[None]') -> None:
        if self._end is RequestEnd.DRAIN_ENDED:
            self._log_end()
        elif task.cancelled() and self._caller_disconnected:
            self._end = RequestEnd.CALLER_CLOSED
            self._log_end()
        elif task.cancelled():
            self.fail(asyncio.CancelledError('cancelled by a component'))
        elif (exc := task.exception()) is not None:
            self.fail(exc)
        elif not self._finished:
            self.fail(RuntimeError('the request ended without an answer'))


async def _close_after_flush(conn: HTTP1Connection) -> None:
    """Close a connection after all its output was handed to the kernel."""
    try:
        await conn.stream.write(b'')
    except StreamClosedError:
        return
    conn.close()


def _size(headers: HTTPHeaders) -> int:
    return sum(len(name) + len(value) for name, value in headers.get_all())


def retry_after_s(retry_after_ms: float) -> str:
    """Return a Retry-After value in seconds, rounded up to hundredths."""
    return f'{math.ceil(retry_after_ms / 10.0) / 100.0:.2f}'


def _start_line(status: int) -> ResponseStartLine:
    return ResponseStartLine(
        'HTTP/1.1', status, responses.get(status, 'Unknown')
    )
