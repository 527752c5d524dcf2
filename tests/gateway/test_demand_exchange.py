"""Claims on common limits in messages between entries."""

from thrift.TSerialization import deserialize
from thrift.TSerialization import serialize

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.demand_exchange import apply_claims
from wigeonmill.gateway.demand_exchange import claims_to_wire
from wigeonmill.gateway.demand_shares import DemandShares
from wigeonmill.protocol.gen.inner.ttypes import DemandClaim
from wigeonmill.protocol.gen.inner.ttypes import EntryNews


def make_shares(clock):
    return DemandShares(clock, lambda: 2, lambda _name: True, enabled=True)


def test_a_claim_reaches_the_other_entry():
    clock = ManualClock(1_000_000.0)
    sender, receiver = make_shares(clock), make_shares(clock)
    sender.record_request('s')
    receiver.record_request('s')
    before = receiver.part('s', 0.0)
    clock.advance(500.0)
    news = EntryNews(sender='e1', demand_claims=claims_to_wire(sender))
    received = deserialize(EntryNews(), serialize(news))
    rows = received.demand_claims
    assert [(row.service_name, row.requests) for row in rows] == [('s', 1)]
    apply_claims(receiver, 'e1', rows, clock.boot_ms())
    assert receiver.part('s', 0.0) > before


# An older build sends none, and a later one may leave fields out.
def test_an_incomplete_claim_counts_as_not_known():
    clock = ManualClock(1_000_000.0)
    shares = make_shares(clock)
    shares.record_request('s')
    before = shares.part('s', 0.0)
    clock.advance(500.0)
    apply_claims(
        shares,
        'e1',
        [DemandClaim(), DemandClaim('s', None, 5)],
        clock.boot_ms(),
    )
    assert shares.part('s', 0.0) == before
