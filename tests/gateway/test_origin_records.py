"""Tests which streams can be taken up after the loss of all entries."""

import asyncio
import random

import msgspec
import pytest

from tests.gateway.samples import ENGINES
from tests.gateway.samples import make_engine_record
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.origin_exchange import SharedStreamOrigins
from wigeonmill.gateway.origin_records import LEASE_RENEWAL_MS
from wigeonmill.gateway.origin_records import LEASE_TERM_MS
from wigeonmill.gateway.origin_records import MAX_STREAMS
from wigeonmill.gateway.origin_records import MIN_INTERVAL_MS
from wigeonmill.gateway.origin_records import OriginPublisher
from wigeonmill.gateway.origin_records import OriginRecords
from wigeonmill.gateway.origin_records import RESUMABLE_MS
from wigeonmill.gateway.origin_records import RETRY_MS
from wigeonmill.gateway.own_records import ORIGINS_PREFIX
from wigeonmill.gateway.own_records import OriginsRecord
from wigeonmill.gateway.software_versions import SoftwareVersions
from wigeonmill.gateway.stream_origins import StreamOrigin
from wigeonmill.metrics import Metrics
from wigeonmill.standins.memory_key_value import KvFaults
from wigeonmill.standins.memory_key_value import MemoryKeyValue

V1 = StreamOrigin(ENGINES, 'v1')
V2 = StreamOrigin(ENGINES, 'v2')


class NoPeers:
    def addresses(self):
        return []


class Entry:
    """The origins of one process, which knows targets of some versions."""

    def __init__(self, world, name, versions, entry_count=5):
        clock = world.clock
        self.world = world
        self.ctx = GatewayContext(
            clock, random.Random(1), Metrics(), RetryLimits(), lambda: 5
        )
        self.ctx.freshness.confirm()
        self.versions = SoftwareVersions(
            clock, self.ctx.directory, self.ctx.freshness
        )
        self.show_targets(*versions)
        self.streams = self.ctx.open_streams
        self.publisher = OriginPublisher(
            clock,
            self.ctx.metrics,
            self.streams,
            self.versions,
            world.keys,
            name,
            lambda: entry_count,
        )
        self.records = OriginRecords(self.versions)
        self.origins = SharedStreamOrigins(
            clock,
            self.ctx.metrics,
            name,
            NoPeers(),
            self.versions.only_version,
            self.records,
        )

    def show_targets(self, *versions):
        for version in versions:
            record = make_engine_record(
                f'e-{version}', address=version, software_version=version
            )
            self.ctx.directory.apply(record)
        self.versions.observe()

    async def publish(self):
        await self.publisher.step()

    async def read_store(self):
        for key, revision, value in await self.world.records():
            self.records.update(Record(key, revision, value))

    async def find(self, request_id):
        return await self.origins.find(request_id, ENGINES)


class World:
    def __init__(self):
        self.clock = ManualClock(1_000.0)
        self.faults = KvFaults()
        self.keys = MemoryKeyValue(self.clock, self.faults)

    async def records(self):
        found = (await self.keys.list_prefix(ORIGINS_PREFIX)).unwrap()
        return [(entry.key, entry.version, entry.value) for entry in found]


async def take_over(world, *versions):
    """Return a new entry after the loss of all others."""
    entry = Entry(world, 'new/1', versions)
    await entry.read_store()
    return entry


# Guards against LOST: while two versions served, no stream could be taken up
# after all entries had been lost, as only they knew what had begun it.
def test_streams_go_on_at_their_software_after_the_loss_of_all_entries():
    async def check():
        world = World()
        for number, origin in enumerate((V1, V2)):
            entry = Entry(world, f'g{number}/1', ['v1', 'v2'])
            entry.streams.begin(f'q{number}', origin)
            await entry.publish()
        entry = await take_over(world, 'v1', 'v2')
        assert await entry.find('q0') == V1
        assert await entry.find('q1') == V2
        assert await entry.find('q2') is None
        found = entry.ctx.metrics.reasons('stream_origins_found')
        assert found == {'recorded': 2, 'unknown': 1}

    asyncio.run(check())


# Guards against ORDER: what is not certain must not be taken for an origin.
def test_a_stream_with_two_recorded_origins_is_unknown():
    async def check():
        world = World()
        for number, origin in enumerate((V1, V2)):
            entry = Entry(world, f'g{number}/1', ['v1', 'v2'])
            entry.streams.begin('q1', origin)
            await entry.publish()
        entry = await take_over(world, 'v1', 'v2')
        assert await entry.find('q1') is None

    asyncio.run(check())


# Guards against ORDER: a version that came and went before it was published
# had begun a stream, and the only one left was taken for its origin.
def test_a_recorded_version_counts_although_its_targets_are_gone():
    async def check():
        world = World()
        before = Entry(world, 'g0/1', ['v1', 'v2'])
        before.streams.begin('q1', V2)
        await before.publish()
        entry = Entry(world, 'g1/1', ['v1'])
        # Otherwise the entry has not followed the versions for long enough.
        entry.versions.update(
            Record('versions', 1, b'{"versions": {"engines": ["v1"]}}')
        )
        assert await entry.find('q2') == V1
        await entry.read_store()
        assert await entry.find('q1') == V2
        assert await entry.find('q2') is None

    asyncio.run(check())


def test_nothing_is_written_while_there_is_one_version():
    async def check():
        world = World()
        entry = Entry(world, 'g0/1', ['v1'])
        entry.streams.begin('q1', V1)
        await entry.publish()
        assert world.keys.calls == {}
        entry.show_targets('v2')
        world.clock.advance(MIN_INTERVAL_MS)
        await entry.publish()
        assert len(await world.records()) == 1

    asyncio.run(check())


# Guards against calls that are more than the service bears.
@pytest.mark.parametrize(
    ('entry_count', 'writes'), [(1, 26), (5, 26), (60, 4)]
)
def test_writes_are_limited_and_only_made_for_new_streams(entry_count, writes):
    async def check():
        world = World()
        entry = Entry(world, 'g0/1', ['v1', 'v2'], entry_count)
        for number in range(1_000):
            entry.streams.begin(f'q{number}', V1)
            await entry.publish()
            world.clock.advance(10.0)
        assert world.keys.calls['cas'] <= writes
        world.clock.advance(10_000.0)
        await entry.publish()
        calls = world.keys.calls['cas']
        world.clock.advance(10_000.0)
        await entry.publish()
        assert world.keys.calls['cas'] == calls
        [(_key, _revision, value)] = await world.records()
        [[ids]] = [
            by_version.values()
            for by_version in msgspec.json.decode(
                value, type=OriginsRecord
            ).origins.values()
        ]
        assert ids == [f'q{number}' for number in range(1_000)]

    asyncio.run(check())


def test_a_record_has_the_newest_streams():
    async def check():
        world = World()
        entry = Entry(world, 'g0/1', ['v1', 'v2'])
        for number in range(MAX_STREAMS + 1):
            entry.streams.begin(f'q{number}', V1)
        await entry.publish()
        entry = await take_over(world, 'v1', 'v2')
        assert await entry.find('q0') is None
        assert await entry.find(f'q{MAX_STREAMS}') == V1

    asyncio.run(check())


def test_a_broken_stream_is_recorded_as_long_as_it_may_be_taken_up():
    async def check():
        world = World()
        entry = Entry(world, 'g0/1', ['v1', 'v2'])
        for request_id in ('whole', 'broken'):
            entry.streams.begin(request_id, V1)
        entry.streams.end('whole', complete=True)
        entry.streams.end('broken', complete=False)
        assert [id_ for id_, _ in entry.streams.of_services([ENGINES])] == [
            'broken'
        ]
        world.clock.advance(RESUMABLE_MS + 1.0)
        assert not list(entry.streams.of_services([ENGINES]))

    asyncio.run(check())


# Guards against a record that stays away after a write whose outcome is lost,
# and against one that ends before its streams do.
@pytest.mark.parametrize('lost', [True, False])
def test_the_record_is_written_again_after_a_failure(lost):
    async def check():
        world = World()
        entry = Entry(world, 'g0/1', ['v1', 'v2'])
        entry.streams.begin('q1', V1)
        await entry.publish()
        world.clock.advance(MIN_INTERVAL_MS + 100.0)
        entry.streams.begin('q2', V2)
        world.faults.lose_replies = int(lost)
        world.faults.outage = not lost
        await entry.publish()
        world.faults.outage = False
        world.clock.advance(RETRY_MS)
        await entry.publish()
        taken = await take_over(world, 'v1', 'v2')
        assert await taken.find('q1') == V1
        assert await taken.find('q2') == V2
        assert entry.ctx.metrics.reasons('stream_origins_not_stored')

    asyncio.run(check())


def test_the_record_outlives_its_entry_but_not_for_good():
    async def check():
        world = World()
        entry = Entry(world, 'g0/1', ['v1', 'v2'])
        for number in range(10):
            entry.streams.begin(f'q{number}', V1)
            await entry.publish()
            world.clock.advance(LEASE_RENEWAL_MS)
        assert len(await world.records()) == 1
        world.clock.advance(LEASE_TERM_MS - 2 * LEASE_RENEWAL_MS)
        assert len(await world.records()) == 1
        world.clock.advance(LEASE_TERM_MS)
        assert not await world.records()

    asyncio.run(check())


@pytest.mark.parametrize(
    'value', [b'', b'{', b'[]', b'{"origins": {"engines": {"v1": [3]}}}']
)
def test_a_malformed_record_says_nothing(value):
    async def check():
        world = World()
        entry = Entry(world, 'g0/1', ['v1', 'v2'])
        entry.records.update(Record(f'{ORIGINS_PREFIX}x', 1, value))
        assert len(entry.records) == 0

    asyncio.run(check())


# Guards against many entries whose writes come at the same moment, and against
# a few whose writes wake those that watch one after the other.
@pytest.mark.parametrize(('entry_count', 'moments'), [(5, 1), (60, 30)])
def test_the_writes_of_many_entries_are_spread(entry_count, moments):
    world = World()
    pauses = {
        Entry(world, f'g{n}/{n}', ['v1'], entry_count).publisher.pause_ms()
        for n in range(entry_count)
    }
    assert len(pauses) >= moments
    assert (len(pauses) == 1) == (entry_count == 5)


# Guards against memory that grows with each stream that a caller leaves, while
# there is one version and nothing is written.
def test_broken_streams_are_not_kept_for_good():
    world = World()
    entry = Entry(world, 'g0/1', ['v1'])
    for number in range(1_000):
        entry.streams.begin(f'q{number}', V1)
        entry.streams.end(f'q{number}', complete=False)
        world.clock.advance(RESUMABLE_MS / 10.0)
    assert len(entry.streams) <= 12


def test_the_record_is_written_again_after_a_restore():
    async def check():
        world = World()
        entry = Entry(world, 'g0/1', ['v1', 'v2'])
        entry.streams.begin('q1', V1)
        await entry.publish()
        [(key, revision, _value)] = await world.records()
        await world.keys.delete(key, revision)
        entry.publisher.key_value_restored()
        world.clock.advance(MIN_INTERVAL_MS + 100.0)
        await entry.publish()
        assert len(await world.records()) == 1

    asyncio.run(check())
