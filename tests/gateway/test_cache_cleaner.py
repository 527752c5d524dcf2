"""Cached parts are freed once no engine can use them any more."""

import asyncio
import random

import pytest
from result import Ok

from tests.gateway.samples import make_engine_record
from tests.gateway.samples import MODEL
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.cache_cleaner import CacheCleaner
from wigeonmill.gateway.cache_cleaner import GONE_OWNER_MS
from wigeonmill.gateway.cache_cleaner import SETTLE_TIME_MS
from wigeonmill.gateway.cache_salt import cache_salt
from wigeonmill.gateway.cache_salt import CacheOwners
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import CacheStoreSpec
from wigeonmill.gateway.desired import DesiredState
from wigeonmill.gateway.desired import Team
from wigeonmill.gateway.store_view import CacheEvent
from wigeonmill.gateway.store_view import CacheListing
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.metrics import Metrics

OWNER = CacheOwners().owner(None)
OLD_SALT = cache_salt(MODEL, 1, OWNER)
NEW_SALT = cache_salt(MODEL, 2, OWNER)
STORE = '127.0.0.1:1'


def make_store(tokens):
    return CacheStoreSpec('s', STORE, 'd0', tokens, 1_000.0, 0.0, 1, True)


class FakeLeader:
    is_leader = True


class FakeWatch:
    def __init__(self, clock):
        self.only = StoreView(clock, STORE)
        parts = [
            CacheEvent(True, salt, 'p', 640) for salt in (OLD_SALT, NEW_SALT)
        ]
        self.only.apply_listing(CacheListing(3, 1, tuple(parts)))
        self.specs = {STORE: None}

    def view(self, address):
        return self.only


class FakeStores:
    def __init__(self):
        self.freed = []

    async def free(self, address, parts, boot):
        self.freed += [(part, boot) for part in parts]
        return Ok(None)


class Harness:
    def __init__(self):
        self.clock = ManualClock()
        self.ctx = GatewayContext(
            self.clock, random.Random(1), Metrics(), RetryLimits(), lambda: 1
        )
        self.ctx.desired.set_weight_version(MODEL, 2)
        self.stores = FakeStores()
        self.leader = FakeLeader()
        self.watch = FakeWatch(self.clock)
        self.cleaner = CacheCleaner(
            self.ctx, self.leader, self.stores, self.watch
        )

    def run_for(self, time_ms):
        for _step in range(int(time_ms / 500)):
            asyncio.run(self.cleaner.step())
            self.clock.advance(500)


def test_replaced_parts_are_freed_after_the_settle_time():
    """Until then an engine may still fetch parts of its old weights."""
    harness = Harness()
    harness.ctx.directory.apply(make_engine_record('e0', version=2))
    harness.run_for(SETTLE_TIME_MS)
    assert harness.stores.freed == []
    harness.run_for(1_000)
    assert set(harness.stores.freed) == {((OLD_SALT, 'p'), 3)}


def test_no_part_is_freed_while_an_engine_has_its_weights():
    harness = Harness()
    harness.ctx.directory.apply(make_engine_record('e0', version=2))
    harness.ctx.directory.apply(make_engine_record('e1', version=1))
    harness.run_for(SETTLE_TIME_MS * 3)
    assert harness.stores.freed == []


def test_an_engine_that_returns_with_older_weights_stops_the_cleaning():
    harness = Harness()
    harness.ctx.directory.apply(make_engine_record('e0', version=2))
    harness.run_for(SETTLE_TIME_MS / 2)
    harness.ctx.directory.apply(make_engine_record('e1', version=1))
    harness.run_for(SETTLE_TIME_MS * 2)
    assert harness.stores.freed == []


def test_only_the_leader_frees_parts():
    harness = Harness()
    harness.leader.is_leader = False
    harness.ctx.directory.apply(make_engine_record('e0', version=2))
    harness.run_for(SETTLE_TIME_MS * 3)
    assert harness.stores.freed == []


# Guards against a store that fills up with parts that no request can use.
@pytest.mark.parametrize('fills_up', [True, False])
def test_parts_of_an_owner_that_is_gone_are_freed_when_room_is_short(fills_up):
    harness = Harness()
    tokens = 1_600 if fills_up else 2_000
    harness.watch.specs = {STORE: make_store(tokens)}
    harness.ctx.directory.apply(make_engine_record('e0', version=1))
    harness.ctx.desired.adopt(DesiredState(1, (), {}))
    harness.run_for(SETTLE_TIME_MS * 2)
    sharing = (Team('one', ()),)
    harness.ctx.desired.adopt(DesiredState(2, (), {}, teams=sharing))
    harness.run_for(GONE_OWNER_MS)
    assert harness.stores.freed == []
    harness.run_for(1_000)
    freed = {part for part, _boot in harness.stores.freed}
    assert freed == ({(OLD_SALT, 'p'), (NEW_SALT, 'p')} if fills_up else set())


def test_an_owner_that_returns_keeps_its_parts():
    harness = Harness()
    harness.watch.specs = {STORE: make_store(1_600)}
    for version in range(1, 20):
        teams = (Team('one', ()),) if version % 2 else ()
        harness.ctx.desired.adopt(DesiredState(version, (), {}, teams=teams))
        harness.run_for(GONE_OWNER_MS / 2)
    assert harness.stores.freed == []
