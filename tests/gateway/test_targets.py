"""Tests of target lifetimes and of the directory during an outage."""

import pytest

from tests.gateway.samples import LEDGER
from tests.gateway.samples import make_record
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.targets import Directory
from wigeonmill.gateway.targets import GONE_RETENTION_MS
from wigeonmill.gateway.targets import RECOVERY_GRACE_MS


def ids(directory):
    return [target.id for target in directory.of_service(LEDGER)]


def test_a_draining_lifetime_never_accepts_work_again():
    directory = Directory(ManualClock())
    directory.apply(make_record(heartbeat=4))
    directory.apply(make_record(heartbeat=5, draining=True))
    directory.apply(make_record(heartbeat=6, draining=False))
    assert ids(directory) == []


def test_a_stale_heartbeat_is_ignored():
    directory = Directory(ManualClock())
    directory.apply(make_record(heartbeat=4, address='127.0.0.1:4'))
    directory.apply(make_record(heartbeat=3, address='127.0.0.1:3'))
    assert directory.get('t1').address == '127.0.0.1:4'


def test_a_new_start_under_the_same_id_is_a_new_lifetime():
    directory = Directory(ManualClock())
    directory.apply(make_record(heartbeat=9, draining=True))
    first = directory.get('t1')
    directory.apply(make_record(started_at_ms=2_000, heartbeat=1))
    assert directory.get('t1') is not first
    assert ids(directory) == ['t1']
    directory.apply(
        make_record(started_at_ms=1_000, heartbeat=10, draining=True)
    )
    assert ids(directory) == ['t1']


def test_a_removed_target_is_gone_at_once():
    directory = Directory(ManualClock())
    directory.apply(make_record())
    directory.remove('t1')
    assert ids(directory) == []


def test_targets_expired_in_an_outage_have_time_to_register_again():
    clock = ManualClock()
    directory = Directory(clock)
    directory.apply(make_record('t1', address='127.0.0.1:1'))
    directory.apply(make_record('t2', address='127.0.0.1:2'))
    directory.key_value_lost()
    directory.remove('t1')
    directory.remove('t2')
    clock.advance(60_000)
    directory.expire()
    assert ids(directory) == ['t1', 't2']
    directory.key_value_recovered()
    clock.advance(RECOVERY_GRACE_MS / 2)
    directory.apply(make_record('t1', heartbeat=2, address='127.0.0.1:1'))
    clock.advance(RECOVERY_GRACE_MS / 2)
    directory.expire()
    assert ids(directory) == ['t1']


# Guards against DRAIN: an entry that had lost the key-value service for a
# moment kept sending to targets that left meanwhile, until two seconds later.
@pytest.mark.parametrize('count, left', [(2, 1), (3, 1), (8, 4)])
def test_a_target_that_leaves_in_an_outage_gets_nothing_more(count, left):
    directory = Directory(ManualClock())
    for number in range(count):
        directory.apply(
            make_record(f't{number}', address=f'127.0.0.1:{number}')
        )
    directory.key_value_lost()
    for number in range(left):
        directory.remove(f't{number}')
    assert ids(directory) == [f't{n}' for n in range(left, count)]
    directory.key_value_recovered()
    assert ids(directory) == [f't{n}' for n in range(left, count)]
    directory.apply(make_record('t0', heartbeat=2, address='127.0.0.1:0'))
    assert ids(directory)[0] == 't0'


# Guards against LOST: the first targets to register again after an outage got
# the requests of all.
def test_targets_that_are_not_listed_are_used_until_half_are():
    directory = Directory(ManualClock())
    addresses = {f't{n}': f'127.0.0.1:{n}' for n in range(8)}
    for id_, address in addresses.items():
        directory.apply(make_record(id_, address=address))
    directory.key_value_lost()
    for id_ in addresses:
        directory.remove(id_)
    directory.key_value_recovered()
    for count, id_ in enumerate(list(addresses)[:3]):
        assert len(ids(directory)) == 8, count
        directory.apply(make_record(id_, heartbeat=2, address=addresses[id_]))
    assert len(ids(directory)) == 8


def test_cold_time_starts_when_the_record_is_received():
    clock = ManualClock()
    directory = Directory(clock)
    directory.apply(make_record(cold_remaining_ms=3_000.0))
    target = directory.get('t1')
    clock.advance(2_999)
    assert target.is_cold(clock.now_ms())
    clock.advance(1)
    assert not target.is_cold(clock.now_ms())
    directory.apply(make_record(heartbeat=2, cold_remaining_ms=500.0))
    assert target.is_cold(clock.now_ms())


# Guards against CONFIG: an entry of another writer hid the target at its
# address for ten minutes after it had been removed.
@pytest.mark.parametrize('draining', [False, True])
def test_a_target_that_is_gone_hides_no_other_at_its_address(draining):
    directory = Directory(ManualClock())
    address = '127.0.0.1:9'
    directory.apply(make_record('live', started_at_ms=1_000, address=address))
    odd = make_record(
        'odd', started_at_ms=2_000, address=address, draining=draining
    )
    directory.apply(odd)
    directory.remove('odd')
    assert ids(directory) == ['live']
    # It is still known, so that a stale record does not bring it back.
    directory.apply(make_record('odd', started_at_ms=1_500, address=address))
    assert ids(directory) == ['live']


def test_only_the_latest_target_at_an_address_is_used():
    directory = Directory(ManualClock())
    same_address = {'address': '127.0.0.1:9'}
    directory.apply(make_record('old', started_at_ms=1_000, **same_address))
    directory.apply(make_record('new', started_at_ms=2_000, **same_address))
    assert ids(directory) == ['new']
    directory.apply(
        make_record('old', started_at_ms=1_000, heartbeat=2, **same_address)
    )
    assert ids(directory) == ['new']


def test_a_target_gone_for_long_is_evicted():
    clock = ManualClock()
    directory = Directory(clock)
    directory.apply(make_record())
    directory.remove('t1')
    clock.advance(GONE_RETENTION_MS + 1)
    directory.expire()
    assert directory.get('t1') is None


def make_restored_directory(count=3):
    """Return the directory of `count` targets just after a restore."""
    clock = ManualClock(10_000.0)
    directory = Directory(clock)
    for number in range(count):
        directory.apply(
            make_record(f't{number}', address=f'127.0.0.1:{number}')
        )
    directory.key_value_restored()
    return clock, directory


# Guards against 503 after a restore that no call has failed in: targets that
# had not registered again counted as gone.
def test_targets_that_the_copy_lacks_have_time_to_register_again():
    clock, directory = make_restored_directory()
    directory.remove('t0')
    directory.remove('t1')
    assert len(ids(directory)) == 3
    clock.advance(RECOVERY_GRACE_MS - 1)
    directory.apply(make_record('t0', heartbeat=2, address='127.0.0.1:0'))
    clock.advance(2)
    directory.expire()
    assert set(ids(directory)) == {'t0', 't2'}


# Guards against DRAIN: the copy still has targets that have left since.
def test_a_target_that_only_the_copy_has_stays_gone():
    clock = ManualClock(10_000.0)
    directory = Directory(clock)
    directory.apply(make_record(heartbeat=5))
    directory.remove('t1')
    directory.key_value_restored()
    directory.apply(make_record(heartbeat=5))
    assert ids(directory) == []
    directory.apply(make_record(heartbeat=6))
    assert ids(directory) == ['t1']


# Guards against 503 for each request: an entry with an unknown service and the
# address of a live target took that target out of service.
def test_an_entry_of_an_unknown_service_says_nothing_of_an_address():
    directory = Directory(ManualClock())
    directory.apply(make_record('t1', started_at_ms=1_000))
    odd = make_record('odd', started_at_ms=9_000, service='unknown')
    directory.apply(odd)
    directory.set_services([LEDGER])
    assert ids(directory) == ['t1']
    directory.remove('odd')
    assert ids(directory) == ['t1']


def test_a_service_that_is_added_later_has_its_targets():
    directory = Directory(ManualClock())
    directory.set_services(['other'])
    directory.apply(make_record('t1'))
    assert ids(directory) == []
    directory.set_services(['other', LEDGER])
    assert ids(directory) == ['t1']
