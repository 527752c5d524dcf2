import asyncio

import msgspec
import pytest

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import ENTRY_PREFIX
from wigeonmill.gateway.own_records import EntryRecord
from wigeonmill.gateway.registration import EntriesByLink
from wigeonmill.gateway.registration import EntryList
from wigeonmill.gateway.registration import LEASE_TERM_MS
from wigeonmill.gateway.registration import Registration
from wigeonmill.gateway.registration import UNLISTED_GRACE_MS
from wigeonmill.standins.memory_key_value import MemoryKeyValue

KEY = ENTRY_PREFIX + 'a'


def make_record(name, address, revision=1):
    value = b'{"address":"%s"}' % address.encode() if address else None
    return Record(ENTRY_PREFIX + name, revision, value)


def run_for(registration, keys, clock, time_ms):
    async def run():
        until_ms = clock.now_ms() + time_ms
        while clock.now_ms() < until_ms:
            found = (await keys.get(KEY)).unwrap()
            record = found and Record(KEY, found.version, found.value)
            await registration.step(record)
            clock.advance(200)
        return (await keys.get(KEY)).unwrap()

    return asyncio.run(run())


def test_an_entry_stays_listed_and_registers_again_after_expiry():
    clock = ManualClock()
    keys = MemoryKeyValue(clock)
    registration = Registration(keys, clock, 'a', '127.0.0.1:1')
    assert run_for(registration, keys, clock, LEASE_TERM_MS * 2)
    clock.advance(LEASE_TERM_MS + 1)
    assert run_for(registration, keys, clock, LEASE_TERM_MS)


def test_a_restarted_process_takes_over_its_record():
    clock = ManualClock()
    keys = MemoryKeyValue(clock)
    first = Registration(keys, clock, 'a', '127.0.0.1:1')
    run_for(first, keys, clock, 1_000)
    second = Registration(keys, clock, 'a', '127.0.0.1:2')
    found = run_for(second, keys, clock, LEASE_TERM_MS * 2)
    assert b'127.0.0.1:2' in found.value


def test_unlisted_entries_are_counted_for_a_grace_period():
    clock = ManualClock()
    entries = EntryList(clock, 'a', min_count=1)
    for name in 'abc':
        entries.update(make_record(name, f'127.0.0.1:{ord(name)}'))
    assert entries.count() == 3
    assert set(entries.peers()) == {'b', 'c'}
    entries.update(make_record('c', None, revision=2))
    assert entries.count() == 3
    assert set(entries.peers()) == {'b'}
    clock.advance(UNLISTED_GRACE_MS + 1)
    assert entries.count() == 2


def test_names_of_replaced_entries_are_not_kept():
    """Each replaced process registers under a new name."""
    clock = ManualClock()
    entries = EntryList(clock, 'a', min_count=1)
    for number in range(1_000):
        name = f'b{number}'
        entries.update(make_record(name, '127.0.0.1:1', revision=number + 1))
        entries.update(make_record(name, None, revision=number + 2))
        clock.advance(1_000)
        entries.count()
    assert entries.tracked_names <= UNLISTED_GRACE_MS / 1_000 + 1


def test_listed_entries_have_evenly_spread_positions():
    clock = ManualClock()
    positions = []
    for own_name in 'abcd':
        entries = EntryList(clock, own_name, min_count=1)
        for revision, name in enumerate('abcd', start=1):
            entries.update(make_record(name, '127.0.0.1:1', revision))
        positions.append(entries.position())
    assert positions == [0.0, 0.25, 0.5, 0.75]


# Guards against an entry that its peers do not find after a restore, because
# its lease id belongs to another entry now.
def test_an_entry_registers_again_after_a_restore():
    clock = ManualClock()
    keys = MemoryKeyValue(clock)
    registration = Registration(keys, clock, 'a', '127.0.0.1:1')
    run_for(registration, keys, clock, 1_000)

    async def lose_record():
        found = (await keys.get(KEY)).unwrap()
        await keys.delete(KEY, found.version)

    asyncio.run(lose_record())
    registration.key_value_restored()
    assert run_for(registration, keys, clock, 400)


def test_a_lease_from_before_a_restore_is_not_renewed():
    clock = ManualClock()
    keys = MemoryKeyValue(clock)
    registration = Registration(keys, clock, 'a', '127.0.0.1:1')
    grant = keys.grant_lease
    leases = []

    async def grant_and_restore(ttl_ms):
        granted = await grant(ttl_ms)
        leases.append(granted.unwrap())
        if len(leases) == 1:
            registration.key_value_restored()
        return granted

    keys.grant_lease = grant_and_restore
    found = run_for(registration, keys, clock, LEASE_TERM_MS)
    assert found.lease == leases[-1] != leases[0]


# Guards against updates to peers that fail as a whole.
@pytest.mark.parametrize(
    'value',
    [
        b'{"address":"127.0.0.1"}',
        b'{"address":"127.0.0.1:99999"}',
        b'{"address":"host:1"}',
        b'{"address":5}',
        b'{"a":' * 100_000,
        b'\xff',
    ],
)
def test_an_odd_record_names_no_peer(value):
    entries = EntryList(ManualClock(), 'a', min_count=1)
    entries.update(make_record('b', '127.0.0.1:2'))
    entries.update(Record(ENTRY_PREFIX + 'b', 2, value))
    entries.update(Record(ENTRY_PREFIX + 'c', 3, value))
    assert entries.peers() == {}


def make_entries(own_name, links_mbps):
    entries = EntryList(ManualClock(0.0), own_name, 1, links_mbps[own_name])
    for name, link_mbps in links_mbps.items():
        value = msgspec.json.encode(EntryRecord('127.0.0.1:1', link_mbps))
        entries.update(Record(ENTRY_PREFIX + name, 1, value))
    return entries


# Guards against CONFIG: a large configuration came through readers whose
# links took seconds for it, beside entries with fast links.
def test_entries_with_fast_links_are_selected_first():
    links_mbps = {f'e{n}': 200.0 if n < 6 else 5.0 for n in range(27)}
    selected = {
        name
        for name in links_mbps
        if EntriesByLink(make_entries(name, links_mbps)).is_selected('r', 8)
    }
    assert len(selected) == 8
    assert {f'e{n}' for n in range(6)} <= selected


@pytest.mark.parametrize('link_mbps', [0.0, -3.0])
def test_entries_are_selected_evenly_if_no_link_is_known(link_mbps):
    links_mbps = dict.fromkeys(('a', 'b', 'c', 'd'), link_mbps)
    for name in links_mbps:
        entries = make_entries(name, links_mbps)
        for key in ('r', 's', 't'):
            by_link = EntriesByLink(entries).is_selected(key, 2)
            assert by_link == entries.is_selected(key, 2)


def test_a_record_of_an_older_build_names_no_link():
    entries = EntryList(ManualClock(0.0), 'a', 1)
    value = b'{"address": "127.0.0.1:1"}'
    entries.update(Record(ENTRY_PREFIX + 'b', 1, value))
    assert entries.peers() == {'b': '127.0.0.1:1'}
