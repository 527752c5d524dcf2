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
POST = 'POST /work/crowd HTTP/1.1'
CHUNKED = 'Transfer-Encoding: chunked'
# The clients of a crowd on connections, more than there are descriptors.
CONNECTIONS = MAX_FDS + 100
# A log that bears one line for each connection.
LOG_BYTES = 1_000 * CONNECTIONS


def length(size):
    return f'Content-Length: {size}'


async def silent(client, number):
    await asyncio.sleep(HANG_S)


async def begun_head(client, number):
    await client.send(b'POST /work/x HTT')
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


# Guards against a bound that refuses what the users' pages allow.
@pytest.mark.parametrize('route_count', [0, 3_000])
def test_a_legal_request_alone_is_served(tmp_path, route_count):
    async def check():
        async with run_gateway(tmp_path, route_count) as gateway:
            address = gateway.settings['callers']
            fields = f'X: {"x" * (HEADER_BYTES - 2_048)}'
            line = 'POST /work/legal HTTP/1.1'
            body = bytes(BODY_BYTES)
            assert await ask(address, line, body, fields) == 200
            gateway.check_bounds()

    asyncio.run(check())
