"""Tests of the shares of limits that all entries have in common."""

from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import ColdAllowance
from wigeonmill.gateway.allowances import RetryAllowance
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.sliding_window import SlidingWindow

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


def test_all_entries_together_stay_within_the_rate_of_a_cold_target():
    clock = ManualClock()
    shares = [ColdAllowance(clock) for _entry in range(5)]
    sent = 0
    for _turn in range(100):
        for share in shares:
            if share.wait_ms(20.0, entry_count=5) <= 0:
                share.record()
                sent += 1
        clock.advance(9.0)
    assert 10 <= sent <= 20


def test_many_entries_share_a_rate_below_one_request_per_second_each():
    clock = ManualClock()
    shares = [ColdAllowance(clock) for _entry in range(30)]
    sent = 0
    for _turn in range(300):
        for share in shares:
            if share.wait_ms(12.0, entry_count=30) <= 0:
                share.record()
                sent += 1
        clock.advance(100.0)
    # 30 seconds at 12 requests per second, of which only a share is used.
    # Each entry may send its first request at once.
    assert 30 * 12 * 0.5 <= sent <= 30 * 12 * 0.8 + 30
