"""Tests when a service's only software version tells who began a stream."""

import asyncio
import random

import msgspec

from tests.gateway.samples import make_engine_record
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.freshness import OUT_OF_REACH_MS
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.origin_exchange import SharedStreamOrigins
from wigeonmill.gateway.own_records import SOFTWARE_VERSIONS_KEY
from wigeonmill.gateway.own_records import SoftwareVersionsRecord
from wigeonmill.gateway.software_versions import RETENTION_MS
from wigeonmill.gateway.software_versions import RETRY_MS
from wigeonmill.gateway.software_versions import SoftwareVersions
from wigeonmill.gateway.software_versions import SoftwareVersionsPublisher
from wigeonmill.gateway.stream_origins import StreamOrigin
from wigeonmill.metrics import Metrics
from wigeonmill.standins.memory_key_value import KvFaults
from wigeonmill.standins.memory_key_value import MemoryKeyValue

SERVICE = 'engines'
STEP_MS = 100.0


class Leadership:
    is_leader = False


class Entry:
    """The part of an entry that knows the targets and their versions."""

    def __init__(self, world):
        self.ctx = GatewayContext(
            world.clock, random.Random(1), Metrics(), RetryLimits(), lambda: 2
        )
        self.versions = SoftwareVersions(
            world.clock, self.ctx.directory, self.ctx.freshness
        )
        self.leadership = Leadership()
        self.heard_to = 0
        self.publisher = SoftwareVersionsPublisher(
            world.clock, self.versions, self.leadership, world.keys
        )

    def only_version(self):
        return self.versions.only_version(SERVICE)


class NoPeers:
    def addresses(self):
        return []


class World:
    """Entries that follow the targets and the key-value service.

    The first entry leads. `connected` says whether entries hear of changes.
    """

    def __init__(self, *versions):
        self.clock = ManualClock(1_000.0)
        self.faults = KvFaults()
        self.keys = MemoryKeyValue(self.clock, self.faults)
        self.targets = {}
        self.connected = True
        self.entries = []
        for number, version in enumerate(versions):
            self.start_target(f'e{number}', version)
        self.restart_entries()

    @property
    def leader(self):
        return self.entries[0]

    def restart_entries(self):
        self.entries = [Entry(self), Entry(self)]
        self.leader.leadership.is_leader = True

    def lead(self, index):
        for number, entry in enumerate(self.entries):
            entry.leadership.is_leader = number == index

    def start_target(self, id_, version):
        started_ms = int(self.clock.now_ms())
        self.targets[id_] = make_engine_record(
            id_, software_version=version, started_at_ms=started_ms
        )

    def record(self):
        return asyncio.run(self.keys.get(SOFTWARE_VERSIONS_KEY)).unwrap()

    def published(self):
        entry = self.record()
        return entry and msgspec.json.decode(entry.value)['versions']

    def write(self, value):
        entry = self.record()
        version = entry.version if entry else 0
        put = self.keys.compare_and_swap(SOFTWARE_VERSIONS_KEY, version, value)
        asyncio.run(put).unwrap()

    @property
    def writes(self):
        return self.keys.calls.get('cas', 0)

    def listen(self, entry):
        directory = entry.ctx.directory
        for target in list(directory.all()):
            if target.id not in self.targets:
                directory.remove(target.id)
        for record in self.targets.values():
            directory.apply(record)
        found = self.record()
        if found is not None and found.version > entry.heard_to:
            entry.heard_to = found.version
            entry.versions.update(
                Record(found.key, found.version, found.value)
            )
        entry.ctx.freshness.confirm()

    def run(self, duration_ms=2 * STEP_MS):
        for _step in range(int(duration_ms / STEP_MS)):
            for entry in self.entries:
                if self.connected:
                    self.listen(entry)
                entry.versions.observe()
                asyncio.run(entry.publisher.step())
            self.clock.advance(STEP_MS)


def test_streams_go_on_at_the_only_version_after_all_entries_restart():
    world = World('v1', 'v1')
    world.run()
    world.restart_entries()
    assert world.entries[1].only_version() is None
    world.run(STEP_MS)
    for entry in world.entries:
        assert entry.only_version() == 'v1'


def test_no_version_is_known_for_a_service_without_targets():
    world = World('v1')
    world.run()
    assert world.leader.versions.only_version('other') is None


# Entries that restart while targets are replaced must not take the newer
# version for the one that began all streams.
def test_a_version_counts_for_the_retention_time_after_its_last_target():
    world = World('v1', 'v1')
    world.run()
    world.start_target('e0', 'v2')
    world.run()
    world.restart_entries()
    world.run()
    del world.targets['e1']
    world.run(RETENTION_MS / 2)
    for _restart in range(2):
        assert world.published() == {SERVICE: ['v1', 'v2']}
        for entry in world.entries:
            assert entry.only_version() is None
        world.restart_entries()
        world.run(RETENTION_MS / 2)
    world.run(RETENTION_MS / 2 + 4 * STEP_MS)
    assert world.published() == {SERVICE: ['v2']}
    for entry in world.entries:
        assert entry.only_version() == 'v2'


def test_two_versions_side_by_side_are_not_the_only_one():
    world = World('v1', 'v2')
    world.run(2 * RETENTION_MS)
    assert world.leader.only_version() is None


def test_a_target_without_a_version_leaves_the_version_unknown():
    world = World('v1', '')
    world.run()
    assert world.leader.only_version() is None
    alone = World('')
    alone.run()
    assert alone.leader.only_version() is None


def test_a_version_seen_by_one_entry_counts_there_before_it_is_published():
    world = World('v1')
    world.run()
    world.lead(None)
    world.start_target('e1', 'v2')
    world.run(STEP_MS)
    assert world.published() == {SERVICE: ['v1']}
    for entry in world.entries:
        assert entry.only_version() is None


def test_only_changes_are_written():
    world = World('v1', 'v1', 'v1')
    world.run(3 * RETENTION_MS)
    assert world.writes == 1
    for number in range(3):
        world.start_target(f'e{number}', 'v2')
        world.run(1_000.0)
    assert world.writes == 2
    world.run(2 * RETENTION_MS)
    assert world.writes == 3
    world.restart_entries()
    world.run(2 * RETENTION_MS)
    assert world.writes == 3


def test_only_the_leader_writes():
    world = World('v1')
    world.lead(None)
    world.run()
    assert world.writes == 0


# A new leader knows of a version only from its predecessor's record; its
# targets may have been lost just before.
def test_a_new_leader_keeps_a_version_until_it_has_watched_long_enough():
    world = World('v2')
    record = SoftwareVersionsRecord({SERVICE: ['v1', 'v2']})
    world.write(msgspec.json.encode(record))
    world.run(RETENTION_MS)
    assert world.published() == {SERVICE: ['v1', 'v2']}
    assert world.leader.only_version() is None
    world.run(4 * STEP_MS)
    assert world.published() == {SERVICE: ['v2']}
    assert world.leader.only_version() == 'v2'


def test_a_published_version_counts_until_the_leader_drops_it():
    world = World('v2')
    world.lead(None)
    record = SoftwareVersionsRecord({SERVICE: ['v1', 'v2']})
    world.write(msgspec.json.encode(record))
    world.run(RETENTION_MS + 4 * STEP_MS)
    assert world.leader.only_version() is None
    world.lead(1)
    world.run()
    assert world.leader.only_version() == 'v2'


def test_the_time_without_the_key_value_service_does_not_count():
    world = World('v2')
    record = SoftwareVersionsRecord({SERVICE: ['v1', 'v2']})
    world.write(msgspec.json.encode(record))
    world.run(RETENTION_MS / 2)
    world.connected = False
    world.run(OUT_OF_REACH_MS + RETENTION_MS)
    assert world.leader.only_version() is None
    world.connected = True
    world.run(RETENTION_MS / 2)
    assert world.published() == {SERVICE: ['v1', 'v2']}
    world.run(RETENTION_MS)
    assert world.published() == {SERVICE: ['v2']}


def test_the_time_of_a_suspended_process_does_not_count():
    world = World('v2')
    record = SoftwareVersionsRecord({SERVICE: ['v1', 'v2']})
    world.write(msgspec.json.encode(record))
    world.run()
    world.clock.advance(2 * RETENTION_MS)
    world.run(RETENTION_MS / 2)
    assert world.published() == {SERVICE: ['v1', 'v2']}
    assert world.leader.only_version() is None


def test_an_entry_out_of_touch_does_not_know_the_only_version():
    world = World('v1')
    world.run()
    world.connected = False
    world.run(OUT_OF_REACH_MS + 4 * STEP_MS)
    assert world.leader.only_version() is None


def test_without_a_record_an_entry_has_to_watch_first():
    world = World('v1')
    world.lead(None)
    world.run(RETENTION_MS - STEP_MS)
    assert world.leader.only_version() is None
    world.run(2 * STEP_MS)
    assert world.leader.only_version() == 'v1'


def test_a_malformed_record_is_replaced_once_the_versions_are_known():
    world = World('v1')
    world.write(b'{"versions": 7}')
    world.run(RETENTION_MS - STEP_MS)
    assert world.leader.only_version() is None
    assert world.record().value == b'{"versions": 7}'
    world.run(4 * STEP_MS)
    assert world.leader.only_version() == 'v1'
    assert world.published() == {SERVICE: ['v1']}


def test_a_removed_record_is_not_trusted():
    world = World('v1')
    world.run()
    entry = world.entries[1]
    revision = entry.versions.revision
    entry.versions.update(Record(SOFTWARE_VERSIONS_KEY, revision + 1, None))
    assert entry.only_version() is None
    assert entry.versions.to_publish() is None


def test_the_record_of_an_earlier_leader_is_not_overwritten_unread():
    world = World('v2')
    world.run(STEP_MS)
    world.start_target('e1', 'v3')
    world.connected = False
    record = SoftwareVersionsRecord({SERVICE: ['v1', 'v2']})
    world.write(msgspec.json.encode(record))
    world.leader.ctx.directory.apply(world.targets['e1'])
    world.run(STEP_MS)
    assert world.published() == {SERVICE: ['v1', 'v2']}
    world.connected = True
    world.run(RETRY_MS + 2 * STEP_MS)
    assert world.published() == {SERVICE: ['v1', 'v2', 'v3']}


def test_a_write_that_fails_is_repeated_after_a_delay():
    world = World('v1')
    world.faults.lose_replies = 1
    world.run(RETRY_MS)
    assert world.writes == 1
    world.run(RETRY_MS)
    assert world.published() == {SERVICE: ['v1']}


def test_a_stream_of_unknown_origin_goes_on_at_the_only_version():
    world = World('v1')
    world.run()
    entry = world.entries[1]
    origins = SharedStreamOrigins(
        world.clock,
        entry.ctx.metrics,
        'b',
        NoPeers(),
        entry.versions.only_version,
    )
    for request_id in ('q1', ''):
        found = asyncio.run(origins.find(request_id, SERVICE))
        assert found == StreamOrigin(SERVICE, 'v1')
    value = entry.ctx.metrics.value
    assert value('stream_origins_found', 'only_version') == 2
