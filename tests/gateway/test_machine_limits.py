"""What callers may make a process hold follows from its machine."""

from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.gateway.machine_limits import caller_conns_limit
from wigeonmill.gateway.machine_limits import held_bytes_limit
from wigeonmill.gateway.machine_limits import MIN_BYTES
from wigeonmill.gateway.machine_limits import unread_bytes_limit

MB = 1_000_000


@given(st.integers(60, 2_000), st.integers(20, 60))
def test_all_bounds_together_fit_beside_the_process(memory_mb, needed_mb):
    memory, needed = memory_mb * MB, needed_mb * MB
    held = held_bytes_limit(memory, needed)
    unread = unread_bytes_limit(memory, needed)
    assert held + unread + needed <= max(memory, needed + 2 * MIN_BYTES)


def test_the_smallest_machine_holds_several_bodies():
    assert held_bytes_limit(150 * MB, 60 * MB) >= 8 * 4 * 1024 * 1024


def test_a_process_without_room_still_holds_something():
    assert held_bytes_limit(50 * MB, 60 * MB) == MIN_BYTES


def test_the_process_keeps_descriptors_for_itself():
    assert caller_conns_limit(4_100) == 2_925
    assert caller_conns_limit(600) == 300
    assert caller_conns_limit(100) > 0
