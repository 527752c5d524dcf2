"""Load of a large fleet on the cache stores: few of the entries poll them."""

import asyncio

from result import Ok

from wigeonmill.clock import Clock
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.desired import CacheStoreSpec
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import ENTRY_PREFIX
from wigeonmill.gateway.registration import EntryList
from wigeonmill.gateway.store_view import CacheEventBatch
from wigeonmill.gateway.store_view import CacheListing
from wigeonmill.gateway.store_view import SharedNews
from wigeonmill.gateway.store_watch import READERS
from wigeonmill.gateway.store_watch import StoreWatch
from wigeonmill.gateway.store_watch import UNHEARD_MS
from wigeonmill.metrics import Metrics

ENTRIES = 27
STORE = '127.0.0.1:9'
SPEC = CacheStoreSpec('keep', STORE, 'fd', 1_000_000, 1_000.0, 1.0, 12, True)


class Stores:
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
            entry_list.take(Record(f'{ENTRY_PREFIX}e{n}', n + 1, value))
    return lists


def test_few_entries_of_many_read_a_store():
    lists = make_entry_lists()
    readers = [each.is_among(STORE, READERS) for each in lists]
    assert readers.count(True) == READERS


def test_readers_that_leave_are_replaced():
    lists = make_entry_lists()
    readers = {f'e{n}' for n in range(ENTRIES) if lists[n].is_among(STORE, 3)}
    others = [n for n in range(ENTRIES) if f'e{n}' not in readers]
    for n in others:
        for gone in readers:
            lists[n].take(Record(ENTRY_PREFIX + gone, 99, None))
    assert sum(lists[n].is_among(STORE, READERS) for n in others) == READERS


def polls_in_a_while(is_reader, hears):
    async def run():
        stores = Stores()
        watch = StoreWatch(
            stores, Clock(), Metrics(), lambda key, count: is_reader
        )
        watch.follow([SPEC])
        for _turn in range(20):
            await asyncio.sleep(0.1)
            if hears:
                news = SharedNews(1, 1, 1_000, 0.0, ())
                view = watch.view(STORE)
                view.take_shared(news, Clock().now_ms())
        watch.close()
        return stores.polls

    return asyncio.run(run())


def test_an_entry_that_hears_of_a_store_does_not_ask_it():
    # The first poll lists, the second one takes its first news.
    assert polls_in_a_while(is_reader=False, hears=True) <= 2


def test_an_entry_that_hears_nothing_asks_now_and_then():
    polls = polls_in_a_while(is_reader=False, hears=False)
    assert 2 <= polls <= 2 + 2_000 / UNHEARD_MS


def test_a_reader_asks_all_the_time():
    assert polls_in_a_while(is_reader=True, hears=True) > 10
