"""Tests what comes of an answer that belongs to an earlier request."""

import asyncio
import random
import re

import pytest

from alliance.targets import AllianceTargets
from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import NoCache
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.samples import make_state
from wigeonmill.clock import Clock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.request_run import RequestRun
from wigeonmill.gateway.target_client import TargetClient
from wigeonmill.metrics import Metrics
from wigeonmill.providers.transfers import TransferLoop

RUN_S = 0.1
WHOLE = b'HTTP/1.1 200 OK\r\nServer-Seal: x\r\n'
REFUSED = b'HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\n'
WRONG = b'HTTP/1.1 421 Misdirected\r\nNot-Executed: 1\r\n'


def answer(head, request_id):
    return (
        head
        + b'Request-Id: %s\r\nKeep-Alive: timeout=9\r\n' % request_id
        + b'Content-Length: 2\r\n\r\n'
        + request_id
    )


class StrayTarget:
    """Sends a late copy of an earlier answer before the one that is due.

    It serves one request at a time on a connection.
    """

    def __init__(self, stray_head):
        self._stray_head = stray_head
        self.arrived = []

    async def serve(self, reader, writer):
        earlier = b''
        try:
            while head := await reader.readuntil(b'\r\n\r\nbody'):
                request_id = re.search(rb'Request-Id: (\w+)', head)[1]
                self.arrived.append(request_id.decode())
                if earlier:
                    writer.write(answer(self._stray_head, earlier))
                    await asyncio.sleep(RUN_S)
                earlier = request_id
                writer.write(answer(WHOLE, request_id))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


def make_entry(clock, address, transfers):
    ctx = GatewayContext(
        clock, random.Random(1), Metrics(), RetryLimits(1.0, 99.0), lambda: 1
    )
    ctx.desired.adopt(make_state())
    ctx.directory.apply(make_record(address=address))
    picker = Picker(
        clock,
        random.Random(1),
        ctx.directory,
        ctx.circuits,
        ctx.desired.is_domain_closed,
    )
    client = TargetClient(transfers, AllianceTargets(), clock, ctx.notices)
    return ctx, client, picker


async def send(entry, request_id):
    ctx, client, picker = entry
    channel = FakeChannel()
    req = make_request(
        id=request_id,
        arrived_ms=ctx.clock.now_ms(),
        fields=(('Request-Id', request_id),),
    )
    route = make_route(kind=RouteKind.UNSAFE)
    run = RequestRun(ctx, client, picker, NoCache(), req, route, None, channel)
    await run.run()
    return channel


# Guards against a late copy of an answer: a refusal that was none of the next
# request's made it "not run" though it ran, and each later request on the
# connection got the answer of the one before it.
@pytest.mark.parametrize('stray_head', [WHOLE, REFUSED, WRONG])
def test_a_late_copy_of_an_answer_is_taken_for_no_other(stray_head):
    clock = Clock()
    target = StrayTarget(stray_head)

    async def run():
        server = await asyncio.start_server(target.serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        transfers = TransferLoop()
        entry = make_entry(clock, f'127.0.0.1:{port}', transfers)
        try:
            return [await send(entry, id_) for id_ in ('q1', 'q2', 'q3')]
        finally:
            transfers.close()
            server.close()

    first, second, third = asyncio.run(asyncio.wait_for(run(), 20.0))
    assert (first.status, first.body) == (200, b'q1')
    assert second.status == 502
    assert (third.status, third.body) == (200, b'q3')
    assert target.arrived == ['q1', 'q2', 'q3']
