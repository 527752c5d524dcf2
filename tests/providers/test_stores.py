"""Tests the clients of the stores and of the VM list on the stand-ins."""

import asyncio
from contextlib import asynccontextmanager

from wigeonmill.clock import Clock
from wigeonmill.providers.block_store import HttpBlockStore
from wigeonmill.providers.http import CancelHandle
from wigeonmill.providers.transfer import TransferErrorKind
from wigeonmill.providers.vm_list import HttpVmList
from wigeonmill.providers.vm_list import Vm
from wigeonmill.providers.vm_list import VmState
from wigeonmill.providers.weight_store import HttpWeightStore
from wigeonmill.standins.store_vm import start_store_vm
from wigeonmill.standins.store_vm import StoreVmOptions
from wigeonmill.standins.vm_list import start_vm_list
from wigeonmill.standins.vm_list import VmListOptions
from wigeonmill.standins.weight_store import start_weight_store
from wigeonmill.standins.weight_store import WeightStoreOptions

TIMEOUT_MS = 3000.0


@asynccontextmanager
async def open_store(**options):
    server = await start_store_vm(StoreVmOptions(**options))
    client = HttpBlockStore(server.address, Clock())
    try:
        yield client, server.state
    finally:
        client.close()
        await server.stop()


def test_blocks_spill_to_disk_until_the_store_is_full():
    async def check():
        async with open_store(memory_bytes=100, disk_bytes=100) as (client, _):
            for name in 'abcd':
                put = await client.put(name, b'x' * 50, TIMEOUT_MS)
                assert put.unwrap().size_bytes == 50
            full = await client.put('e', b'x', TIMEOUT_MS)
            assert full.unwrap_err().kind is TransferErrorKind.FULL
            fill = (await client.fill(TIMEOUT_MS)).unwrap()
            assert (fill.memory_bytes, fill.disk_bytes) == (100, 100)
            got = (await client.get('a', TIMEOUT_MS)).unwrap()
            assert got.data == b'x' * 50
            (await client.delete('a', TIMEOUT_MS)).unwrap()
            (await client.delete('a', TIMEOUT_MS)).unwrap()
            missing = await client.get('a', TIMEOUT_MS)
            assert missing.unwrap_err().kind is TransferErrorKind.NOT_FOUND

    asyncio.run(check())


def test_truncated_aborted_and_corrupted_transfers():
    async def check():
        async with open_store() as (client, state):
            state.faults.truncate_puts = 1
            (await client.put('a', b'whole!', TIMEOUT_MS)).unwrap()
            assert (await client.get('a', TIMEOUT_MS)).unwrap().data == b'who'
            state.faults.cut_gets = 1
            cut = await client.get('a', TIMEOUT_MS)
            assert cut.unwrap_err().kind is TransferErrorKind.BROKEN
            state.faults.alter_gets = 1
            altered = (await client.get('a', TIMEOUT_MS)).unwrap().data
            assert altered != b'who'
            assert len(altered) == 3

    asyncio.run(check())


def test_caller_cancels_a_slow_get():
    async def check():
        async with open_store() as (client, state):
            data = bytes(2_000_000)
            (await client.put('a', data, TIMEOUT_MS)).unwrap()
            state.faults.link_bytes_per_second = 1_000_000
            cancel = CancelHandle()
            seen: list[int] = []

            def progress(size):
                seen.append(size)
                if size > 60_000:
                    cancel.cancel()

            got = await client.get('a', TIMEOUT_MS, cancel, progress)
            assert got.unwrap_err().kind is TransferErrorKind.CANCELLED
            assert 60_000 < seen[-1] < 500_000
            state.faults.link_bytes_per_second = 0
            complete = (await client.get('a', TIMEOUT_MS)).unwrap()
            assert complete.transfer.size_bytes == len(data)

    asyncio.run(check())


def test_downloads_share_the_weight_stores_rate():
    async def check():
        server = await start_weight_store(
            WeightStoreOptions(100_000, bytes_per_second=1_000_000)
        )
        client = HttpWeightStore(server.address, TIMEOUT_MS, Clock())
        alone = (await client.download('m', 'v1')).unwrap()
        both = await asyncio.gather(
            client.download('m', 'v2'), client.download('m', 'v2')
        )
        slowest = max(got.unwrap().elapsed_ms for got in both)
        assert alone.size_bytes == 100_000
        assert alone.elapsed_ms >= 100.0
        assert slowest >= 200.0
        assert server.state.stats.max_concurrent == 2
        server.state.faults.cut_downloads = 1
        cut = await client.download('m', 'v2')
        assert cut.unwrap_err().kind is TransferErrorKind.BROKEN
        client.close()
        await server.stop()

    asyncio.run(check())


def test_vm_list_returns_changes_after_its_lag():
    async def check():
        vm = Vm('e1', '127.0.0.1', 'gasabo')
        server = await start_vm_list(VmListOptions([vm]))
        client = HttpVmList(server.address, TIMEOUT_MS, Clock())
        first = (await client.read(0, 0)).unwrap()
        assert first.vms == [vm]
        server.state.faults.lag_ms = 60.0
        leaving = Vm('e1', '127.0.0.1', 'gasabo', VmState.LEAVING)
        server.state.set_vm(leaving)
        same = (await client.read(first.revision, 0)).unwrap()
        assert same == first
        later = (await client.read(first.revision, 2000)).unwrap()
        assert later.vms == [leaving]
        server.state.faults.unavailable = True
        failed = await client.read(0, 0)
        assert failed.unwrap_err().kind is TransferErrorKind.UNAVAILABLE
        client.close()
        await server.stop()

    asyncio.run(check())
