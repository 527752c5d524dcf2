from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.gateway.rollout_plan import EngineState
from wigeonmill.gateway.rollout_plan import plan_wave


def engine(number, version=1, ordered=False, runs=0):
    return EngineState(f'e{number}', 'd', version, ordered, runs)


def test_at_most_a_third_of_the_engines_load_at_a_time():
    wave = plan_wave([engine(n) for n in range(9)], desired_version=2)
    assert len(wave.start) == 3
    assert wave.loading == wave.start


def test_the_least_busy_engines_go_first():
    engines = [engine(0, runs=5), engine(1, runs=1), engine(2, runs=3)]
    assert plan_wave(engines, desired_version=2).start == ('e1',)


def test_engines_with_the_oldest_weights_go_first():
    engines = [engine(0, version=2), engine(1, version=1, runs=9)]
    assert plan_wave(engines, desired_version=3).start == ('e1',)


def test_a_single_engine_is_loaded():
    assert plan_wave([engine(0)], desired_version=2).start == ('e0',)


@given(
    st.lists(
        st.tuples(st.integers(1, 3), st.booleans(), st.integers(0, 9)),
        max_size=30,
    )
)
def test_a_leader_continues_from_any_reported_state(values):
    engines = [engine(n, *value) for n, value in enumerate(values)]
    wave = plan_wave(engines, desired_version=3)
    by_id = {e.id: e for e in engines}
    assert all(by_id[id_].version < 3 for id_ in wave.start)
    assert not any(by_id[id_].ordered for id_ in wave.start)
    ordered = sum(1 for e in engines if e.ordered)
    max_loading = max(1, len(engines) // 3)
    assert len(wave.start) <= max(0, max_loading - ordered)
    behind = [e for e in engines if e.version < 3 and not e.ordered]
    if behind and ordered < max_loading:
        assert wave.start
