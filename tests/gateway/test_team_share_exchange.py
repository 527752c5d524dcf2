import pytest
from thrift.TSerialization import deserialize
from thrift.TSerialization import serialize

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.team_share_exchange import apply_shares
from wigeonmill.gateway.team_share_exchange import shares_to_wire
from wigeonmill.gateway.team_shares import TeamShares
from wigeonmill.protocol.gen.inner.ttypes import ServedWork


def test_what_is_told_is_added_to_the_own_counts():
    clock = ManualClock()
    sender, receiver = TeamShares(clock), TeamShares(clock)
    sender.record_shortage('s')
    sender.record_asked('s', 'large', 80.0)
    sender.record_served('s', 'large', 40.0)
    receiver.record_asked('s', 'small', 20.0)
    receiver.record_served('s', 'small', 5.0)
    # A second copy of an update replaces the first one.
    for _each in range(2):
        apply_shares(receiver, 'e1', shares_to_wire(sender))
    assert receiver.is_above('s', 'large')
    assert receiver.ratio('s', 'small') == 5.0 / 25.0


def test_rows_of_later_builds_with_missing_fields_are_left_out():
    shares = TeamShares(ManualClock())
    apply_shares(shares, 'e1', [ServedWork(), ServedWork('s', 't', -1, None)])
    assert shares.ratio('s', 't') == 0.0


@pytest.mark.parametrize('work', [3e9, 1e30])
def test_a_huge_amount_reaches_the_other_entry(work):
    clock = ManualClock()
    sender, receiver = TeamShares(clock), TeamShares(clock)
    sender.record_shortage('s')
    sender.record_asked('s', 'large', work)
    sender.record_served('s', 'large', work)
    rows = [
        deserialize(ServedWork(), serialize(row))
        for row in shares_to_wire(sender)
    ]
    receiver.record_asked('s', 'small', work)
    apply_shares(receiver, 'e1', rows)
    assert receiver.is_above('s', 'large')
    assert rows[0].asked == min(int(work), 2**63 - 1)
