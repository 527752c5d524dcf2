"""Tests which answers count as slow."""

import math
import random

import pytest

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.slow_answers import AnswerTimes
from wigeonmill.gateway.slow_answers import AnswerWatch
from wigeonmill.gateway.slow_answers import HALF_LIFE_MS
from wigeonmill.gateway.slow_answers import RecentTargets
from wigeonmill.gateway.slow_answers import SlowAnswers

EXPECTED_MS = 100.0


@pytest.fixture
def clock():
    return ManualClock(0.0)


def feed(times, ratios):
    for ratio in ratios:
        times.add(ratio)


def test_nothing_is_slow_until_the_kind_is_known(clock):
    times = AnswerTimes(clock)
    feed(times, [1.0] * 19)
    assert times.slow_ratio() == math.inf
    feed(times, [1.0] * 2)
    assert times.slow_ratio() < 1.3


def test_nearly_all_answers_are_not_slow(clock):
    rng = random.Random(1)
    ratios = [rng.lognormvariate(0.0, 0.4) for _ in range(2_000)]
    times = AnswerTimes(clock)
    feed(times, ratios)
    slow = sum(ratio > times.slow_ratio() for ratio in ratios)
    assert slow <= 0.05 * len(ratios)


# Load: one target of five answers ten times slower.
def test_a_slow_fifth_of_the_answers_does_not_count_as_usual(clock):
    times = AnswerTimes(clock)
    feed(times, [1.0, 1.0, 1.0, 1.0, 10.0] * 40)
    assert times.slow_ratio() < 5.0
    assert times.remaining(times.slow_ratio()) > 5.0


# Load: all targets slow.
def test_answers_that_all_take_longer_are_soon_usual(clock):
    times = AnswerTimes(clock)
    feed(times, [1.0] * 100)
    clock.advance(10_000.0)
    feed(times, [10.0] * 100)
    assert times.slow_ratio() > 10.0


def test_what_was_usual_fades(clock):
    times = AnswerTimes(clock)
    feed(times, [1.0] * 100)
    clock.advance(5 * HALF_LIFE_MS)
    assert times.slow_ratio() == math.inf


# Load: one of many entries gets a request of the kind every 700 ms.
def test_a_kind_with_few_requests_an_entry_is_known(clock):
    times = AnswerTimes(clock)
    for _ in range(60):
        clock.advance(700.0)
        times.add(1.0)
    assert times.slow_ratio() < 1.3


# Load: one of many entries gets two requests of a service a second, and few of
# them are of the kind.
def test_a_kind_with_few_requests_goes_by_its_service(clock):
    answers = SlowAnswers(clock)
    read = answers.kind('s', 'read')
    for number in range(24):
        clock.advance(500.0)
        route = 'write' if number % 4 else 'read'
        repeatable = route == 'read'
        followed = AnswerWatch(
            clock, answers.kind('s', route), 't1', EXPECTED_MS, repeatable
        )
        assert repeatable or followed.late_at_ms == math.inf
        clock.advance(EXPECTED_MS)
        followed.record_answer()
    assert read.times.slow_ratio() == math.inf
    late_at_ms = AnswerWatch(clock, read, 't1', EXPECTED_MS).late_at_ms
    assert late_at_ms < clock.now_ms() + 1.3 * EXPECTED_MS
    other = AnswerWatch(clock, answers.kind('s2', 'read'), 't1', EXPECTED_MS)
    assert other.late_at_ms == math.inf


# Load: answers of which most slow ones are only a little later than usual. The
# buckets are 19 % wide.
@pytest.mark.parametrize('quantile', [0.5, 0.9, 0.95, 0.98])
def test_the_remaining_time_is_the_mean_of_later_answers(clock, quantile):
    rng = random.Random(1)
    ratios = sorted(rng.lognormvariate(0.0, 0.4) for _ in range(2_000))
    times = AnswerTimes(clock)
    feed(times, ratios)
    ratio = ratios[int(quantile * len(ratios))]
    beyond = [later - ratio for later in ratios if later > ratio]
    mean = sum(beyond) / len(beyond)
    assert times.remaining(ratio) == pytest.approx(mean, rel=0.19)


def test_an_answer_later_than_any_goes_on_as_long_as_it_took(clock):
    times = AnswerTimes(clock)
    feed(times, [1.0] * 100)
    assert times.remaining(8.0) == 8.0


def test_targets_are_all_slow_only_if_most_of_them_are(clock):
    targets = RecentTargets(clock)
    for number in range(5):
        targets.record(f't{number}', slow=False)
    targets.record('t0', slow=True)
    targets.record('t1', slow=True)
    assert targets.is_slow('t0')
    assert not targets.most_are_slow()
    targets.record('t2', slow=True)
    assert targets.most_are_slow()
    targets.record('t2', slow=False)
    assert not targets.most_are_slow()
    clock.advance(2_001.0)
    assert not targets.is_slow('t0')


def test_targets_that_are_gone_are_forgotten(clock):
    targets = RecentTargets(clock)
    for number in range(1_000):
        clock.advance(100.0)
        targets.record(f't{number}', slow=False)
    assert len(targets._seen) <= 21


def test_the_usual_time_is_on_the_scale_of_the_answers(clock):
    kind = SlowAnswers(clock).kind('s', 'r')
    feed(kind.times, [3.0] * 40)
    followed = AnswerWatch(clock, kind, 't1', EXPECTED_MS)
    assert followed.usual_ms(200.0) == pytest.approx(600.0, rel=0.2)


def watch(clock, kind, took_ms, end):
    followed = AnswerWatch(clock, kind, 't1', EXPECTED_MS)
    clock.advance(took_ms)
    getattr(followed, end)()
    return followed


def test_an_answer_given_up_counts_as_slow_and_one_in_time_not_at_all(clock):
    kind = SlowAnswers(clock).kind('s', 'r')
    for _ in range(40):
        watch(clock, kind, EXPECTED_MS, 'record_answer')
    before = kind.times.slow_ratio()
    for _ in range(10):
        watch(clock, kind, EXPECTED_MS / 2, 'record_cut')
    assert kind.times.slow_ratio() == before
    for _ in range(10):
        watch(clock, kind, 4 * EXPECTED_MS, 'record_cut')
    assert kind.times.slow_ratio() > before
    assert kind.targets.is_slow('t1')


def test_an_answer_is_late_once_it_is_slow(clock):
    kind = SlowAnswers(clock).kind('s', 'r')
    for _ in range(40):
        watch(clock, kind, EXPECTED_MS, 'record_answer')
    followed = watch(clock, kind, 2 * EXPECTED_MS, 'record_late')
    assert followed.is_late
    followed.record_answer()
    assert not followed.is_late
