"""Minimal HTTP/1.1 for the stand-ins; none of the project's code is used."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import json
import random
import socket
from typing import Any
from urllib.parse import parse_qsl


@dataclass
class Request:
    """One request as it was received."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes

    @property
    def path(self) -> str:
        return self.target.partition('?')[0]

    @property
    def query(self) -> dict[str, str]:
        return dict(parse_qsl(self.target.partition('?')[2]))

    def json(self) -> Any:
        return json.loads(self.body or b'{}')


@dataclass
class Reply:
    """One answer; `body` is None if the channel closed before its end."""

    status: int
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes | None = b''


# Below the ports that systems give to outgoing connections, as each listener
# starts again at its port. A run draws from a block of its own.
BLOCK_PORTS = 100
BLOCKS = range(20_000, 32_000, BLOCK_PORTS)

Handler = Callable[[Request, asyncio.StreamWriter], Awaitable[None]]


async def read_head(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str]]:
    """Return the first line and the fields, by lower-case names."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = {}
    for line in lines:
        if line:
            name, _, value = line.partition(':')
            headers[name.lower()] = value.strip()
    return first, headers


async def read_body(
    reader: asyncio.StreamReader, headers: dict[str, str]
) -> bytes:
    """Return a body with a length or in chunks."""
    if headers.get('transfer-encoding', '').lower() != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while True:
        size = int(await reader.readline(), 16)
        body += await reader.readexactly(size)
        await reader.readline()
        if not size:
            return body


def reply_bytes(
    status: int, body: bytes = b'', headers: dict[str, str] | None = None
) -> bytes:
    """Return a whole answer with a length."""
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in (headers or {}).items()]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join([*lines, '', '']).encode() + body


def json_reply(status: int, value: Any) -> bytes:
    """Return a whole answer with a JSON body."""
    body = json.dumps(value).encode()
    return reply_bytes(status, body, {'Content-Type': 'application/json'})


async def serve(handler: Handler, port: int = 0) -> asyncio.Server:
    """Serve requests on 127.0.0.1, one after the other on a channel."""

    async def on_channel(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while True:
                first, headers = await read_head(reader)
                method, target, _version = first.split(' ', 2)
                body = await read_body(reader, headers)
                await handler(Request(method, target, headers, body), writer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        except asyncio.CancelledError:
            # The run is over.
            pass
        finally:
            writer.close()

    return await asyncio.start_server(on_channel, '127.0.0.1', port)


class _Ports:
    """Draws each port of a block once; the first one holds the block."""

    def __init__(self) -> None:
        self._held: socket.socket | None = None
        self._next = 0
        self._end = 0

    def draw(self) -> int:
        if self._held is None:
            self._hold_block()
        while self._next < self._end:
            port, self._next = self._next, self._next + 1
            sock = _bound(port)
            if sock is not None:
                sock.close()
                return port
        raise OSError('no port of the block is free')

    def _hold_block(self) -> None:
        for first in random.sample(BLOCKS, len(BLOCKS)):
            self._held = _bound(first)
            if self._held is not None:
                self._next, self._end = first + 1, first + BLOCK_PORTS
                return
        raise OSError('no block of ports is free')


def _bound(port: int) -> socket.socket | None:
    sock = socket.socket()
    try:
        sock.bind(('127.0.0.1', port))
    except OSError:
        sock.close()
        return None
    return sock


_PORTS = _Ports()


def free_ports(count: int) -> list[int]:
    """Return ports that nothing else in this run, nor another run, draws."""
    return [_PORTS.draw() for _number in range(count)]


def port_of(server: asyncio.Server) -> int:
    return server.sockets[0].getsockname()[1]


async def call(
    port: int,
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b'',
    timeout_s: float = 10.0,
) -> Reply:
    """Send one request on a new channel; status 0 means no answer."""
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection('127.0.0.1', port)
            lines = [f'{method} {target} HTTP/1.1']
            fields = {'Host': f'127.0.0.1:{port}', **(headers or {})}
            fields['Content-Length'] = str(len(body))
            lines += [f'{name}: {value}' for name, value in fields.items()]
            writer.write('\r\n'.join([*lines, '', '']).encode() + body)
            first, found = await read_head(reader)
            reply = Reply(int(first.split(' ')[1]), found, None)
            reply.body = await read_body(reader, found)
            return reply
    except (asyncio.IncompleteReadError, OSError, ValueError):
        return locals().get('reply') or Reply(0, {}, None)
    finally:
        if writer is not None:
            writer.close()
