"""Reads callers' requests and refuses what can be refused by the head."""

from dataclasses import replace
import logging
from typing import Protocol

from result import Err
from result import Result
from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.httputil import HTTPMessageDelegate
from tornado.httputil import RequestStartLine
from tornado.httputil import ResponseStartLine

from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.caller_channel import ChannelOwner
from wigeonmill.gateway.caller_channel import HttpChannel
from wigeonmill.gateway.caller_channel import SHUTTING_DOWN
from wigeonmill.gateway.held_bytes import Holding
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.log import loggable_ms

logger = logging.getLogger(__name__)

# Shorter bodies mostly arrive with their heads. What is wrong with them is
# told once they were read.
CHECKED_BODY_BYTES = 64 * 1024
# The server's own limit applies, which lets callers read why.
_NO_LIMIT = 2**62
MAX_DIGITS = 18
# Time after which a body that has not ended is checked against its deadline.
DEADLINE_CHECK_MS = 1_000.0
HEADERS_TOO_LARGE = Refusal(
    Reason.HEADERS_TOO_LARGE, 'the header fields are too large'
)
_BODY_TOO_LARGE = Refusal(Reason.BODY_TOO_LARGE, 'the body is too large')
_BODY_LATE = Refusal(
    Reason.BODY_LATE, 'the body did not arrive before the deadline'
)
_MEMORY_FULL = Refusal(
    Reason.MEMORY_FULL, 'too much is held for other callers', 1_000.0
)

Decoded = Result[CallerRequest, Refusal]


class ReaderOwner(ChannelOwner, Protocol):
    """The server of a reader."""

    refusing: bool
    max_body_bytes: int
    max_header_bytes: int
    last_request_ms: float

    def add_reading(self, reader: 'RequestReader') -> None:
        """Add a request whose body is being read."""

    def remove_reading(self, reader: 'RequestReader') -> None:
        """Remove a request that was read or whose connection closed."""

    def remove_idle(self, conn: HTTP1Connection) -> None:
        """Remove a connection that has a request or that was closed."""

    def refuses(self, conn: HTTP1Connection) -> bool:
        """Whether a request on a connection comes too late for a drain."""

    def close_reason_of(self, conn: HTTP1Connection) -> str:
        """Return why a closed connection was closed."""


class RequestReader(HTTPMessageDelegate):
    """Reads one request and starts to serve it."""

    def __init__(self, server: ReaderOwner, conn: HTTP1Connection) -> None:
        self._server = server
        self._conn = conn
        self._start: RequestStartLine | None = None
        self._headers = HTTPHeaders()
        self._decoded: Decoded | None = None
        self._body = bytearray()
        # Whether the request was refused, so that the rest is not kept.
        self._refused = False
        self._discarded_bytes = 0
        self._held = Holding(self._end_unread, lambda: 0)
        self._head_ms = self._received_ms = server.clock.now_ms()

    @property
    def conn(self) -> HTTP1Connection:
        """The connection on which the request is read."""
        return self._conn

    @property
    def received_ms(self) -> float:
        """When the last bytes of the request arrived."""
        return self._received_ms

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        self._server.remove_idle(self._conn)
        self._server.add_reading(self)
        self._conn.set_max_body_size(_NO_LIMIT)
        self._start = start_line
        self._headers = headers
        self._head_ms = self._received_ms = self._server.clock.now_ms()
        size = _stated_size(headers)
        if size is None or size > CHECKED_BODY_BYTES:
            self._check_head(size or 0)
        elif not self._server.held.has_room(size):
            self._count_slow('body_no_room')
            self.refuse_unread(_MEMORY_FULL)

    def data_received(self, chunk: bytes) -> None:
        if self._refused:
            self._discarded_bytes += len(chunk)
            if self._discarded_bytes > self._server.max_body_bytes:
                self._conn.close()
            return
        self._body += chunk
        self._received_ms = self._server.clock.now_ms()
        if len(self._body) > self._server.max_body_bytes:
            self.refuse_unread(_BODY_TOO_LARGE)
            return
        self._server.held.set_input(
            self._held, len(self._body), complete=False
        )

    def finish(self) -> None:
        if self._refused:
            # The caller may take what follows for part of the body.
            self._server.close_after_answer(self._conn)
            return
        assert self._start is not None
        self._stop_reading()
        channel = HttpChannel(self._server, self._conn, self._start)
        try:
            self._start_serving(channel)
        except Exception as exc:
            channel.fail_to_start(exc)

    def check_deadline(self, now_ms: float) -> None:
        """Refuse a request whose body was not read before its deadline."""
        age_ms = now_ms - self._head_ms
        if age_ms < DEADLINE_CHECK_MS:
            return
        req = self._decode().ok()
        if req is not None and age_ms > req.deadline_ms:
            self._count_slow('body_deadline')
            self.refuse_unread(_BODY_LATE)

    def refuse_unread(self, refusal: Refusal) -> None:
        """Refuse a request before its body was read, and close.

        What is on its way is read and dropped for a moment, as a reset would
        keep the refusal from the caller.
        """
        assert self._start is not None
        self._stop_reading()
        self._refused = True
        self._body = bytearray()
        # Nothing may be written after the refusal.
        self._headers.pop('Expect', None)
        channel = HttpChannel(self._server, self._conn, self._start)
        channel.close_unread()
        try:
            channel.refuse_unserved(refusal, self._decode().ok())
        except Exception as exc:
            channel.fail_to_start(exc)

    def _check_head(self, size: int) -> None:
        """Refuse what the head shows that it can't be served."""
        server = self._server
        try:
            decoded = self._decode()
            refusal: Refusal | None
            if isinstance(decoded, Err):
                refusal = decoded.err_value
            elif self._header_bytes() > server.max_header_bytes:
                refusal = HEADERS_TOO_LARGE
            elif server.refuses(self._conn):
                refusal = SHUTTING_DOWN
            else:
                refusal = server.forwarder.check_head(decoded.ok_value, size)
        except Exception:
            # The error is reported once the request was read.
            logger.exception('head not checked')
            return
        if refusal is None and not server.held.has_room(size):
            self._count_slow('body_no_room')
            refusal = _MEMORY_FULL
        if refusal is not None:
            self.refuse_unread(refusal)

    def _start_serving(self, channel: HttpChannel) -> None:
        server = self._server
        now_ms = server.clock.now_ms()
        body = bytes(self._body)
        self._body = bytearray()
        decoded = self._decode(now_ms)
        if self._conn.stream.closed():
            # The caller has disconnected, or the server closed the connection
            # while the request was on its way.
            self._log_dropped(decoded, now_ms)
            return
        server.last_request_ms = now_ms
        if isinstance(decoded, Err):
            channel.refuse_unserved(decoded.err_value)
            return
        req = decoded.ok_value
        if body or req.arrived_ms != now_ms:
            req = replace(req, body=body, arrived_ms=now_ms)
        if self._header_bytes() > server.max_header_bytes:
            channel.refuse_unserved(HEADERS_TOO_LARGE, req)
        elif server.refuses(self._conn):
            channel.refuse_unserved(SHUTTING_DOWN, req)
        else:
            channel.serve(req)

    def _decode(self, now_ms: float | None = None) -> Decoded:
        """Return the request without its body."""
        if self._decoded is None:
            assert self._start is not None
            if now_ms is None:
                now_ms = self._server.clock.now_ms()
            self._decoded = self._server.codec.request(
                self._start, self._headers, b'', now_ms
            )
        return self._decoded

    def _header_bytes(self) -> int:
        fields = self._headers.get_all()
        return sum(len(name) + len(value) for name, value in fields)

    def _log_dropped(self, decoded: Decoded, now_ms: float) -> None:
        reason = self._server.close_reason_of(self._conn)
        self._server.metrics.count('gateway_requests_dropped', reason)
        req = decoded.ok()
        logger.info(
            'request dropped on a closed connection',
            extra={
                'request_id': req.id if req else '',
                'closed_by': reason,
                'since_last_byte_ms': loggable_ms(now_ms - self._received_ms),
                'error': repr(self._conn.stream.error),
            },
        )

    def on_connection_close(self) -> None:
        self._server.remove_idle(self._conn)
        self._stop_reading()
        self._body = bytearray()

    def _stop_reading(self) -> None:
        self._server.remove_reading(self)
        self._server.held.release(self._held)

    def _end_unread(self, why: str) -> None:
        self._count_slow(f'body_{why}')
        self.refuse_unread(_MEMORY_FULL)

    def _count_slow(self, reason: str) -> None:
        self._server.metrics.count('gateway_slow_callers', reason)


def _stated_size(headers: HTTPHeaders) -> int | None:
    """Return the size of the body, or None if the head does not tell."""
    if 'Transfer-Encoding' in headers:
        # Both are malformed, which tornado answers.
        return 0 if 'Content-Length' in headers else None
    length = headers.get('Content-Length', '0')
    is_number = length.isascii() and length.isdecimal()
    # Tornado answers a length that is malformed or absurd.
    return int(length) if is_number and len(length) <= MAX_DIGITS else 0
