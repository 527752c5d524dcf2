"""Quarantines of prompt parts outlast a restart of all entries."""

import asyncio

import msgspec
import pytest

from tests.gateway.test_part_guard import BAD
from tests.gateway.test_part_guard import crash
from tests.gateway.test_part_guard import Entry
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import PART_QUARANTINES_KEY
from wigeonmill.gateway.part_guard import PROBE_AFTER_MS
from wigeonmill.gateway.part_guard import QUARANTINE_MS
from wigeonmill.gateway.part_records import PartQuarantines
from wigeonmill.gateway.part_records import PartQuarantinesPublisher
from wigeonmill.gateway.part_records import RETRY_MS
from wigeonmill.standins.memory_key_value import MemoryKeyValue


class Leadership:
    def __init__(self):
        self.is_leader = True


class Process:
    """An entry with its copy of the record."""

    def __init__(self, clock, keys):
        self.entry = Entry(clock)
        self.keys = keys
        self.quarantines = PartQuarantines(clock, self.entry.guard)
        self.leadership = Leadership()
        self.publisher = PartQuarantinesPublisher(
            clock, self.quarantines, self.leadership, keys
        )

    def step(self):
        """Read the record, then publish."""

        async def run():
            found = (await self.keys.get(PART_QUARANTINES_KEY)).unwrap()
            if found:
                record = Record(found.key, found.version, found.value)
                self.quarantines.update(record)
            await self.publisher.step()

        asyncio.run(run())

    def forbids(self):
        return self.entry.guard.find((BAD, b'new')) is not None


def make_world():
    clock = ManualClock(1_000_000.0)
    return clock, MemoryKeyValue(clock)


def make_quarantined(clock, keys):
    process = Process(clock, keys)
    for number in range(3):
        crash(clock, process.entry, BAD, lifetime=f't{number}')
    assert process.forbids()
    return process


# Guards against BUDGET: after all entries had restarted, requests with the
# part had to crash as many targets again.
def test_a_quarantine_outlasts_a_restart_of_all_entries():
    clock, keys = make_world()
    make_quarantined(clock, keys).step()
    clock.advance(QUARANTINE_MS / 2)
    restarted = Process(clock, keys)
    restarted.step()
    assert restarted.forbids()
    clock.advance(QUARANTINE_MS / 2)
    assert not restarted.forbids()
    restarted.step()
    assert not Process(clock, keys).forbids()


# Guards against BUDGET: entries that had restarted probed a part once more.
def test_a_probe_outlasts_a_restart_of_all_entries():
    clock, keys = make_world()
    process = make_quarantined(clock, keys)
    process.step()
    clock.advance(PROBE_AFTER_MS)
    guard = process.entry.guard
    assert not guard.admit((BAD,))
    guard.record_probe_sent(guard.find((BAD,)))
    process.step()
    restarted = Process(clock, keys)
    restarted.step()
    assert restarted.entry.guard.admit((BAD,))


def test_a_released_part_is_no_longer_published():
    clock, keys = make_world()
    process = make_quarantined(clock, keys)
    process.step()
    process.entry.guard.record_served((BAD,))
    process.step()
    process.step()
    assert not process.forbids()
    restarted = Process(clock, keys)
    restarted.step()
    assert not restarted.forbids()


def test_only_the_leader_writes_and_only_changes():
    clock, keys = make_world()
    process = make_quarantined(clock, keys)
    process.leadership.is_leader = False
    process.step()
    assert not Process(clock, keys).forbids()
    process.leadership.is_leader = True
    process.step()
    revision = process.quarantines.revision
    for _ in range(5):
        process.step()
    assert process.quarantines.revision == revision > 0


def test_a_write_that_failed_is_repeated():
    clock, keys = make_world()
    process = make_quarantined(clock, keys)
    keys.faults.outage = True
    asyncio.run(process.publisher.step())
    keys.faults.outage = False
    process.step()
    assert process.quarantines.revision == 0
    clock.advance(RETRY_MS)
    process.step()
    assert process.quarantines.revision > 0


@pytest.mark.parametrize(
    'value',
    [
        b'',
        b'{}',
        b'[1]',
        b'{"quarantines":[{"parts":["xy"],"since_unix_ms":1}]}',
        b'{"quarantines":[{"parts":[],"since_unix_ms":1}]}',
        b'{"quarantines":[{"parts":["61"],"since_unix_ms":"1"}]}',
    ],
)
def test_a_malformed_record_is_ignored(value):
    clock, keys = make_world()
    process = make_quarantined(clock, keys)
    process.quarantines.update(Record(PART_QUARANTINES_KEY, 7, value))
    assert process.forbids()
    process.entry.guard.record_served((BAD,))
    assert not process.entry.guard.quarantines()


def test_a_wall_clock_that_was_set_back_does_not_extend_a_quarantine():
    clock, keys = make_world()
    process = Process(clock, keys)
    since = clock.wall_ms() + 60_000
    value = {'quarantines': [{'parts': [BAD.hex()], 'since_unix_ms': since}]}
    process.quarantines.update(
        Record(PART_QUARANTINES_KEY, 7, msgspec.json.encode(value))
    )
    assert process.forbids()
    clock.advance(QUARANTINE_MS)
    assert not process.forbids()
