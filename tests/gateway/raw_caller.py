"""A caller on a raw connection, and a server for it."""

import asyncio

from wigeonmill.clock import Clock
from wigeonmill.gateway.server import GatewayServer
from wigeonmill.metrics import Metrics

TIMEOUT_S = 5.0
REQUEST = b'GET /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\n\r\n'


def run_with_server(make_forwarder, codec, check, clock=None):
    """Run `check(server, forwarder)` with a server that listens."""

    async def run():
        forwarder = make_forwarder()
        server = GatewayServer(forwarder, codec, clock or Clock(), Metrics())
        server.listen('127.0.0.1:0', 15_000.0)
        try:
            await asyncio.wait_for(check(server, forwarder), TIMEOUT_S)
        finally:
            await server.close()

    asyncio.run(run())


async def connect(server):
    return await asyncio.open_connection('127.0.0.1', server.port)


async def read_answer(reader):
    """Return the status and the body of an answer with a length."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin1').split('\r\n')
    fields = dict(line.lower().split(': ', 1) for line in lines[1:] if line)
    body = await reader.readexactly(int(fields['content-length']))
    return int(lines[0].split()[1]), body


async def exchange(server, request=REQUEST):
    """Send a request on a new connection and return its answer."""
    reader, writer = await connect(server)
    writer.write(request)
    answer = await read_answer(reader)
    writer.close()
    return answer
