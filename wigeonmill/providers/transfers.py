"""Streaming HTTP transfers with curl's multi interface on the event loop.

Curl's callbacks must not call back into curl. They only queue what was
received, which is delivered to the sinks in order once curl has returned.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import enum
import logging
import socket
from typing import Protocol

import pycurl

from wigeonmill.providers.reply_head import ReplyFault
from wigeonmill.providers.reply_reader import ABORT
from wigeonmill.providers.reply_reader import ReplyReader

logger = logging.getLogger(__name__)

# Limit of open idle connections to all addresses; the oldest is closed first.
MAX_IDLE_CONNS = 256
# Limit of curl easy handles kept for reuse; each holds a receive buffer.
MAX_IDLE_HANDLES = 64
RECEIVE_BUFFER_BYTES = 16 * 1024
# Limit of the body of a reply that is collected completely.
MAX_REPLY_BYTES = 8 * 1024 * 1024
# All of those that are being collected hold at most as much as so many.
MAX_REPLIES = 2
# What is read of one body before its sink has taken it, and of all of them.
WINDOW_BYTES = 64 * 1024
MAX_UNREAD_BYTES = 8 * 1024 * 1024
# Pieces of one body, such as chunks, that are read before others go on.
MAX_PIECES = 256
# Of the kernel's buffer for received bytes, which may be twice that.
SOCKET_BUFFER_BYTES = 64 * 1024
# TCP keep-alive: idle seconds before the first probe, seconds between probes,
# and the number of unanswered probes after which the connection is closed.
KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
KEEP_ALIVE_PROBES = 4
# Time after which a connection with unacknowledged data is closed, also if
# its peer acknowledges but reads nothing.
TCP_USER_TIMEOUT_MS = 5_000

_TCP_KEEPCNT = getattr(socket, 'TCP_KEEPCNT', 6)
_TCP_USER_TIMEOUT = getattr(socket, 'TCP_USER_TIMEOUT', 18)


class TransferEnd(enum.Enum):
    """How a transfer ended."""

    # The complete reply was received.
    COMPLETE = 'complete'
    # No connection was made, or it closed before any byte was sent.
    NOT_SENT = 'not_sent'
    # After a byte was sent, the connection closed.
    BROKEN = 'broken'
    # After a byte was sent, a reply came that breaks the syntax of HTTP.
    MALFORMED = 'malformed'
    # The reply could not be handled because of an error of this process.
    FAILED_HERE = 'failed_here'


class Framing(enum.Enum):
    """What marks the end of a reply's body."""

    CHUNKED = 'chunked'
    LENGTH = 'length'
    # Neither chunks nor a length, so the body ends with the connection.
    CLOSE = 'close'


@dataclass(frozen=True, slots=True)
class ReplyHead:
    """Status and header fields of a reply, in the order received.

    `first_on_connection` is set if the connection was opened for the request,
    so that the reply can't be a late one to an earlier request.
    """

    status: int
    fields: tuple[tuple[str, str], ...]
    first_on_connection: bool = False

    @property
    def framing(self) -> Framing:
        """What marks the end of the body (RFC 9112, section 6.3)."""
        if self.get('transfer-encoding') is not None:
            return Framing.CHUNKED
        if self.get('content-length') is not None:
            return Framing.LENGTH
        return Framing.CLOSE

    def get(self, name: str) -> str | None:
        """Return the last value of a header field by its lower-case name."""
        last_value = None
        for field, value in self.fields:
            if field.lower() == name:
                last_value = value
        return last_value


class TransferSink(Protocol):
    """Receives the reply of one transfer, in order."""

    def on_head(self, head: ReplyHead) -> None:
        """Handle the final status and header fields."""

    def on_data(self, data: bytes) -> None:
        """Handle the next bytes of the body.

        A sink that started its transfer with `acknowledges` tells by
        `Transfer.release` when it has taken them.
        """

    def on_end(self, end: TransferEnd, message: str) -> None:
        """Handle the end; no further callback follows."""


@dataclass(frozen=True, slots=True)
class TransferCall:
    """One request; `target` is sent unchanged in the request line.

    Unless `repeatable`, curl never resends the request if a reused
    connection turns out to be closed. A connection is reused if it was idle
    for at most `max_idle_s` (0: always open a new one). `is_reply` tells
    whether a head is that of the reply to this request. If it is not, the
    connection is closed after it, as the reply may still come there.
    """

    address: str
    method: str
    target: str
    fields: tuple[tuple[str, str], ...]
    body: bytes
    repeatable: bool
    connect_timeout_ms: float
    max_idle_s: int
    is_reply: Callable[[ReplyHead], bool] = lambda _head: True


class Transfer:
    """A transfer in progress; `cancel` ends it without a further callback.

    A body is read no faster than its sink takes it.
    """

    __slots__ = (
        '_loop',
        '_failing',
        '_acknowledges',
        '_body',
        '_unread',
        '_pieces',
        '_held_back',
        '_paused',
        'curl',
        'sink',
        'pending',
        'call',
        'body_offset',
        'connected',
        'reader',
    )

    def __init__(
        self,
        loop: 'TransferLoop',
        call: TransferCall,
        sink: TransferSink,
        acknowledges: bool = False,
    ) -> None:
        self._loop = loop
        self._acknowledges = acknowledges
        # What was read of the body and not delivered, and the size of that
        # and of what was delivered and not taken.
        self._body = bytearray()
        self._unread = 0
        self._pieces = 0
        # Whether reading has stopped until more is taken, or by `pause`.
        self._held_back = False
        self._paused = False
        self.call = call
        self.sink = sink
        self.curl: pycurl.Curl | None = None
        self.pending: list[Callable[[], None]] = []
        self.body_offset = 0
        # Whether a connection was opened for it.
        self.connected = False
        self.reader: ReplyReader | None = None
        self._failing: asyncio.Handle | None = None

    @property
    def done(self) -> bool:
        """Whether the transfer has completed or was cancelled."""
        return self.curl is None

    def cancel(self) -> None:
        """Cancel the transfer and close its connection."""
        if self._failing is not None:
            self._failing.cancel()
        self._loop.cancel(self)

    def fail_soon(self, message: str) -> None:
        """End a transfer that can't be sent, after the caller has returned."""
        self._failing = asyncio.get_running_loop().call_soon(
            _deliver_end, self, TransferEnd.NOT_SENT, message
        )

    def pause(self) -> None:
        """Read no more of the reply; not to be called by curl's callbacks.

        An end of the connection isn't noticed until the transfer is resumed.
        """
        self._paused = True
        if self.curl is not None:
            self.curl.pause(pycurl.PAUSE_RECV)

    def resume(self) -> None:
        """Read on after a pause, as soon as there is room."""
        self._paused = False
        self._held_back = True
        self._read_on()

    def release(self, size: int) -> None:
        """Record that the sink has taken so much of the body."""
        self._unread -= size
        if self._held_back:
            self._read_on()

    def has_room(self) -> bool:
        """Whether more of the body may be read; if not, reading stops."""
        if not self._is_full:
            return True
        self._held_back = True
        self._loop.ready[self] = None
        return False

    def read(self, content: bytes, pieces: int) -> None:
        """Take so many pieces of the body."""
        self._pieces += pieces
        if not content:
            return
        if not self._body:
            self._loop.ready[self] = None
        self._body += content
        self._unread += len(content)

    def call_later(self, callback: Callable[[], None]) -> None:
        """Call back once curl has returned."""
        self._loop.ready[self] = None
        self.pending.append(callback)

    def deliver(self) -> None:
        """Deliver what was read to the sink, and read on if there is room."""
        pending, self.pending = self.pending, []
        for callback in pending:
            if self.curl is None:
                return
            callback()
        if self._body and self.curl is not None:
            data = bytes(self._body)
            self._body.clear()
            self.sink.on_data(data)
            if not self._acknowledges:
                self._unread -= len(data)
        self._pieces = 0
        if self._held_back:
            self._read_on()

    @property
    def _is_full(self) -> bool:
        return (
            self._unread >= self._loop.window_bytes
            or self._pieces >= MAX_PIECES
        )

    def _read_on(self) -> None:
        if self.curl is not None and not self._paused and not self._is_full:
            self._held_back = False
            self.curl.pause(pycurl.PAUSE_CONT)


class ReplyAccount:
    """Bounds what is held of all replies that are collected completely.

    When it is too much, the longest one ends.
    """

    __slots__ = ('_max_bytes', '_sizes', 'total')

    def __init__(self, max_bytes: int) -> None:
        self._max_bytes = max_bytes
        # By what ends the collection of each reply.
        self._sizes: dict[Callable[[], None], int] = {}
        self.total = 0

    def add(self, end: Callable[[], None], size: int) -> None:
        """Count so much more of the reply that `end` ends."""
        self._sizes[end] = self._sizes.get(end, 0) + size
        self.total += size
        while self.total > self._max_bytes:
            longest = max(self._sizes, key=lambda key: self._sizes[key])
            self.remove(longest)
            longest()

    def remove(self, end: Callable[[], None]) -> None:
        """Hold nothing more of a reply."""
        self.total -= self._sizes.pop(end, 0)


class TransferLoop:
    """Runs transfers on the event loop in which it is created."""

    __slots__ = (
        '_multi',
        '_loop',
        '_timer',
        '_idle_handles',
        '_active',
        'ready',
        '_closed',
        'max_reply_bytes',
        'replies',
        'on_malformed',
    )

    def __init__(
        self,
        max_idle_conns: int = MAX_IDLE_CONNS,
        max_reply_bytes: int = MAX_REPLY_BYTES,
    ) -> None:
        """Create a loop; `max_reply_bytes` limits whole replies only."""
        self.max_reply_bytes = max_reply_bytes
        # What is held of the replies that are collected completely.
        self.replies = ReplyAccount(MAX_REPLIES * max_reply_bytes)
        self._loop = asyncio.get_running_loop()
        self._multi = pycurl.CurlMulti()
        self._multi.setopt(pycurl.M_SOCKETFUNCTION, self._on_socket)
        self._multi.setopt(pycurl.M_TIMERFUNCTION, self._on_timer)
        self._multi.setopt(pycurl.M_MAXCONNECTS, max_idle_conns)
        self._timer: asyncio.TimerHandle | None = None
        self._idle_handles: list[pycurl.Curl] = []
        self._active: dict[pycurl.Curl, Transfer] = {}
        # Those that have something to deliver, or to read on for.
        self.ready: dict[Transfer, None] = {}
        self._closed = False
        # Called with the fault of each reply that is malformed.
        self.on_malformed: Callable[[ReplyFault], None] = _ignore_fault

    @property
    def window_bytes(self) -> int:
        """What is read of one body before its sink has taken it."""
        share = MAX_UNREAD_BYTES // max(1, len(self._active))
        return max(RECEIVE_BUFFER_BYTES, min(WINDOW_BYTES, share))

    def start(
        self,
        call: TransferCall,
        sink: TransferSink,
        acknowledges: bool = False,
    ) -> Transfer:
        """Start a transfer; must not be called from a sink's `on_data`."""
        transfer = Transfer(self, call, sink, acknowledges)
        curl = (
            self._idle_handles.pop() if self._idle_handles else pycurl.Curl()
        )
        try:
            curl.setopt(pycurl.URL, f'http://{call.address}/')
        except (pycurl.error, ValueError) as exc:
            curl.close()
            transfer.fail_soon(f'no address: {exc}')
            return transfer
        transfer.curl = curl
        _prepare(curl, transfer)
        self._active[curl] = transfer
        self._multi.add_handle(curl)
        return transfer

    def cancel(self, transfer: Transfer) -> None:
        """Cancel a transfer; its sink gets no further callback."""
        curl = transfer.curl
        if curl is None:
            return
        transfer.pending.clear()
        self._release(transfer, curl)

    def close(self) -> None:
        """Cancel every transfer and close every connection."""
        self._closed = True
        for transfer in list(self._active.values()):
            transfer.cancel()
        if self._timer is not None:
            self._timer.cancel()
        self._multi.close()
        for curl in self._idle_handles:
            curl.close()
        self._idle_handles.clear()

    def _release(self, transfer: Transfer, curl: pycurl.Curl) -> None:
        transfer.curl = None
        self._active.pop(curl, None)
        self._multi.remove_handle(curl)
        if len(self._idle_handles) < MAX_IDLE_HANDLES and not self._closed:
            curl.reset()
            self._idle_handles.append(curl)
        else:
            curl.close()

    def _on_socket(
        self, event: int, fd: int, _multi: pycurl.CurlMulti, _data: object
    ) -> None:
        self._loop.remove_reader(fd)
        self._loop.remove_writer(fd)
        if event in (pycurl.POLL_IN, pycurl.POLL_INOUT):
            self._loop.add_reader(fd, self._perform, fd, pycurl.CSELECT_IN)
        if event in (pycurl.POLL_OUT, pycurl.POLL_INOUT):
            self._loop.add_writer(fd, self._perform, fd, pycurl.CSELECT_OUT)

    def _on_timer(self, delay_ms: int) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        if delay_ms >= 0 and not self._closed:
            self._timer = self._loop.call_later(
                delay_ms / 1000.0, self._perform, pycurl.SOCKET_TIMEOUT, 0
            )

    def _perform(self, fd: int, events: int) -> None:
        if self._closed:
            return
        if fd == pycurl.SOCKET_TIMEOUT:
            self._timer = None
        while True:
            code, _count = self._multi.socket_action(fd, events)
            if code != pycurl.E_CALL_MULTI_PERFORM:
                break
        self._deliver()

    def _deliver(self) -> None:
        """Deliver received data to the sinks, then finish ended transfers."""
        ready, self.ready = self.ready, {}
        for transfer in ready:
            _deliver_pending(transfer)
        remaining = 1
        while remaining:
            remaining, succeeded, failed = self._multi.info_read()
            for curl in succeeded:
                self._finish(curl, 0, '')
            for curl, errno, message in failed:
                self._finish(curl, errno, str(message))

    def _finish(self, curl: pycurl.Curl, errno: int, message: str) -> None:
        transfer = self._active.get(curl)
        if transfer is None:
            return
        _deliver_pending(transfer)
        if transfer.curl is None:
            return
        end = _classify_end(curl, errno)
        assert transfer.reader is not None
        transfer.reader.end(errno, message)
        fault = transfer.reader.fault
        if fault is not None and end is not TransferEnd.NOT_SENT:
            end = TransferEnd.MALFORMED
            self.on_malformed(fault)
        elif errno == 0 and not curl.getinfo(pycurl.RESPONSE_CODE):
            end, message = TransferEnd.BROKEN, 'the reply has no status line'
        self._release(transfer, curl)
        message = transfer.reader.message or message or f'curl error {errno}'
        _deliver_end(transfer, end, message)


def _ignore_fault(fault: ReplyFault) -> None:
    pass


def _deliver_pending(transfer: Transfer) -> None:
    try:
        transfer.deliver()
    except Exception:
        # The rest of the reply is of no use, but other transfers go on.
        logger.exception(
            'reply not handled', extra={'address': transfer.call.address}
        )
        transfer.cancel()
        message = 'internal error while handling the reply'
        _deliver_end(transfer, TransferEnd.FAILED_HERE, message)


def _deliver_end(transfer: Transfer, end: TransferEnd, message: str) -> None:
    try:
        transfer.sink.on_end(end, message)
    except Exception:
        logger.exception(
            'end of a reply not handled',
            extra={'address': transfer.call.address},
        )


def _end_at_head(transfer: Transfer) -> None:
    """End a transfer whose reply is its head, and close its connection.

    Curl sends the body of a request only if it waits for one of the reply.
    """
    transfer.cancel()
    _deliver_end(transfer, TransferEnd.COMPLETE, '')


def _classify_end(curl: pycurl.Curl, errno: int) -> TransferEnd:
    if errno == 0:
        return TransferEnd.COMPLETE
    # Curl counts the bytes of the request that have been sent.
    if curl.getinfo(pycurl.REQUEST_SIZE) == 0:
        return TransferEnd.NOT_SENT
    return TransferEnd.BROKEN


def _prepare(curl: pycurl.Curl, transfer: Transfer) -> None:
    call = transfer.call
    reader = transfer.reader = ReplyReader(call.method)
    reader.prepare(curl)
    owner = transfer

    def on_header(raw: bytes) -> int:
        is_complete = reader.read_line(raw)
        if reader.fault is not None:
            return ABORT
        if is_complete:
            head = ReplyHead(
                reader.head.status,
                tuple(reader.head.fields),
                owner.connected,
            )
            owner.call_later(lambda: transfer.sink.on_head(head))
            if not call.is_reply(head):
                return ABORT
            if call.method == 'HEAD' and call.body:
                owner.call_later(lambda: _end_at_head(transfer))
        return len(raw)

    def on_open(purpose: int, address: object) -> socket.socket | int:
        owner.connected = True
        return open_socket(purpose, address)

    def on_body(data: bytes) -> int:
        if not owner.has_room():
            return pycurl.WRITEFUNC_PAUSE
        chunks = reader.chunks
        content = reader.read_body(data)
        owner.read(content, max(1, reader.chunks - chunks))
        return len(data) if reader.fault is None else ABORT

    curl.setopt(pycurl.REQUEST_TARGET, call.target.encode('latin-1'))
    curl.setopt(pycurl.PATH_AS_IS, 1)
    curl.setopt(pycurl.CUSTOMREQUEST, call.method)
    curl.setopt(pycurl.HTTP_VERSION, pycurl.CURL_HTTP_VERSION_1_1)
    curl.setopt(pycurl.HTTPHEADER, _header_lines(call))
    curl.setopt(pycurl.HEADERFUNCTION, on_header)
    curl.setopt(pycurl.WRITEFUNCTION, on_body)
    curl.setopt(pycurl.NOSIGNAL, 1)
    curl.setopt(pycurl.FOLLOWLOCATION, 0)
    curl.setopt(pycurl.PROXY, '')
    curl.setopt(pycurl.BUFFERSIZE, RECEIVE_BUFFER_BYTES)
    curl.setopt(pycurl.CONNECTTIMEOUT_MS, max(1, int(call.connect_timeout_ms)))
    curl.setopt(pycurl.OPENSOCKETFUNCTION, on_open)
    if call.max_idle_s > 0:
        curl.setopt(pycurl.MAXAGE_CONN, call.max_idle_s)
    else:
        curl.setopt(pycurl.FRESH_CONNECT, 1)
    if call.method == 'HEAD':
        curl.setopt(pycurl.NOBODY, 1)
    if call.body:
        _prepare_body(curl, transfer)
    elif not call.repeatable:
        # Curl may resend a request without a body on a new connection.
        curl.setopt(pycurl.FRESH_CONNECT, 1)


def _prepare_body(curl: pycurl.Curl, transfer: Transfer) -> None:
    body = transfer.call.body

    def read(size: int) -> bytes:
        start = transfer.body_offset
        transfer.body_offset = min(len(body), start + size)
        return body[start : transfer.body_offset]

    def seek(offset: int, _origin: int) -> int:
        if not transfer.call.repeatable:
            return pycurl.SEEKFUNC_FAIL
        transfer.body_offset = offset
        return pycurl.SEEKFUNC_OK

    curl.setopt(pycurl.UPLOAD, 1)
    curl.setopt(pycurl.INFILESIZE_LARGE, len(body))
    curl.setopt(pycurl.READFUNCTION, read)
    curl.setopt(pycurl.SEEKFUNCTION, seek)


def _header_lines(call: TransferCall) -> list[bytes]:
    lines = [f'{name}: {value}' for name, value in call.fields]
    names = {name.lower() for name, _value in call.fields}
    # An empty value removes a field that curl adds by default.
    for added in ('Accept', 'User-Agent', 'Expect', 'Content-Type'):
        if added.lower() not in names:
            lines.append(f'{added}:')
    if not call.body and call.method in ('POST', 'PUT', 'PATCH'):
        lines.append('Content-Length: 0')
    # Field values may contain any byte; they were decoded as Latin-1.
    return [line.encode('latin-1') for line in lines]


def open_socket(_purpose: int, address: object) -> socket.socket | int:
    """Return a socket for curl that notices a lost peer."""
    family, kind, protocol = address[0], address[1], address[2]  # type: ignore
    sock = socket.socket(family, kind, protocol)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SOCKET_BUFFER_BYTES)
    level = socket.IPPROTO_TCP
    sock.setsockopt(level, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(level, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
    sock.setsockopt(level, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
    sock.setsockopt(level, _TCP_KEEPCNT, KEEP_ALIVE_PROBES)
    sock.setsockopt(level, _TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS)
    return sock
