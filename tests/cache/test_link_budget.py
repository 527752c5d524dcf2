from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonmill.cache.link_budget import LinkBudget

LIMIT = 1000
STEPS = st.lists(
    st.tuples(
        st.floats(0, 700),
        st.integers(1, 600),
        st.floats(0, 900),
        st.booleans(),
    ),
    max_size=40,
)


@given(STEPS)
def test_no_window_of_a_second_exceeds_the_limit(steps):
    budget = LinkBudget(LIMIT)
    now_ms, granted, open_transfers = 0.0, [], []
    for wait_ms, size, lasts_ms, urgent in steps:
        now_ms += wait_ms
        for ends_ms, transfer in sorted(open_transfers, key=lambda o: o[0]):
            if ends_ms <= now_ms:
                budget.end(transfer, ends_ms, transfer.size_bytes)
        open_transfers = [o for o in open_transfers if o[0] > now_ms]
        transfer = budget.grant(size, now_ms, urgent)
        if transfer is not None:
            open_transfers.append((now_ms + lasts_ms, transfer))
            granted.append((now_ms, now_ms + lasts_ms, size))
    # All bytes of a transfer may be sent within any window that it overlaps.
    for window_ms in {at for start, end, _ in granted for at in (start, end)}:
        overlapping = [
            size
            for start, end, size in granted
            if start < window_ms + 1000 and end >= window_ms
        ]
        assert sum(overlapping) <= LIMIT


def test_exports_leave_the_reserve_to_imports():
    budget = LinkBudget(LIMIT, reserve_share=0.4)
    assert budget.grant(600, 0.0, urgent=False)
    assert budget.grant(1, 0.0, urgent=False) is None
    assert budget.grant(400, 0.0, urgent=True)
    assert budget.refused == 1


def test_unused_bytes_of_a_cut_off_transfer_are_available_again():
    budget = LinkBudget(LIMIT)
    transfer = budget.grant(1000, 0.0, urgent=True)
    budget.end(transfer, 10.0, moved_bytes=300)
    assert budget.available(10.0, urgent=True) == 700
    assert budget.available(1010.0, urgent=True) == 1000
    with pytest.raises(ValueError):
        budget.end(transfer, 20.0, moved_bytes=0)
