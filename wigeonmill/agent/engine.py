"""The agent's client for its model engine, based on curl."""

from collections.abc import Callable
from dataclasses import dataclass
import enum
import logging

import msgspec
import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPError
from tornado.httpclient import HTTPRequest

from wigeonmill.clock import Clock
from wigeonmill.providers.http import close_curl_client
from wigeonmill.providers.http import forbid_resend
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
from wigeonmill.providers.http import HttpReply
from wigeonmill.providers.reply_reader import ABORT
from wigeonmill.providers.reply_reader import ReplyReader

logger = logging.getLogger(__name__)

MAX_CLIENTS = 512
CONNECT_TIMEOUT_S = 2.0
CONTROL_TIMEOUT_MS = 2_000.0
MAX_ERROR_BYTES = 65536
STATE_LOADING = 'loading'
_DATA = b'data: '
_DONE = b'[DONE]'


class EngineEndKind(enum.Enum):
    """How a stream from the engine ended."""

    COMPLETED = 'completed'
    # The engine answered with an error status; the prompt was not run.
    REJECTED = 'rejected'
    # No connection was made; the engine has received nothing.
    UNREACHABLE = 'unreachable'
    # The stream was interrupted; the prompt may have run in part.
    BROKEN = 'broken'
    TIMEOUT = 'timeout'
    CANCELLED = 'cancelled'


@dataclass(slots=True)
class EngineEnd:
    """The end of a stream; token counts are the engine's own."""

    kind: EngineEndKind
    message: str = ''
    status: int = 0
    finish_reason: str = ''
    prompt_tokens: int = 0
    answer_tokens: int = 0
    cached_tokens: int = 0


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    text: str | None = None
    delta: _Delta | None = None
    finish_reason: str | None = None


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails | None = None


class _EngineChunk(msgspec.Struct):
    choices: list[_Choice] = []
    usage: _Usage | None = None


class EngineHealth(msgspec.Struct):
    """The engine's health report."""

    incarnation: str = ''
    uptime_ms: float = 0.0
    model: str = ''
    weight_version: str = ''
    role: str = ''
    state: str = ''

    def serves(self, weight_version: str) -> bool:
        """Return whether the engine has loaded `weight_version`."""
        return self.weight_version == weight_version and (
            self.state != STATE_LOADING
        )


class OrderOutcome(enum.Enum):
    """The outcome of an order to the engine."""

    ACCEPTED = 'accepted'
    # The engine has received a later order, or is busy with one.
    REFUSED = 'refused'
    # There was no reply; the engine's reports show whether it took effect.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class LoadOrder:
    """Weights to load; `serial` and `order` form the fencing token."""

    model: str
    weight_version: str
    adapters: list[str]
    serial: int
    order: int


class _Fencing(msgspec.Struct):
    revision: int
    order: int


class _LoadBody(msgspec.Struct):
    model: str
    weight_version: str
    fencing: _Fencing
    adapters: list[str]


class EngineStream:
    """The stream of one running request.

    Each part of the answer is passed to `on_text` with its token count.
    """

    def __init__(self, on_text: Callable[[bytes, int], None]) -> None:
        self._on_text = on_text
        self._decode = msgspec.json.Decoder(_EngineChunk).decode
        self._partial_line = b''
        self._error_body = bytearray()
        self._reader = ReplyReader('POST')
        self._done_received = False
        self._cancelled = False
        self._malformed = False
        self._end = EngineEnd(EngineEndKind.COMPLETED)

    def cancel(self) -> None:
        """Stop reading the stream."""
        self._cancelled = True

    def prepare(self, curl: pycurl.Curl) -> None:
        """Install the callbacks that process the response as it arrives."""
        self._reader.prepare(curl)
        forbid_resend(curl, has_body=True)
        curl.setopt(pycurl.HEADERFUNCTION, self._on_header)
        curl.setopt(pycurl.WRITEFUNCTION, self._on_data)
        curl.setopt(pycurl.NOPROGRESS, 0)
        curl.setopt(pycurl.XFERINFOFUNCTION, self._on_progress)

    def _on_header(self, line: bytes) -> int | None:
        self._reader.read_line(line)
        return None if self._reader.fault is None else ABORT

    def failure_end(self, error: HTTPError) -> EngineEnd:
        """Return the end of a stream whose transfer failed."""
        if self._malformed:
            return EngineEnd(EngineEndKind.BROKEN, 'malformed event')
        if self._reader.fault is not None:
            return EngineEnd(EngineEndKind.BROKEN, self._reader.message)
        if self._cancelled:
            return EngineEnd(EngineEndKind.CANCELLED)
        return EngineEnd(_failure_kind(error), str(error))

    def transfer_end(self, status: int) -> EngineEnd:
        """Return the end of a stream whose transfer was completed."""
        self._reader.end(0, '')
        if self._reader.fault is not None:
            return EngineEnd(EngineEndKind.BROKEN, self._reader.message)
        if status != 200:
            message = bytes(self._error_body).decode('utf-8', 'replace')
            return EngineEnd(EngineEndKind.REJECTED, message, status)
        if self._done_received:
            return self._end
        return EngineEnd(EngineEndKind.BROKEN, 'stream ended without [DONE]')

    def _on_progress(self, *_sizes: int) -> int:
        return 1 if self._cancelled or self._malformed else 0

    def _on_data(self, data: bytes) -> int | None:
        if self._cancelled or self._malformed:
            return ABORT
        content = self._reader.read_body(data)
        if self._reader.head.status == 200:
            self._on_content(content)
        else:
            self._error_body += content[:MAX_ERROR_BYTES]
        return None if self._reader.fault is None else ABORT

    def _on_content(self, content: bytes) -> None:
        lines = (self._partial_line + content).split(b'\n')
        self._partial_line = lines.pop()
        for line in lines:
            if line.startswith(_DATA):
                self._on_event(line[len(_DATA) :].strip())

    def _on_event(self, data: bytes) -> None:
        if data == _DONE:
            self._done_received = True
            return
        try:
            chunk = self._decode(data)
        except msgspec.DecodeError:
            logger.warning('engine sent a malformed event')
            self._malformed = True
            return
        for choice in chunk.choices:
            self._on_choice(choice)
        if chunk.usage is not None:
            self._on_usage(chunk.usage)

    def _on_choice(self, choice: _Choice) -> None:
        text = choice.text
        if choice.delta is not None:
            text = choice.delta.content
        if text:
            self._on_text(text.encode(), 1)
        if choice.finish_reason:
            self._end.finish_reason = choice.finish_reason

    def _on_usage(self, usage: _Usage) -> None:
        self._end.prompt_tokens = usage.prompt_tokens
        self._end.answer_tokens = usage.completion_tokens
        if usage.prompt_tokens_details is not None:
            details = usage.prompt_tokens_details
            self._end.cached_tokens = details.cached_tokens


class EngineClient:
    """Sends requests to one engine at an IP:port address."""

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}'
        self._http = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )
        self._control_http = HttpClient(Clock(), max_clients=8)

    async def run(
        self, path: str, body: bytes, stream: EngineStream, timeout_ms: float
    ) -> EngineEnd:
        """Send a request and feed `stream` until the answer ends."""
        return await self._stream('POST', path, body, stream, timeout_ms)

    async def replay(
        self, request_id: str, stream: EngineStream, timeout_ms: float
    ) -> EngineEnd:
        """Feed `stream` with a run that the engine keeps, from its start."""
        path = f'/v1/streams/{request_id}?offset=0'
        return await self._stream('GET', path, None, stream, timeout_ms)

    async def _stream(
        self,
        method: str,
        path: str,
        body: bytes | None,
        stream: EngineStream,
        timeout_ms: float,
    ) -> EngineEnd:
        request = HTTPRequest(
            self._base + path,
            method=method,
            body=body,
            headers={'Content-Type': 'application/json'},
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=max(timeout_ms, 1.0) / 1000.0,
            # Chunks are decoded here, after curl would decode the content.
            decompress_response=False,
            streaming_callback=_ignore_data,
            prepare_curl_callback=stream.prepare,
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except HTTPError as exc:
            return stream.failure_end(exc)
        return stream.transfer_end(response.code)

    async def cancel(self, request_id: str) -> None:
        """Ask the engine to stop a request; errors are ignored."""
        await self._send_control(
            'POST', f'/v1/requests/{request_id}/cancel', b''
        )

    async def load(self, order: LoadOrder) -> OrderOutcome:
        """Order the engine to load weights."""
        body = _LoadBody(
            order.model,
            order.weight_version,
            _Fencing(order.serial, order.order),
            order.adapters,
        )
        data = msgspec.json.encode(body)
        reply = await self._send_control('POST', '/admin/load', data)
        if reply is None:
            return OrderOutcome.UNKNOWN
        if reply.status < 300:
            return OrderOutcome.ACCEPTED
        return OrderOutcome.REFUSED

    async def health(self) -> EngineHealth | None:
        """Return the engine's report, or None if there is no valid reply."""
        reply = await self._send_control('GET', '/health', None)
        if reply is None or reply.status != 200:
            return None
        try:
            return msgspec.json.decode(reply.body, type=EngineHealth)
        except msgspec.DecodeError:
            return None

    def close(self) -> None:
        """Close the clients for streams and for control requests."""
        close_curl_client(self._http)
        self._control_http.close()

    async def _send_control(
        self, method: str, path: str, body: bytes | None
    ) -> HttpReply | None:
        call = HttpCall(
            method,
            self._base + path,
            CONTROL_TIMEOUT_MS,
            body,
            repeatable=True,
        )
        return (await self._control_http.send(call)).ok()


def _failure_kind(error: HTTPError) -> EngineEndKind:
    errno = error.errno if isinstance(error, CurlError) else None
    if errno == pycurl.E_COULDNT_CONNECT:
        return EngineEndKind.UNREACHABLE
    if errno == pycurl.E_OPERATION_TIMEDOUT:
        return EngineEndKind.TIMEOUT
    return EngineEndKind.BROKEN


def _ignore_data(_data: bytes) -> None:
    """Placeholder for the callback that `EngineStream.prepare` replaces."""
