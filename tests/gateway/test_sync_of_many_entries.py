"""A few readers watch the key-value service for a large fleet."""

import asyncio
import random

import pytest
from result import Err
from result import Ok

from tests.virtual_time import run_virtual
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.freshness import Freshness
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.sync import Changes
from wigeonmill.gateway.sync import MirrorSync
from wigeonmill.gateway.sync import READERS
from wigeonmill.gateway.sync import STALE_COPY_MS
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind

NETWORK_S = 0.004
UPDATE_INTERVAL_S = 0.2
KEY = 'op/config'
# The shortest time that the platform allows large fleets for a change.
CHANGE_BOUND_MS = 3_000.0


class Service:
    """The key-value service, with a change counter per entry."""

    def __init__(self):
        self.records = {}
        self.revision = 1
        self.changed = asyncio.Event()
        self.calls = 0

    def put(self, key, value):
        self.revision += 1
        self.records[key] = Record(key, self.revision, value)
        self.changed.set()
        self.changed = asyncio.Event()


class Entry:
    """One entry; it may be frozen, or rejected by the service."""

    def __init__(self, fleet, number):
        self._fleet = fleet
        self._number = number
        self.frozen = False
        self.rejected = False
        self.freshness = Freshness(fleet.clock)
        self.mirror = Mirror()
        self.sync = MirrorSync(
            self,
            self.mirror,
            fleet.clock,
            random.Random(number),
            Metrics(),
            lambda _connected: None,
            self.freshness,
            self,
        )

    @property
    def is_reader(self):
        return self._number < READERS

    def count(self):
        return len(self._fleet.entries)

    def is_selected(self, key, count):
        return self.is_reader

    async def listing(self):
        return await self._call(0, 0)

    async def changes(self, after, wait_ms, fresh):
        return await self._call(after, wait_ms)

    async def gossip(self):
        """Ask a random peer for what it knows, as `Peers` does."""
        while True:
            await asyncio.sleep(UPDATE_INTERVAL_S)
            peer = self._fleet.rng.choice(self._fleet.entries)
            if peer is self or self.frozen or peer.frozen:
                continue
            complete, age_ms = peer.mirror.complete, peer.freshness.age_ms
            records, records_to = peer.mirror.changes_since(
                self.mirror.complete
            )
            await asyncio.sleep(NETWORK_S)
            if records_to > self.mirror.complete:
                self.mirror.merge(records, records_to)
            if self.mirror.complete >= complete:
                self.freshness.confirm(age_ms + NETWORK_S * 1_000.0)

    async def _call(self, after, wait_ms):
        service = self._fleet.service
        service.calls += 1
        await asyncio.sleep(NETWORK_S)
        while self.frozen:
            await asyncio.sleep(0.05)
        if self.rejected:
            return Err(KvError(KvErrorKind.UNAVAILABLE, 'status 503'))
        if service.revision <= after:
            try:
                waiting = service.changed.wait()
                await asyncio.wait_for(waiting, wait_ms / 1_000.0)
            except asyncio.TimeoutError:
                pass
        while self.frozen:
            await asyncio.sleep(0.05)
        later = [r for r in service.records.values() if r.revision > after]
        return Ok(Changes(tuple(later), service.revision))


class Fleet:
    """Entries that watch one service and exchange updates."""

    def __init__(self, count):
        self.clock = ManualClock(1_000_000.0)
        self.rng = random.Random(count)
        self.service = Service()
        self.entries = []
        self.entries += [Entry(self, number) for number in range(count)]

    def play(self, scenario):
        run_virtual(self.clock, self._play(scenario))

    async def _play(self, scenario):
        for entry in self.entries:
            entry.sync.start()
            asyncio.ensure_future(entry.gossip())
        await asyncio.sleep(5.0)
        await scenario()

    async def time_to_reach(self, entries):
        """Change a record; return the time until all `entries` have it."""
        started_ms = self.clock.now_ms()
        self.service.put(KEY, b'new')
        revision = self.service.revision
        while any(e.mirror.complete < revision for e in entries):
            await asyncio.sleep(0.02)
            assert self.clock.now_ms() - started_ms < 60_000.0
        return self.clock.now_ms() - started_ms


@pytest.mark.parametrize('count', [27, 68, 420])
def test_the_calls_of_all_entries_do_not_grow_with_their_number(count):
    """Some record changes twice a second, as targets come and go."""
    fleet = Fleet(count)

    async def scenario():
        before = fleet.service.calls
        for _change in range(20):
            fleet.service.put('servers/t', b'x')
            await asyncio.sleep(0.5)
        # 68 entries made 178 calls a second; a third of that is the goal.
        assert (fleet.service.calls - before) / 10.0 <= 178.0 / 3.0

    fleet.play(scenario)


@pytest.mark.parametrize('count', [27, 68, 420])
def test_a_change_reaches_every_entry_within_the_bound(count):
    fleet = Fleet(count)

    async def scenario():
        for _change in range(3):
            took_ms = await fleet.time_to_reach(fleet.entries)
            assert took_ms <= CHANGE_BOUND_MS

    fleet.play(scenario)


@pytest.mark.parametrize('fault', ['frozen', 'rejected'])
@pytest.mark.parametrize('count', [27, 68, 420])
def test_a_change_reaches_every_entry_although_all_readers_are_lost(
    count, fault
):
    """The readers freeze, or the service turns them away."""
    fleet = Fleet(count)
    readers = [entry for entry in fleet.entries if entry.is_reader]

    async def scenario():
        for reader in readers:
            setattr(reader, fault, True)
        running = [e for e in fleet.entries if not e.frozen]
        took_ms = await fleet.time_to_reach(running)
        assert took_ms <= CHANGE_BOUND_MS
        for reader in readers:
            setattr(reader, fault, False)
        assert await fleet.time_to_reach(fleet.entries) <= CHANGE_BOUND_MS

    fleet.play(scenario)


def test_a_reader_that_lags_does_not_make_other_copies_look_fresh():
    """Its copy is old, and it says so."""
    fleet = Fleet(27)
    readers = [entry for entry in fleet.entries if entry.is_reader]

    async def scenario():
        for reader in readers:
            reader.rejected = True
        others = [e for e in fleet.entries if not e.is_reader]
        for entry in others:
            entry.rejected = True
        await asyncio.sleep(STALE_COPY_MS / 1_000.0 + 1.0)
        assert all(e.freshness.age_ms > STALE_COPY_MS for e in fleet.entries)

    fleet.play(scenario)
