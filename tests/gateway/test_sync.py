"""The mirror stays synchronized despite failures of the service."""

import asyncio
import random
import time

import pytest
from result import Err
from result import Ok

from tests.gateway.samples import MODEL
from wigeonmill.clock import Clock
from wigeonmill.gateway.context import DesiredConfig
from wigeonmill.gateway.freshness import Freshness
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.sync import Changes
from wigeonmill.gateway.sync import MirrorSync
from wigeonmill.gateway.sync import WAITED_MS
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind

TIMEOUT_S = 5.0


class FakeSource:
    """Stores records; fails and compacts its history on demand."""

    def __init__(self):
        self.records = {}
        self.revision = 1
        self.error = None
        self.oldest_revision = 0
        self.listings = 0
        self.fresh_watches = []

    def put(self, key, value):
        self.revision += 1
        self.records[key] = Record(key, self.revision, value)

    async def listing(self):
        self.listings += 1
        if self.error:
            return Err(self.error)
        present = [r for r in self.records.values() if r.value is not None]
        return Ok(Changes(tuple(present), self.revision))

    async def changes(self, after, wait_ms, fresh):
        self.fresh_watches.append(fresh)
        for _attempt in range(20):
            if self.error:
                return Err(self.error)
            if after < self.oldest_revision:
                return Err(KvError(KvErrorKind.INVALID, 'compacted'))
            later = [r for r in self.records.values() if r.revision > after]
            if later or fresh:
                return Ok(Changes(tuple(later), self.revision))
            await asyncio.sleep(0.005)
        return Ok(Changes((), self.revision))


class OneEntry:
    """A fleet of a single entry."""

    def count(self):
        return 1

    def is_selected(self, key, count):
        return True


def with_sync(check, error=None):
    async def run():
        source = FakeSource()
        source.error = error
        mirror = Mirror()
        states = []
        sync = MirrorSync(
            source,
            mirror,
            Clock(),
            random.Random(1),
            Metrics(),
            states.append,
            Freshness(Clock()),
            OneEntry(),
        )
        sync.start()
        try:
            await asyncio.wait_for(check(source, mirror, states), TIMEOUT_S)
        finally:
            sync.close()

    asyncio.run(run())


async def until(condition):
    while not condition():
        await asyncio.sleep(0.005)


def value(mirror, key):
    record = mirror.get(key)
    return record.value if record else None


def test_changes_are_watched_after_the_listing():
    async def check(source, mirror, states):
        source.put('op/a', b'1')
        await until(lambda: value(mirror, 'op/a') == b'1')
        source.put('op/a', b'2')
        await until(lambda: value(mirror, 'op/a') == b'2')
        assert source.listings == 1
        assert states == [True]

    with_sync(check)


def test_the_first_watch_after_an_outage_uses_a_new_connection():
    """An existing connection may stay silent although the service is back."""

    async def check(source, mirror, states):
        await until(lambda: states == [True])
        source.error = KvError(KvErrorKind.UNAVAILABLE, 'down')
        await until(lambda: states == [True, False])
        source.fresh_watches.clear()
        source.put('op/a', b'1')
        source.error = None
        await until(lambda: value(mirror, 'op/a') == b'1')
        assert source.fresh_watches[0]
        assert states == [True, False, True]
        assert source.listings == 1

    with_sync(check)


def test_a_compacted_history_leads_to_a_new_listing_with_removals():
    async def check(source, mirror, states):
        source.put('op/a', b'1')
        await until(lambda: value(mirror, 'op/a') == b'1')
        source.put('op/a', None)
        source.put('op/b', b'2')
        source.oldest_revision = source.revision + 1
        await until(lambda: value(mirror, 'op/b') == b'2')
        source.oldest_revision = 0
        await until(lambda: value(mirror, 'op/a') is None)

    with_sync(check)


FROZEN_MS = 5_000.0
STOPPED_MS = 800.0
OUTAGE_MS = 1_200.0


class SuspendedClock(Clock):
    """The clock of a process that was suspended for `suspended_ms`."""

    def __init__(self):
        self.suspended_ms = 0.0

    def boot_ms(self):
        return super().boot_ms() + self.suspended_ms

    def suspend(self):
        self.suspended_ms += FROZEN_MS


class FrozenReader(FakeSource):
    """The process is frozen while its first watch waits for a change."""

    def __init__(self, freeze):
        super().__init__()
        self.freeze = freeze

    async def changes(self, after, wait_ms, fresh):
        if not self.records:
            await asyncio.sleep(0.1)
            self.put('op/a', b'2')
            self.freeze()
        return await super().changes(after, wait_ms, fresh)


class EmptyReplyReader(FrozenReader):
    """The reply that waits to be read has no changes; then there is one."""

    async def changes(self, after, wait_ms, fresh):
        if self.records:
            return await super().changes(after, wait_ms, fresh)
        await asyncio.sleep(0.1)
        reply = Ok(Changes((), self.revision))
        self.freeze()
        self.put('op/a', b'2')
        return reply


class SlowSource(FakeSource):
    """A service whose replies all take longer than a watch that waited."""

    async def changes(self, after, wait_ms, fresh):
        await asyncio.sleep(2 * WAITED_MS / 1000.0)
        return await super().changes(after, wait_ms, fresh)


class FrozenBetweenWatches(SlowSource):
    """The process is frozen in the pause after a watch with changes."""

    def __init__(self, freeze):
        super().__init__()
        self.freeze = freeze

    async def changes(self, after, wait_ms, fresh):
        if not self.records:
            self.put('op/b', b'1')
            asyncio.get_running_loop().call_later(0.001, self.thaw)
            return Ok(Changes(tuple(self.records.values()), self.revision))
        return await super().changes(after, wait_ms, fresh)

    def thaw(self):
        self.freeze()
        self.put('op/a', b'2')


class OutOfReachSource(SlowSource):
    """The service turns the entry away for a time, then has a change."""

    async def changes(self, after, wait_ms, fresh):
        if not self.records:
            loop = asyncio.get_running_loop()
            self.error = KvError(KvErrorKind.UNAVAILABLE, 'down')
            self.put('op/a', b'2')
            loop.call_later(OUTAGE_MS / 1000.0, self.recover)
        return await super().changes(after, wait_ms, fresh)

    def recover(self):
        self.error = None


def age_of_learned_version(source, clock):
    """Return how old a weight version in `source` is taken to be."""
    mirror = Mirror()
    freshness = Freshness(clock)
    desired = DesiredConfig(clock, freshness, 10_000.0, 3_000.0, 0.0)
    mirror.subscribe(
        lambda record: (
            record.key == 'op/a' and desired.set_weight_version(MODEL, 2)
        )
    )
    sync = MirrorSync(
        source,
        mirror,
        clock,
        random.Random(1),
        Metrics(),
        lambda connected: None,
        freshness,
        OneEntry(),
    )

    async def run():
        sync.start()
        try:
            learned = until(lambda: desired.weight_version(MODEL) == 2)
            await asyncio.wait_for(learned, TIMEOUT_S)
        finally:
            sync.close()

    asyncio.run(run())
    return desired.weight_version_age_ms(MODEL)


# Guards against VERSION: an entry frozen in a watch takes a version that was
# named meanwhile to be new, and gives old weights their whole time again.
def test_a_change_read_after_a_freeze_may_be_as_old_as_the_freeze():
    clock = SuspendedClock()
    source = FrozenReader(clock.suspend)
    assert age_of_learned_version(source, clock) >= FROZEN_MS


# Guards against VERSION: an entry frozen while its clocks go on, as a stopped
# process is, takes a version that was named meanwhile to be new.
def test_a_change_read_after_a_stop_may_be_as_old_as_the_stop():
    source = FrozenReader(lambda: time.sleep(STOPPED_MS / 1000.0))
    assert age_of_learned_version(source, Clock()) >= STOPPED_MS


# Guards against VERSION: an empty reply that is read after a freeze makes a
# version that was named during the freeze new.
def test_a_change_after_an_empty_reply_may_be_as_old_as_the_freeze():
    clock = SuspendedClock()
    source = EmptyReplyReader(clock.suspend)
    assert age_of_learned_version(source, clock) >= FROZEN_MS


# Guards against VERSION: a slow reply to the first watch after a freeze makes
# a version that was named during the freeze new.
def test_a_slow_reply_after_a_freeze_may_be_as_old_as_the_freeze():
    clock = SuspendedClock()
    source = FrozenBetweenWatches(clock.suspend)
    assert age_of_learned_version(source, clock) >= FROZEN_MS


# Guards against VERSION: a slow reply to the first watch after an outage makes
# a version that was named during the outage new.
def test_a_slow_reply_after_an_outage_may_be_as_old_as_the_outage():
    assert age_of_learned_version(OutOfReachSource(), Clock()) >= OUTAGE_MS


# Guards against refusals without need: an entry that starts in an outage
# drops targets whose records expired as gone, without the time to register.
def test_a_start_in_an_outage_is_known_as_one():
    async def check(source, mirror, states):
        await until(lambda: source.listings >= 2)
        source.error = None
        await until(lambda: states and states[-1])
        assert states == [False, True]

    with_sync(check, error=KvError(KvErrorKind.UNAVAILABLE, 'down'))


# Guards against TWICE: a listing that continued an earlier one lacks changes
# that its first pages came before, but counted as made after the call.
@pytest.mark.parametrize('age_ms', [0.0, 60_000.0])
def test_a_copy_is_current_only_to_the_begin_of_its_listing(age_ms):
    class Source(FakeSource):
        async def listing(self):
            found = (await super().listing()).unwrap()
            return Ok(Changes(found.records, found.revision, age_ms))

        async def changes(self, after, wait_ms, fresh):
            await asyncio.sleep(0.001)
            return Err(KvError(KvErrorKind.UNAVAILABLE, 'status 503'))

    async def run():
        clock = Clock()
        freshness = Freshness(clock)
        mirror = Mirror()
        sync = MirrorSync(
            Source(),
            mirror,
            clock,
            random.Random(1),
            Metrics(),
            lambda connected: None,
            freshness,
            OneEntry(),
        )
        before_ms = clock.boot_ms()
        sync.start()
        try:
            async with asyncio.timeout(TIMEOUT_S):
                while not mirror.complete:
                    await asyncio.sleep(0.001)
            assert await sync.confirm(before_ms, 50.0) == (age_ms == 0.0)
            assert freshness.age_ms >= age_ms
        finally:
            sync.close()

    asyncio.run(run())
