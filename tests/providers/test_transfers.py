"""Tests transfers against a server that sends scripted bytes."""

import asyncio
import socket

import pytest

from wigeonmill.providers.fetch import fetch
from wigeonmill.providers.transfers import Framing
from wigeonmill.providers.transfers import open_socket
from wigeonmill.providers.transfers import ReplyHead
from wigeonmill.providers.transfers import TransferCall
from wigeonmill.providers.transfers import TransferEnd
from wigeonmill.providers.transfers import TransferLoop

TIMEOUT_S = 10.0
# A sound target may stand still for this time.
LONGEST_SILENCE_S = 2.5
REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: 1\r\n\r\nwhole'


class ScriptedServer:
    """Sends one scripted reply per request and counts connections.

    A reply is the bytes to send, or None to close without replying.
    """

    def __init__(self, replies, close_after=False):
        self._replies = list(replies)
        self._close_after = close_after
        self.conns = 0
        self.requests = []

    async def serve(self, reader, writer):
        self.conns += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                length = _length(head)
                body = await reader.readexactly(length)
                self.requests.append((head, body))
                reply_bytes = self._replies.pop(0) if self._replies else None
                if reply_bytes is None:
                    break
                writer.write(reply_bytes)
                await writer.drain()
                if self._close_after:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def _length(head):
    for line in head.decode('latin-1').lower().split('\r\n'):
        if line.startswith('content-length:'):
            return int(line.partition(':')[2])
    return 0


def with_server(server, check):
    async def run():
        listener = await asyncio.start_server(server.serve, '127.0.0.1', 0)
        port = listener.sockets[0].getsockname()[1]
        loop = TransferLoop()
        try:
            await asyncio.wait_for(check(loop, f'127.0.0.1:{port}'), TIMEOUT_S)
        finally:
            loop.close()
            listener.close()

    asyncio.run(run())


def make_call(address, **changes):
    values = {
        'address': address,
        'method': 'POST',
        'target': '/a/../b?c',
        'fields': (('Host', 'h.example'),),
        'body': b'hello',
        'repeatable': False,
        'connect_timeout_ms': 500.0,
        'max_idle_s': 5,
    }
    return TransferCall(**(values | changes))


def test_request_is_sent_unchanged():
    server = ScriptedServer([REPLY])

    async def check(loop, address):
        fields = (('Host', 'h.example'), ('X-Note', 'caf\xe9'))
        call = make_call(address, fields=fields)
        reply = (await fetch(loop, call, 2_000)).unwrap()
        assert reply.body == b'whole'
        assert reply.head.get('x-a') == '1'
        head, body = server.requests[0]
        assert head.startswith(b'POST /a/../b?c HTTP/1.1\r\n')
        assert b'X-Note: caf\xe9\r\n' in head
        assert b'User-Agent' not in head
        assert b'Accept' not in head
        assert body == b'hello'

    with_server(server, check)


def test_connections_are_reused():
    server = ScriptedServer([REPLY] * 3)

    async def check(loop, address):
        for _ in range(3):
            assert (await fetch(loop, make_call(address), 2_000)).is_ok()
        assert server.conns == 1

    with_server(server, check)


@pytest.mark.parametrize('body', [b'hello', b''])
def test_request_is_never_resent_automatically(body):
    """If a reused connection closes, the server may have run the request."""
    server = ScriptedServer([REPLY, None, REPLY])

    async def check(loop, address):
        call = make_call(address, body=body)
        assert (await fetch(loop, call, 2_000)).is_ok()
        outcome = await fetch(loop, call, 2_000)
        assert outcome.is_err()
        assert outcome.unwrap_err().sent
        assert len(server.requests) == 2

    with_server(server, check)


def test_refused_connection_reports_not_sent():
    async def check(loop, address):
        call = make_call('127.0.0.1:1')
        outcome = await fetch(loop, call, 2_000)
        assert not outcome.unwrap_err().sent

    with_server(ScriptedServer([]), check)


def test_bytes_after_a_reply_are_discarded():
    server = ScriptedServer([REPLY + REPLY, REPLY.replace(b'whole', b'other')])

    async def check(loop, address):
        first = (await fetch(loop, make_call(address), 2_000)).unwrap()
        assert first.body == b'whole'
        await asyncio.sleep(0.05)
        second = (await fetch(loop, make_call(address), 2_000)).unwrap()
        assert second.body == b'other'

    with_server(server, check)


@pytest.mark.parametrize(
    'reply_bytes',
    [
        b'HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort',
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n',
        b'HTTP/1.1 200 OK\r\nContent-Le',
        b'no HTTP at all\r\n\r\n',
    ],
)
def test_truncated_or_invalid_reply_is_an_error(reply_bytes):
    async def check(loop, address):
        outcome = await fetch(loop, make_call(address), 2_000)
        assert outcome.is_err()
        assert outcome.unwrap_err().sent

    with_server(ScriptedServer([reply_bytes], close_after=True), check)


def test_an_interim_reply_with_fields_does_not_hide_the_final_head():
    interim = b'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n'

    async def check(loop, address):
        reply = (await fetch(loop, make_call(address), 3_000)).unwrap()
        assert reply.status == 200
        assert reply.body == b'whole'

    with_server(ScriptedServer([interim + REPLY]), check)


def test_trailers_do_not_change_the_head():
    chunked = (
        b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
        b'5\r\nwhole\r\n0\r\nX-Late: 1\r\n\r\n'
    )
    heads = []

    class Sink:
        def __init__(self):
            self.ended = asyncio.Event()

        def on_head(self, head):
            heads.append(head.fields)

        def on_data(self, data):
            pass

        def on_end(self, end, message):
            self.ended.set()

    async def check(loop, address):
        sink = Sink()
        loop.start(make_call(address), sink)
        await sink.ended.wait()
        assert heads == [(('Transfer-Encoding', 'chunked'),)]

    with_server(ScriptedServer([chunked]), check)


def test_body_without_length_ends_with_the_connection():
    reply_bytes = b'HTTP/1.1 200 OK\r\n\r\nall of it'

    async def check(loop, address):
        reply = (await fetch(loop, make_call(address), 2_000)).unwrap()
        assert reply.body == b'all of it'

    with_server(ScriptedServer([reply_bytes], close_after=True), check)


@pytest.mark.parametrize(
    ('fields', 'framing'),
    [
        ((('Content-Length', '5'),), Framing.LENGTH),
        ((('Transfer-Encoding', 'chunked'),), Framing.CHUNKED),
        ((('Connection', 'close'),), Framing.CLOSE),
    ],
)
def test_a_head_tells_what_marks_the_end_of_its_body(fields, framing):
    assert ReplyHead(200, fields).framing is framing


def test_early_reply_to_a_long_body_does_not_affect_later_requests():
    """The unread rest of a body must not be parsed as the next request."""
    early = b'HTTP/1.1 503 Busy\r\nContent-Length: 0\r\n\r\n'
    seen = []

    async def serve(reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        seen.append(head)
        writer.write(early if len(seen) == 1 else REPLY)
        await writer.drain()
        await asyncio.sleep(0.2)
        writer.close()

    class EarlyReplyServer:
        pass

    server = EarlyReplyServer()
    server.serve = serve

    async def check(loop, address):
        call = make_call(address, body=b'x' * 4_000_000)
        reply = await fetch(loop, call, 3_000)
        assert reply.is_err() or reply.unwrap().status == 503
        again = (await fetch(loop, make_call(address), 3_000)).unwrap()
        assert again.status == 200
        assert seen[1].startswith(b'POST /a/../b?c')

    with_server(server, check)


# Guards against LOST: a target that stood still while it read a long body
# lost the request, because its connection was closed after 2 s.
@pytest.mark.parametrize('pause_s', [1.5, 2.5])
def test_a_server_that_stands_still_keeps_its_request(pause_s):
    body = b'x' * 72_000

    async def check(address_loop):
        listener = socket.create_server(('127.0.0.1', 0))
        # The buffer must not hold the body, so that the server must read.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        listener.setblocking(False)

        async def serve():
            event_loop = asyncio.get_running_loop()
            conn, _address = await event_loop.sock_accept(listener)
            reader, writer = await asyncio.open_connection(sock=conn)
            writer.transport.pause_reading()
            await asyncio.sleep(pause_s)
            writer.transport.resume_reading()
            await reader.readexactly(len(body))
            writer.write(REPLY)

        server = asyncio.ensure_future(serve())
        address = '127.0.0.1:%d' % listener.getsockname()[1]
        try:
            call = make_call(address, body=body)
            reply = await fetch(address_loop, call, 8_000)
            assert reply.unwrap().body == b'whole'
        finally:
            server.cancel()
            listener.close()

    async def run():
        loop = TransferLoop()
        try:
            await asyncio.wait_for(check(loop), TIMEOUT_S)
        finally:
            loop.close()

    asyncio.run(run())


def test_a_connection_survives_a_silence_of_its_peer():
    sock = open_socket(0, (socket.AF_INET, socket.SOCK_STREAM, 0))
    with sock:
        level = socket.IPPROTO_TCP
        idle_s, interval_s, probes, timeout_ms = (
            sock.getsockopt(level, option)
            for option in (
                socket.TCP_KEEPIDLE,
                socket.TCP_KEEPINTVL,
                socket.TCP_KEEPCNT,
                socket.TCP_USER_TIMEOUT,
            )
        )
    assert idle_s + interval_s * probes > LONGEST_SILENCE_S
    assert timeout_ms > 1_000 * LONGEST_SILENCE_S


def test_cancelled_transfer_closes_its_connection():
    events = []

    class SilentServer:
        async def serve(self, reader, writer):
            await reader.readuntil(b'\r\n\r\n')
            await reader.read()
            events.append('closed')
            writer.close()

    async def check(loop, address):
        outcome = await fetch(loop, make_call(address), 100)
        assert outcome.is_err()
        while not events:
            await asyncio.sleep(0.01)

    with_server(SilentServer(), check)


class BrokenSink:
    """Fails in one callback and records the ends that it is told of."""

    def __init__(self, broken):
        self._broken = broken
        self.ends = []

    def _handle(self, callback):
        if callback == self._broken:
            raise ValueError(callback)

    def on_head(self, head):
        self._handle('on_head')

    def on_data(self, data):
        self._handle('on_data')

    def on_end(self, end, message):
        self.ends.append(end)
        self._handle('on_end')


# Guards against requests without an answer: an error in the handling of one
# reply dropped its rest, and the ends of other transfers of the same moment.
@pytest.mark.parametrize('broken', ['on_head', 'on_data', 'on_end'])
def test_an_error_in_one_sink_does_not_reach_other_transfers(broken):
    async def check(loop, address):
        sinks = [BrokenSink(broken) for _ in range(4)]
        for sink in sinks:
            loop.start(make_call(address), sink)
        outcomes = await asyncio.gather(
            *(fetch(loop, make_call(address), 2_000) for _ in range(4))
        )
        assert all(outcome.is_ok() for outcome in outcomes)
        end = TransferEnd.FAILED_HERE
        if broken == 'on_end':
            end = TransferEnd.COMPLETE
        assert [sink.ends for sink in sinks] == [[end]] * 4

    with_server(ScriptedServer([REPLY] * 8), check)


# Guards against LOST: a request line with bytes beyond ASCII raised before it
# was sent, and its caller got a closed connection.
def test_a_request_target_with_any_bytes_is_sent_unchanged():
    server = ScriptedServer([REPLY])

    async def check(loop, address):
        call = make_call(address, target='/a/\xe9?b=\xff')
        assert (await fetch(loop, call, 1_000)).is_ok()

    with_server(server, check)
    ((head, _body),) = server.requests
    assert head.startswith(b'POST /a/\xe9?b=\xff HTTP/1.1\r\n')


HEAD_REPLY = b'HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-A: 1\r\n\r\n'


# Guards against LOST: a HEAD request with a body waited for the body of its
# reply, which has none, until its time was over, and was answered with 504.
@pytest.mark.parametrize('body', [b'', b'hello', b'x' * 300_000])
@pytest.mark.parametrize(
    'reply_bytes',
    [
        HEAD_REPLY,
        b'HTTP/1.1 404 No\r\nTransfer-Encoding: chunked\r\n\r\n',
        b'HTTP/1.1 103 Early\r\n\r\n' + HEAD_REPLY,
        b'HTTP/1.1 200 OK\r\n\r\n',
    ],
)
def test_a_reply_to_a_head_request_has_no_body(body, reply_bytes):
    server = ScriptedServer([reply_bytes, REPLY])

    async def check(loop, address):
        call = make_call(address, method='HEAD', body=body)
        reply = (await fetch(loop, call, 1_000)).unwrap()
        assert reply.head.status in (200, 404)
        assert reply.body == b''
        assert reply.head.get('content-length') in (None, '5')
        # The next reply on the address is not taken for the rest of that one.
        assert (await fetch(loop, make_call(address), 1_000)).is_ok()
        assert [sent[1] for sent in server.requests] == [body, b'hello']
        assert server.requests[0][0].startswith(b'HEAD /a/../b?c HTTP/1.1\r\n')

    with_server(server, check)


class CollectingSink:
    """Counts the bytes of a reply."""

    def __init__(self):
        self.size = 0
        self.ended = asyncio.get_running_loop().create_future()

    def on_head(self, head):
        pass

    def on_data(self, data):
        self.size += len(data)

    def on_end(self, end, message):
        self.ended.set_result(end)


def test_a_paused_transfer_reads_nothing_until_it_is_resumed():
    """Load: a caller that reads nothing of an answer of many megabytes."""
    size = 20_000_000
    head = b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n' % size
    server = ScriptedServer([head + b'x' * size])

    async def check(loop, address):
        sink = CollectingSink()
        transfer = loop.start(make_call(address), sink)
        while not sink.size:
            await asyncio.sleep(0.001)
        transfer.pause()
        await asyncio.sleep(0.05)
        paused_at = sink.size
        await asyncio.sleep(0.3)
        assert sink.size == paused_at < size
        transfer.resume()
        assert await sink.ended is TransferEnd.COMPLETE
        assert sink.size == size

    with_server(server, check)


def test_a_paused_transfer_can_be_cancelled():
    head = b'HTTP/1.1 200 OK\r\nContent-Length: 5000000\r\n\r\n'
    server = ScriptedServer([head + b'x' * 5_000_000, REPLY])

    async def check(loop, address):
        sink = CollectingSink()
        transfer = loop.start(make_call(address), sink)
        while not sink.size:
            await asyncio.sleep(0.001)
        transfer.pause()
        transfer.cancel()
        transfer.resume()
        second = CollectingSink()
        loop.start(make_call(address), second)
        assert await second.ended is TransferEnd.COMPLETE
        assert second.size == len(b'whole')

    with_server(server, check)


class EndSink:
    """Notes how a transfer ended."""

    def __init__(self):
        self.ends = []

    def on_head(self, head):
        pass

    def on_data(self, data):
        pass

    def on_end(self, end, message):
        self.ends.append(end)


# Guards against LOST: an address that curl does not take ended the request
# that was to be sent there, instead of counting against the target.
@pytest.mark.parametrize(
    'address', ['127.0.0.1:99999', '\ud800:1', 'a\x00b:1', '', 'x y:1']
)
@pytest.mark.parametrize('cancelled', [False, True])
def test_a_request_to_an_odd_address_is_not_sent(address, cancelled):
    async def run():
        loop = TransferLoop()
        sink = EndSink()
        call = TransferCall(
            address=address,
            method='GET',
            target='/',
            fields=(),
            body=b'',
            repeatable=False,
            connect_timeout_ms=100.0,
            max_idle_s=0,
        )
        transfer = loop.start(call, sink)
        assert not sink.ends
        if cancelled:
            transfer.cancel()
        for _turn in range(100):
            await asyncio.sleep(0.01)
            if sink.ends:
                break
        assert sink.ends == ([] if cancelled else [TransferEnd.NOT_SENT])
        assert transfer.done
        loop.close()

    asyncio.run(run())
