"""A small HTTP/1.1 server for the stand-ins, on asyncio streams."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import json
import socket
import struct
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

RESET_ON_CLOSE = struct.pack('ii', 1, 0)


@dataclass
class Request:
    """A request that a stand-in has read."""

    method: str
    target: str
    headers: list
    body: bytes = b''
    query: dict = field(default_factory=dict)

    @property
    def path(self):
        return urlsplit(self.target).path

    def get(self, name):
        """Return the value of a header field, or None."""
        for field_name, value in self.headers:
            if field_name.lower() == name.lower():
                return value
        return None


def encode_reply(status, body=b'', headers=()):
    """Return a complete reply with a length."""
    if not isinstance(body, bytes):
        body = json.dumps(body).encode()
    lines = [f'HTTP/1.1 {status} Status']
    lines += [f'{name}: {value}' for name, value in headers]
    lines.append(f'Content-Length: {len(body)}')
    return '\r\n'.join(lines).encode() + b'\r\n\r\n' + body


def reset(writer):
    """Close a connection with a reset."""
    sock = writer.get_extra_info('socket')
    if sock is not None:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
    writer.close()


async def read_request(reader):
    """Return the next request; raises IncompleteReadError at the end."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    method, target, _version = lines[0].split(' ', 2)
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers.append((name.strip(), value.strip()))
    req = Request(method, target, headers)
    req.query = dict(parse_qsl(urlsplit(target).query))
    if (req.get('Transfer-Encoding') or '').lower() == 'chunked':
        req.body = await _read_chunks(reader)
    else:
        length = int(req.get('Content-Length') or 0)
        req.body = await reader.readexactly(length) if length else b''
    return req


async def _read_chunks(reader):
    parts = []
    while True:
        size = int((await reader.readline()).split(b';')[0], 16)
        data = await reader.readexactly(size + 2)
        if not size:
            return b''.join(parts)
        parts.append(data[:-2])


class Server:
    """Serves connections on a loopback port; `handle` gets each request.

    `handle(request, writer)` writes the reply. If it returns False, the
    connection is closed.
    """

    def __init__(self, handle):
        self._handle = handle
        self._server = None
        self.writers = set()
        self.address = ''

    async def start(self, port=0):
        self._server = await asyncio.start_server(
            self._serve, '127.0.0.1', port, limit=2**20
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                req = await read_request(reader)
                if await self._handle(req, writer) is False:
                    return
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    def close(self):
        if self._server is not None:
            self._server.close()
        self.reset_all()

    def reset_all(self):
        """Reset the open connections."""
        for writer in list(self.writers):
            reset(writer)


async def call(address, method, target, headers=(), body=b'', timeout=30.0):
    """Send one request on a new connection.

    Return the status (0: no complete answer), the header fields and the body.
    """
    host, port = address.rsplit(':', 1)
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection(host, int(port))
            lines = [f'{method} {target} HTTP/1.1']
            lines += [f'{name}: {value}' for name, value in headers]
            if body or method in ('POST', 'PUT'):
                lines.append(f'Content-Length: {len(body)}')
            writer.write('\r\n'.join(lines).encode() + b'\r\n\r\n' + body)
            return await read_answer(reader)
    except (OSError, asyncio.IncompleteReadError, TimeoutError, ValueError):
        return 0, [], b''
    finally:
        if writer is not None:
            writer.close()


async def read_answer(reader):
    """Return the status, the header fields and the body of an answer."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    status = int(lines[0].split(' ')[1])
    headers = []
    for line in lines[1:]:
        if line:
            name, _, value = line.partition(':')
            headers.append((name.strip(), value.strip()))
    by_name = {name.lower(): value for name, value in headers}
    if by_name.get('transfer-encoding', '').lower() == 'chunked':
        return status, headers, await _read_chunks(reader)
    length = int(by_name.get('content-length', 0))
    return status, headers, await reader.readexactly(length)
