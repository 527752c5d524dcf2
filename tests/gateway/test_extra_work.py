"""Tests that extra work stays within the operators' share."""

import random

import pytest

from tests.gateway.samples import make_generation
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.extra_work import attempt_work
from wigeonmill.gateway.extra_work import ExtraWork
from wigeonmill.gateway.extra_work import ExtraWorkLimits

SHARE = 0.05
WINDOW_MS = 10_000.0
LIMITS = ExtraWorkLimits(SHARE, WINDOW_MS)


# Load: every answer is slow, so each entry spends what it may at once. The
# traffic of the entries is uneven, and each is restarted once.
@pytest.mark.parametrize('entries', [1, 5, 29, 100])
def test_the_share_holds_over_all_entries_in_each_window(entries):
    clock = ManualClock(0.0)
    rng = random.Random(entries)
    works = [ExtraWork(clock, LIMITS) for _ in range(entries)]
    done = []
    by_entry = {}
    for _ in range(4_000):
        clock.advance(rng.expovariate(1 / 10.0))
        number = int(entries * rng.random() ** 2)
        if rng.random() < 0.01:
            works[number] = ExtraWork(clock, LIMITS)
        work = rng.choice([10.0, 500.0])
        entry = works[number]
        entry.record_work(work)
        extra = 0.0
        if works[number].available >= work:
            works[number].record_extra(work)
            extra = work
        done.append((clock.now_ms(), work, extra))
        by_entry.setdefault(entry, []).append(done[-1])
    assert sum(extra for _at, _work, extra in done) > 0.0
    for until_ms in range(0, int(clock.now_ms()), 500):
        extra = sum(
            e for at, _, e in done if until_ms - WINDOW_MS < at <= until_ms
        )
        # What was spent at the begin of a window was earned before it.
        work = sum(
            w for at, w, _ in done if until_ms - 2 * WINDOW_MS < at <= until_ms
        )
        assert extra <= SHARE * work + 1e-6
    for done in by_entry.values():
        assert_share_of_largest_window(done)


def assert_share_of_largest_window(done):
    """Check each window of an entry by the largest one that ends in it."""
    largest = [
        (end, sum(w for at, w, _ in done if end - WINDOW_MS < at <= end))
        for end, _, _ in done
    ]
    for until_ms, _, _ in done:
        begin_ms = until_ms - WINDOW_MS
        extra = sum(e for at, _, e in done if begin_ms < at <= until_ms)
        work = max(w for end, w in largest if begin_ms < end <= until_ms)
        assert extra <= SHARE * work + 1e-6


# Load: a service at which no answer is ever slow.
def test_what_is_kept_ends_though_nobody_asks_for_it():
    clock = ManualClock(0.0)
    work = ExtraWork(clock, LIMITS)
    for _ in range(5_000):
        clock.advance(10.0)
        work.record_work(1.0)
        work.record_extra(0.01)
        assert len(work) <= 2 * WINDOW_MS / 10.0


def test_an_entry_that_has_just_started_earns_before_it_spends():
    work = ExtraWork(ManualClock(0.0), LIMITS)
    assert work.available == 0.0
    work.record_work(1_000.0)
    assert work.available == pytest.approx(50.0)
    work.record_extra(50.0)
    assert work.available == pytest.approx(0.0)


def test_both_sums_end_with_their_window():
    clock = ManualClock(0.0)
    work = ExtraWork(clock, LIMITS)
    work.record_work(1_000.0)
    clock.advance(6_000.0)
    work.record_extra(50.0)
    clock.advance(5_000.0)
    assert work.available == -50.0
    clock.advance(5_000.0)
    assert work.available == 0.0


def test_the_work_of_an_attempt_is_what_its_target_has_to_do():
    generation = make_generation()
    assert attempt_work(generation, 1_500, 90.0) == 1_564.0
    assert attempt_work(None, 0, 90.0) == 90.0
