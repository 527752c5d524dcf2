"""Parts are freed once no engine can use them any more."""

import asyncio
import random

from result import Ok

from tests.gateway.samples import make_engine_record
from tests.gateway.samples import MODEL
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.cache_cleaner import CacheCleaner
from wigeonmill.gateway.cache_cleaner import SETTLE_MS
from wigeonmill.gateway.cache_salt import cache_salt
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.store_view import CacheEvent
from wigeonmill.gateway.store_view import CacheListing
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.metrics import Metrics

OLD = cache_salt(MODEL, 1, None)
NEW = cache_salt(MODEL, 2, None)
STORE = '127.0.0.1:1'


class Leader:
    leads = True


class Watch:
    def __init__(self, clock):
        self.only = StoreView(clock, STORE)
        parts = [CacheEvent(True, salt, 'p', 640) for salt in (OLD, NEW)]
        self.only.apply_listing(CacheListing(3, 1, tuple(parts)))
        self.specs = {STORE: None}

    def view(self, address):
        return self.only


class Stores:
    def __init__(self):
        self.freed = []

    async def free(self, address, parts, boot):
        self.freed += [(part, boot) for part in parts]
        return Ok(None)


class World:
    def __init__(self):
        self.clock = ManualClock()
        self.ctx = GatewayContext(
            self.clock, random.Random(1), Metrics(), RetryLimits(), lambda: 1
        )
        self.ctx.wanted.want_weights(MODEL, 2)
        self.stores = Stores()
        self.leader = Leader()
        self.cleaner = CacheCleaner(
            self.ctx, self.leader, self.stores, Watch(self.clock)
        )

    def run_for(self, time_ms):
        for _turn in range(int(time_ms / 500)):
            asyncio.run(self.cleaner.step())
            self.clock.advance(500)


def test_parts_of_replaced_weights_are_freed_after_every_fetch_has_ended():
    world = World()
    world.ctx.directory.take(make_engine_record('e0', version=2))
    world.run_for(SETTLE_MS)
    assert world.stores.freed == []
    world.run_for(1_000)
    assert set(world.stores.freed) == {((OLD, 'p'), 3)}


def test_nothing_is_freed_while_one_engine_may_use_it():
    world = World()
    world.ctx.directory.take(make_engine_record('e0', version=2))
    world.ctx.directory.take(make_engine_record('e1', version=1))
    world.run_for(SETTLE_MS * 3)
    assert world.stores.freed == []


def test_an_engine_that_comes_back_with_older_weights_stops_the_freeing():
    world = World()
    world.ctx.directory.take(make_engine_record('e0', version=2))
    world.run_for(SETTLE_MS / 2)
    world.ctx.directory.take(make_engine_record('e1', version=1))
    world.run_for(SETTLE_MS * 2)
    assert world.stores.freed == []


def test_only_the_leader_frees():
    world = World()
    world.leader.leads = False
    world.ctx.directory.take(make_engine_record('e0', version=2))
    world.run_for(SETTLE_MS * 3)
    assert world.stores.freed == []
