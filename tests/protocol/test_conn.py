import asyncio

import pytest
from tornado.iostream import StreamClosedError
from tornado.tcpclient import TCPClient

from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerClient
from wigeonmill.protocol.client import PeerErrorKind
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Status
from wigeonmill.protocol.gen.inner.ttypes import StatusRequest
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.protocol.server import InnerServer

NEW = b'new shared key 1'
OLD = b'old shared key 1'


class ServerAndClient:
    """A server that answers status requests, and a client of it."""

    def __init__(self, server_keys, client_keys):
        self.metrics = Metrics()
        self.serials = []
        self.server = InnerServer(
            'a',
            'agent',
            5,
            lambda: InnerKeys(server_keys),
            self.answer,
            self.metrics,
        )
        self.address = self.server.listen_on('127.0.0.1', 0)
        self.client = PeerClient(
            self.address,
            'e',
            'entry',
            lambda: InnerKeys(client_keys),
            lambda: 1,
            lambda _peer, serial: self.serials.append(serial),
        )

    def answer(self, conn, envelope):
        status = Status(conn.peer, conn.role, 9)
        reply = Envelope(Kind.STATUS, envelope.stream, 9, status=status)
        conn.send(reply)

    async def request_status(self):
        request = Envelope(Kind.STATUS_REQUEST, status_request=StatusRequest())
        return await self.client.request(request, 2000)

    def close(self):
        self.client.close()
        self.server.close_all()


def run_scenario(server_keys, client_keys, scenario):
    async def main():
        pair = ServerAndClient(server_keys, client_keys)
        try:
            await scenario(pair)
        finally:
            pair.close()
            await asyncio.sleep(0)

    asyncio.run(main())


def test_requests_share_one_authenticated_connection():
    async def scenario(pair):
        replies = await asyncio.gather(
            *[pair.request_status() for _ in range(20)]
        )
        assert all(r.unwrap().status.process == 'e' for r in replies)
        assert pair.client.incarnation == 5
        assert set(pair.serials) == {9}
        assert len(pair.server._conns) == 1

    run_scenario((NEW,), (NEW,), scenario)


@pytest.mark.parametrize('client', [(OLD, NEW), (NEW, OLD)])
def test_either_key_is_accepted_while_keys_rotate(client):
    async def scenario(pair):
        assert (await pair.request_status()).is_ok()

    run_scenario((NEW, OLD), client, scenario)


def test_wrong_key_is_refused_and_counted():
    async def scenario(pair):
        error = (await pair.request_status()).unwrap_err()
        assert error.kind is PeerErrorKind.UNREACHABLE
        assert pair.metrics.value('inner_refusals', 'handshake') == 1

    run_scenario((NEW,), (OLD,), scenario)


def test_garbage_closes_only_the_connection_it_arrived_on():
    async def scenario(pair):
        host, port = pair.address.split(':')
        raw = await TCPClient().connect(host, int(port))
        await raw.write(b'\xff' * 64)
        with pytest.raises(StreamClosedError):
            while True:
                await raw.read_bytes(1)
        assert (await pair.request_status()).is_ok()

    run_scenario((NEW,), (NEW,), scenario)


def test_lost_connection_ends_open_streams():
    async def scenario(pair):
        pair.server._on_envelope = lambda conn, envelope: conn.close()
        error = (await pair.request_status()).unwrap_err()
        assert error.kind is PeerErrorKind.CLOSED

    run_scenario((NEW,), (NEW,), scenario)
