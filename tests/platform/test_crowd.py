"""Clients that don't behave: a gateway process keeps the machine's limits.

The crowds, the machine and the bounds are the users' case made small: a
process that holds what these clients send exceeds the machine's memory, or
has no descriptor left.
"""

import asyncio

import pytest

from tests.platform.crowd import answer_ordinary
from tests.platform.crowd import ask
from tests.platform.crowd import BODY_BYTES
from tests.platform.crowd import crowd
from tests.platform.crowd import HANG_S
from tests.platform.crowd import HEADER_BYTES
from tests.platform.crowd import make_head
from tests.platform.crowd import MAX_FDS
from tests.platform.crowd import READY_PATH
from tests.platform.crowd import run_gateway

CLIENTS = 40
POST = 'POST /jobs/crowd HTTP/1.1'
CHUNKED = 'Transfer-Encoding: chunked'
# The clients of a crowd on connections, more than there are descriptors.
CONNECTIONS = MAX_FDS + 100
# A log that bears one line for each connection.
LOG_BYTES = 1_000 * CONNECTIONS


def length(size):
    return f'Content-Length: {size}'


async def short_body(client, number):
    await client.send(make_head(POST, f'c{number}', length(BODY_BYTES)))
    await client.send_body(BODY_BYTES - 1)


async def body_that_stops_somewhere(client, number):
    await client.send(make_head(POST, f'c{number}', length(BODY_BYTES)))
    await client.send_body(BODY_BYTES * (number + 1) // (2 * CLIENTS + 1))


async def short_chunks(client, number):
    await client.send(make_head(POST, f'c{number}', CHUNKED))
    await client.send_body(BODY_BYTES, chunked=True)


async def trickle(client, number):
    await client.send(make_head(POST, f'c{number}', length(BODY_BYTES)))
    await client.send_body(BODY_BYTES - 1_000)
    for _byte in range(900):
        await client.send(b'x')
        await asyncio.sleep(0.1)


async def unknown_key(client, number):
    head = make_head(POST, f'c{number}', length(BODY_BYTES))
    await client.send(head.replace(b'Bearer key', b'Bearer no'))
    await client.send_body(BODY_BYTES - 1)


async def no_route(client, number):
    line = 'POST /nowhere/x HTTP/1.1'
    await client.send(make_head(line, f'c{number}', length(BODY_BYTES)))
    await client.send_body(BODY_BYTES - 1)


async def too_long(client, number):
    size = 4 * BODY_BYTES
    await client.send(make_head(POST, f'c{number}', length(size)))
    await client.send_body(size - 1)


async def complete(client, number):
    await client.send(make_head(POST, f'c{number}', length(BODY_BYTES)))
    await client.send_body(BODY_BYTES)


async def complete_chunks(client, number):
    await short_chunks(client, number)
    await client.send(b'0\r\n\r\n')


async def pipelined(client, number):
    await client.send(make_head(POST, f'c{number}', length(0)))
    await short_body(client, number)


async def kept(client, number):
    """Send a short body on a connection that was used before."""
    line = 'POST /jobs/first HTTP/1.1'
    await client.send(make_head(line, f'f{number}', length(0)))
    await client.read_status()
    await short_body(client, number)


async def comes_and_goes(client, number):
    """Leave with a part of a body; the test's crowd comes again."""
    await body_that_stops_somewhere(client, number)
    client.close()


async def long_head(client, number):
    # Less than what ends the head, more than the head may have.
    await client.send(b'POST /jobs/x HTTP/1.1\r\nX: ')
    await client.send_body(1_000_000)


async def reads_nothing(client, number):
    line = 'GET /jobs/large HTTP/1.1'
    await client.send(make_head(line, f'c{number}'))
    await asyncio.sleep(HANG_S)


async def silent(client, number):
    await asyncio.sleep(HANG_S)


async def begun_head(client, number):
    await client.send(b'POST /jobs/x HTT')
    await asyncio.sleep(HANG_S)


async def no_body(client, number):
    await client.send(make_head(POST, f'c{number}', length(200)))
    await asyncio.sleep(HANG_S)


async def play(folder, behave, count, to='callers', rounds=1, route_count=0):
    async with run_gateway(folder, route_count) as gateway:
        for _round in range(rounds):
            async with crowd(gateway.settings[to], count, behave):
                await answer_ordinary(gateway)
                gateway.check_bounds()
            await answer_ordinary(gateway)
        gateway.check_bounds()
        return gateway


# Guards against a process that runs out of memory.
@pytest.mark.parametrize(
    ('behave', 'count'),
    [
        (short_body, CLIENTS),
        (body_that_stops_somewhere, 2 * CLIENTS),
        (short_chunks, CLIENTS),
        (trickle, CLIENTS),
        (unknown_key, CLIENTS),
        (no_route, CLIENTS),
        (too_long, CLIENTS // 4),
        (complete, CLIENTS),
        (complete_chunks, CLIENTS),
        (pipelined, CLIENTS),
        (kept, CLIENTS),
        (long_head, 3 * CLIENTS),
        (reads_nothing, CLIENTS),
    ],
    ids=lambda value: getattr(value, '__name__', str(value)),
)
def test_a_crowd_leaves_memory_for_others(tmp_path, behave, count):
    asyncio.run(play(tmp_path, behave, count))


# Guards against memory that a crowd has left behind, beside which the next
# one begins.
@pytest.mark.parametrize('behave', [short_body, complete, comes_and_goes])
def test_memory_is_there_for_the_next_crowd(tmp_path, behave):
    asyncio.run(play(tmp_path, behave, 2 * CLIENTS, rounds=3))


# Guards against a bound that leaves out what the process needs itself.
@pytest.mark.parametrize('behave', [short_body, complete])
def test_a_crowd_beside_a_large_state_leaves_memory(tmp_path, behave):
    asyncio.run(play(tmp_path, behave, CLIENTS, route_count=3_000))


# Guards against a process that has no descriptor left and fills its log.
@pytest.mark.parametrize('behave', [silent, begun_head, no_body])
def test_a_crowd_of_connections_leaves_descriptors(tmp_path, behave):
    gateway = asyncio.run(play(tmp_path, behave, CONNECTIONS))
    assert gateway.log.stat().st_size <= LOG_BYTES


# Guards against bodies at addresses that read none.
@pytest.mark.parametrize('to', ['ready', 'metrics'])
def test_a_crowd_at_another_address_leaves_memory(tmp_path, to):
    async def body(client, number):
        line = f'GET {READY_PATH} HTTP/1.1'
        await client.send(make_head(line, 'r', length(BODY_BYTES)))
        await client.send_body(BODY_BYTES - 1)

    asyncio.run(play(tmp_path, body, CLIENTS, to))


# Guards against frames of clients that have not proved their key.
def test_a_crowd_of_long_frames_leaves_memory(tmp_path):
    async def frame(client, number):
        await client.send((3 * BODY_BYTES).to_bytes(4, 'big'))
        await client.send_body(BODY_BYTES)

    asyncio.run(play(tmp_path, frame, CLIENTS, 'inner'))


# Guards against a process that a crowd keeps from its end.
@pytest.mark.parametrize('behave', [short_body, complete, silent])
def test_a_process_ends_beside_a_crowd(tmp_path, behave):
    async def check():
        async with run_gateway(tmp_path) as gateway:
            address = gateway.settings['callers']
            async with crowd(address, CLIENTS, behave):
                gateway.check_bounds()
                gateway.stop()
                async with asyncio.timeout(HANG_S):
                    code = await gateway.process.wait()
            assert code == 0
            assert gateway.peaks.memory <= 150_000_000

    asyncio.run(check())


# Guards against a bound that refuses what the users' pages allow.
@pytest.mark.parametrize('route_count', [0, 3_000])
def test_a_legal_request_alone_is_served(tmp_path, route_count):
    async def check():
        async with run_gateway(tmp_path, route_count) as gateway:
            address = gateway.settings['callers']
            fields = f'X: {"x" * (HEADER_BYTES - 2_048)}'
            line = 'POST /jobs/legal HTTP/1.1'
            body = bytes(BODY_BYTES)
            assert await ask(address, line, body, fields) == 200
            gateway.check_bounds()

    asyncio.run(check())


# Guards against a refusal that is no promise, and against the rest of a body
# that is taken for a request.
@pytest.mark.parametrize('behave', [complete, short_body])
def test_what_a_crowd_is_refused_was_not_run(tmp_path, behave):
    async def check():
        statuses = {}

        async def note(client, number):
            await behave(client, number)
            statuses[f'c{number}'] = await client.read_status()

        async with run_gateway(tmp_path) as gateway:
            address = gateway.settings['callers']
            async with crowd(address, CLIENTS, note, hold_s=4.0):
                await answer_ordinary(gateway)
            gateway.check_bounds()
            refused = {c for c, status in statuses.items() if status == 503}
            assert not refused & set(gateway.runs)
            assert len(set(gateway.runs)) == len(gateway.runs)

    asyncio.run(check())
