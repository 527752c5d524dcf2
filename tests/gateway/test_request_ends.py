"""Each request that was read ends in one log line that tells its cause."""

import asyncio
import logging
import random

import pytest
from result import Err
from result import Ok
from tornado.httputil import HTTPHeaders
from tornado.httputil import RequestStartLine

from tests.gateway.fakes import make_head
from tests.gateway.fakes import NoCache
from tests.gateway.raw_caller import connect
from tests.gateway.raw_caller import exchange
from tests.gateway.raw_caller import REQUEST
from tests.gateway.raw_caller import run_with_server
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.samples import make_state
from wigeonmill.clock import Clock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.forwarder import Forwarder
from wigeonmill.gateway.picker import Picker
from wigeonmill.metrics import Metrics

EVENT = b'id: 1\ndata: x\n\n'


class Codec:
    def request(self, start, headers, body, arrived_ms):
        if start.path == '/malformed':
            return Err(Refusal(Reason.MALFORMED, 'no id'))
        return Ok(make_request(target=start.path, arrived_ms=arrived_ms))

    def refusal(self, refusal, request_id):
        return (), b'{}'


class Client:
    """Targets that send `parts` and then nothing until `go_on` is set."""

    def __init__(self, parts):
        self._parts = list(parts)
        self.go_on = asyncio.Event()

    def send(self, req, target, instructions, idempotent, again=False):
        return self

    async def next(self, until_ms):
        if not self._parts:
            await self.go_on.wait()
            raise ValueError
        return self._parts.pop(0)

    def cancel(self):
        pass


def make_forwarder(parts, targets=1):
    clock = Clock()
    ctx = GatewayContext(
        clock,
        random.Random(1),
        Metrics(),
        RetryLimits(ratio=1.0, slack=100.0),
        lambda: 1,
    )
    ctx.desired.adopt(
        make_state(routes=[make_route(kind=RouteKind.STREAMING)])
    )
    for n in range(targets):
        ctx.directory.apply(make_record(f't{n}'))
    picker = Picker(
        clock,
        random.Random(1),
        ctx.directory,
        ctx.circuits,
        ctx.desired.is_domain_closed,
    )
    return Forwarder(ctx, Client(parts), picker, NoCache())


def ends_of(caplog):
    return [r for r in caplog.records if r.getMessage() == 'request finished']


# Guards against a LOST that can't be traced: the line had the id only, and a
# caller that left could not be told from an error of ours.
@pytest.mark.parametrize(
    ('parts', 'state'),
    [((), 'sent'), ((make_head(), EVENT), 'streaming')],
)
def test_a_caller_that_left_is_logged_with_the_state(parts, state, caplog):
    caplog.set_level(logging.INFO)

    async def check(server, forwarder):
        _reader, writer = await connect(server)
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        writer.close()
        await asyncio.sleep(0.05)
        (end,) = ends_of(caplog)
        assert end.outcome == 'caller_closed'
        assert (end.state, end.target) == (state, 't0')
        # The request arrives after the 50 ms of its caller have begun.
        assert 20.0 <= end.took_ms < 500.0
        assert 1_000 < end.remaining_ms < 2_000
        ends = server.metrics.reasons('gateway_requests_ended')
        assert ends == {'caller_closed': 1}

    run_with_server(lambda: make_forwarder(parts), Codec(), check)


@pytest.mark.parametrize(
    ('parts', 'state'),
    [((), 'sent'), ((make_head(), EVENT), 'streaming')],
)
def test_an_internal_error_is_logged_with_the_state(parts, state, caplog):
    caplog.set_level(logging.INFO)

    async def check(server, forwarder):
        reader, writer = await connect(server)
        writer.write(REQUEST)
        await asyncio.sleep(0.05)
        forwarder._client.go_on.set()
        await reader.readline()
        await asyncio.sleep(0.02)
        writer.close()
        (end,) = ends_of(caplog)
        assert (end.outcome, end.state) == ('internal_error', state)
        assert end.levelno == logging.ERROR
        assert end.exc_info is not None
        ends = server.metrics.reasons('gateway_requests_ended')
        assert ends == {'internal_error': 1}
        assert server.metrics.value('gateway_refusals', 'internal') == 1

    run_with_server(lambda: make_forwarder(parts), Codec(), check)


@pytest.mark.parametrize('path', ['/malformed', '/no-route', '/a/x'])
def test_a_refusal_is_logged_and_counted_once(path, caplog):
    caplog.set_level(logging.INFO)

    async def check(server, forwarder):
        request = f'GET {path} HTTP/1.1\r\nHost: h.example\r\n\r\n'
        await exchange(server, request.encode())
        (end,) = ends_of(caplog)
        assert end.outcome == 'refused'
        ends = server.metrics.reasons('gateway_requests_ended')
        assert ends == {'refused': 1}

    run_with_server(lambda: make_forwarder((), targets=0), Codec(), check)


@pytest.mark.parametrize('closed_by', ['caller', 'drain'])
def test_a_dropped_request_tells_who_closed_its_connection(closed_by, caplog):
    caplog.set_level(logging.INFO)

    async def check(server, forwarder):
        _reader, writer = await connect(server)
        await asyncio.sleep(0.05)
        conn = next(iter(server._idle))
        reader = server.start_request(None, conn)
        start = RequestStartLine('GET', '/a/x', 'HTTP/1.1')
        if closed_by == 'drain':
            assert server.close_idle() == 1
        reader.headers_received(start, HTTPHeaders())
        conn.close()
        reader.finish()
        (line,) = [r for r in caplog.records if 'dropped' in r.getMessage()]
        assert (line.request_id, line.closed_by) == ('q1', closed_by)
        assert line.since_last_byte_ms is not None
        dropped = server.metrics.reasons('gateway_requests_dropped')
        assert dropped == {closed_by: 1}
        writer.close()

    run_with_server(lambda: make_forwarder(()), Codec(), check)
