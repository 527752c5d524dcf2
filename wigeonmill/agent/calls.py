"""Calls of a plain service, forwarded to the agent's target by curl."""

from dataclasses import dataclass
import enum
from functools import partial
import hashlib

import pycurl
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.curl_httpclient import CurlError
from tornado.httpclient import HTTPError
from tornado.httpclient import HTTPRequest
from tornado.httpclient import HTTPResponse
from tornado.httputil import HTTPHeaders

from wigeonmill.platform.http import close_curl_client
from wigeonmill.platform.http import forbid_resend
from wigeonmill.protocol.gen.inner.ttypes import Call
from wigeonmill.protocol.gen.inner.ttypes import CallReply
from wigeonmill.protocol.gen.inner.ttypes import Header

MAX_CLIENTS = 256
CONNECT_TIMEOUT_S = 2.0
# Headers of one connection, never forwarded, and those curl sets itself.
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
    """What became of a call."""

    ANSWERED = 'answered'
    # No connection was made; the target saw nothing.
    UNREACHABLE = 'unreachable'
    # The target may have run the call and its answer is lost.
    UNKNOWN = 'unknown'


@dataclass(slots=True)
class CallEnd:
    """The end of a call; `reply` is set only when it was answered."""

    kind: CallEndKind
    message: str = ''
    reply: CallReply | None = None


class CallClient:
    """Forwards calls to one target at an IP:port address."""

    def __init__(self, address: str) -> None:
        self._base = f'http://{address}'
        self._http = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )

    async def send(self, call: Call, timeout_ms: float) -> CallEnd:
        """Send a call once and return its answer or why there is none."""
        body = call.body or None
        bodiless = call.method in _BODILESS
        if body is None and not bodiless:
            body = b''
        request = HTTPRequest(
            self._base + call.path,
            method=call.method,
            headers=_forwarded(call.headers or []),
            body=body,
            allow_nonstandard_methods=True,
            connect_timeout=CONNECT_TIMEOUT_S,
            request_timeout=max(timeout_ms, 1.0) / 1000.0,
            follow_redirects=False,
            decompress_response=False,
            prepare_curl_callback=partial(
                forbid_resend, has_body=body is not None
            ),
        )
        try:
            response = await self._http.fetch(request, raise_error=False)
        except HTTPError as exc:
            return _failed(exc)
        return CallEnd(CallEndKind.ANSWERED, reply=_reply(response))

    def close(self) -> None:
        """Close the client."""
        close_curl_client(self._http)


def make_reply(status: int, headers: list[Header], body: bytes) -> CallReply:
    """Return a reply with the digest of its body."""
    return CallReply(status, headers, body, hashlib.sha256(body).digest())


def _forwarded(headers: list[Header]) -> HTTPHeaders:
    kept = HTTPHeaders()
    for header in headers:
        if header.name.lower() not in HOP_HEADERS:
            kept.add(header.name, header.value)
    return kept


def _reply(response: HTTPResponse) -> CallReply:
    headers = [
        Header(name, value)
        for name, value in response.headers.get_all()
        if name.lower() not in HOP_HEADERS
    ]
    return make_reply(response.code, headers, response.body or b'')


def _failed(error: HTTPError) -> CallEnd:
    errno = error.errno if isinstance(error, CurlError) else None
    if errno == pycurl.E_COULDNT_CONNECT:
        return CallEnd(CallEndKind.UNREACHABLE, str(error))
    return CallEnd(CallEndKind.UNKNOWN, str(error))
