"""Entries follow a store that comes back from an older copy of itself."""

import asyncio
import random

import pytest

from alliance.store import AllianceStore
from tests.platform.restorable_store import RestorableStore
from tests.platform.standin import Standin
from wigeonmill.clock import Clock
from wigeonmill.gateway.freshness import Freshness
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.sync import MirrorSync
from wigeonmill.metrics import Metrics
from wigeonmill.providers.transfers import TransferLoop

TIMEOUT_S = 10.0


class OneEntry:
    """A fleet of a single entry."""

    def count(self):
        return 1

    def is_selected(self, key, count):
        return True


class Follower:
    """The mirror of one entry, which follows a store at an address."""

    def __init__(self, address):
        self.transfers = TransferLoop()
        self.mirror = Mirror()
        self.keys = AllianceStore(address, self.transfers)
        self._sync = MirrorSync(
            self.keys,
            self.mirror,
            Clock(),
            random.Random(1),
            Metrics(),
            lambda connected: None,
            Freshness(Clock()),
            OneEntry(),
        )

    def start(self):
        self._sync.start()

    def close(self):
        self._sync.close()
        self.transfers.close()

    def value(self, key):
        record = self.mirror.get(key)
        return record.value if record else None

    async def until(self, key, value):
        while self.value(key) != value:
            await asyncio.sleep(0.005)


def follow(check, names_era):
    async def run():
        store = RestorableStore(names_era)
        standin = Standin(store.answer)
        follower = Follower(standin.address)
        follower.start()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                await check(store, follower)
        finally:
            follower.close()
            await standin.close()

    asyncio.run(run())


async def lose_changes(store, follower, keeps_history=False):
    """Restore the store from a copy that lacks later changes."""
    store.put('op/config', b'first')
    store.put('servers/a', b'a')
    copy = store.copy()
    for number in range(30):
        store.put('servers/a', b'a%d' % number)
    store.put('op/config', b'second')
    await follower.until('op/config', b'second')
    store.restore(copy, keeps_history)


# Guards against CONFIG: a key that was taken away stayed valid, because the
# revision of the new desired state was lower than one before the restore.
@pytest.mark.parametrize('names_era', [True, False])
@pytest.mark.parametrize('keeps_history', [True, False])
@pytest.mark.parametrize('was_away', [True, False])
def test_a_state_with_a_reissued_revision_is_in_force(
    names_era, keeps_history, was_away
):
    async def check(store, follower):
        await lose_changes(store, follower, keeps_history)
        if was_away:
            store.away = True
            await asyncio.sleep(0.3)
            store.away = False
        store.put('op/config', b'second')
        await asyncio.sleep(0.3)
        store.put('op/config', b'third')
        await follower.until('op/config', b'third')

    follow(check, names_era)


# Guards against listing all records again and again after a restore.
@pytest.mark.parametrize('names_era', [True, False])
def test_a_restore_leads_to_one_listing(names_era):
    async def check(store, follower):
        await lose_changes(store, follower)
        store.calls.clear()
        store.put('op/config', b'third')
        await follower.until('op/config', b'third')
        await asyncio.sleep(0.5)
        assert sum(path.endswith('kv-range') for path in store.calls) == 1

    follow(check, names_era)


def test_a_restore_is_seen_once_the_revisions_have_caught_up():
    async def check(store, follower):
        await lose_changes(store, follower, keeps_history=True)
        store.put('op/config', b'third')
        for number in range(60):
            store.put('servers/b', b'b%d' % number)
        await follower.until('op/config', b'third')

    follow(check, names_era=True)


@pytest.mark.parametrize('names_era', [True, False])
def test_writes_after_a_restore_follow_those_before(names_era):
    async def check(store, follower):
        before = await follower.keys.compare_and_swap('k', 0, b'x')
        copy = (1, {})
        await lose_changes(store, follower)
        store.restore(copy)
        store.put('op/config', b'third')
        await follower.until('op/config', b'third')
        after = await follower.keys.compare_and_swap('k', 0, b'y')
        assert after.unwrap() > before.unwrap()
        swapped = await follower.keys.compare_and_swap(
            'k', after.unwrap(), b'z'
        )
        assert swapped.unwrap() > after.unwrap()

    follow(check, names_era)
