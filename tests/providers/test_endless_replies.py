"""Replies without end: the connection is closed and the memory stays flat."""

import asyncio
import itertools
import resource
import time

import pytest

from tests.providers.test_transfers import make_call
from wigeonmill.providers.fetch import fetch
from wigeonmill.providers.transfers import TransferLoop

HEAD = b'HTTP/1.1 200 OK\r\n'
MAX_REPLY_BYTES = 1024 * 1024
TIMEOUT_MS = 4_000
# Growth of the whole test process, with its buffers for one reply.
MAX_GROWTH_KB = 40 * 1024
ENDLESS = {
    'header-lines': (HEAD, b''.join(b'X-%d: y\r\n' % n for n in range(5_000))),
    'one-header-line': (HEAD + b'X-A: ', b'y' * 65_536),
    'interim-replies': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 2_000),
    'status-line': (b'HTTP/1.1 200 ', b'O' * 65_536),
    'no-http': (b'', b'z' * 65_536),
    'body-until-close': (HEAD + b'\r\n', b'z' * 65_536),
    'chunks': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + b'z' * 65_536 + b'\r\n',
    ),
    'one-chunk': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\nffffffffff\r\n',
        b'z' * 65_536,
    ),
    'trailers': (
        HEAD + b'Transfer-Encoding: chunked\r\n\r\n1\r\nz\r\n0\r\n',
        b'X-A: y\r\n' * 5_000,
    ),
}


class EndlessServer:
    """Repeats `part` until the client closes the connection."""

    def __init__(self, start, part):
        self._start = start
        self._part = part
        self.closed = asyncio.Event()

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self._start)
            for _ in itertools.count():
                writer.write(self._part)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()
            self.closed.set()


@pytest.mark.parametrize('form', list(ENDLESS))
def test_a_reply_without_end_is_an_error_and_its_connection_closes(form):
    """One reply took 659 MB of memory in 3 s."""

    async def check():
        server = EndlessServer(*ENDLESS[form])
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        loop = TransferLoop(max_reply_bytes=MAX_REPLY_BYTES)
        before_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        started = time.monotonic()
        call = make_call(f'127.0.0.1:{port}')
        outcome = await fetch(loop, call, TIMEOUT_MS)
        took_s = time.monotonic() - started
        after_kb = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        assert outcome.is_err()
        assert outcome.unwrap_err().sent
        assert took_s < TIMEOUT_MS / 2_000.0
        assert after_kb - before_kb < MAX_GROWTH_KB
        await asyncio.wait_for(server.closed.wait(), 2.0)
        loop.close()
        listener.close()

    asyncio.run(check())
