"""Runs the same tests on the in-memory store and on the etcd client."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from wigeonmill.clock import Clock
from wigeonmill.providers.etcd import EtcdKeyValue
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.providers.key_value import KvErrorKind
from wigeonmill.standins.key_value import KeyValueOptions
from wigeonmill.standins.key_value import start_key_value
from wigeonmill.standins.memory_key_value import HISTORY_EVENTS
from wigeonmill.standins.memory_key_value import KvFaults
from wigeonmill.standins.memory_key_value import MemoryKeyValue

TIMEOUT_MS = 2000
LEASE_SECOND_MS = 150


@asynccontextmanager
async def open_key_value(
    kind: str,
) -> AsyncIterator[tuple[KeyValue, MemoryKeyValue]]:
    if kind == 'memory':
        memory = MemoryKeyValue(Clock(), KvFaults())
        yield memory, memory
        return
    server = await start_key_value(KeyValueOptions(LEASE_SECOND_MS))
    client = EtcdKeyValue(server.address, TIMEOUT_MS, Clock())
    try:
        yield client, server.state.memory
    finally:
        client.close()
        await server.stop()


def error_kind(outcome):
    return outcome.unwrap_err().kind


@pytest.fixture(params=['memory', 'http'])
def kind(request):
    return request.param


def test_compare_and_swap(kind):
    async def check():
        async with open_key_value(kind) as (kv, _memory):
            first = (await kv.compare_and_swap('a/1', 0, b'\x00x')).unwrap()
            conflict = await kv.compare_and_swap('a/1', 0, b'y')
            assert error_kind(conflict) is KvErrorKind.CONFLICT
            second = (await kv.compare_and_swap('a/1', first, b'z')).unwrap()
            assert second > first
            (await kv.compare_and_swap('b/1', 0, b'')).unwrap()
            entry = (await kv.get('a/1')).unwrap()
            assert (entry.value, entry.version) == (b'z', second)
            stale = await kv.delete('a/1', first)
            assert error_kind(stale) is KvErrorKind.CONFLICT
            listed = (await kv.list_prefix('a/')).unwrap()
            assert [found.key for found in listed] == ['a/1']
            every = (await kv.list_prefix('')).unwrap()
            assert [found.key for found in every] == ['a/1', 'b/1']
            (await kv.delete('a/1', second)).unwrap()
            assert (await kv.get('a/1')).unwrap() is None

    asyncio.run(check())


def test_lost_reply_is_unknown_and_can_be_read_back(kind):
    async def check():
        async with open_key_value(kind) as (kv, memory):
            (await kv.compare_and_swap('warm', 0, b'1')).unwrap()
            memory.faults.lose_replies = 1
            lost = await kv.compare_and_swap('k', 0, b'token')
            assert error_kind(lost) is KvErrorKind.UNKNOWN
            assert (await kv.get('k')).unwrap().value == b'token'
            assert memory.calls['cas'] == 2
            memory.faults.lose_requests = 1
            lost = await kv.compare_and_swap('j', 0, b'token')
            assert error_kind(lost) is KvErrorKind.UNKNOWN
            assert (await kv.get('j')).unwrap() is None

    asyncio.run(check())


def test_outage_and_rate_limit_are_unavailable(kind):
    async def check():
        async with open_key_value(kind) as (kv, memory):
            memory.faults.outage = True
            refused = await kv.compare_and_swap('k', 0, b'1')
            assert error_kind(refused) is KvErrorKind.UNAVAILABLE
            memory.faults.outage = False
            memory.faults.writes_per_second = 1
            (await kv.compare_and_swap('k', 0, b'1')).unwrap()
            limited = await kv.compare_and_swap('j', 0, b'1')
            assert error_kind(limited) is KvErrorKind.UNAVAILABLE
            assert (await kv.get('j')).unwrap() is None

    asyncio.run(check())


def test_expired_lease_deletes_its_keys(kind):
    async def check():
        async with open_key_value(kind) as (kv, _memory):
            lease = (await kv.grant_lease(LEASE_SECOND_MS)).unwrap()
            (await kv.compare_and_swap('l', 0, b'1', lease)).unwrap()
            (await kv.keep_alive(lease)).unwrap()
            batch = (await kv.watch('l', 0, TIMEOUT_MS)).unwrap()
            assert batch.events[0].entry is None
            assert (await kv.get('l')).unwrap() is None
            expired = await kv.keep_alive(lease)
            assert error_kind(expired) is KvErrorKind.INVALID
            held = (await kv.grant_lease(60_000)).unwrap()
            (await kv.compare_and_swap('m', 0, b'1', held)).unwrap()
            (await kv.revoke_lease(held)).unwrap()
            assert (await kv.get('m')).unwrap() is None

    asyncio.run(check())


def test_watch_returns_changes_from_a_revision(kind):
    async def check():
        async with open_key_value(kind) as (kv, memory):
            empty = (await kv.watch('w/', 0, 0)).unwrap()
            assert empty.events == []
            pending_watch = asyncio.ensure_future(
                kv.watch('w/', empty.next_revision, TIMEOUT_MS)
            )
            await asyncio.sleep(0)
            (await kv.compare_and_swap('other', 0, b'1')).unwrap()
            (await kv.compare_and_swap('w/1', 0, b'1')).unwrap()
            batch = (await pending_watch).unwrap()
            assert [event.key for event in batch.events] == ['w/1']
            (await kv.compare_and_swap('w/2', 0, b'2')).unwrap()
            batch = (await kv.watch('w/', batch.next_revision, 500)).unwrap()
            assert batch.events[0].entry.value == b'2'
            assert memory.calls['watch'] == 3

    asyncio.run(check())


def test_watch_from_a_compacted_revision_is_invalid(kind):
    async def check():
        async with open_key_value(kind) as (kv, memory):
            for _ in range(HISTORY_EVENTS + 1):
                revision = memory.revision
                await memory.compare_and_swap('c', revision, b'')
            stale = await kv.watch('c', 1, 100)
            assert error_kind(stale) is KvErrorKind.INVALID

    asyncio.run(check())


def test_addresses_are_tried_in_order():
    async def check():
        server = await start_key_value(KeyValueOptions())
        stopped = await start_key_value(KeyValueOptions())
        await stopped.stop()
        both = f'{stopped.address},{server.address}'
        client = EtcdKeyValue(both, TIMEOUT_MS, Clock())
        (await client.compare_and_swap('k', 0, b'1')).unwrap()
        single = EtcdKeyValue(stopped.address, TIMEOUT_MS, Clock())
        refused = await single.compare_and_swap('k', 0, b'1')
        assert error_kind(refused) is KvErrorKind.UNAVAILABLE
        client.close()
        single.close()
        await server.stop()

    asyncio.run(check())


def test_timed_out_write_is_unknown():
    async def check():
        server = await start_key_value(KeyValueOptions())
        server.state.faults.delay_ms = 200.0
        client = EtcdKeyValue(server.address, 50, Clock())
        slow = await client.compare_and_swap('k', 0, b'1')
        assert error_kind(slow) is KvErrorKind.UNKNOWN
        client.close()
        await server.stop()

    asyncio.run(check())
