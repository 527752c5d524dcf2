"""Tests of callers' connections, also while the server drains."""

import asyncio
import gc

import pytest
from result import Ok
from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine

from tests.gateway.samples import make_request
from wigeonmill.clock import Clock
from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.desired import RequestLimits
from wigeonmill.gateway.server import GatewayServer
from wigeonmill.metrics import Metrics

REQUEST = b'GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n'
TIMEOUT_S = 5.0


class Codec:
    def request(self, start, headers, body, arrived_ms):
        return Ok(make_request(target=start.path, arrived_ms=arrived_ms))

    def refusal(self, refusal, request_id):
        return (), b'{}'


class Forwarder:
    """Answers once `may_finish` is set, or aborts the answer."""

    def __init__(self):
        self.may_finish = asyncio.Event()
        self.stream_started = asyncio.Event()
        self.cancelled = False
        self.served = 0

    async def serve(self, req, channel):
        self.served += 1
        if req.path.endswith('refused'):
            channel.refuse(Refusal(Reason.NO_TARGET, ''))
            return
        if req.path.endswith('stream'):
            channel.begin(AnswerHead(200, ()))
            channel.send(b'part')
            self.stream_started.set()
            await self.may_finish.wait()
            channel.finish()
            return
        try:
            await self.may_finish.wait()
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        if req.path.endswith('broken'):
            channel.begin(AnswerHead(200, ()))
            channel.send(b'part')
            channel.abort()
        else:
            channel.answer(AnswerHead(200, (('X-A', '1'),)), b'whole')


def run_with_server(check):
    async def run():
        forwarder = Forwarder()
        server = GatewayServer(forwarder, Codec(), Clock(), Metrics())
        server.listen('127.0.0.1:0', 15_000.0)
        port = server.port
        try:
            await asyncio.wait_for(check(server, forwarder, port), TIMEOUT_S)
        finally:
            await server.close()

    asyncio.run(run())


async def connect(port):
    return await asyncio.open_connection('127.0.0.1', port)


async def wait_briefly():
    await asyncio.sleep(0.05)


def test_a_drain_closes_idle_connections_and_finishes_open_requests():
    """A request on an idle connection could arrive too late to be served."""

    async def check(server, forwarder, port):
        idle_reader, _writer = await connect(port)
        busy_reader, busy_writer = await connect(port)
        busy_writer.write(REQUEST)
        await wait_briefly()
        server.draining = True
        assert server.close_idle() == 1
        assert await idle_reader.read() == b''
        forwarder.may_finish.set()
        answer = await busy_reader.readuntil(b'whole')
        assert b'Connection: close' in answer

    run_with_server(check)


def test_a_stream_started_before_a_drain_closes_its_connection():
    """The head sent before the drain could not announce the close.

    The caller might reuse the connection, and its request would be cut off.
    """

    async def check(server, forwarder, port):
        reader, writer = await connect(port)
        writer.write(b'GET /a/stream HTTP/1.1\r\nHost: h\r\n\r\n')
        await forwarder.stream_started.wait()
        server.draining = True
        forwarder.may_finish.set()
        answer = await reader.read()
        assert answer.endswith(b'0\r\n\r\n')

    run_with_server(check)


def test_a_connection_is_idle_again_after_its_answer():
    async def check(server, forwarder, port):
        forwarder.may_finish.set()
        reader, writer = await connect(port)
        writer.write(REQUEST)
        await reader.readuntil(b'whole')
        await wait_briefly()
        assert server.close_idle() == 1
        assert await reader.read() == b''

    run_with_server(check)


def test_a_disconnect_of_the_caller_cancels_the_request():
    async def check(server, forwarder, port):
        _reader, writer = await connect(port)
        writer.write(REQUEST)
        await wait_briefly()
        assert server.open_requests == 1
        writer.close()
        await wait_briefly()
        assert forwarder.cancelled
        assert server.open_requests == 0

    run_with_server(check)


def test_an_aborted_answer_does_not_look_complete():
    async def check(server, forwarder, port):
        forwarder.may_finish.set()
        reader, writer = await connect(port)
        writer.write(b'GET /a/broken HTTP/1.1\r\nHost: h\r\n\r\n')
        answer = await reader.read()
        assert b'part' in answer
        assert not answer.endswith(b'0\r\n\r\n')

    run_with_server(check)


@pytest.mark.parametrize('connection', [b'', b'Connection: keep-alive\r\n'])
def test_an_aborted_answer_to_http_1_0_does_not_look_complete(connection):
    """Without chunks, an orderly close looked like the end of the answer."""

    async def check(server, forwarder, port):
        forwarder.may_finish.set()
        reader, writer = await connect(port)
        writer.write(b'GET /a/broken HTTP/1.0\r\n' + connection + b'\r\n')
        with pytest.raises(ConnectionResetError):
            await reader.read()

    run_with_server(check)


@pytest.mark.parametrize('connection', [b'', b'Connection: keep-alive\r\n'])
def test_a_stream_to_http_1_0_ends_with_its_connection(connection):
    """The caller could not see the end of a stream that was kept alive."""

    async def check(server, forwarder, port):
        forwarder.may_finish.set()
        reader, writer = await connect(port)
        writer.write(b'GET /a/stream HTTP/1.0\r\n' + connection + b'\r\n')
        answer = await reader.read()
        assert answer.endswith(b'\r\n\r\npart')

    run_with_server(check)


def test_a_body_with_two_lengths_is_refused():
    """Content-Length with chunked encoding allows request smuggling."""

    async def check(server, forwarder, port):
        forwarder.may_finish.set()
        reader, writer = await connect(port)
        writer.write(
            b'POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        )
        answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 400')

    run_with_server(check)


def test_closing_idle_connections_does_not_cut_an_arrived_request():
    """The request may be in the kernel's buffer, or read but not delivered."""

    async def check(server, forwarder, port):
        forwarder.may_finish.set()
        for turns in range(6):
            reader, writer = await connect(port)
            await wait_briefly()
            writer.write(REQUEST)
            for _turn in range(turns):
                await asyncio.sleep(0)
            server.close_idle()
            answer = await reader.readuntil(b'whole')
            assert answer.startswith(b'HTTP/1.1 200')
            writer.close()

    run_with_server(check)


def test_a_request_on_a_closed_connection_is_dropped():
    async def check(server, forwarder, port):
        _reader, writer = await connect(port)
        await wait_briefly()
        conn = next(iter(server._idle))
        request_reader = server.start_request(None, conn)
        start = RequestStartLine('GET', '/a/x', 'HTTP/1.1')
        request_reader.headers_received(start, HTTPHeaders())
        conn.close()
        request_reader.finish()
        assert server.open_requests == 0
        writer.close()

    run_with_server(check)


def test_connections_closed_by_callers_are_released():
    async def check(server, forwarder, port):
        forwarder.may_finish.set()
        for _turn in range(5):
            _reader, writer = await connect(port)
            await wait_briefly()
            writer.close()
        reader, writer = await connect(port)
        writer.write(REQUEST)
        await reader.readuntil(b'whole')
        writer.close()
        await wait_briefly()
        gc.collect()
        assert not server._idle

    run_with_server(check)


# Guards against LOST: a HEAD request that was refused, or that ended a stream,
# lost its connection, as the HTTP server takes no body for it.
@pytest.mark.parametrize(
    ('path', 'status'),
    [(b'refused', b'503'), (b'x', b'200'), (b'stream', b'200')],
)
def test_a_head_request_is_answered_without_a_body(path, status):
    async def check(server, forwarder, port):
        forwarder.may_finish.set()
        reader, writer = await connect(port)
        for _turn in range(2):
            writer.write(b'HEAD /a/' + path + b' HTTP/1.1\r\nHost: h\r\n\r\n')
            head = await reader.readuntil(b'\r\n\r\n')
            assert head.startswith(b'HTTP/1.1 ' + status)
        writer.close()

    run_with_server(check)


# Guards against LOST: it was read, and its connection was closed although no
# head had said so. It must not reach a target either.
def test_a_request_behind_a_stream_that_ends_in_a_drain_does_not_start():
    async def check(server, forwarder, port):
        reader, writer = await connect(port)
        writer.write(b'GET /a/stream HTTP/1.1\r\nHost: h\r\n\r\n' + REQUEST)
        await forwarder.stream_started.wait()
        server.draining = True
        forwarder.may_finish.set()
        answer = await reader.read()
        _stream, end, refusal = answer.partition(b'0\r\n\r\n')
        assert end
        assert refusal.startswith(b'HTTP/1.1 503')
        assert b'Connection: close\r\n' in refusal
        assert refusal.endswith(b'{}')
        assert forwarder.served == 1

    run_with_server(check)


# Guards against a log that blames callers for a close of the gateway's own,
# which hides LOST.
@pytest.mark.parametrize(
    ('path', 'version', 'draining', 'reason'),
    [('x', '1.1', True, 'drain'), ('stream', '1.0', False, 'answer')],
)
def test_a_request_behind_a_last_answer_is_dropped_by_the_gateway(
    path, version, draining, reason
):
    async def check(server, forwarder, port):
        reader, writer = await connect(port)
        head = f'GET /a/{path} HTTP/{version}\r\nHost: h\r\n'
        head += 'Connection: keep-alive\r\n\r\n'
        writer.write(head.encode() + REQUEST)
        await wait_briefly()
        server.draining = draining
        forwarder.may_finish.set()
        await reader.read()
        await wait_briefly()
        dropped = server.metrics.reasons('gateway_requests_dropped')
        assert dropped == {reason: 1}

    run_with_server(check)


LARGE_BODY = b'x' * 17_000_000
REQUEST_WITH_LARGE_BODY = (
    b'POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 17000000\r\n\r\n'
    + LARGE_BODY
)
REQUEST_WITH_LARGE_HEAD = (
    b'GET /a/x HTTP/1.1\r\nHost: h\r\nX: ' + b'x' * 70_000 + b'\r\n\r\n'
)


# Guards against LOST beside a change of the configuration: requests within its
# limits met the smaller ones of the server, and a close or status 400.
@pytest.mark.parametrize(
    'request_bytes', [REQUEST_WITH_LARGE_BODY, REQUEST_WITH_LARGE_HEAD]
)
def test_limits_that_are_raised_hold_for_connections_that_wait(request_bytes):
    async def check(server, forwarder, port):
        forwarder.may_finish.set()
        reader, writer = await connect(port)
        writer.write(REQUEST)
        await reader.readuntil(b'whole')
        limits = RequestLimits(header_bytes=80_000, body_bytes=20_000_000)
        server.set_limits(limits)
        writer.write(request_bytes)
        answer = await reader.readuntil(b'whole')
        assert answer.startswith(b'HTTP/1.1 200')
        writer.close()

    run_with_server(check)


def test_a_head_that_is_too_large_is_refused():
    """Its connection was closed without an answer."""

    async def check(server, forwarder, port):
        reader, writer = await connect(port)
        writer.write(REQUEST_WITH_LARGE_HEAD)
        head = await reader.readuntil(b'\r\n\r\n')
        assert head.startswith(b'HTTP/1.1 431')
        assert server.open_requests == 0
        writer.close()

    run_with_server(check)
