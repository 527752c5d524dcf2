from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonmill.agent.limiter import ConcurrencyLimiter
from wigeonmill.agent.limiter import LimiterSettings
from wigeonmill.agent.limiter import make_limiter

EVENTS = st.lists(st.sampled_from(['healthy', 'overload', 'cold']))


@given(st.integers(1, 4), st.integers(0, 60), EVENTS)
def test_limit_stays_in_bounds_and_is_reset_when_cold(cold, extra, events):
    limiter = make_limiter(cold, cold + extra)
    assert limiter.limit == cold
    for event in events:
        before = limiter.limit
        getattr(limiter, f'on_{event}')()
        assert cold <= limiter.limit <= cold + extra
        assert limiter.limit <= before + 1
        if event == 'cold':
            assert limiter.limit == cold


def test_limit_grows_only_after_the_cold_completions():
    settings = LimiterSettings(cold=1, maximum=8, cold_completions=3)
    limiter = ConcurrencyLimiter(settings)
    for _ in range(3):
        limiter.on_healthy()
    assert limiter.cold and limiter.limit == 1
    for _ in range(7):
        limiter.on_healthy()
    assert not limiter.cold and limiter.limit == 8


def test_growth_is_additive_beyond_the_threshold():
    limiter = ConcurrencyLimiter(LimiterSettings(1, 64, cold_completions=0))
    for _ in range(39):
        limiter.on_healthy()
    limiter.on_overload()
    assert limiter.limit == 20
    for _ in range(19):
        limiter.on_healthy()
    assert limiter.limit == 20


def test_invalid_bounds_are_refused():
    with pytest.raises(ValueError):
        ConcurrencyLimiter(LimiterSettings(cold=0, maximum=4))


def test_new_bounds_apply_at_once():
    limiter = make_limiter(2, 16)
    limiter.set_bounds(1, 16)
    assert limiter.limit == 1
    for _run in range(40):
        limiter.on_healthy()
    assert limiter.limit == 16
    limiter.set_bounds(1, 8)
    assert limiter.limit == 8
    limiter.on_healthy()
    assert limiter.limit == 8
    limiter.on_cold()
    assert limiter.limit == 1
