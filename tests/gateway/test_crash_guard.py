"""Losses are passed on to other entries as long as they count."""

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.crash_guard import CrashGuard
from wigeonmill.gateway.loss_log import LOSS_TTL_MS
from wigeonmill.gateway.loss_log import LossLog
from wigeonmill.gateway.loss_log import MAX_KNOWN_LOSSES
from wigeonmill.gateway.loss_log import MAX_LOSSES_PER_UPDATE


def names(losses):
    return [item.loss for item in losses]


# Guards against BUDGET: a peer that was away for longer than 10 s never
# learns which requests crash their targets, although their losses count.
def test_a_loss_is_passed_on_as_long_as_it_counts():
    clock = ManualClock(1_000.0)
    log = LossLog(clock)
    guard = CrashGuard(clock, log)
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
    guard = CrashGuard(clock, log)
    guard.record_remote(b'f', 'r1 t1')
    guard.record(b'f', 'r1 t2')
    known = log.last_number
    guard.record_remote(b'f', 'r1 t3')
    assert names(log.after(0, known)) == ['r1 t1', 'r1 t2']
    assert names(log.after(0)) == ['r1 t2']


def test_losses_are_passed_on_in_bounded_batches():
    clock = ManualClock(1_000.0)
    log = LossLog(clock)
    guard = CrashGuard(clock, log)
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
    guard = CrashGuard(clock, LossLog(clock))
    for number in range(3):
        guard.record(b'f', f'r{number} t{number}')
    assert guard.refuses(b'f')
    guard.record_served(b'f')
    guard.record_remote(b'f', 'r1 t1')
    assert guard.count(b'f') == 0
    guard.record(b'f', 'r4 t4')
    assert guard.count(b'f') == 1
