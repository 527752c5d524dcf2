"""The fault proxy in front of a ledger."""

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
DROPPED_MS = 300


class Bench:
    """A ledger behind a proxy, and a client."""

    def __init__(self, ledger, proxy):
        self.ledger = ledger.state
        self.proxy = proxy
        self.http = HttpClient(Clock())

    async def credit(self, timeout_ms=2000.0):
        url = f'http://{self.proxy.address}/credits'
        call = HttpCall('POST', url, timeout_ms, CREDIT, repeatable=False)
        return await self.http.send(call)

    async def faults(self, body):
        url = f'http://{self.proxy.control_address}/faults'
        call = HttpCall('POST', url, 2000.0, body)
        assert (await self.http.send(call)).unwrap().status == 200


@asynccontextmanager
async def opened():
    ledger = await start_ledger(LedgerOptions())
    proxy = await start_fault_proxy(ProxyOptions(ledger.address))
    bench = Bench(ledger, proxy)
    try:
        yield bench
    finally:
        bench.http.close()
        await proxy.stop()
        await ledger.stop()


@pytest.mark.parametrize(
    'faults, error, applied',
    [
        (b'{"drop": true}', HttpErrorKind.TIMEOUT, 0),
        (b'{"stall": "up"}', HttpErrorKind.TIMEOUT, 0),
        (b'{"stall": "down"}', HttpErrorKind.TIMEOUT, 1),
        (b'{"refuse": true}', HttpErrorKind.BROKEN, 0),
        (b'{"cuts": 1, "cut_after_bytes": 40}', HttpErrorKind.BROKEN, 1),
    ],
)
def test_faults_lose_the_request_or_its_reply(faults, error, applied):
    async def check():
        async with opened() as bench:
            await bench.faults(faults)
            failed = (await bench.credit(DROPPED_MS)).unwrap_err()
            assert failed.kind is error
            assert len(bench.ledger.applied) == applied

    asyncio.run(check())


def test_delay_holds_back_each_direction():
    async def check():
        async with opened() as bench:
            await bench.faults(b'{"delay_ms": 30}')
            reply = (await bench.credit()).unwrap()
            assert reply.status == 201
            assert reply.elapsed_ms >= 60.0

    asyncio.run(check())


def test_a_duplicate_connection_doubles_a_credit():
    async def check():
        async with opened() as bench:
            await bench.faults(b'{"duplicate": true}')
            assert (await bench.credit()).unwrap().status == 201
            while len(bench.ledger.applied) < 2:
                await asyncio.sleep(0.005)
            assert bench.proxy.state.stats.duplicated == 1

    asyncio.run(check())


def test_reset_ends_open_connections():
    async def check():
        async with opened() as bench:
            bench.ledger.faults.delay_ms = 1000.0
            waiting = asyncio.ensure_future(bench.credit())
            while not bench.ledger.applied:
                await asyncio.sleep(0.005)
            await bench.faults(b'{"reset": true}')
            failed = (await waiting).unwrap_err()
            assert failed.kind is HttpErrorKind.BROKEN
            assert len(bench.ledger.applied) == 1

    asyncio.run(check())
