"""Targets that send without end: a gateway keeps the machine's limits.

Many callers wait for such targets at once. A process that holds what all of
them send exceeds the memory of its machine, and ends for all its callers.
"""

import asyncio
import contextlib
import re

import pytest

from tests.platform.crowd import answer_ordinary
from tests.platform.crowd import crowd
from tests.platform.crowd import make_head
from tests.platform.crowd import run_gateway

CLIENTS = 40
BLOCK = b'z' * 65_536
CHUNK = b'10000\r\n' + BLOCK + b'\r\n'
STREAM = b'Content-Type: text/event-stream\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
EVENT = b'id: 1\ndata: ' + b'z' * 60_000 + b'\n\n'
TINY_CHUNKS = b'2\r\nzz\r\n' * 8_000
# What follows the head of an answer, and what is repeated after that.
FORMS = {
    'close': (b'\r\n', BLOCK),
    'chunked': (CHUNKED + b'\r\n', CHUNK),
    'length': (b'Content-Length: 99999999999\r\n\r\n', BLOCK),
    'event': (STREAM + b'\r\nid: 1\ndata: ', BLOCK),
    'events': (STREAM + b'\r\n', EVENT),
    'tiny_chunks': (CHUNKED + b'\r\n', TINY_CHUNKS),
}


class EndlessTarget:
    """Answers each request without end, as fast as it is read."""

    def __init__(self, form):
        self._start, self._part = FORMS[form]
        self.sent = 0

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            request_id = re.search(rb'Request-Id: (\S+)', head)[1]
            writer.write(
                b'HTTP/1.1 200 OK\r\nServer-Seal: x\r\n'
                + b'Request-Id: %s\r\n' % request_id
                + self._start
            )
            while True:
                writer.write(self._part)
                await writer.drain()
                self.sent += len(self._part)
        except (asyncio.IncompleteReadError, OSError):
            pass
        finally:
            writer.close()


async def read_on(client):
    loop = asyncio.get_running_loop()
    while await loop.sock_recv(client.sock, 65_536):
        pass


def callers(kind, reads):
    async def behave(client, number):
        line = f'GET /{kind}/x HTTP/1.1'
        await client.send(make_head(line, f'c{number}', 'Deadline-Ms: 20000'))
        if reads:
            await read_on(client)
        else:
            await asyncio.sleep(60.0)

    return behave


@contextlib.asynccontextmanager
async def serve_endless(form, count=4):
    """Yield the addresses of targets that answer without end."""
    targets = [EndlessTarget(form) for _number in range(count)]
    servers = [
        await asyncio.start_server(target.serve, '127.0.0.1', 0)
        for target in targets
    ]
    try:
        yield [
            f'127.0.0.1:{server.sockets[0].getsockname()[1]}'
            for server in servers
        ]
    finally:
        for server in servers:
            server.close()


# Guards against LOST: what targets sent without end was in no account until it
# was passed on, and the process had up to eight times its machine's memory.
@pytest.mark.parametrize(
    'kind, reads',
    [
        ('safe', False),
        ('unsafe', True),
        ('streaming', False),
        ('streaming', True),
    ],
)
@pytest.mark.parametrize('form', FORMS)
def test_answers_without_end_keep_the_memory_bounded(
    tmp_path, form, kind, reads
):
    async def check():
        async with (
            serve_endless(form) as faulty,
            run_gateway(tmp_path, faulty=faulty) as gateway,
        ):
            address = gateway.settings['callers']
            async with crowd(address, CLIENTS, callers(kind, reads)):
                for _number in range(3):
                    await answer_ordinary(gateway)
                gateway.check_bounds()

    asyncio.run(check())
