"""Tests of the client while its connection is being established."""

import asyncio
import socket

from wigeonmill.protocol.client import PeerClient
from wigeonmill.protocol.client import PeerErrorKind
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.handshake import InnerKeys


def make_client(address):
    keys = InnerKeys((b'client-test-key!',))
    return PeerClient(
        address, 'a', 'entry', lambda: keys, lambda: 0, lambda *_seen: None
    )


def test_dropping_a_client_ends_its_requests_with_an_error():
    async def scenario():
        with socket.create_server(('127.0.0.1', 0)) as silent_server:
            address = f'127.0.0.1:{silent_server.getsockname()[1]}'
            pool = PeerPool(make_client)
            envelope = Envelope(Kind.STATUS_REQUEST)
            request = asyncio.ensure_future(
                pool.get(address).request(envelope, 5000.0)
            )
            await asyncio.sleep(0.05)
            pool.drop(address)
            outcome = await asyncio.wait_for(request, 2.0)
            assert outcome.unwrap_err().kind is PeerErrorKind.UNREACHABLE

    asyncio.run(scenario())


# Guards against a refusal of every resumed stream: an address in the list of
# entries that is not one raised an exception in the search for an origin.
def test_a_malformed_address_is_unreachable():
    async def scenario():
        for address in ('nonsense', '127.0.0.1:x'):
            assert not await make_client(address).connect()

    asyncio.run(scenario())
