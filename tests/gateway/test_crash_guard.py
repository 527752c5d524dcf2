"""Losses are passed on to other entries as long as they count."""

import pytest

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.crash_guard import CrashGuard
from wigeonmill.gateway.loss_events import LossWitness
from wigeonmill.gateway.loss_log import LOSS_TTL_MS
from wigeonmill.gateway.loss_log import LossLog
from wigeonmill.gateway.loss_log import MAX_KNOWN_LOSSES
from wigeonmill.gateway.loss_log import MAX_LOSSES_PER_UPDATE
from wigeonmill.gateway.loss_log import SERVED


def names(losses):
    return [item.loss for item in losses]


# Guards against BUDGET: a peer that was away for longer than 10 s never
# learns which requests crash their targets, although their losses count.
def test_a_loss_is_passed_on_as_long_as_it_counts():
    clock = ManualClock(1_000.0)
    log = LossLog(clock)
    guard = CrashGuard(clock, log, LossWitness(clock))
    guard.record(b'f', 'r1 t1')
    clock.advance(LOSS_TTL_MS - 1.0)
    assert guard.count(b'f') == 1
    assert names(log.after(0)) == ['r1 t1']
    clock.advance(2.0)
    assert guard.count(b'f') == 0
    assert log.after(0) == []


# Guards against BUDGET: an entry that has restarted does not learn again of
# the losses that it observed itself, as its peers pass on only their own.
def test_a_new_process_is_told_of_the_losses_that_others_observed():
    clock = ManualClock(1_000.0)
    log = LossLog(clock)
    guard = CrashGuard(clock, log, LossWitness(clock))
    guard.record_remote(b'f', 'r1 t1')
    guard.record(b'f', 'r1 t2')
    known = log.last_number
    guard.record_remote(b'f', 'r1 t3')
    assert names(log.after(0, known)) == ['r1 t1', 'r1 t2']
    assert names(log.after(0)) == ['r1 t2']


def test_losses_are_passed_on_in_bounded_batches():
    clock = ManualClock(1_000.0)
    log = LossLog(clock)
    guard = CrashGuard(clock, log, LossWitness(clock))
    count = MAX_KNOWN_LOSSES + 100
    for number in range(count):
        guard.record(b'f', f'r{number} t')
    passed_on = []
    while batch := log.after(passed_on[-1].number if passed_on else 0):
        assert len(batch) <= MAX_LOSSES_PER_UPDATE
        passed_on += batch
    latest = [f'r{number} t' for number in range(100, count)]
    assert names(passed_on) == latest


def test_a_loss_that_a_peer_tells_again_does_not_count_after_an_answer():
    clock = ManualClock(1_000.0)
    guard = CrashGuard(clock, LossLog(clock), LossWitness(clock))
    for number in range(3):
        guard.record(b'f', f'r{number} t{number}')
    assert guard.refuses(b'f')
    guard.record_served(b'f')
    guard.record_remote(b'f', 'r1 t1')
    assert guard.count(b'f') == 0
    guard.record(b'f', 'r4 t4')
    assert guard.count(b'f') == 1


# Guards against CONFIG: one crash under equal requests counted once for each,
# and all of them were refused although they were sound.
def test_a_target_counts_once_however_many_equal_requests_it_ran():
    clock = ManualClock(1_000.0)
    guard = CrashGuard(clock, LossLog(clock), LossWitness(clock))
    for number in range(8):
        guard.record(b'f', 'i0@7', ran_ms=10.0 * number)
        clock.advance(0.3)
    assert guard.count(b'f') == 1
    assert not guard.refuses(b'f')
    # It has started again under its id.
    guard.record(b'f', 'i0@8')
    clock.advance(10.0)
    guard.record(b'f', 'i0@9')
    assert guard.refuses(b'f')


# Guards against CONFIG: all equal requests were refused after the loss of a
# failure domain that had run some of them.
@pytest.mark.parametrize(
    'apart_ms, domain', [(0.0, ''), (2.0, ''), (50.0, 'd')]
)
def test_targets_lost_at_one_moment_do_not_refuse_a_request(apart_ms, domain):
    clock = ManualClock(1_000.0)
    witness = LossWitness(clock, lambda _: domain)
    guard = CrashGuard(clock, LossLog(clock), witness)
    for number in range(4):
        guard.record(b'f', f'i{number}@7', ran_ms=500.0)
        clock.advance(apart_ms)
    assert guard.count(b'f') == 4
    assert not guard.refuses(b'f')
    clock.advance(1_000.0)
    guard.record(b'f', 'i4@7')
    assert guard.refuses(b'f')


# Guards against BUDGET: a request that goes on at once ends three targets of a
# failure domain in quick succession.
def test_a_request_that_ends_one_target_after_the_other_is_refused():
    clock = ManualClock(1_000.0)
    witness = LossWitness(clock, lambda _: 'd')
    guard = CrashGuard(clock, LossLog(clock), witness)
    for number in range(3):
        assert not guard.refuses(b'f')
        clock.advance(20.0)
        guard.record(b'f', f'i{number}@7', ran_ms=20.0)
    assert guard.refuses(b'f')


# Guards against CONFIG: an entry that was told of losses, but not that the
# request was served since, refused it.
@pytest.mark.parametrize('served_first', [True, False])
def test_an_answer_at_another_entry_clears_the_losses_before_it(served_first):
    clock = ManualClock(1_000.0)
    log = LossLog(clock)
    guard = CrashGuard(clock, log, LossWitness(clock))
    if served_first:
        guard.record_served_remote(b'f', 100.0)
    for number in range(3):
        guard.record_remote(b'f', f'i{number}@7', 500.0 - 100.0 * number)
    if not served_first:
        assert guard.refuses(b'f')
        guard.record_served_remote(b'f', 100.0)
        # A process that has just started is told of it as well.
        assert names(log.after(0, log.last_number))[-1] == SERVED
    assert not guard.refuses(b'f')
    assert all(item.at_ms > 0 for item in log.after(0, log.last_number))
    guard.record_remote(b'f', 'i9@7', 50.0)
    assert guard.count(b'f') == 1


def test_an_answer_is_told_once_after_each_loss():
    clock = ManualClock(1_000.0)
    log = LossLog(clock)
    guard = CrashGuard(clock, log, LossWitness(clock))
    for number in range(2):
        clock.advance(10.0)
        guard.record(b'f', f'i{number}@7')
        for _ in range(3):
            clock.advance(10.0)
            guard.record_served(b'f')
    guard.record_served(b'other')
    assert names(log.after(0)) == ['i0@7', SERVED, 'i1@7', SERVED]
