"""Callers' connections around a planned stop."""

import asyncio
import gc

from result import Ok
from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine

from tests.gateway.samples import make_request
from wigeonmill.clock import Clock
from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.server import GatewayServer

REQUEST = b'GET /a/x HTTP/1.1\r\nHost: h\r\n\r\n'
TIMEOUT_S = 5.0


class Codec:
    def request(self, start, headers, body, arrived_ms):
        return Ok(make_request(target=start.path, arrived_ms=arrived_ms))

    def refusal(self, refusal, request_id):
        return (), b'{}'


class Forwarder:
    """Answers once told to, or breaks off."""

    def __init__(self):
        self.go_on = asyncio.Event()
        self.begun = asyncio.Event()
        self.cancelled = False

    async def serve(self, req, channel):
        if req.path.endswith('stream'):
            channel.begin(AnswerHead(200, ()))
            channel.send(b'part')
            self.begun.set()
            await self.go_on.wait()
            channel.finish()
            return
        try:
            await self.go_on.wait()
        except asyncio.CancelledError:
            self.cancelled = True
            raise
        if req.path.endswith('broken'):
            channel.begin(AnswerHead(200, ()))
            channel.send(b'part')
            channel.abort()
        else:
            channel.answer(AnswerHead(200, (('X-A', '1'),)), b'whole')


def with_server(check):
    async def run():
        forwarder = Forwarder()
        server = GatewayServer(forwarder, Codec(), Clock())
        server.listen('127.0.0.1:0', 15_000.0)
        port = server.port
        try:
            await asyncio.wait_for(check(server, forwarder, port), TIMEOUT_S)
        finally:
            await server.close()

    asyncio.run(run())


async def connect(port):
    return await asyncio.open_connection('127.0.0.1', port)


async def settle():
    await asyncio.sleep(0.05)


def test_idle_connections_are_closed_and_open_requests_are_finished():
    """A caller that returns on a kept connection late is not taken."""

    async def check(server, forwarder, port):
        idle_reader, _writer = await connect(port)
        busy_reader, busy_writer = await connect(port)
        busy_writer.write(REQUEST)
        await settle()
        server.draining = True
        assert server.close_idle() == 1
        assert await idle_reader.read() == b''
        forwarder.go_on.set()
        answer = await busy_reader.readuntil(b'whole')
        assert b'Connection: close' in answer

    with_server(check)


def test_a_stream_that_began_before_a_stop_ends_with_its_connection():
    """Its head could not say so, and a request on it would be cut."""

    async def check(server, forwarder, port):
        reader, writer = await connect(port)
        writer.write(b'GET /a/stream HTTP/1.1\r\nHost: h\r\n\r\n')
        await forwarder.begun.wait()
        server.draining = True
        forwarder.go_on.set()
        answer = await reader.read()
        assert answer.endswith(b'0\r\n\r\n')

    with_server(check)


def test_a_connection_is_idle_again_after_its_answer():
    async def check(server, forwarder, port):
        forwarder.go_on.set()
        reader, writer = await connect(port)
        writer.write(REQUEST)
        await reader.readuntil(b'whole')
        await settle()
        assert server.close_idle() == 1
        assert await reader.read() == b''

    with_server(check)


def test_a_caller_that_leaves_ends_its_run():
    async def check(server, forwarder, port):
        _reader, writer = await connect(port)
        writer.write(REQUEST)
        await settle()
        assert server.open_requests == 1
        writer.close()
        await settle()
        assert forwarder.cancelled
        assert server.open_requests == 0

    with_server(check)


def test_a_broken_answer_does_not_look_complete():
    async def check(server, forwarder, port):
        forwarder.go_on.set()
        reader, writer = await connect(port)
        writer.write(b'GET /a/broken HTTP/1.1\r\nHost: h\r\n\r\n')
        answer = await reader.read()
        assert b'part' in answer
        assert not answer.endswith(b'0\r\n\r\n')

    with_server(check)


def test_two_lengths_of_a_body_are_refused():
    """A length beside chunks may smuggle a second request."""

    async def check(server, forwarder, port):
        forwarder.go_on.set()
        reader, writer = await connect(port)
        writer.write(
            b'POST /a/x HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\n'
            b'Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n'
        )
        answer = await reader.read()
        assert answer.startswith(b'HTTP/1.1 400')

    with_server(check)


def test_a_request_that_has_come_is_not_cut_by_closing_idle_connections():
    """Read by the kernel, or by tornado but not handed on yet."""

    async def check(server, forwarder, port):
        forwarder.go_on.set()
        for turns in range(6):
            reader, writer = await connect(port)
            await settle()
            writer.write(REQUEST)
            for _turn in range(turns):
                await asyncio.sleep(0)
            server.close_idle()
            answer = await reader.readuntil(b'whole')
            assert answer.startswith(b'HTTP/1.1 200')
            writer.close()

    with_server(check)


def test_a_request_that_crosses_a_close_is_not_passed_on():
    async def check(server, forwarder, port):
        _reader, writer = await connect(port)
        await settle()
        conn = next(iter(server._idle))
        reader_of_request = server.start_request(None, conn)
        start = RequestStartLine('GET', '/a/x', 'HTTP/1.1')
        reader_of_request.headers_received(start, HTTPHeaders())
        conn.close()
        reader_of_request.finish()
        assert server.open_requests == 0
        writer.close()

    with_server(check)


def test_connections_that_callers_close_are_forgotten():
    async def check(server, forwarder, port):
        forwarder.go_on.set()
        for _turn in range(5):
            _reader, writer = await connect(port)
            await settle()
            writer.close()
        reader, writer = await connect(port)
        writer.write(REQUEST)
        await reader.readuntil(b'whole')
        writer.close()
        await settle()
        gc.collect()
        assert not server._idle

    with_server(check)
