"""Tests that calls of a plain service are sent exactly once.

A client library that resends a request on a lost connection could run a call
twice, and a reply that is cut short must not count as an answer.
"""

import asyncio

import pytest
from tornado.web import RequestHandler

from wigeonmill.agent.calls import CallClient
from wigeonmill.agent.calls import CallEndKind
from wigeonmill.protocol.gen.inner.ttypes import Call
from wigeonmill.standins.fault_proxy import ProxyOptions
from wigeonmill.standins.fault_proxy import start_fault_proxy
from wigeonmill.standins.ledger import LedgerOptions
from wigeonmill.standins.ledger import start_ledger
from wigeonmill.standins.server import start_server

CREDIT = Call(
    method='POST',
    path='/credits',
    body=b'{"account": "a", "amount": 1, "reference": "r"}',
)
TIMEOUT_MS = 2000.0
HOST = '127.0.0.1'


def test_a_call_whose_reply_is_lost_is_sent_once():
    async def check():
        ledger = await start_ledger(LedgerOptions())
        calls = CallClient(ledger.address)
        warm = await calls.send(CREDIT, TIMEOUT_MS)
        assert warm.kind is CallEndKind.ANSWERED
        ledger.state.faults.lose_replies = 1
        lost = await calls.send(CREDIT, TIMEOUT_MS)
        assert lost.kind is CallEndKind.UNKNOWN
        assert len(ledger.state.applied) == 2
        await ledger.stop()
        gone = await calls.send(CREDIT, TIMEOUT_MS)
        assert gone.kind is CallEndKind.UNREACHABLE
        calls.close()

    asyncio.run(check())


# The reply ends within the headers, and within the body.
@pytest.mark.parametrize('cut_after_bytes', [40, 190])
def test_a_reply_that_is_cut_short_is_unknown(cut_after_bytes):
    async def check():
        ledger = await start_ledger(LedgerOptions())
        proxy = await start_fault_proxy(ProxyOptions(ledger.address))
        calls = CallClient(proxy.address)
        proxy.state.faults.cut_after_bytes = cut_after_bytes
        proxy.state.faults.cuts = 1
        end = await calls.send(CREDIT, TIMEOUT_MS)
        assert end.kind is CallEndKind.UNKNOWN
        calls.close()
        await proxy.stop()
        await ledger.stop()

    asyncio.run(check())


class _DroppingHandler(RequestHandler):
    """Answers the first call and drops the connections of later ones."""

    seen: list[str] = []

    def post(self) -> None:
        self.seen.append(self.request.uri or '')
        if len(self.seen) > 1:
            self.detach().close()


def test_a_call_without_a_body_is_sent_once():
    async def check():
        seen: list[str] = []
        _DroppingHandler.seen = seen
        server = await start_server(
            None, [('/x', _DroppingHandler, {})], HOST, 0
        )
        calls = CallClient(server.address)
        empty = Call(method='POST', path='/x', body=b'')
        await calls.send(empty, TIMEOUT_MS)
        lost = await calls.send(empty, TIMEOUT_MS)
        assert lost.kind is CallEndKind.UNKNOWN
        assert len(seen) == 2
        calls.close()
        await server.stop()

    asyncio.run(check())
