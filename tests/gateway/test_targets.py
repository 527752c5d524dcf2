"""Lifetimes of targets, and the directory across an outage."""

from tests.gateway.samples import LEDGER
from tests.gateway.samples import make_record
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.targets import Directory
from wigeonmill.gateway.targets import GONE_KEPT_MS
from wigeonmill.gateway.targets import RETURN_GRACE_MS


def ids(directory):
    return [target.id for target in directory.of_service(LEDGER)]


def test_a_lifetime_that_drains_never_comes_back():
    directory = Directory(ManualClock())
    directory.apply(make_record(heartbeat=4))
    directory.apply(make_record(heartbeat=5, draining=True))
    directory.apply(make_record(heartbeat=6, draining=False))
    assert ids(directory) == []


def test_an_old_heartbeat_is_ignored():
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


def test_a_target_that_is_removed_is_gone_at_once():
    directory = Directory(ManualClock())
    directory.apply(make_record())
    directory.remove('t1')
    assert ids(directory) == []


def test_entries_that_lapsed_in_an_outage_have_time_to_come_back():
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
    clock.advance(RETURN_GRACE_MS / 2)
    directory.apply(make_record('t1', heartbeat=2, address='127.0.0.1:1'))
    clock.advance(RETURN_GRACE_MS / 2)
    directory.expire()
    assert ids(directory) == ['t1']


def test_cold_time_counts_from_when_it_was_heard():
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


def test_of_two_targets_at_one_address_the_earlier_has_ended():
    directory = Directory(ManualClock())
    here = {'address': '127.0.0.1:9'}
    directory.apply(make_record('old', started_at_ms=1_000, **here))
    directory.apply(make_record('new', started_at_ms=2_000, **here))
    assert ids(directory) == ['new']
    directory.apply(
        make_record('old', started_at_ms=1_000, heartbeat=2, **here)
    )
    assert ids(directory) == ['new']


def test_a_target_that_is_long_gone_is_forgotten():
    clock = ManualClock()
    directory = Directory(clock)
    directory.apply(make_record())
    directory.remove('t1')
    clock.advance(GONE_KEPT_MS + 1)
    directory.expire()
    assert directory.get('t1') is None
