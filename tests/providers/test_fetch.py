"""Single calls: their cancellation and their time limit."""

import asyncio

import pytest

from tests.providers.held_transfers import HeldTransfers
from wigeonmill.providers.fetch import fetch
from wigeonmill.providers.fetch import MIN_BYTES_PER_S
from wigeonmill.providers.transfers import ReplyHead
from wigeonmill.providers.transfers import TransferCall
from wigeonmill.providers.transfers import TransferEnd

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


async def fetch_in_parts(parts, pause_ms, size, silence_ms):
    """Fetch a reply that arrives in parts, after a timeout of 50 ms."""
    transfers = HeldTransfers()
    call = asyncio.ensure_future(
        fetch(transfers, CALL, 50.0, silence_ms=silence_ms)
    )
    await asyncio.sleep(0)
    sink = transfers.started[0].sink
    sink.on_head(ReplyHead(200, ()))
    for _part in range(parts):
        await asyncio.sleep(pause_ms / 1_000.0)
        if call.done():
            break
        sink.on_data(b'x' * size)
    else:
        sink.on_end(TransferEnd.COMPLETE, '')
    return await call


# Guards against CONFIG: a reply that takes long was given up though its bytes
# kept coming, and was fetched again from the first one.
def test_a_reply_that_keeps_coming_is_read_to_its_end():
    reply = asyncio.run(fetch_in_parts(10, 20.0, 4_096, 1_000.0)).unwrap()
    assert len(reply.body) == 10 * 4_096
    assert reply.body_ms >= 150.0


def test_a_reply_that_falls_silent_ends():
    error = asyncio.run(
        fetch_in_parts(10, 200.0, MIN_BYTES_PER_S, 100.0)
    ).unwrap_err()
    assert error.message == 'no complete reply in time'


def test_a_reply_that_trickles_ends():
    error = asyncio.run(fetch_in_parts(100, 10.0, 1, 1_000.0)).unwrap_err()
    assert 0 < error.received_bytes < 100
