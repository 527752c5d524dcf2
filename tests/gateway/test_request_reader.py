"""Requests are refused by their heads, and slow ones in time."""

import asyncio

import pytest
from result import Ok

from tests.gateway.raw_caller import connect
from tests.gateway.raw_caller import exchange
from tests.gateway.raw_caller import read_answer
from tests.gateway.raw_caller import run_with_server
from tests.gateway.samples import make_request
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.desired import RequestLimits
from wigeonmill.gateway.held_bytes import HeldBytes
from wigeonmill.gateway.held_bytes import Holding

LIMIT = 100_000
HEAD = 'POST /a/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: q1\r\n'
DEADLINE_MS = 10_000.0
# A request that would be served if it were taken for one.
HIDDEN = b'GET /a/hidden HTTP/1.1\r\nHost: h.example\r\n\r\n'
WHOLE = (200, b'whole')


class Codec:
    def request(self, start, headers, body, arrived_ms):
        return Ok(
            make_request(
                target=start.path,
                arrived_ms=arrived_ms,
                deadline_ms=DEADLINE_MS,
                body=body,
            )
        )

    def refusal(self, refusal, request_id):
        return (), refusal.reason.value.encode()


class Forwarder:
    """Serves all requests but those with longer bodies than allowed."""

    def __init__(self):
        self.bodies = []
        self.refusal = None

    def check_head(self, req, size):
        if size > LIMIT:
            return Refusal(Reason.BODY_TOO_LARGE, '')
        return self.refusal

    async def serve(self, req, channel):
        self.bodies.append(req.body)
        channel.answer(AnswerHead(200, ()), b'whole')


def run(check, clock=None):
    run_with_server(Forwarder, Codec(), check, clock)


def post(size, *fields):
    lines = ''.join(f'{field}\r\n' for field in fields)
    return f'{HEAD}Content-Length: {size}\r\n{lines}\r\n'.encode()


async def read_to_end(reader):
    """Return the status, the body and that nothing follows the answer."""
    answer = await read_answer(reader)
    assert await reader.read() == b''
    return answer


def test_a_body_that_is_too_long_is_refused_before_it_comes():
    """Failure: none. The whole body was read and kept first."""

    async def check(server, forwarder):
        reader, writer = await connect(server)
        writer.write(post(LIMIT + 1))
        assert await read_to_end(reader) == (413, b'body_too_large')
        assert forwarder.bodies == []

    run(check)


@pytest.mark.parametrize('length', ['x', '-1', '9' * 19, '9' * 5_000])
def test_a_malformed_length_is_answered(length):
    async def check(server, forwarder):
        reader, writer = await connect(server)
        writer.write(f'{HEAD}Content-Length: {length}\r\n\r\n'.encode())
        assert await reader.read() == b'HTTP/1.1 400 Bad Request\r\n\r\n'
        assert forwarder.bodies == []

    run(check)


def test_a_caller_that_sends_all_of_it_first_reads_the_refusal():
    """Failure: none. The connection was reset, and the refusal was lost."""

    async def check(server, forwarder):
        reader, writer = await connect(server)
        size = 4_000_000
        writer.write(post(size))
        await asyncio.sleep(0.1)
        writer.write(b'x' * size)
        await writer.drain()
        assert await read_to_end(reader) == (413, b'body_too_large')

    run(check)


def test_the_rest_of_a_refused_body_is_no_request():
    """Failure: the caller sends a request inside or after the body."""

    async def check(server, forwarder):
        reader, writer = await connect(server)
        writer.write(post(LIMIT + 1) + HIDDEN)
        await read_answer(reader)
        writer.write(b'x' * (LIMIT + 1 - len(HIDDEN)) + HIDDEN)
        assert await reader.read() == b''
        assert forwarder.bodies == []

    run(check)


def test_chunks_that_are_too_many_are_refused():
    async def check(server, forwarder):
        server.max_body_bytes = LIMIT
        reader, writer = await connect(server)
        writer.write(f'{HEAD}Transfer-Encoding: chunked\r\n\r\n'.encode())
        for _chunk in range(3):
            writer.write(b'%x\r\n' % (LIMIT // 2) + b'x' * (LIMIT // 2))
            writer.write(b'\r\n')
        assert await read_to_end(reader) == (413, b'body_too_large')
        assert forwarder.bodies == []

    run(check)


def test_a_refused_caller_is_not_told_to_continue():
    """Failure: the caller waits for leave to send its body."""

    async def check(server, forwarder):
        reader, writer = await connect(server)
        writer.write(post(LIMIT + 1, 'Expect: 100-continue'))
        assert await read_to_end(reader) == (413, b'body_too_large')

    run(check)


@pytest.mark.parametrize('reason', [Reason.UNKNOWN_KEY, Reason.NO_ROUTE])
def test_what_the_head_shows_is_refused_by_it(reason):
    """Failure: none. A caller without a key made the entry hold bodies."""

    async def check(server, forwarder):
        forwarder.refusal = Refusal(reason, '')
        reader, writer = await connect(server)
        writer.write(post(LIMIT))
        status, body = await read_to_end(reader)
        assert status in (401, 404)
        assert body == reason.value.encode()

    run(check)


def test_a_body_of_which_too_much_is_held_is_refused_before_it_comes():
    """Load: whole bodies wait for their targets."""

    async def check(server, forwarder):
        server.held = HeldBytes(server.clock, 4 * LIMIT)
        waiting = Holding(lambda why: None, lambda: 0)
        server.held.set_input(waiting, 3 * LIMIT, complete=True)
        reader, writer = await connect(server)
        writer.write(post(LIMIT))
        assert await read_to_end(reader) == (503, b'memory_full')
        slow = server.metrics.reasons('gateway_slow_callers')
        assert slow == {'body_no_room': 1}
        # One with a small body is served.
        assert await exchange(server, post(3) + b'abc') == WHOLE
        server.held.release(waiting)
        body = b'x' * LIMIT
        assert await exchange(server, post(LIMIT) + body) == WHOLE
        assert forwarder.bodies == [b'abc', body]

    run(check)


def test_a_body_that_does_not_end_is_refused_at_its_deadline():
    """Failure: none. It was kept until the caller had gone."""
    clock = ManualClock(1_000_000.0)

    async def check(server, forwarder):
        reader, writer = await connect(server)
        writer.write(post(10) + b'xxx')
        await asyncio.sleep(0.05)
        clock.advance(DEADLINE_MS)
        server._check_conns()
        assert server.begun_requests == 1
        clock.advance(1.0)
        server._check_conns()
        assert await read_to_end(reader) == (408, b'body_late')

    run(check, clock)


def test_a_head_that_does_not_end_is_closed():
    """Failure: none. The limit of its time was read and not used."""

    async def check(server, forwarder):
        server.set_limits(RequestLimits(header_ms=1.0, idle_ms=60_000.0))
        reader, writer = await connect(server)
        writer.write(b'GET /a/x HT')
        await asyncio.sleep(0.05)
        for _check in range(server._idle.max_head_checks):
            server._check_conns()
        assert server.open_conns == 1
        server._check_conns()
        assert await reader.read() == b''
        closed = server.metrics.reasons('gateway_conns_closed')
        assert closed == {'head': 1}

    run(check)


def test_a_connection_that_sends_nothing_goes_for_a_new_one():
    """Load: more connections than descriptors."""

    async def check(server, forwarder):
        server._max_conns = 3
        silent = [await connect(server) for _conn in range(3)]
        await asyncio.sleep(0.05)
        assert await exchange(server, post(3) + b'abc') == WHOLE
        first_reader, _writer = silent[0]
        assert await first_reader.read() == b''
        assert server.open_conns <= 3
        for _reader, writer in silent:
            writer.close()

    run(check)


def test_input_behind_a_request_is_bounded():
    """Load: a request, and megabytes behind it that are not read yet."""

    async def check(server, forwarder):
        may_answer = asyncio.Event()

        async def serve(req, channel):
            await may_answer.wait()
            channel.answer(AnswerHead(200, ()), b'whole')

        forwarder.serve = serve
        callers = []
        for _number in range(4):
            reader, writer = await connect(server)
            writer.write(post(0) + b'x' * 1_000_000)
            callers.append((reader, writer))
        quiet_reader, quiet_writer = await connect(server)
        quiet_writer.write(post(0))
        await asyncio.sleep(0.2)
        server.max_unread_bytes = 1_000
        server._check_conns()
        closed = server.metrics.reasons('gateway_conns_closed')
        assert closed == {'unread': 4}
        may_answer.set()
        assert await read_answer(quiet_reader) == WHOLE
        for _reader, writer in callers:
            writer.close()
        quiet_writer.close()

    run(check)
