"""Tests of the shares of limits that all entries have in common."""

import heapq
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import ColdAllowance
from wigeonmill.gateway.allowances import Fleet
from wigeonmill.gateway.allowances import LimitAllowance
from wigeonmill.gateway.allowances import MAX_RESERVED_MS
from wigeonmill.gateway.allowances import MAX_UNCONFIRMED_MS
from wigeonmill.gateway.allowances import RetryAllowance
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.sliding_window import SlidingWindow

COLD_PER_S = 17.0
LIMITS = RetryLimits(ratio=0.2, slack=50.0, window_ms=10_000.0)


def test_events_older_than_the_window_are_not_counted():
    clock = ManualClock()
    window = SlidingWindow(clock, 1_000.0)
    window.add()
    clock.advance(600)
    window.add()
    assert window.count() == 2
    assert window.delay_ms(2) == 400.0
    clock.advance(400)
    assert window.count() == 1
    assert window.delay_ms(2) == 0.0


def test_a_restarted_entry_starts_without_retry_slack():
    clock = ManualClock()
    allowance = RetryAllowance(clock, LIMITS)
    assert not allowance.try_acquire(entry_count=5)
    clock.advance(10_000)
    assert allowance.try_acquire(entry_count=5)


@given(
    st.integers(min_value=1, max_value=9),
    st.lists(st.integers(0, 300), min_size=200, max_size=400),
)
def test_all_entries_together_stay_within_the_limit_in_any_window(
    entry_count, intervals
):
    clock = ManualClock()
    shares = [RetryAllowance(clock, LIMITS) for _entry in range(entry_count)]
    requests, retries = [], []
    for turn, interval_ms in enumerate(intervals):
        clock.advance(interval_ms)
        share = shares[turn % entry_count]
        share.record_request()
        requests.append(clock.now_ms())
        while share.try_acquire(entry_count):
            retries.append(clock.now_ms())
    for end_ms in retries:
        start_ms = end_ms - LIMITS.window_ms
        retried = sum(1 for ms in retries if start_ms < ms <= end_ms)
        requested = sum(1 for ms in requests if start_ms < ms <= end_ms)
        assert retried <= LIMITS.ratio * requested + LIMITS.slack


def busiest_second(times):
    """Return the largest number of times within any second."""
    return max(
        sum(1 for ms in times if start_ms <= ms < start_ms + 1_000.0)
        for start_ms in times
    )


def test_all_entries_together_stay_within_the_rate_of_a_cold_target():
    clock = ManualClock()
    shares = [ColdAllowance(clock) for _entry in range(5)]
    sent = 0
    for _turn in range(100):
        for number, share in enumerate(shares):
            if share.wait_ms(20.0, 5, number / 5, 60_000.0) <= 0:
                share.record()
                sent += 1
        clock.advance(9.0)
    assert 10 <= sent <= 20


def test_many_entries_share_a_rate_below_one_request_per_second_each():
    clock = ManualClock()
    shares = [ColdAllowance(clock) for _entry in range(30)]
    sent = 0
    for _turn in range(300):
        for number, share in enumerate(shares):
            if share.wait_ms(12.0, 30, number / 30, 60_000.0) <= 0:
                share.record()
                sent += 1
        clock.advance(100.0)
    # 30 seconds at 12 requests per second, of which only a share is used.
    # The first interval may hold one request of each entry.
    assert 30 * 12 * 0.5 <= sent <= 30 * 12 * 0.8 + 30


@pytest.mark.parametrize('entry_count', [5, 30, 68, 420])
def test_a_target_that_returns_cold_gets_no_burst_from_all_entries(
    entry_count,
):
    """A target returns cold while every entry has requests for it."""
    rng = random.Random(entry_count)
    clock = ManualClock(1_000_000.0)
    allowances = [ColdAllowance(clock) for _entry in range(entry_count)]
    cold_ms = clock.now_ms() + 10_000.0
    # The entries learn of the target with different delays.
    delays_ms = [rng.uniform(0.0, 150.0) for _entry in range(entry_count)]
    sent = []
    for _request in range(5_250):
        clock.advance(rng.expovariate(0.525))
        number = rng.randrange(entry_count)
        wait_ms = allowances[number].wait_ms(
            COLD_PER_S,
            entry_count,
            number / entry_count,
            cold_ms + delays_ms[number],
        )
        if wait_ms <= 0:
            allowances[number].record()
            sent.append(clock.now_ms())
    assert busiest_second(sent) <= 1.5 * COLD_PER_S + 5
    assert len(sent) >= 0.3 * COLD_PER_S * 10


def test_a_cold_target_gets_no_burst_when_its_requests_arrive_together():
    """Another target fails after a quiet time, and its load moves here."""
    clock = ManualClock(1_000_000.0)
    allowances = [ColdAllowance(clock) for _entry in range(68)]
    cold_ms = clock.now_ms() + 8_000.0
    for quiet_ms in (500.0, 1_000.0, 1_777.0, 2_400.0):
        clock.advance(quiet_ms)
        sent = 0
        for number, allowance in enumerate(allowances):
            if allowance.wait_ms(COLD_PER_S, 68, number / 68, cold_ms) <= 0:
                allowance.record()
                sent += 1
        assert sent <= COLD_PER_S


def test_the_wait_for_a_cold_target_ends_at_the_next_slot():
    clock = ManualClock(1_000_000.0)
    allowance = ColdAllowance(clock)
    cold_ms = clock.now_ms() + 60_000.0
    for _turn in range(5):
        wait_ms = allowance.wait_ms(COLD_PER_S, 68, 0.5, cold_ms)
        clock.advance(wait_ms)
        assert allowance.wait_ms(COLD_PER_S, 68, 0.5, cold_ms) == 0.0
        allowance.record()
        assert allowance.wait_ms(COLD_PER_S, 68, 0.5, cold_ms) > 1_000.0


LIMITS_PER_S = [0.0, 0.1, 0.25, 0.5, 1.0, 1.7, 2.0, 3.9, 5.0, 9.3, 20.0, 100.0]
WINDOW_S = 4


def make_limited(clock, rank, entry_count):
    """Return the allowance of the entry with a rank among others."""
    fleet = Fleet(lambda: entry_count, lambda _key, count: rank < count)
    return LimitAllowance(clock, fleet, 't1')


def most_in_window(per_s, rank, entry_count):
    """Return how many requests an entry that was idle sends in a window."""
    clock = ManualClock()
    allowance = make_limited(clock, rank, entry_count)
    clock.advance(1_000_000.0)
    allowance.wait_ms(per_s)
    sent, elapsed_ms = 0, 0.0
    while elapsed_ms <= WINDOW_S * 1_000.0:
        wait_ms = allowance.wait_ms(per_s)
        if wait_ms <= 0:
            allowance.record()
            sent += 1
        elif wait_ms > WINDOW_S * 1_000.0:
            break
        clock.advance(wait_ms)
        elapsed_ms += wait_ms
    return sent


# Guards against LIMIT: entries that were idle send at the same time, and
# together more than one and a half times the limit and 5 requests in 4 s.
@pytest.mark.parametrize('per_s', LIMITS_PER_S)
@pytest.mark.parametrize('unknown', [0, 1, 2])
def test_no_number_of_entries_exceeds_the_limit_of_a_target(per_s, unknown):
    """Of the entries, `unknown` are known to themselves only."""
    counts = [*range(1, 41), 68, 200, 400] if not unknown else [5, 9, 30, 400]
    for entry_count in counts:
        known = entry_count - unknown
        sent = 0
        for rank in range(min(entry_count, int(per_s) + 12)):
            # An entry that the others don't know takes nobody's place.
            is_known = rank < known
            sent += most_in_window(
                per_s,
                rank if is_known else 0,
                known if is_known else entry_count,
            )
        allowed = 1.5 * per_s * WINDOW_S + 5
        assert sent <= allowed, f'{entry_count} entries'


# Guards against a limit that callers can't make use of.
@pytest.mark.parametrize('entry_count', [1, 2, 5, 6, 30, 400])
@pytest.mark.parametrize('per_s', [0.25, 0.5, 1.0, 3.9, 20.0, 100.0])
def test_at_least_half_of_a_limit_is_used(per_s, entry_count):
    rng = random.Random(entry_count)
    clock = ManualClock()
    allowances = [
        make_limited(clock, rank, entry_count) for rank in range(entry_count)
    ]
    arrivals_per_s = max(3.0 * entry_count, 4.0 * per_s)
    sent = 0
    while clock.now_ms() < 60_000.0:
        clock.advance(rng.expovariate(arrivals_per_s / 1_000.0))
        allowance = rng.choice(allowances)
        if allowance.wait_ms(per_s) <= 0:
            allowance.record()
            sent += 1
    assert 0.5 * per_s * 60 <= sent <= per_s * 60 + 8


# Guards against a full bucket at an entry that has just learned of a limit.
def test_an_entry_that_learns_of_a_limit_waits_for_its_first_request():
    clock = ManualClock(50_000.0)
    allowance = make_limited(clock, 0, 5)
    clock.advance(60_000.0)
    allowance.reset()
    wait_ms = allowance.wait_ms(2.0)
    assert 2_000.0 < wait_ms < 4_000.0
    clock.advance(wait_ms)
    assert allowance.wait_ms(2.0) == 0.0


# Guards against entries that are never told when they may come back.
def test_an_entry_that_may_not_send_waits_as_long_as_the_others_on_average():
    clock = ManualClock()
    allowance = make_limited(clock, 9, 30)
    assert allowance.wait_ms(2.0) == pytest.approx(625.0)


# Guards against an entry that keeps a limit for good: it may not send, and so
# is never told of the end.
def test_an_entry_sends_if_a_limit_has_not_been_confirmed_for_long():
    clock = ManualClock()
    allowance = make_limited(clock, 9, 30)
    clock.advance(MAX_UNCONFIRMED_MS)
    assert allowance.wait_ms(2.0, MAX_UNCONFIRMED_MS - 1.0) > 0
    assert allowance.wait_ms(2.0, MAX_UNCONFIRMED_MS) == 0


# Guards against less urgent requests that use up a limit: callers that were
# refused come back later than others arrive.
def test_the_next_request_is_kept_for_a_more_urgent_one_that_was_refused():
    clock = ManualClock()
    allowance = make_limited(clock, 0, 1)
    clock.advance(allowance.wait_ms(1.0))
    allowance.record()
    wait_ms = allowance.wait_ms(1.0)
    allowance.reserve(priority=1, wait_ms=wait_ms)
    allowance.reserve(priority=4, wait_ms=wait_ms)
    clock.advance(wait_ms)
    assert allowance.wait_ms(1.0, priority=1) == 0.0
    assert allowance.wait_ms(1.0, priority=2) > 0.0
    clock.advance(MAX_RESERVED_MS)
    assert allowance.wait_ms(1.0, priority=2) == 0.0
    allowance.reserve(priority=1, wait_ms=wait_ms)
    allowance.record()
    clock.advance(wait_ms)
    assert allowance.wait_ms(1.0, priority=2) == 0.0


# Guards against a limit that is left unused, and against urgent requests that
# are served no better than others.
def test_urgent_requests_go_first_where_a_limit_is_short():
    rng = random.Random(5)
    clock = ManualClock()
    allowance = make_limited(clock, 0, 1)
    arrivals = [
        (rng.uniform(0.0, 300_000.0), priority, tries)
        for priority, tries, count in ((1, 2, 300), (5, 2, 1_500))
        for _request in range(count)
    ]
    heapq.heapify(arrivals)
    sent = {1: 0, 5: 0}
    while arrivals:
        at_ms, priority, tries = heapq.heappop(arrivals)
        clock.set_ms(at_ms)
        wait_ms = allowance.wait_ms(2.0, priority=priority)
        if wait_ms <= 0:
            allowance.record()
            sent[priority] += 1
            continue
        allowance.reserve(priority, wait_ms)
        if tries > 1:
            back_ms = at_ms + wait_ms * rng.uniform(1.0, 1.5)
            heapq.heappush(arrivals, (back_ms, priority, tries - 1))
    assert sent[1] / 300 > 2 * sent[5] / 1_500
    assert sum(sent.values()) >= 0.5 * 2.0 * 300
