"""Entries tell each other over real connections on loopback."""

import asyncio
import random

from tests.gateway.samples import make_engine_record
from wigeonmill.clock import Clock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.cache_news import CacheEventExchange
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.peers import Peers
from wigeonmill.gateway.store_view import CacheEvent
from wigeonmill.gateway.store_view import CacheEventBatch
from wigeonmill.gateway.store_view import CacheListing
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.handshake import InnerKeys

KEYS = InnerKeys((b'k' * 32,))
WAIT_S = 5.0


class CountingMirror(Mirror):
    """Counts how often its changes are asked for."""

    def __init__(self):
        super().__init__()
        self.asked = 0

    def changes_since(self, revision):
        self.asked += 1
        return super().changes_since(revision)


class Entry:
    """One entry's peers with its mirror and targets."""

    def __init__(self, name, addresses, keys=KEYS):
        clock = Clock()
        self.ctx = GatewayContext(
            clock, random.Random(1), Metrics(), RetryLimits(), lambda: 2
        )
        self.ctx.directory.take(make_engine_record('e0'))
        self.mirror = CountingMirror()
        self.view = followed_store(clock)
        self.peers = Peers(
            self.ctx,
            self.mirror,
            name,
            lambda: addresses,
            lambda: keys,
            CacheEventExchange(self),
            random.Random(2),
        )
        self.address = self.peers.listen('127.0.0.1:0')

    def views(self):
        return [self.view]

    def find(self, address):
        return self.view if address == self.view.address else None

    @property
    def load(self):
        return self.ctx.directory.get('e0').load


def followed_store(clock):
    view = StoreView(clock, '127.0.0.1:1')
    view.apply_listing(CacheListing(1, 5, ()))
    return view


async def until(condition):
    async def poll():
        while not condition():
            await asyncio.sleep(0.01)

    await asyncio.wait_for(poll(), WAIT_S)


def with_entries(check, others, keys):
    async def run():
        addresses = []
        first = Entry('a', addresses)
        rest = [Entry(f'b{n}', [], keys) for n in range(others)]
        addresses.extend(entry.address for entry in rest)
        task = asyncio.ensure_future(first.peers.run())
        try:
            await check(first, *rest)
        finally:
            task.cancel()
            for entry in (first, *rest):
                entry.peers.close()

    asyncio.run(run())


def with_two(check, second_keys=KEYS):
    with_entries(check, 1, second_keys)


def test_an_entry_the_service_turns_away_hears_changes_from_another():
    async def check(first, second):
        second.mirror.apply([Record('op/config', 7, b'new')])
        second.mirror.advance(7)
        await until(lambda: first.mirror.complete == 7)
        assert first.mirror.get('op/config').value == b'new'

    with_two(check)


def test_an_entry_hears_from_another_what_a_cache_store_holds():
    async def check(first, second):
        clock = second.ctx.clock
        event = CacheEvent(True, 's', 'p', 640)
        news = CacheEventBatch(1, 9, False, 77_000, (event,))
        second.view.apply_events(news, clock.now_ms())
        await until(lambda: first.view.available_tokens('s', 'p') == 640)
        assert first.view.next == 9
        assert first.view.fetch_until_ms == second.view.fetch_until_ms

    with_two(check)


def test_open_work_is_told_and_ends():
    async def check(first, second):
        send = first.load.open(12_000, 9_000, 1)
        await until(lambda: second.load.runs() == 1)
        assert second.load.memory_lacking(0, 1, 10_000) == 2_000
        assert second.load.memory_lacking(0, 0, 10_000) < 0
        first.load.close(send)
        await until(lambda: second.load.runs() == 0)

    with_two(check)


def test_losses_of_targets_are_told():
    async def check(first, second):
        second.ctx.crash_guard.record(b'print', 'q1 e0')
        await until(lambda: first.ctx.crash_guard.count(b'print') == 1)

    with_two(check)


def test_an_entry_without_the_key_is_kept_out():
    async def check(first, second):
        second.ctx.crash_guard.record(b'print', 'q1 e0')
        failed = first.ctx.metrics.value
        await until(lambda: failed('entry_news_failed', 'unreachable') > 0)
        assert first.ctx.crash_guard.count(b'print') == 0

    with_two(check, InnerKeys((b'x' * 32,)))


def test_many_losses_of_targets_take_little_of_a_link():
    """Eight engines ended at once; every message told of every loss."""

    async def check(first, second):
        told = []
        compose = second.peers._add_losses

        def add_losses(news, known):
            last = compose(news, known)
            told.extend(loss.loss for loss in news.losses)
            return last

        second.peers._add_losses = add_losses
        for number in range(300):
            second.ctx.crash_guard.record(b'print', f'q{number} e0')
        await until(lambda: first.ctx.crash_guard.count(b'print') == 300)
        await asyncio.sleep(0.5)
        assert len(told) == 300

    with_two(check)


def test_a_change_is_asked_of_one_entry_at_a_time():
    """A large configuration from six entries at once fills a small link."""

    async def check(first, *others):
        for other in others:
            other.mirror.apply([Record('op/config', 7, b'c' * 60_000)])
            other.mirror.advance(7)
        await until(lambda: first.mirror.complete == 7)
        await asyncio.sleep(0.5)
        assert sum(other.mirror.asked for other in others) == 1

    with_entries(check, 5, KEYS)
