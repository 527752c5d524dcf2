import asyncio
import random

from result import Ok

from wigeonmill.claims.grouped import make_grouped_store
from wigeonmill.claims.model import Answered
from wigeonmill.claims.model import ClaimRequest
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import make_answer
from wigeonmill.claims.opener import TAKEOVERS
from wigeonmill.claims.peers import ClaimServer
from wigeonmill.claims.peers import PeerTransport
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerClient
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.gen.inner.ttypes import ClaimCall
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.protocol.server import InnerServer
from wigeonmill.standins.memory_key_value import MemoryKeyValue

KEYS = InnerKeys((b'shared inner key',))
ANSWER = make_answer(200, [], b'credited')


class Process:
    """A claim store with a real inner server and client."""

    def __init__(self, name, kv, metrics):
        self.name = name
        self.malformed = 0
        self.peers = PeerPool(self.make_client)
        self.server = InnerServer(
            name, 'agent', 1, lambda: KEYS, self.on_envelope, metrics
        )
        address = self.server.listen_on('127.0.0.1', 0)
        self.store = make_grouped_store(
            kv,
            PeerTransport(self.peers),
            Clock(),
            metrics,
            Holder(name, 1),
            address,
            random.Random(1),
        )
        self.claims = ClaimServer(self.store, lambda: 1)
        self.address = address

    def make_client(self, address):
        return PeerClient(
            address,
            self.name,
            'agent',
            lambda: KEYS,
            lambda: 1,
            lambda _peer, _serial: None,
        )

    def on_envelope(self, conn, envelope):
        self.malformed += not self.claims.handle(conn, envelope)

    def close(self):
        self.peers.close()
        self.server.close_all()


def request(key='k'):
    return ClaimRequest('team', 'ledger', key, b'd' * 32, 3000.0)


def run(scenario):
    async def body():
        metrics = Metrics()
        kv = MemoryKeyValue(Clock())
        a, b = Process('a', kv, metrics), Process('b', kv, metrics)
        try:
            await scenario(a, b, metrics)
        finally:
            a.close()
            b.close()

    asyncio.run(body())


def test_process_claims_and_records_through_the_owner():
    async def scenario(a, b, metrics):
        claim = (await a.store.claim(request())).unwrap()
        assert (await a.store.record(claim, ANSWER)).is_ok()
        assert await b.store.claim(request()) == Ok(Answered(ANSWER))
        assert metrics.value(TAKEOVERS) == 1

    run(scenario)


def test_dead_owner_loses_its_shard():
    async def scenario(a, b, metrics):
        claim = (await a.store.claim(request())).unwrap()
        assert (await a.store.record(claim, ANSWER)).is_ok()
        a.close()
        assert await b.store.claim(request()) == Ok(Answered(ANSWER))
        assert metrics.value(TAKEOVERS) == 2

    run(scenario)


def test_malformed_request_is_rejected():
    async def scenario(a, b, metrics):
        envelope = Envelope(Kind.CLAIM_CALL, claim_call=ClaimCall(b'\xc1'))
        answer = await b.peers.get(a.address).request(envelope, 200.0)
        assert answer.is_err()
        assert a.malformed == 1

    run(scenario)
