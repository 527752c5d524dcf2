"""Only a few entries of a large fleet poll each cache store."""

import asyncio
from dataclasses import replace

import pytest
from result import Err
from result import Ok

from tests.providers.held_transfers import HeldTransfers
from tests.providers.test_fetch import CALL
from wigeonmill.clock import Clock
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.desired import CacheStoreSpec
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import ENTRY_PREFIX
from wigeonmill.gateway.registration import EntryList
from wigeonmill.gateway.store_view import CacheEvent
from wigeonmill.gateway.store_view import CacheEventBatch
from wigeonmill.gateway.store_view import CacheListing
from wigeonmill.gateway.store_view import PeerEventBatch
from wigeonmill.gateway.store_watch import MAX_LISTINGS
from wigeonmill.gateway.store_watch import POLL_WAIT_MS
from wigeonmill.gateway.store_watch import POLLERS_PER_STORE
from wigeonmill.gateway.store_watch import STALE_VIEW_MS
from wigeonmill.gateway.store_watch import StoreWatch
from wigeonmill.metrics import Metrics
from wigeonmill.providers.fetch import fetch
from wigeonmill.providers.fetch import FetchError

ENTRIES = 27
STORE = '127.0.0.1:9'
SPEC = CacheStoreSpec('keep', STORE, 'fd', 1_000_000, 1_000.0, 1.0, 12, True)


class CountingStore:
    """A store without events that counts its polls."""

    def __init__(self):
        self.polls = 0

    async def poll_events(self, address, since, wait_ms):
        self.polls += 1
        await asyncio.sleep(0)
        return Ok(CacheEventBatch(1, 1, False, 1_000, ()))

    async def listing(self, address):
        return Ok(CacheListing(1, 1, ()))


def make_entry_lists():
    lists = [EntryList(ManualClock(), f'e{n}', 1) for n in range(ENTRIES)]
    for entry_list in lists:
        for n in range(ENTRIES):
            value = b'{"address": "127.0.0.1:1"}'
            entry_list.update(Record(f'{ENTRY_PREFIX}e{n}', n + 1, value))
    return lists


def test_a_few_of_many_entries_poll_a_store():
    lists = make_entry_lists()
    pollers = [each.is_selected(STORE, POLLERS_PER_STORE) for each in lists]
    assert pollers.count(True) == POLLERS_PER_STORE


def test_pollers_that_stop_are_replaced():
    lists = make_entry_lists()
    pollers = {
        f'e{n}' for n in range(ENTRIES) if lists[n].is_selected(STORE, 3)
    }
    others = [n for n in range(ENTRIES) if f'e{n}' not in pollers]
    for n in others:
        for stopped in pollers:
            lists[n].update(Record(ENTRY_PREFIX + stopped, 99, None))
    assert (
        sum(lists[n].is_selected(STORE, POLLERS_PER_STORE) for n in others)
        == POLLERS_PER_STORE
    )


def count_polls(is_poller, gets_updates):
    async def run():
        stores = CountingStore()
        watch = StoreWatch(
            stores, Clock(), Metrics(), lambda key, count: is_poller
        )
        watch.set_stores([SPEC])
        for _round in range(20):
            await asyncio.sleep(0.1)
            if gets_updates:
                batch = PeerEventBatch(1, 1, 1_000, 0.0, ())
                view = watch.view(STORE)
                view.apply_peer_events(batch, Clock().now_ms())
        watch.close()
        return stores.polls

    return asyncio.run(run())


def test_an_entry_with_recent_updates_does_not_poll():
    # The first poll after the listing gets the first events.
    assert count_polls(is_poller=False, gets_updates=True) <= 1


def test_an_entry_without_updates_polls_when_its_view_is_stale():
    polls = count_polls(is_poller=False, gets_updates=False)
    assert 2 <= polls <= 2 + 2_000 / STALE_VIEW_MS


def test_a_designated_poller_polls_continuously():
    assert count_polls(is_poller=True, gets_updates=True) > 10


class SlowStores:
    """Stores that take a while to list, and note the calls."""

    def __init__(self):
        self.listing_now = 0
        self.most_at_once = 0
        self.calls = []

    async def poll_events(self, address, since, wait_ms):
        self.calls.append((address, 'poll', since))
        await asyncio.sleep(wait_ms / 1000.0)
        return Ok(CacheEventBatch(1, since, False, 1_000, ()))

    async def listing(self, address):
        self.calls.append((address, 'list', None))
        self.listing_now += 1
        self.most_at_once = max(self.most_at_once, self.listing_now)
        await asyncio.sleep(0.02)
        self.listing_now -= 1
        return Ok(CacheListing(1, 7, ()))


# Guards against an entry whose first requests wait behind the contents of all
# stores on a slow link.
def test_an_entry_that_starts_lists_many_stores_a_few_at_a_time():
    specs = [replace(SPEC, address=f'127.0.0.1:{n}') for n in range(1, 15)]

    async def run():
        stores = SlowStores()
        watch = StoreWatch(stores, Clock(), Metrics(), lambda *_args: True)
        watch.set_stores(specs)
        async with asyncio.timeout(5.0):
            while len({call[0] for call in stores.calls}) < len(specs):
                await asyncio.sleep(0.01)
        watch.close()
        return stores

    stores = asyncio.run(run())
    assert stores.most_at_once <= MAX_LISTINGS
    first = {}
    for address, kind, since in stores.calls:
        assert since in (None, 7)
        first.setdefault(address, kind)
    assert set(first.values()) == {'list'}


class HeldStore:
    """A store whose polls, or listings, end when a test says so."""

    def __init__(self, holds_listings):
        self.transfers = HeldTransfers()
        self.holds_listings = holds_listings

    async def poll_events(self, address, since, wait_ms):
        return await fetch(self.transfers, CALL, 1_000.0)

    async def listing(self, address):
        if self.holds_listings:
            return await fetch(self.transfers, CALL, 1_000.0)
        return Ok(CacheListing(1, 1, ()))


# Guards against a store that is polled for good after it was removed: its
# task dropped the cancellation that came as a call ended.
@pytest.mark.parametrize('holds_listings', [False, True])
def test_a_store_that_is_removed_as_a_call_ends_is_not_called_again(
    monkeypatch, holds_listings
):
    for name in ('FAILED_PAUSE_MS', 'LISTING_PAUSE_MS', 'POLL_PAUSE_MS'):
        monkeypatch.setattr(f'wigeonmill.gateway.store_watch.{name}', 1.0)

    async def run():
        stores = HeldStore(holds_listings)
        watch = StoreWatch(stores, Clock(), Metrics(), lambda *_args: True)
        watch.set_stores([SPEC])
        async with asyncio.timeout(5.0):
            while not stores.transfers.started:
                await asyncio.sleep(0.001)
        stores.transfers.end_all()
        watch.set_stores([])
        await asyncio.sleep(0.05)
        return len(stores.transfers.started)

    assert asyncio.run(run()) == 1


class PartlyDownStores(SlowStores):
    """Stores of which some accept connections and never answer."""

    def __init__(self, down):
        super().__init__()
        self.down = down

    async def listing(self, address):
        if address in self.down:
            await asyncio.sleep(0.2)
            return Err(FetchError('no answer', sent=True))
        return await super().listing(address)


def test_stores_that_are_down_hold_up_no_later_listing(monkeypatch):
    monkeypatch.setattr('wigeonmill.gateway.store_watch.FAILED_PAUSE_MS', 1.0)
    down = [replace(SPEC, address=f'127.0.0.2:{n}') for n in range(1, 8)]

    async def run():
        stores = PartlyDownStores({spec.address for spec in down})
        watch = StoreWatch(stores, Clock(), Metrics(), lambda *_args: True)
        watch.set_stores(down)
        # Each has failed once by then.
        await asyncio.sleep(1.0)
        started_at = asyncio.get_running_loop().time()
        watch.set_stores([*down, SPEC])
        async with asyncio.timeout(5.0):
            while watch.view(STORE).boot is None:
                await asyncio.sleep(0.005)
        took_s = asyncio.get_running_loop().time() - started_at
        watch.close()
        return took_s

    # Less than one of the stores that are down takes.
    assert asyncio.run(run()) < 0.2


class FullStore:
    """A store that holds a few polls at once and refuses further ones."""

    def __init__(self, max_polls):
        self.max_polls = max_polls
        self.polls_now = 0
        self.refused = 0

    async def poll_events(self, address, since, wait_ms):
        if self.polls_now >= self.max_polls:
            self.refused += 1
            return Err(FetchError('status 429', sent=True))
        if wait_ms:
            self.polls_now += 1
            await asyncio.sleep(wait_ms / 1000.0)
            self.polls_now -= 1
        return Ok(CacheEventBatch(1, since, False, 1_000, ()))

    async def listing(self, address):
        part = CacheEvent(True, '', 'p1', 100)
        return Ok(CacheListing(1, 7, (part,)))


# Load: all entries start together and want to fetch from every store at once,
# of which each holds as many polls as the few entries that poll it need.
def test_all_entries_that_start_together_may_fetch_after_their_first_poll():
    lists = make_entry_lists()

    async def run():
        store = FullStore(SPEC.max_event_polls)
        watches = [
            StoreWatch(store, Clock(), Metrics(), each.is_selected)
            for each in lists
        ]
        for watch in watches:
            watch.set_stores([SPEC])
        # Less than one poll that waits for events takes.
        async with asyncio.timeout(POLL_WAIT_MS / 1000.0):
            while not all(
                watch.view(STORE).available_tokens('', 'p1')
                for watch in watches
            ):
                await asyncio.sleep(0.005)
        for watch in watches:
            watch.close()
        return store

    assert asyncio.run(run()).refused == 0
