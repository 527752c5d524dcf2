"""Tests of the fault proxy in front of a ledger."""

import asyncio
from contextlib import asynccontextmanager

import pytest

from wigeonmill.clock import Clock
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
from wigeonmill.providers.http import HttpErrorKind
from wigeonmill.standins.fault_proxy import ProxyOptions
from wigeonmill.standins.fault_proxy import start_fault_proxy
from wigeonmill.standins.ledger import LedgerOptions
from wigeonmill.standins.ledger import start_ledger

CREDIT = b'{"account": "a", "amount": 2.5, "reference": "n1"}'
FAULT_TIMEOUT_MS = 300


class ProxiedLedger:
    """A ledger behind a proxy, and a client."""

    def __init__(self, ledger, proxy):
        self.ledger = ledger.state
        self.proxy = proxy
        self.http = HttpClient(Clock())

    async def post_credit(self, timeout_ms=2000.0):
        url = f'http://{self.proxy.address}/credits'
        call = HttpCall('POST', url, timeout_ms, CREDIT, repeatable=False)
        return await self.http.send(call)

    async def set_faults(self, body):
        url = f'http://{self.proxy.control_address}/faults'
        call = HttpCall('POST', url, 2000.0, body)
        assert (await self.http.send(call)).unwrap().status == 200


@asynccontextmanager
async def proxied_ledger():
    ledger = await start_ledger(LedgerOptions())
    proxy = await start_fault_proxy(ProxyOptions(ledger.address))
    proxied = ProxiedLedger(ledger, proxy)
    try:
        yield proxied
    finally:
        proxied.http.close()
        await proxy.stop()
        await ledger.stop()


@pytest.mark.parametrize(
    'faults, error, applied',
    [
        (b'{"drop": true}', HttpErrorKind.TIMEOUT, 0),
        (b'{"stall": "up"}', HttpErrorKind.TIMEOUT, 0),
        (b'{"stall": "down"}', HttpErrorKind.TIMEOUT, 1),
        (b'{"hold": true}', HttpErrorKind.TIMEOUT, 0),
        (b'{"refuse": true}', HttpErrorKind.BROKEN, 0),
        (b'{"cuts": 1, "cut_after_bytes": 40}', HttpErrorKind.BROKEN, 1),
    ],
)
def test_faults_lose_the_request_or_its_reply(faults, error, applied):
    async def check():
        async with proxied_ledger() as proxied:
            await proxied.set_faults(faults)
            failed = (await proxied.post_credit(FAULT_TIMEOUT_MS)).unwrap_err()
            assert failed.kind is error
            assert len(proxied.ledger.applied) == applied

    asyncio.run(check())


def test_delay_applies_in_each_direction():
    async def check():
        async with proxied_ledger() as proxied:
            await proxied.set_faults(b'{"delay_ms": 30}')
            reply = (await proxied.post_credit()).unwrap()
            assert reply.status == 201
            assert reply.elapsed_ms >= 60.0

    asyncio.run(check())


def test_held_traffic_goes_on_when_the_hold_ends():
    async def check():
        async with proxied_ledger() as proxied:
            await proxied.set_faults(b'{"hold": true}')
            waiting = asyncio.ensure_future(proxied.post_credit())
            await asyncio.sleep(0.1)
            assert not waiting.done() and not proxied.ledger.applied
            await proxied.set_faults(b'{"hold": false}')
            assert (await waiting).unwrap().status == 201

    asyncio.run(check())


def test_new_connections_are_held_up():
    async def check():
        async with proxied_ledger() as proxied:
            await proxied.set_faults(b'{"connect_delay_ms": 50}')
            assert (await proxied.post_credit()).unwrap().elapsed_ms >= 50.0
            # The client keeps its connection.
            assert (await proxied.post_credit()).unwrap().elapsed_ms < 50.0

    asyncio.run(check())


def test_a_duplicate_connection_books_a_credit_twice():
    async def check():
        async with proxied_ledger() as proxied:
            await proxied.set_faults(b'{"duplicate": true}')
            assert (await proxied.post_credit()).unwrap().status == 201
            while len(proxied.ledger.applied) < 2:
                await asyncio.sleep(0.005)
            assert proxied.proxy.state.stats.duplicated == 1

    asyncio.run(check())


def test_reset_ends_open_connections():
    async def check():
        async with proxied_ledger() as proxied:
            proxied.ledger.faults.delay_ms = 1000.0
            waiting = asyncio.ensure_future(proxied.post_credit())
            while not proxied.ledger.applied:
                await asyncio.sleep(0.005)
            await proxied.set_faults(b'{"reset": true}')
            failed = (await waiting).unwrap_err()
            assert failed.kind is HttpErrorKind.BROKEN
            assert len(proxied.ledger.applied) == 1

    asyncio.run(check())
