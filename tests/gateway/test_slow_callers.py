"""Callers that read slowly hold back their targets, and end before memory."""

import asyncio
import socket

from tests.gateway.fakes import make_head
from tests.gateway.fakes import Pause
from tests.gateway.raw_caller import connect
from tests.gateway.raw_caller import exchange
from tests.gateway.raw_caller import read_answer
from tests.gateway.raw_caller import REQUEST
from tests.gateway.raw_caller import run_with_server
from tests.gateway.test_internal_errors import Codec
from tests.gateway.test_internal_errors import OK_HEAD
from tests.gateway.test_internal_errors import Script
from tests.gateway.test_request_run import engine_harness
from tests.gateway.test_request_run import event
from tests.gateway.test_request_run import run_stream
from tests.gateway.test_request_run import stream_route
from wigeonmill.clock import Clock
from wigeonmill.gateway.attempt import STALL_MS
from wigeonmill.gateway.held_bytes import HeldBytes
from wigeonmill.gateway.held_bytes import LOW_WATER_BYTES
from wigeonmill.gateway.target_client import ExchangeEnd

BODY = b'x' * 3_000_000
# Two of the bodies fit, less what the kernel takes of each.
MAX_HELD = 5_000_000
POST = (
    b'POST /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\n'
    b'Content-Length: 3000000\r\n\r\n'
)


def slow_reader_harness(*parts):
    """Return a run whose caller reads nothing of a stream for its time."""
    harness = engine_harness([(make_head(), *parts)])
    harness.ctx.held = HeldBytes(harness.clock, 100_000_000)
    channel = harness.channel
    write = channel.send

    def send(data):
        write(data)
        channel.unsent_bytes += LOW_WATER_BYTES
        harness.ctx.held.record_written(channel.holding, LOW_WATER_BYTES)

    channel.send = send
    return harness


def test_a_target_of_a_slow_reader_is_read_with_pauses():
    """The target was read as fast as it wrote, for a caller that did not."""
    parts = [event(number) for number in range(1, 9)]
    harness = slow_reader_harness(*parts, ExchangeEnd.COMPLETE)
    channel = run_stream(harness, stream_route())
    assert channel.finished
    assert channel.body == b''.join(parts)
    (_target, _instructions, sent) = harness.client.sent[0]
    assert len(sent.paused_ms) == len(sent.resumed_ms) >= 6
    assert harness.ctx.metrics.reasons('gateway_slow_callers')['paused'] >= 6


def test_a_target_that_is_not_read_does_not_look_silent():
    """Failure: none. The pauses of a second were taken for silence."""
    parts = [event(number) for number in range(1, 9)]
    harness = slow_reader_harness(*parts, ExchangeEnd.COMPLETE)
    channel = run_stream(harness, stream_route())
    assert channel.finished
    assert len(harness.client.sent) == 1
    target_id, *_rest = harness.client.sent[0]
    load = harness.ctx.directory.get(target_id).load
    waiting = load.open(1_000, 1_000, 2)
    load.pause_reading()
    harness.clock.advance(2 * STALL_MS)
    assert not load.is_silent()
    assert load.silent_since_ms() is None
    load.resume_reading()
    assert not load.is_silent()
    harness.clock.advance(2 * STALL_MS)
    assert load.is_silent()
    load.close(waiting)


def test_a_target_that_dies_unread_is_noticed_after_the_pause():
    """Failure: the engine is lost while its answer is not read."""
    harness = slow_reader_harness(
        event(1), event(2), event(3), Pause(60_000.0)
    )
    good = (make_head(), event(4), ExchangeEnd.COMPLETE)
    harness.client.set_scripts([*harness.client._scripts, good])
    started_ms = harness.clock.now_ms()
    channel = run_stream(harness, stream_route())
    assert channel.finished
    assert len(harness.client.sent) == 2
    assert harness.clock.now_ms() - started_ms < 6_000.0


def with_bound(check, serve):
    """Run `check(server, held)` on loopback; `serve` answers requests."""

    async def run(server, _forwarder):
        server.held = HeldBytes(Clock(), MAX_HELD)
        await check(server, server.held)

    run_with_server(lambda: Script(serve), Codec(), run)


async def answer_whole(channel):
    # Small, so that the kernel takes little of the answer.
    buffer = (socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
    channel._conn.stream.socket.setsockopt(*buffer)
    channel.answer(OK_HEAD, BODY)


async def connect_slowly(server):
    """Connect with a small buffer, so that the kernel takes little."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, ('127.0.0.1', server.port))
    return sock


def test_callers_that_never_read_whole_answers_end_before_the_bound():
    """Load: many whole answers at once, none of them read."""

    async def check(server, held):
        loop = asyncio.get_running_loop()
        socks = []
        for _number in range(12):
            sock = await connect_slowly(server)
            await loop.sock_sendall(sock, REQUEST)
            await asyncio.sleep(0.02)
            held.check()
            assert held.total <= MAX_HELD
            socks.append(sock)
        ended = server.metrics.value('gateway_slow_callers', 'memory')
        assert 0 < ended < 12
        # One that reads is served meanwhile, with its whole answer.
        assert await exchange(server) == (200, BODY)
        for sock in socks:
            sock.close()
        await asyncio.sleep(0.05)
        held.check()
        assert held.total == 0

    with_bound(check, answer_whole)


def test_bodies_that_never_end_are_refused_before_the_bound():
    """Load: many callers whose bodies stop short of their end."""

    async def check(server, held):
        callers = []
        for _number in range(4):
            reader, writer = await connect(server)
            writer.write(POST + BODY[:2_000_000])
            await writer.drain()
            await asyncio.sleep(0.05)
            assert held.total <= MAX_HELD
            callers.append((reader, writer))
        status, _body = await read_answer(callers[0][0])
        assert status == 503
        ended = server.metrics.value('gateway_slow_callers', 'body_memory')
        assert ended == 2
        # The last one ends its body and is served.
        reader, writer = callers[-1]
        writer.write(BODY[2_000_000:])
        assert await read_answer(reader) == (200, b'whole')
        for _reader, writer in callers:
            writer.close()

    async def serve(channel):
        channel.answer(OK_HEAD, b'whole')

    with_bound(check, serve)
