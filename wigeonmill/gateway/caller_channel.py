"""Writes the answer to one request, and ends the request in any case."""

import asyncio
from collections.abc import Callable
import enum
import logging
import socket
import struct
from typing import Protocol

from tornado.http1connection import HTTP1Connection
from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine
from tornado.httputil import responses
from tornado.httputil import ResponseStartLine
from tornado.iostream import StreamClosedError

from wigeonmill.clock import Clock
from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.answers import Progress
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.answers import RequestState
from wigeonmill.gateway.caller_codec import CallerCodec
from wigeonmill.gateway.forwarder import Forwarder
from wigeonmill.gateway.held_bytes import HeldBytes
from wigeonmill.gateway.held_bytes import Holding
from wigeonmill.gateway.held_bytes import LOW_WATER_BYTES
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.log import loggable_ms
from wigeonmill.metrics import Metrics

logger = logging.getLogger(__name__)

# SO_LINGER with a time of 0 s: a close resets the connection.
_RESET_ON_CLOSE = struct.pack('ii', 1, 0)
# Time for which input is read and dropped after the refusal of a request that
# was not read to its end.
READ_ON_MS = 2_000.0
_STATUSES_WITHOUT_BODY = (204, 304)
_INTERNAL_ERROR = Refusal(Reason.INTERNAL, 'internal error')
# Another entry can serve the request at once.
SHUTTING_DOWN = Refusal(
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
    CALLER_IDLE = 'caller_idle'
    DRAIN_ENDED = 'drain_ended'
    INTERNAL_ERROR = 'internal_error'


class ChannelOwner(Protocol):
    """The server of a channel: its parts, and the requests that are open."""

    forwarder: Forwarder
    codec: CallerCodec
    clock: Clock
    metrics: Metrics
    held: HeldBytes
    draining: bool

    def add_open(self, channel: 'HttpChannel') -> None:
        """Add the channel of a request that is being served."""

    def remove_open(self, channel: 'HttpChannel') -> None:
        """Remove the channel of a request that has ended."""

    def add_unsent(self, conn: HTTP1Connection) -> None:
        """Add a connection on which an answer is still being sent."""

    def close_after_answer(self, conn: HTTP1Connection) -> None:
        """Close a connection whose last answer was sent."""

    def end_conn(self, conn: HTTP1Connection) -> None:
        """Refuse the next request on a connection, or close it if idle."""


class HttpChannel:
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
        '_close_announced',
        '_closes_unread',
        'holding',
    )

    def __init__(
        self,
        server: ChannelOwner,
        conn: HTTP1Connection,
        start: RequestStartLine,
    ) -> None:
        self._server = server
        self._conn = conn
        # Without chunks an answer in parts ends with its connection.
        self._has_chunks = start.version != 'HTTP/1.0'
        self._is_head = start.method == 'HEAD'
        self._ends_with_conn = False
        self._close_announced = False
        # Whether the request was not read to its end.
        self._closes_unread = False
        self._task: asyncio.Task[None] | None = None
        self._req: CallerRequest | None = None
        self._progress: Callable[[], Progress] | None = None
        self._end = RequestEnd.BROKEN_OFF
        # Whether a part of the answer was written.
        self._begun = False
        self._finished = False
        self._caller_disconnected = False
        self.holding = Holding(self._end_unread, lambda: self.unsent_bytes)

    @property
    def closed(self) -> bool:
        """Whether the caller has disconnected."""
        return self._caller_disconnected or self._conn.stream.closed()

    @property
    def unsent_bytes(self) -> int:
        """The bytes that were written and that the kernel has not taken."""
        if self._conn.stream.closed():
            return 0
        # Tornado has no public name for its buffer.
        return len(self._conn.stream._write_buffer)

    def serve(self, req: CallerRequest) -> None:
        """Start to serve the request; its answer uses this channel."""
        self._req = req
        self.holding.deadline_ms = req.arrived_ms + req.deadline_ms
        self._server.held.set_input(self.holding, len(req.body), complete=True)
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
        start = _start_line(head.status)
        if len(body) > LOW_WATER_BYTES:
            # Written with the head, it would be copied.
            self._conn.write_headers(start, headers)
            self._conn.write(body)
        else:
            self._conn.write_headers(start, headers, body)
        self._begun = True
        self._server.held.record_written(self.holding, len(body))

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
            self._conn.write(data)
            self._server.held.record_written(self.holding, len(data))

    def announce_close(self) -> None:
        """Let the answer say that the connection closes after it."""
        self._close_announced = True

    def close_unread(self) -> None:
        """Let the connection close after an answer to an unread request.

        Its input is read on for a moment, because a connection that is closed
        with unread bytes is reset, and the answer is lost.
        """
        self._close_announced = True
        self._closes_unread = True

    def finish(self) -> None:
        """End the body as complete."""
        self._finish_as(RequestEnd.ANSWERED)

    def _finish_as(self, end: RequestEnd) -> None:
        if self.closed:
            self._finished = True
            if self._end is not RequestEnd.CALLER_IDLE:
                self._end = RequestEnd.CALLER_CLOSED
            return
        if not self._closes_unread:
            self._conn.finish()
        self._finished = True
        self._end = end
        if self._closes_unread:
            asyncio.ensure_future(self._close_after_input())
            return
        if self._conn.stream.writing():
            self._server.add_unsent(self._conn)
        if self._close_announced or self._ends_with_conn:
            asyncio.ensure_future(self._close_after_flush())
        elif self._server.draining:
            # The head was sent before the drain started, so that the caller
            # may have sent its next request already.
            self._server.end_conn(self._conn)

    async def _close_after_flush(self) -> None:
        """Close the connection after the kernel has taken all its output."""
        try:
            await self._conn.stream.write(b'')
        except StreamClosedError:
            return
        self._server.close_after_answer(self._conn)

    async def _close_after_input(self) -> None:
        """Close the connection once the caller has had time to read."""
        stream = self._conn.stream
        try:
            await stream.write(b'')
            stream.socket.shutdown(socket.SHUT_WR)
            await asyncio.sleep(READ_ON_MS / 1000.0)
        except (StreamClosedError, OSError):
            pass
        if not stream.closed():
            self._server.close_after_answer(self._conn)

    def abort(self) -> None:
        """Close the connection, so that the answer does not look complete."""
        self._finished = True
        if self._ends_with_conn and not self.closed:
            # An orderly close would mark the end of the answer.
            self._reset_on_close()
        self._conn.close()

    def _reset_on_close(self) -> None:
        try:
            self._conn.stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
            )
        except OSError:
            # Left open, its caller would wait for more.
            logger.exception(
                'connection not reset',
                extra={'request_id': self._req.id if self._req else ''},
            )

    def end_by_shutdown(self) -> None:
        """End a request for which the process has no time left."""
        if self._finished or self.closed or self._task is None:
            return
        try:
            if self._begun:
                self.abort()
            elif self._read_progress().state is RequestState.WAITING:
                self._count_refusal(SHUTTING_DOWN)
                self.refuse(SHUTTING_DOWN)
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
            self._close_announced = True
        if self._close_announced:
            headers['Connection'] = 'close'
        return headers

    def _end_unread(self, why: str) -> None:
        """End a request whose caller does not read its answer."""
        self._server.metrics.count('gateway_slow_callers', why)
        logger.warning(
            'caller does not read',
            extra={
                'request_id': self._req.id if self._req else '',
                'reason': why,
                'finished': self._finished,
            },
        )
        self.abort()
        if self._task is not None and not self._task.done():
            self._end = RequestEnd.CALLER_IDLE
            self._task.cancel()

    def _on_close(self) -> None:
        self._caller_disconnected = True
        if self._task is not None and not self._finished:
            self._task.cancel()

    def _on_done(self, task: 'asyncio.Task[None]') -> None:
        self._server.remove_open(self)
        self._server.held.release_input(self.holding)
        try:
            self._conclude(task)
        finally:
            self._count_end()

    def _conclude(self, task: 'asyncio.Task[None]') -> None:
        if self._end in (RequestEnd.DRAIN_ENDED, RequestEnd.CALLER_IDLE):
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


def _start_line(status: int) -> ResponseStartLine:
    return ResponseStartLine(
        'HTTP/1.1', status, responses.get(status, 'Unknown')
    )
