"""Replies without end: the connection is closed and the memory stays flat."""

import asyncio
import itertools
import resource
import time

import pytest

from tests.providers.test_transfers import make_call
from wigeonmill.providers.fetch import fetch
from wigeonmill.providers.transfers import MAX_REPLIES
from wigeonmill.providers.transfers import RECEIVE_BUFFER_BYTES
from wigeonmill.providers.transfers import TransferLoop
from wigeonmill.providers.transfers import WINDOW_BYTES

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


class SlowSink:
    """Takes what it was given when it is told to."""

    def __init__(self):
        self.size = 0
        self.ended = False

    def on_head(self, head):
        pass

    def on_data(self, data):
        self.size += len(data)

    def on_end(self, end, message):
        self.ended = True


# Guards against LOST: all that had arrived was read at once and queued, many
# MB for each of the calls under way.
@pytest.mark.parametrize('form', ['body-until-close', 'chunks', 'one-chunk'])
def test_a_body_is_read_no_faster_than_it_is_taken(form):
    async def check():
        server = EndlessServer(*ENDLESS[form])
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        loop, sink = TransferLoop(), SlowSink()
        call = make_call(f'127.0.0.1:{port}')
        transfer = loop.start(call, sink, acknowledges=True)
        taken = 0
        for _ in range(20):
            await asyncio.sleep(0.05)
            assert sink.size - taken <= WINDOW_BYTES + RECEIVE_BUFFER_BYTES
            transfer.release(sink.size - taken)
            taken = sink.size
        assert taken > 10 * WINDOW_BYTES
        transfer.pause()
        transfer.release(0)
        await asyncio.sleep(0.1)
        paused_at = sink.size
        await asyncio.sleep(0.1)
        assert sink.size == paused_at
        transfer.resume()
        transfer.release(sink.size - taken)
        await asyncio.sleep(0.1)
        assert sink.size > paused_at
        transfer.cancel()
        loop.close()
        listener.close()

    asyncio.run(asyncio.wait_for(check(), 10.0))


# Guards against LOST: a transfer that was resumed while its sink had not taken
# what was read stood still for good.
def test_a_transfer_goes_on_that_was_resumed_before_its_body_was_taken():
    async def check():
        may_go_on = asyncio.Event()

        async def serve(reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            writer.write(HEAD + b'\r\n' + b'z' * WINDOW_BYTES)
            await may_go_on.wait()
            writer.write(b'z' * WINDOW_BYTES)
            writer.close()

        listener = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        loop, sink = TransferLoop(), SlowSink()
        call = make_call(f'127.0.0.1:{port}')
        transfer = loop.start(call, sink, acknowledges=True)
        while sink.size < WINDOW_BYTES:
            await asyncio.sleep(0.01)
        transfer.pause()
        transfer.resume()
        transfer.release(sink.size)
        may_go_on.set()
        while not sink.ended:
            await asyncio.sleep(0.01)
        assert sink.size == 2 * WINDOW_BYTES
        loop.close()
        listener.close()

    asyncio.run(asyncio.wait_for(check(), 5.0))


# Guards against LOST: replies to the process's own calls were bounded one by
# one only.
def test_replies_that_are_collected_at_once_are_bounded_together():
    async def check():
        server = EndlessServer(*ENDLESS['body-until-close'])
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        loop = TransferLoop(max_reply_bytes=MAX_REPLY_BYTES)
        call = make_call(f'127.0.0.1:{port}')
        calls = [
            asyncio.ensure_future(fetch(loop, call, TIMEOUT_MS))
            for _ in range(40)
        ]
        largest = 0
        while not all(done.done() for done in calls):
            await asyncio.sleep(0.001)
            largest = max(largest, loop.replies.total)
        assert all(done.result().is_err() for done in calls)
        assert 0 < largest <= MAX_REPLIES * MAX_REPLY_BYTES
        assert loop.replies.total == 0
        loop.close()
        listener.close()

    asyncio.run(asyncio.wait_for(check(), 20.0))
