"""Connections without a request are closed when their idle time is over."""

import asyncio
import socket
import time

import pytest
from result import Ok

from tests.gateway.raw_caller import connect
from tests.gateway.raw_caller import read_answer
from tests.gateway.raw_caller import REQUEST
from tests.gateway.raw_caller import run_with_server
from tests.gateway.samples import make_request
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.idle_conns import MAX_OVERDUE_CHECKS

# The server of the tests listens with an idle time of 15,000 ms.
SHORT_MS = 200.0
WHOLE = (200, b'whole')


class Codec:
    def request(self, start, headers, body, arrived_ms):
        return Ok(make_request(arrived_ms=arrived_ms))

    def refusal(self, refusal, request_id):
        return (), b'{}'


class Forwarder:
    async def serve(self, req, channel):
        channel.answer(AnswerHead(200, ()), b'whole')


@pytest.fixture(autouse=True)
def _short_slack(monkeypatch):
    monkeypatch.setattr('wigeonmill.gateway.server.IDLE_SLACK_MS', 50.0)


def run(check, clock=None):
    run_with_server(Forwarder, Codec(), check, clock)


async def is_open(reader):
    try:
        await asyncio.wait_for(reader.read(1), 0.01)
    except asyncio.TimeoutError:
        return True
    return False


def test_an_idle_connection_is_closed_after_its_time():
    async def check(server, forwarder):
        server.set_idle_time(SHORT_MS)
        reader, writer = await connect(server)
        await asyncio.sleep(0.1)
        assert await is_open(reader)
        assert await reader.read() == b''
        writer.close()

    run(check)


# Guards against LOST: callers reuse connections up to four fifths of the limit
# in force, but those that waited already were closed by the limit before.
def test_a_longer_idle_time_holds_for_connections_that_wait():
    async def check(server, forwarder):
        server.set_idle_time(SHORT_MS)
        reader, writer = await connect(server)
        await asyncio.sleep(0.1)
        server.set_idle_time(15_000.0)
        await asyncio.sleep(0.6)
        writer.write(REQUEST)
        assert await read_answer(reader) == WHOLE
        writer.close()

    run(check)


# The callers of these connections may not know the shorter limit yet.
def test_a_shorter_idle_time_holds_for_connections_that_begin_to_wait():
    async def check(server, forwarder):
        reader, writer = await connect(server)
        await asyncio.sleep(0.05)
        server.set_idle_time(SHORT_MS)
        await asyncio.sleep(0.6)
        writer.write(REQUEST)
        assert await read_answer(reader) == WHOLE
        assert await reader.read() == b''
        writer.close()

    run(check)


# Guards against LOST: a request that had arrived while the loop was busy was
# dropped, as the timer of its connection fired in the same iteration.
def test_a_request_that_arrives_as_the_idle_time_ends_is_served():
    async def check(server, forwarder):
        server.set_idle_time(SHORT_MS)
        sock = socket.create_connection(('127.0.0.1', server.port))
        await asyncio.sleep(0.1)
        sock.sendall(REQUEST)
        time.sleep(0.6)  # noqa: ASYNC251
        sock.setblocking(False)
        reader, writer = await asyncio.open_connection(sock=sock)
        assert await read_answer(reader) == WHOLE
        writer.close()

    run(check)


def test_a_head_that_is_never_complete_does_not_hold_its_connection():
    async def check(server, forwarder):
        server.set_idle_time(SHORT_MS)
        reader, writer = await connect(server)
        sent = 0
        try:
            while sent < 400:
                writer.write(b'X')
                await writer.drain()
                sent += 1
                await asyncio.sleep(0.01)
        except ConnectionError:
            pass
        assert sent < 400
        writer.close()

    run(check)


# Guards against LOST: a part of a head that was read already looked like no
# input, and the drain closed the connection while the rest was on its way.
@pytest.mark.parametrize('cut', [1, 20, len(REQUEST) - 2])
def test_a_head_that_has_begun_outlasts_the_closing_of_idle_conns(cut):
    async def check(server, forwarder):
        reader, writer = await connect(server)
        writer.write(REQUEST[:cut])
        await asyncio.sleep(0.05)
        assert server.close_idle() == 0
        writer.write(REQUEST[cut:])
        assert await read_answer(reader) == WHOLE
        await asyncio.sleep(0.05)
        assert server.close_idle() == 1
        writer.close()

    run(check)


# Guards against LOST: the same when the idle time ended inside a head. A head
# that never ends does not hold its connection.
@pytest.mark.parametrize('completes', [True, False])
def test_a_head_that_has_begun_outlasts_the_idle_time_for_some_checks(
    completes,
):
    clock = ManualClock(1_000_000.0)

    async def check(server, forwarder):
        reader, writer = await connect(server)
        writer.write(REQUEST[:30])
        await asyncio.sleep(0.05)
        clock.advance(20_000.0)
        for _ in range(MAX_OVERDUE_CHECKS):
            server._close_expired()
        assert await is_open(reader)
        if completes:
            writer.write(REQUEST[30:])
            assert await read_answer(reader) == WHOLE
        else:
            server._close_expired()
            assert await reader.read() == b''
        writer.close()

    run(check, clock)
