import pytest

from wigeonmill.clock import Clock
from wigeonmill.clock import ManualClock


def test_manual_clock_cannot_go_back():
    clock = ManualClock(5.0)
    clock.advance(2.5)
    assert clock.now_ms() == 7.5
    with pytest.raises(ValueError):
        clock.set_ms(7.0)


def test_clock_is_monotonic():
    clock = Clock()
    first = clock.now_ms()
    assert clock.now_ms() >= first
