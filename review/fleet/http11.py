"""A small HTTP/1.1 server and client for the stand-ins."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field

REASONS = {
    200: 'OK',
    202: 'Accepted',
    404: 'Not Found',
    409: 'Conflict',
    410: 'Gone',
    412: 'Precondition Failed',
    421: 'Misdirected Request',
    503: 'Service Unavailable',
}


@dataclass
class Request:
    """A request; the names of header fields are in lower case."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    # When its last byte was read, on the clock of the event loop.
    read_s: float = 0.0


@dataclass
class Reply:
    """A reply; without a status the connection is reset.

    With `parts` the body is sent in chunks, each after a pause in seconds.
    """

    status: int | None = 200
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    parts: list[tuple[float, bytes]] = field(default_factory=list)


Handler = Callable[[Request], Awaitable[Reply]]


class Server:
    """Serves one handler; `crash` ends it as the end of a process does."""

    def __init__(self, handler: Handler) -> None:
        self._handler = handler
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self.port = 0

    async def start(self, host: str, port: int = 0) -> None:
        """Listen at an address; port 0 means any free one."""
        self._server = await asyncio.start_server(
            self._serve, host, port, backlog=512
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def crash(self) -> None:
        """Stop listening and reset every connection."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._writers.add(writer)
        try:
            while True:
                req = await read_request(reader)
                if req is None:
                    return
                reply = await self._handler(req)
                if reply.status is None:
                    writer.transport.abort()
                    return
                writer.write(encode_reply(reply))
                for pause_s, data in reply.parts:
                    await asyncio.sleep(pause_s)
                    writer.write(b'%x\r\n%b\r\n' % (len(data), data))
                if reply.parts:
                    writer.write(b'0\r\n\r\n')
                await writer.drain()
        except (
            ConnectionError,
            asyncio.IncompleteReadError,
            # The case has ended.
            asyncio.CancelledError,
        ):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()


async def read_request(reader: asyncio.StreamReader) -> Request | None:
    """Return the next request, or None if the connection has ended."""
    head = await read_head(reader)
    if head is None:
        return None
    first, headers = head
    method, target, _version = first.split(' ', 2)
    body = await reader.readexactly(int(headers.get('content-length', '0')))
    now_s = asyncio.get_running_loop().time()
    return Request(method, target, headers, body, now_s)


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]] | None:
    """Return the first line and the header fields of a message."""
    try:
        raw = await reader.readuntil(b'\r\n\r\n')
    except asyncio.IncompleteReadError:
        return None
    first, *lines = raw.decode('latin-1').strip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, value = line.partition(':')
        headers[name.strip().lower()] = value.strip()
    return first, headers


def encode_reply(reply: Reply) -> bytes:
    """Return a reply as bytes, without the parts that follow."""
    status = reply.status or 0
    lines = [f'HTTP/1.1 {status} {REASONS.get(status, "Status")}']
    lines += [f'{name}: {value}' for name, value in reply.headers.items()]
    if reply.parts:
        lines.append('Transfer-Encoding: chunked')
    else:
        lines.append(f'Content-Length: {len(reply.body)}')
    return '\r\n'.join((*lines, '', '')).encode('latin-1') + reply.body


@dataclass
class Answer:
    """What a client got; `status` is None if the channel ended early."""

    status: int | None
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b''
    failure: str = ''


async def call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes = b'',
    timeout_s: float = 6.0,
) -> Answer:
    """Send one request on a new channel and return its answer."""
    try:
        async with asyncio.timeout(timeout_s):
            return await _call(address, method, target, headers, body)
    except (OSError, asyncio.IncompleteReadError, TimeoutError) as exc:
        return Answer(None, failure=repr(exc))


async def _call(
    address: str,
    method: str,
    target: str,
    headers: dict[str, str],
    body: bytes,
) -> Answer:
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = [f'{method} {target} HTTP/1.1']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        if body or method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        head = '\r\n'.join((*lines, '', '')).encode('latin-1')
        writer.write(head + body)
        found = await read_head(reader)
        if found is None:
            return Answer(None, failure='closed without an answer')
        first, fields = found
        status = int(first.split(' ', 2)[1])
        if fields.get('transfer-encoding') == 'chunked':
            return Answer(status, fields, await _read_chunks(reader))
        length = int(fields.get('content-length', '0'))
        return Answer(status, fields, await reader.readexactly(length))
    finally:
        writer.close()


async def _read_chunks(reader: asyncio.StreamReader) -> bytes:
    body = b''
    while True:
        size = int((await reader.readuntil(b'\r\n')).strip() or b'0', 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body
