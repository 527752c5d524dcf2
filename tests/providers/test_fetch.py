"""Single calls: their cancellation and their time limit."""

import asyncio

import pytest

from tests.providers.held_transfers import HeldTransfers
from wigeonmill.providers.fetch import fetch
from wigeonmill.providers.transfers import TransferCall

CALL = TransferCall(
    address='127.0.0.1:9',
    method='GET',
    target='/',
    fields=(),
    body=b'',
    repeatable=True,
    connect_timeout_ms=100.0,
    max_idle_s=0,
)


# Guards against a caller that goes on although it was cancelled: a call
# dropped a cancellation that came as its transfer ended.
@pytest.mark.parametrize('turns', range(3))
def test_a_cancellation_is_kept_as_the_transfer_ends(turns):
    async def run():
        transfers = HeldTransfers()
        call = asyncio.ensure_future(fetch(transfers, CALL, 1_000.0))
        await asyncio.sleep(0)
        transfers.end_all()
        for _turn in range(turns):
            await asyncio.sleep(0)
        # A call that has returned can't be cancelled.
        requested = call.cancel()
        await asyncio.wait([call])
        assert call.cancelled() == requested
        assert turns > 1 or requested

    asyncio.run(run())


def test_a_call_without_a_reply_ends_in_time_and_is_cancelled():
    async def run():
        transfers = HeldTransfers()
        reply = await fetch(transfers, CALL, 10.0)
        assert reply.unwrap_err().message == 'no complete reply in time'
        assert reply.unwrap_err().sent
        assert transfers.started[0].cancelled

    asyncio.run(run())
