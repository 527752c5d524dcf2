import random

from wigeonmill.clock import ManualClock
from wigeonmill.routing.circuit import CircuitBreakers
from wigeonmill.routing.circuit import CircuitState
from wigeonmill.routing.circuit import FAILURES_TO_OPEN
from wigeonmill.routing.circuit import FIRST_OPEN_MS


def _opened():
    clock = ManualClock()
    breakers = CircuitBreakers(clock, random.Random(3))
    for _failure in range(FAILURES_TO_OPEN):
        assert not breakers.blocked('a')
        breakers.record_failure('a')
    return clock, breakers


def test_circuit_opens_and_lets_one_probe_through():
    clock, breakers = _opened()
    assert breakers.blocked('a')
    assert not breakers.blocked('b')
    clock.advance(FIRST_OPEN_MS)
    assert not breakers.blocked('a')
    breakers.record_dispatch('a')
    assert breakers.state('a') is CircuitState.HALF_OPEN
    assert breakers.blocked('a')
    breakers.record_success('a')
    assert breakers.state('a') is CircuitState.CLOSED
    assert len(breakers) == 0


def test_failed_probe_opens_for_longer():
    clock, breakers = _opened()
    clock.advance(FIRST_OPEN_MS)
    breakers.record_dispatch('a')
    breakers.record_failure('a')
    clock.advance(FIRST_OPEN_MS * 0.9)
    assert breakers.blocked('a')


def test_unanswered_probe_allows_another():
    clock, breakers = _opened()
    clock.advance(FIRST_OPEN_MS)
    breakers.record_dispatch('a')
    clock.advance(FIRST_OPEN_MS)
    assert not breakers.blocked('a')


def test_open_times_are_jittered():
    times = set()
    for seed in range(10):
        clock = ManualClock()
        breakers = CircuitBreakers(clock, random.Random(seed))
        for _failure in range(FAILURES_TO_OPEN):
            breakers.record_failure('a')
        while breakers.blocked('a'):
            clock.advance(10.0)
        times.add(clock.now_ms())
    assert len(times) > 3
