"""Answers without end are broken off before they fill the memory."""

import asyncio
import socket

import pytest

from tests.gateway.fakes import make_head
from tests.gateway.raw_caller import REQUEST
from tests.gateway.raw_caller import run_with_server
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.test_internal_errors import Codec
from tests.gateway.test_internal_errors import OK_HEAD
from tests.gateway.test_internal_errors import Script
from tests.gateway.test_request_run import engine_harness
from tests.gateway.test_request_run import event
from tests.gateway.test_request_run import plain_harness
from tests.gateway.test_request_run import run_stream
from tests.gateway.test_request_run import stream_route
from wigeonmill.gateway.context import AnswerLimits
from wigeonmill.gateway.target_client import ExchangeEnd

LIMITS = AnswerLimits(body=10_000, event=5_000, unsent=2_000)
PART = b'x' * 1_000
MANY = 1_000


def limit(harness):
    harness.ctx.answer_limits = LIMITS
    return harness


def parts_read(harness):
    (_target, _instructions, exchange) = harness.client.sent[0]
    return MANY - len(exchange._parts)


def broken(harness):
    return harness.ctx.metrics.reasons('gateway_answers_broken')


def test_a_whole_answer_without_end_fails_at_the_limit():
    """An answer without end was collected until the deadline."""
    harness = limit(plain_harness([(make_head(), *[PART] * MANY)], count=1))
    req = make_request(arrived_ms=harness.clock.now_ms())
    channel = harness.run(req, make_route(max_targets=1))
    assert channel.status == 502
    assert parts_read(harness) < 15
    assert broken(harness) == {'body_too_long': 1}
    (target,) = harness.ctx.directory.all()
    assert target.load.failure_share() > 0


def test_an_answer_without_end_is_taken_from_another_target():
    endless = (make_head(), *[PART] * MANY)
    good = (make_head(), b'whole', ExchangeEnd.COMPLETE)
    harness = limit(plain_harness([endless, good]))
    req = make_request(arrived_ms=harness.clock.now_ms())
    channel = harness.run(req, make_route(max_targets=2))
    assert channel.body == b'whole'


def test_an_event_without_end_breaks_its_stream_off():
    """An event without end was collected until the deadline."""
    script = (make_head(), event(1), *[PART] * MANY)
    harness = limit(engine_harness([script]))
    channel = run_stream(harness, stream_route(resumable=False))
    assert channel.aborted
    assert channel.body == event(1)
    assert parts_read(harness) < 10
    assert broken(harness) == {'event_too_long': 1}


def test_an_unverified_answer_without_end_on_a_stream_fails_at_the_limit():
    script = (make_head(sealed=False), *[PART] * MANY)
    harness = limit(engine_harness([script]))
    channel = run_stream(harness, stream_route(resumable=False))
    assert channel.status == 502
    assert parts_read(harness) < 15


def test_a_stream_that_its_caller_does_not_read_is_broken_off():
    """Events without end were queued for a caller that did not read them."""
    harness = limit(engine_harness([(make_head(), *[event(1)] * MANY)]))
    harness.channel.unsent_bytes = LIMITS.unsent + 1
    channel = run_stream(harness, stream_route(resumable=True))
    assert channel.aborted
    assert len(harness.client.sent) == 1
    (target, *_others) = harness.ctx.directory.all()
    assert target.load.failure_share() == 0


@pytest.mark.parametrize('size', [LIMITS.body, LIMITS.body + 1])
def test_an_answer_of_the_limit_is_passed_on(size):
    script = (make_head(), b'x' * size, ExchangeEnd.COMPLETE)
    harness = limit(plain_harness([script], count=1))
    req = make_request(arrived_ms=harness.clock.now_ms())
    channel = harness.run(req, make_route(max_targets=1))
    assert channel.status == (200 if size <= LIMITS.body else 502)


# Guards against LOST: all bytes of a stream counted as unread while its caller
# was behind, and one that kept up was broken off at the limit.
def test_a_caller_that_keeps_up_holds_only_what_it_has_not_read():
    ahead_chunks, chunks = 64, 512
    chunk = b'x' * 1_024
    unread = asyncio.Semaphore(ahead_chunks)
    unsent = []

    async def serve(channel):
        # Small, so that the caller is behind all the time.
        buffer = (socket.SOL_SOCKET, socket.SO_SNDBUF, 4_096)
        channel._conn.stream.socket.setsockopt(*buffer)
        channel.begin(OK_HEAD)
        for _number in range(chunks):
            await unread.acquire()
            channel.send(chunk)
            unsent.append(channel.unsent_bytes)
        channel.finish()

    async def check(server, forwarder):
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4_096)
        sock.setblocking(False)
        await loop.sock_connect(sock, ('127.0.0.1', server.port))
        await loop.sock_sendall(sock, REQUEST)
        received = 0
        while len(unsent) < chunks:
            received += len(await loop.sock_recv(sock, len(chunk)))
            while received >= len(chunk):
                received -= len(chunk)
                unread.release()
        sock.close()

    run_with_server(lambda: Script(serve), Codec(), check)
    assert min(unsent[ahead_chunks:]) > 0
    assert max(unsent) < 2 * ahead_chunks * len(chunk)


# Guards against LOST: a stream that repeated one event without end took the
# processor's time until its deadline.
def test_a_stream_that_goes_on_with_known_events_is_broken_off():
    again = event(1) * 200
    harness = engine_harness([(make_head(), *([again] * 1_000))])
    limit(harness)
    channel = run_stream(harness, stream_route(resumable=False))
    assert channel.aborted
    assert broken(harness) == {'repeat_too_long': 1}
    assert parts_read(harness) < 1_000
