"""Tests what comes of an answer that belongs to an earlier request."""

import asyncio
import re

import pytest

from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.platform.real_entry import RealEntry
from tests.platform.real_entry import serve_and
from wigeonmill.clock import Clock
from wigeonmill.gateway.desired import RouteKind

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


async def send(entry, request_id):
    req = make_request(
        id=request_id,
        arrived_ms=entry.ctx.clock.now_ms(),
        fields=(('Request-Id', request_id),),
    )
    return await entry.send(req, make_route(kind=RouteKind.UNSAFE))


# Guards against a late copy of an answer: a refusal that was none of the next
# request's made it "not run" though it ran, and each later request on the
# connection got the answer of the one before it.
@pytest.mark.parametrize('stray_head', [WHOLE, REFUSED, WRONG])
def test_a_late_copy_of_an_answer_is_taken_for_no_other(stray_head):
    target = StrayTarget(stray_head)

    async def check(address, transfers):
        entry = RealEntry(Clock(), transfers, address)
        return [await send(entry, id_) for id_ in ('q1', 'q2', 'q3')]

    first, second, third = asyncio.run(serve_and(target.serve, check))
    assert (first.status, first.body) == (200, b'q1')
    assert second.status == 502
    assert (third.status, third.body) == (200, b'q3')
    assert target.arrived == ['q1', 'q2', 'q3']


STRAY_STATUSES = (408, 421, 429, 503)


def stray_answer(status, marked, id_field):
    mark = b'Not-Executed: 1\r\n' if marked else b''
    return (
        b'HTTP/1.1 %d Refused\r\n' % status
        + mark
        + id_field
        + b'Server-Leaving: 1\r\nRetry-After: 30\r\nServer-Limit: 1\r\n'
        + b'Cold-Ms: 30000\r\nContent-Length: 0\r\n\r\n'
    )


class RefusingTarget:
    """Writes an earlier refusal once more while it runs the next request.

    It runs a request for `RUN_S`. The refusal bears the field `id_field`.
    """

    def __init__(self, status, marked, id_field=b''):
        self._stray = stray_answer(status, marked, id_field)
        self.ran = []

    async def serve(self, reader, writer):
        served = 0
        try:
            while head := await reader.readuntil(b'\r\n\r\nbody'):
                request_id = re.search(rb'Request-Id: (\w+)', head)[1]
                self.ran.append(request_id.decode())
                if served:
                    writer.write(self._stray)
                served += 1
                await asyncio.sleep(RUN_S)
                writer.write(answer(WHOLE, request_id))
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


# Guards against REFUSED and TWICE: an earlier refusal without an id made the
# next request "not run" though the target was running it, and it was sent to a
# second target as well.
@pytest.mark.parametrize('status', STRAY_STATUSES)
@pytest.mark.parametrize('marked', [True, False])
@pytest.mark.parametrize(
    'id_field', [b'', b'Request-Id: q1\r\n'], ids=['no_id', 'earlier_id']
)
def test_an_earlier_refusal_is_believed_for_no_other_request(
    status, marked, id_field
):
    target = RefusingTarget(status, marked, id_field)

    async def check(address, transfers):
        entry = RealEntry(Clock(), transfers, address)
        other = make_record('t2', address=address)
        entry.ctx.directory.apply(other)
        route = make_route(kind=RouteKind.UNSAFE, max_targets=3)
        channels = []
        for id_ in ('q1', 'q2', 'q3'):
            req = make_request(
                id=id_,
                arrived_ms=entry.ctx.clock.now_ms(),
                fields=(('Request-Id', id_),),
            )
            channels.append(await entry.send(req, route))
        return entry, channels

    entry, channels = asyncio.run(serve_and(target.serve, check))
    assert [channel.status for channel in channels] == [200, 502, 200]
    assert target.ran == ['q1', 'q2', 'q3']
    now_ms = entry.ctx.clock.now_ms()
    known = entry.ctx.directory.get('t1')
    assert not (known.leaving or known.is_closed(now_ms))
    assert not known.is_cold(now_ms)
    assert entry.ctx.metrics.reasons('target_notices') == {}


# Guards against refusals that are not believed any more: on a new connection
# there is no earlier request.
@pytest.mark.parametrize('status', [421, 429, 503])
def test_a_refusal_without_an_id_is_believed_on_a_new_connection(status):
    arrived = []

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\nbody')
        arrived.append(1)
        refusal = b'HTTP/1.1 %d Busy\r\nNot-Executed: 1\r\n' % status
        writer.write(refusal + b'Content-Length: 0\r\n\r\n')
        await writer.drain()
        writer.close()

    async def check(address, transfers):
        entry = RealEntry(Clock(), transfers, address)
        return await send(entry, 'q1')

    channel = asyncio.run(serve_and(serve, check))
    assert channel.status == 503
    assert arrived
