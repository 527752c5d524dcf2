"""An error inside the gateway ends a request with a whole answer."""

import asyncio
import random
import socket

import pytest
from result import Ok

from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import FakeClient
from tests.gateway.fakes import GOOD
from tests.gateway.fakes import Harness
from tests.gateway.fakes import NoCache
from tests.gateway.raw_caller import connect
from tests.gateway.raw_caller import exchange
from tests.gateway.raw_caller import read_answer
from tests.gateway.raw_caller import REQUEST
from tests.gateway.raw_caller import run_with_server
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.samples import make_state
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.crash_guard import request_fingerprint
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.forwarder import Forwarder
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.target_client import TargetClient
from wigeonmill.metrics import Metrics
from wigeonmill.providers.transfers import TransferLoop

OK_HEAD = AnswerHead(200, ())


class BrokenError(Exception):
    pass


def fail(*args, **kwargs):
    raise BrokenError


class Codec:
    def request(self, start, headers, body, arrived_ms):
        return Ok(make_request(arrived_ms=arrived_ms))

    def refusal(self, refusal, request_id):
        return (), b'{}'


class Script:
    """A forwarder that serves requests by a function of the channel."""

    def __init__(self, serve):
        self._serve = serve

    async def serve(self, req, channel):
        await self._serve(channel)


async def fail_at_once(channel):
    fail()


async def fail_later(channel):
    await asyncio.sleep(0.01)
    fail()


async def be_cancelled_inside(channel):
    """Wait for a future that another component cancels."""
    fut = asyncio.get_running_loop().create_future()
    fut.cancel()
    await fut


async def return_without_an_answer(channel):
    pass


async def answer_with_a_broken_field(channel):
    channel.answer(AnswerHead(200, (('X-A', 'a\r\nb: c'),)), b'whole')


async def answer_with_a_field_that_cannot_be_encoded(channel):
    channel.answer(AnswerHead(200, (('X-A', '\u20ac'),)), b'whole')


async def begin_with_a_broken_field(channel):
    channel.begin(AnswerHead(200, (('X-A', 'a\r\nb: c'),)))


async def refuse(channel):
    channel.refuse(Refusal(Reason.NO_TARGET, ''))


async def begin_and_fail(channel):
    channel.begin(OK_HEAD)
    channel.send(b'part')
    fail()


async def begin_and_abort(channel):
    channel.begin(OK_HEAD)
    channel.send(b'part')
    channel.abort()


async def begin_and_return(channel):
    channel.begin(OK_HEAD)
    channel.send(b'part')


async def answer_and_fail(channel):
    channel.answer(OK_HEAD, b'whole')
    fail()


# Guards against LOST: an exception while a request was served closed its
# connection, so that the caller got neither an answer nor a refusal.
@pytest.mark.parametrize(
    'serve',
    [
        fail_at_once,
        fail_later,
        be_cancelled_inside,
        return_without_an_answer,
        answer_with_a_broken_field,
        answer_with_a_field_that_cannot_be_encoded,
        begin_with_a_broken_field,
    ],
)
def test_an_error_before_the_answer_is_answered_with_500(serve):
    async def check(server, forwarder):
        status, body = await exchange(server)
        assert (status, body) == (500, b'{}')
        assert server.open_requests == 0

    run_with_server(lambda: Script(serve), Codec(), check)


@pytest.mark.parametrize('method', ['request', 'refusal'])
def test_an_error_of_the_codec_is_answered_with_500(method, monkeypatch):
    monkeypatch.setattr(Codec, method, fail)

    async def check(server, forwarder):
        status, _body = await exchange(server)
        assert status == 500

    run_with_server(lambda: Script(refuse), Codec(), check)


def test_an_error_as_the_request_starts_is_answered_with_500():
    async def check(server, forwarder):
        forwarder.serve = fail
        status, _body = await exchange(server)
        assert status == 500
        assert server.open_requests == 0

    run_with_server(lambda: Script(refuse), Codec(), check)


@pytest.mark.parametrize('serve', [begin_and_fail, begin_and_return])
def test_an_error_inside_a_stream_aborts_it(serve):
    async def check(server, forwarder):
        reader, writer = await connect(server)
        writer.write(REQUEST)
        answer = await reader.read()
        assert b'part' in answer
        assert not answer.endswith(b'0\r\n\r\n')
        assert b'HTTP/1.1 500' not in answer
        writer.close()

    run_with_server(lambda: Script(serve), Codec(), check)


def test_an_error_at_the_end_of_a_stream_aborts_it(monkeypatch):
    """The connection stayed open, and the caller waited for the end."""
    monkeypatch.setattr('tornado.http1connection.HTTP1Connection.finish', fail)

    async def serve(channel):
        channel.begin(OK_HEAD)
        channel.send(b'part')
        channel.finish()

    async def check(server, forwarder):
        reader, writer = await connect(server)
        writer.write(REQUEST)
        assert not (await reader.read()).endswith(b'0\r\n\r\n')
        writer.close()

    run_with_server(lambda: Script(serve), Codec(), check)


# Guards against LOST: an error in resetting the connection of a stream left it
# open, and the caller waited for more.
@pytest.mark.parametrize('serve', [begin_and_fail, begin_and_abort])
def test_an_error_in_a_reset_closes_the_connection(serve, monkeypatch, caplog):
    setsockopt = socket.socket.setsockopt

    def fail_to_linger(sock, level, option, *value):
        if option == socket.SO_LINGER:
            raise OSError
        setsockopt(sock, level, option, *value)

    monkeypatch.setattr(socket.socket, 'setsockopt', fail_to_linger)

    async def check(server, forwarder):
        reader, writer = await connect(server)
        writer.write(REQUEST.replace(b'HTTP/1.1', b'HTTP/1.0'))
        assert (await reader.read()).endswith(b'part')
        assert server.open_requests == 0
        assert 'connection not reset' in caplog.text
        writer.close()

    run_with_server(lambda: Script(serve), Codec(), check)


def test_an_error_after_the_answer_keeps_the_connection():
    async def check(server, forwarder):
        reader, writer = await connect(server)
        for _turn in range(2):
            writer.write(REQUEST)
            answer = await read_answer(reader)
            assert answer == (200, b'whole')
        writer.close()

    run_with_server(lambda: Script(answer_and_fail), Codec(), check)


def make_forwarder():
    clock = ManualClock(1_000_000.0)
    ctx = GatewayContext(
        clock,
        random.Random(1),
        Metrics(),
        RetryLimits(ratio=1.0, slack=100.0),
        lambda: 1,
    )
    ctx.desired.adopt(make_state())
    ctx.directory.apply(make_record())
    picker = Picker(
        clock,
        random.Random(1),
        ctx.directory,
        ctx.circuits,
        ctx.desired.is_domain_closed,
    )
    client = FakeClient(clock, [GOOD], ctx.notices)
    return Forwarder(ctx, client, picker, NoCache())


# What a request passes from its admission to the line at its end.
PLACES = [
    '_ctx.desired.table.match',
    '_ctx.desired.table.team_of',
    '_ctx.crash_guard.refuses',
    '_ctx.part_guard.admit',
    '_ctx.retries',
    '_picker.pick',
    '_ctx.circuits.record_dispatch',
    '_planner.plan',
    '_client.send',
    '_ctx.notices.record',
    '_ctx.circuits.record_success',
    '_ctx.metrics.histogram',
]


# Guards against LOST: wherever the error is, the caller gets a whole answer.
@pytest.mark.parametrize('place', PLACES)
def test_an_error_in_any_component_is_answered(place, monkeypatch):
    class PlainCodec(Codec):
        def request(self, start, headers, body, arrived_ms):
            return Ok(make_request(arrived_ms=1_000_000.0))

    async def check(server, forwarder):
        owner, _, method = place.rpartition('.')
        component = forwarder
        for name in owner.split('.'):
            component = getattr(component, name)
        cls = type(component)
        monkeypatch.setattr(cls, method, fail)
        status, _body = await exchange(server)
        assert status in (200, 500)
        assert server.open_requests == 0

    run_with_server(make_forwarder, PlainCodec(), check)


class BrokenTargetCodec:
    """Sends requests without fields and fails at each answer."""

    def request_fields(self, req, instructions):
        return ()

    answer_head = fail


async def answer_target(reader, writer):
    try:
        while True:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok')
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()


# Guards against LOST: an error of ours in the answers to a request counted as
# three targets lost by it, and it was refused for two minutes.
def test_an_error_in_the_handling_of_answers_is_no_loss_of_targets():
    async def run():
        served = await asyncio.start_server(answer_target, '127.0.0.1', 0)
        port = served.sockets[0].getsockname()[1]
        records = [
            make_record(f't{n}', address=f'127.0.0.1:{port}') for n in range(5)
        ]
        harness = Harness([GOOD], records)
        transfers = TransferLoop()
        harness.client = TargetClient(
            transfers, BrokenTargetCodec(), harness.clock, harness.ctx.notices
        )
        now_ms = harness.clock.now_ms()
        try:
            for number in range(4):
                req = make_request(
                    id=f'q{number}',
                    arrived_ms=now_ms,
                    method='GET',
                    body=b'',
                )
                harness.channel = FakeChannel()
                await harness.start(req, make_route(kind=RouteKind.SAFE))
        finally:
            transfers.close()
            served.close()
        return harness, req

    harness, req = asyncio.run(asyncio.wait_for(run(), 5.0))
    ctx = harness.ctx
    assert ctx.crash_guard.count(request_fingerprint(req, '')) == 0
    targets = list(ctx.directory.all())
    assert not [t.id for t in targets if ctx.circuits.blocked(t.id)]
    # Nor is it a failure, for which targets would get less work.
    assert [t.load.failure_share() for t in targets] == [0.0] * len(targets)
    assert harness.channel.refusal.reason is Reason.MAY_HAVE_RUN
    assert ctx.metrics.reasons('gateway_answers_broken') == {'internal': 4}
