"""Forwards the calls of a plain service to the agent's target with curl."""

from dataclasses import dataclass
import enum
import hashlib

from result import Err
from tornado.httputil import HTTPHeaders

from wigeonmill.clock import Clock
from wigeonmill.protocol.gen.inner.ttypes import Call
from wigeonmill.protocol.gen.inner.ttypes import CallReply
from wigeonmill.protocol.gen.inner.ttypes import Header
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
from wigeonmill.providers.http import HttpError
from wigeonmill.providers.http import HttpErrorKind
from wigeonmill.providers.http import HttpReply

MAX_CLIENTS = 256
CONNECT_TIMEOUT_MS = 2000.0
# Headers that are never forwarded: those of one connection, and those that
# curl sets itself.
HOP_HEADERS = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
        'host',
        'content-length',
        'authorization',
        'cookie',
        'expect',
        'accept-encoding',
        'content-encoding',
    )
)
_BODILESS = frozenset(('GET', 'HEAD', 'OPTIONS', 'DELETE'))


class CallEndKind(enum.Enum):
    """The outcome of a call."""

    ANSWERED = 'answered'
    # No connection was made; the target has received nothing.
    UNREACHABLE = 'unreachable'
    # The target may have run the call, and its answer is lost.
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class CallEnd:
    """The end of a call; `reply` is set only if it was answered."""

    kind: CallEndKind
    message: str = ''
    reply: CallReply | None = None


class CallClient:
    """Forwards calls to one target at an IP:port address."""

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}'
        self._http = HttpClient(Clock(), MAX_CLIENTS)

    async def send(self, call: Call, timeout_ms: float) -> CallEnd:
        """Send a call once, without retries, and return how it ended."""
        body = call.body or None
        if body is None and call.method not in _BODILESS:
            body = b''
        headers = _forwardable_headers(call.headers or [])
        if call.request_id:
            headers['X-Request-Id'] = call.request_id
        http_call = HttpCall(
            call.method,
            self._base + call.path,
            timeout_ms,
            body,
            headers,
            connect_timeout_ms=CONNECT_TIMEOUT_MS,
        )
        sent = await self._http.send(http_call)
        if isinstance(sent, Err):
            return _failed_end(sent.err_value)
        return CallEnd(
            CallEndKind.ANSWERED, reply=_to_call_reply(sent.ok_value)
        )

    def close(self) -> None:
        """Close the client."""
        self._http.close()


def make_reply(status: int, headers: list[Header], body: bytes) -> CallReply:
    """Return a reply with the digest of its body."""
    return CallReply(status, headers, body, hashlib.sha256(body).digest())


def _forwardable_headers(headers: list[Header]) -> HTTPHeaders:
    forwarded = HTTPHeaders()
    for header in headers:
        if header.name.lower() not in HOP_HEADERS:
            forwarded.add(header.name, header.value)
    return forwarded


def _to_call_reply(response: HttpReply) -> CallReply:
    headers = [
        Header(name, value)
        for name, value in response.headers.get_all()
        if name.lower() not in HOP_HEADERS
    ]
    return make_reply(response.status, headers, response.body)


def _failed_end(error: HttpError) -> CallEnd:
    if error.kind is HttpErrorKind.NOT_SENT:
        return CallEnd(CallEndKind.UNREACHABLE, error.message)
    return CallEnd(CallEndKind.UNKNOWN, error.message)
