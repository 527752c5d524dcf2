"""Tests of the load estimates of one target."""

from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.target_load import INITIAL_ANSWER_MS
from wigeonmill.gateway.target_load import PEER_LOAD_TTL_MS
from wigeonmill.gateway.target_load import PeerLoad
from wigeonmill.gateway.target_load import PeerLoads
from wigeonmill.gateway.target_load import PRIORITIES
from wigeonmill.gateway.target_load import TargetLoad

TOKENS = st.lists(st.integers(0, 100_000), max_size=PRIORITIES)
STEPS = st.lists(
    st.tuples(
        st.sampled_from('abc'),
        st.one_of(st.none(), st.tuples(st.integers(0, 50), TOKENS, TOKENS)),
        st.floats(0, PEER_LOAD_TTL_MS),
    )
)


@given(STEPS, st.integers(0, PRIORITIES))
def test_sums_cover_exactly_the_unexpired_peer_loads(steps, priorities):
    clock = ManualClock()
    sums = PeerLoads(clock)
    loads = {}
    for entry, reported, elapsed_ms in steps:
        loads.pop(entry, None)
        if reported is None:
            sums.clear(entry)
        else:
            loads[entry] = PeerLoad(*reported, clock.now_ms())
            sums.set(entry, loads[entry])
        clock.advance(elapsed_ms)
        oldest_ms = clock.now_ms() - PEER_LOAD_TTL_MS
        fresh = [load for load in loads.values() if load.at_ms >= oldest_ms]
        assert sums.runs() == sum(load.runs for load in fresh)
        assert sums.tokens(priorities) == sum(
            sum(load.tokens[:priorities]) for load in fresh
        )
        assert sums.waiting_tokens(priorities) == sum(
            sum(load.waiting_tokens[:priorities]) for load in fresh
        )


def test_slot_wait_is_excluded_from_the_mean_answer_time():
    """The wait is estimated from the open requests.

    If the mean answer time contained it as well, it would count twice.
    """
    clock = ManualClock()
    load = TargetLoad(clock)
    requests = [load.open(0, 0, 0) for _turn in range(24)]
    started_ms = clock.now_ms()
    for number, request in enumerate(requests):
        # Six slots become free one after the other.
        rounds = max(1.0, (number + 1) / 6)
        clock.set_ms(started_ms + rounds * INITIAL_ANSWER_MS)
        load.record_whole_answer(request, slots=6)
        load.close(request)
    assert load.whole_answer_ms(slots=6) <= 1.1 * INITIAL_ANSWER_MS
