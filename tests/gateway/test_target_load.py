"""What other entries have open counts exactly, and not for long."""

from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.target_load import PEER_LOAD_TTL_MS
from wigeonmill.gateway.target_load import PeerLoad
from wigeonmill.gateway.target_load import PeerLoads
from wigeonmill.gateway.target_load import PRIORITIES
from wigeonmill.gateway.target_load import TargetLoad
from wigeonmill.gateway.target_load import WHOLE_ANSWER_MS

TOKENS = st.lists(st.integers(0, 100_000), max_size=PRIORITIES)
STEPS = st.lists(
    st.tuples(
        st.sampled_from('abc'),
        st.one_of(st.none(), st.tuples(st.integers(0, 50), TOKENS, TOKENS)),
        st.floats(0, PEER_LOAD_TTL_MS),
    )
)


@given(STEPS, st.integers(0, PRIORITIES))
def test_sums_are_those_of_the_loads_that_still_count(steps, priorities):
    clock = ManualClock()
    sums = PeerLoads(clock)
    loads = {}
    for entry, told, passes_ms in steps:
        loads.pop(entry, None)
        if told is None:
            sums.clear(entry)
        else:
            loads[entry] = PeerLoad(*told, clock.now_ms())
            sums.set(entry, loads[entry])
        clock.advance(passes_ms)
        oldest_ms = clock.now_ms() - PEER_LOAD_TTL_MS
        fresh = [load for load in loads.values() if load.at_ms >= oldest_ms]
        assert sums.runs() == sum(load.runs for load in fresh)
        assert sums.tokens(priorities) == sum(
            sum(load.tokens[:priorities]) for load in fresh
        )
        assert sums.waiting_tokens(priorities) == sum(
            sum(load.waiting_tokens[:priorities]) for load in fresh
        )


def test_the_wait_for_a_slot_is_not_learned_as_work():
    """It counts by the open requests; learned too, it would count twice."""
    clock = ManualClock()
    load = TargetLoad(clock)
    sends = [load.open(0, 0, 0) for _turn in range(24)]
    began_ms = clock.now_ms()
    for number, send in enumerate(sends):
        # Six slots that come free one after the other.
        turns = max(1.0, (number + 1) / 6)
        clock.set_ms(began_ms + turns * WHOLE_ANSWER_MS)
        load.whole_answer(send, slots=6)
        load.close(send)
    assert load.whole_answer_ms(slots=6) <= 1.1 * WHOLE_ANSWER_MS
