"""HTTP calls to the platform through curl, with errors as values."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import enum
import os

import pycurl
from result import Err
from result import Ok
from result import Result
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse
from tornado.httputil import HTTPHeaders

from wigeonmill.clock import Clock
from wigeonmill.providers.reply_reader import ABORT
from wigeonmill.providers.reply_reader import ReplyReader

MAX_BODY_BYTES = 256 * 1024 * 1024
# Curl errors that occur before the first byte of the request is sent.
_NOT_SENT_ERRNOS = frozenset(
    (pycurl.E_COULDNT_CONNECT, pycurl.E_COULDNT_RESOLVE_HOST)
)


class HttpErrorKind(enum.Enum):
    """Why a call has no complete reply."""

    # No connection was made, so the server received nothing.
    NOT_SENT = 'not_sent'
    # No complete reply was received in time.
    TIMEOUT = 'timeout'
    # The connection closed before the reply was complete.
    BROKEN = 'broken'
    # The caller cancelled the call.
    CANCELLED = 'cancelled'


@dataclass(frozen=True, slots=True)
class HttpError:
    """A call without a complete reply."""

    kind: HttpErrorKind
    message: str


@dataclass(frozen=True, slots=True)
class HttpReply:
    """A complete reply of any status, with the elapsed time."""

    status: int
    headers: HTTPHeaders
    body: bytes
    elapsed_ms: float


class CancelHandle:
    """Cancels a call in progress; cancelling twice is harmless."""

    __slots__ = ('cancelled', '_callbacks')

    def __init__(self) -> None:
        self.cancelled = False
        self._callbacks: list[Callable[[], None]] = []

    def cancel(self) -> None:
        """Cancel the call now."""
        if self.cancelled:
            return
        self.cancelled = True
        for callback in self._callbacks:
            callback()

    def on_cancel(self, callback: Callable[[], None]) -> None:
        """Run `callback` on cancellation, at once if already cancelled."""
        if self.cancelled:
            callback()
        else:
            self._callbacks.append(callback)


@dataclass(frozen=True, slots=True)
class HttpCall:
    """One HTTP call.

    Unless `repeatable`, curl never resends the request if a reused
    connection turns out to be closed. With `on_data`, the body of the reply
    is passed to it in chunks and the reply's `body` stays empty.
    """

    method: str
    url: str
    timeout_ms: float
    body: bytes | None = None
    headers: HTTPHeaders = field(default_factory=HTTPHeaders)
    repeatable: bool = False
    cancel: CancelHandle | None = None
    on_data: Callable[[bytes], None] | None = None
    connect_timeout_ms: float | None = None


class HttpClient:
    """A pool of curl handles, created on first use in the event loop."""

    __slots__ = ('_clock', '_curl', '_max_clients')

    def __init__(self, clock: Clock, max_clients: int = 64) -> None:
        self._clock = clock
        self._max_clients = max_clients
        self._curl: CurlAsyncHTTPClient | None = None

    async def send(self, call: HttpCall) -> Result[HttpReply, HttpError]:
        """Make one call; raises nothing but CancelledError."""
        cancel = call.cancel or CancelHandle()
        cancelled_fut: asyncio.Future[None] = (
            asyncio.get_running_loop().create_future()
        )
        cancel.on_cancel(lambda: _set_done(cancelled_fut))
        start_ms = self._clock.now_ms()
        reader = ReplyReader(call.method)
        req = _build_request(call, cancel, reader)
        fetch = asyncio.ensure_future(
            self._pool().fetch(req, raise_error=False)
        )
        try:
            await asyncio.wait(
                (fetch, cancelled_fut), return_when=asyncio.FIRST_COMPLETED
            )
        except asyncio.CancelledError:
            cancel.cancel()
            fetch.add_done_callback(_ignore_outcome)
            raise
        if not fetch.done():
            fetch.add_done_callback(_ignore_outcome)
            return Err(HttpError(HttpErrorKind.CANCELLED, 'cancelled'))
        elapsed_ms = self._clock.now_ms() - start_ms
        return _make_result(fetch, reader, elapsed_ms)

    def close(self) -> None:
        """Close every connection; calls in progress get no result."""
        if self._curl is not None:
            close_curl_client(self._curl)
            self._curl = None

    def _pool(self) -> CurlAsyncHTTPClient:
        if self._curl is None:
            self._curl = CurlAsyncHTTPClient(
                force_instance=True,
                max_clients=self._max_clients,
                max_body_size=MAX_BODY_BYTES,
            )
        return self._curl


def _build_request(
    call: HttpCall, cancel: CancelHandle, reader: ReplyReader
) -> HTTPRequest:
    # Curl interprets 0 as no timeout.
    timeout_ms = max(call.timeout_ms, 1.0)
    connect_ms = max(call.connect_timeout_ms or timeout_ms, 1.0)
    on_data = call.on_data

    def on_header(line: bytes) -> int:
        reader.read_line(line)
        return len(line) if reader.fault is None else ABORT

    def on_progress(*_sizes: int) -> int:
        return int(cancel.cancelled or reader.fault is not None)

    def pass_on(data: bytes) -> None:
        content = reader.read_body(data)
        if content and on_data is not None:
            on_data(content)

    def prepare(curl: pycurl.Curl) -> None:
        reader.prepare(curl)
        curl.setopt(pycurl.HEADERFUNCTION, on_header)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, on_progress)
        if not call.repeatable:
            forbid_resend(curl, bool(call.body))

    return HTTPRequest(
        call.url,
        method=call.method,
        body=call.body,
        headers=call.headers.copy(),
        connect_timeout=connect_ms / 1000.0,
        request_timeout=timeout_ms / 1000.0,
        follow_redirects=False,
        decompress_response=False,
        allow_nonstandard_methods=True,
        streaming_callback=pass_on if on_data is not None else None,
        prepare_curl_callback=prepare,
    )


def forbid_resend(curl: pycurl.Curl, has_body: bool) -> None:
    """Prevent curl from resending a request by itself.

    If a reused connection closes before the first byte of the reply, curl
    resends the request on a new one, although the server may have processed
    it. With a body, refusing to rewind it prevents the resend; without a
    body, the request needs a fresh connection.
    """
    if has_body:
        curl.setopt(
            pycurl.SEEKFUNCTION, lambda _offset, _origin: pycurl.SEEKFUNC_FAIL
        )
    else:
        curl.setopt(pycurl.FRESH_CONNECT, 1)


def _make_result(
    fetch: asyncio.Future[HTTPResponse],
    reader: ReplyReader,
    elapsed_ms: float,
) -> Result[HttpReply, HttpError]:
    exc = fetch.exception()
    errno, message = 0, str(exc)
    if isinstance(exc, CurlError):
        errno = exc.errno
        message = f'curl error {errno}: {os.fsdecode(exc.message or "")}'
    body = b''
    if exc is None and reader.head.complete:
        body = reader.read_body(fetch.result().body or b'')
    reader.end(errno, message)
    if reader.fault is not None:
        return Err(HttpError(HttpErrorKind.BROKEN, reader.message))
    if exc is not None:
        return Err(HttpError(_classify_error(errno), message))
    if not reader.head.complete:
        # Curl takes that for a complete reply without a body.
        message = 'the connection closed within the reply headers'
        return Err(HttpError(HttpErrorKind.BROKEN, message))
    headers = HTTPHeaders()
    for name, value in reader.head.fields:
        headers.add(name, value)
    return Ok(HttpReply(reader.head.status, headers, body, elapsed_ms))


def _classify_error(errno: int) -> HttpErrorKind:
    if errno in _NOT_SENT_ERRNOS:
        return HttpErrorKind.NOT_SENT
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        return HttpErrorKind.TIMEOUT
    if errno == pycurl.E_ABORTED_BY_CALLBACK:
        return HttpErrorKind.CANCELLED
    return HttpErrorKind.BROKEN


def _set_done(fut: asyncio.Future[None]) -> None:
    if not fut.done():
        fut.set_result(None)


def _ignore_outcome(fut: asyncio.Future[HTTPResponse]) -> None:
    if not fut.cancelled():
        fut.exception()


def close_curl_client(client: CurlAsyncHTTPClient) -> None:
    """Close a client and the timer that curl may set during the close."""
    client.close()
    timer = client._timeout
    if timer is not None:
        client.io_loop.remove_timeout(timer)
