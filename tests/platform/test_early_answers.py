"""Tests what comes of an answer that is broken off during a long upload."""

import asyncio
import itertools
import re
import socket
import struct

import pytest

from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.platform.real_entry import RealEntry
from tests.platform.real_entry import serve_and
from wigeonmill.clock import Clock
from wigeonmill.gateway.desired import RouteKind

BODY = bytes(3 * 1024 * 1024)
EVENT = b'id: 1\ndata: x\n\n'
FRAMINGS = {
    'close': b'\r\n' + EVENT,
    'chunked': b'Transfer-Encoding: chunked\r\n\r\nff\r\n' + EVENT,
    'length': b'Content-Length: 255\r\n\r\n' + EVENT,
}
ENDINGS = ('reset', 'late_reset', 'close')


class HastyTarget:
    """Begins to answer before it has read the body, and breaks off.

    The name of a request tells how: its framing, its end and the version.
    """

    def __init__(self):
        self.arrived = 0

    async def serve(self, reader, writer):
        head = await reader.readuntil(b'\r\n\r\n')
        request_id = re.search(rb'Request-Id: (\S+)', head)[1]
        framing, ending, version = request_id.decode().split('-')[1:]
        self.arrived += 1
        writer.write(
            b'HTTP/%s 200 OK\r\nServer-Seal: x\r\n' % version.encode()
            + b'Content-Type: text/event-stream\r\n'
            + b'Request-Id: %s\r\n' % request_id
            + FRAMINGS[framing]
        )
        if ending == 'late_reset':
            await asyncio.sleep(0.6)
        if ending != 'close':
            sock = writer.get_extra_info('socket')
            linger = struct.pack('ii', 1, 0)
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        # What has come of the body is not read, so a close resets as well.
        writer.close()


# Guards against MIXED: a part of an answer that came while the request was
# still being sent was passed on as a complete one.
@pytest.mark.parametrize('kind', RouteKind)
def test_an_answer_that_breaks_off_during_an_upload_is_not_complete(kind):
    target = HastyTarget()
    forms = list(itertools.product(FRAMINGS, ENDINGS, ('1.1', '1.0')))
    # Chunks don't exist in HTTP/1.0.
    forms = [form for form in forms if form[::2] != ('chunked', '1.0')]

    async def check(address, transfers):
        entry = RealEntry(Clock(), transfers, address)
        route = make_route(kind=kind, max_targets=1, timeout_ms=5_000.0)
        channels = []
        for number, form in enumerate(forms):
            request_id = '-'.join((f'q{number}', *form))
            req = make_request(
                id=request_id,
                body=BODY + request_id.encode(),
                arrived_ms=entry.ctx.clock.now_ms(),
                fields=(('Request-Id', request_id),),
            )
            channels.append(await entry.send(req, route))
            # The only target is not left for its failures.
            entry.ctx.circuits.record_success('t1')
        return channels

    channels = asyncio.run(serve_and(target.serve, check))
    assert target.arrived == len(forms)
    for channel in channels:
        assert not channel.finished
        assert channel.aborted or channel.status == 502
