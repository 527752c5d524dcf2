"""Converts claims on common limits to messages between entries and back."""

from collections.abc import Iterable

from wigeonmill.gateway.demand_shares import Claim
from wigeonmill.gateway.demand_shares import DemandShares
from wigeonmill.protocol.gen.inner.ttypes import DemandClaim


def claims_to_wire(shares: DemandShares) -> list[DemandClaim]:
    """Return the claims for an answer to another entry."""
    return [
        DemandClaim(claim.service, claim.amount, claim.requests)
        for claim in shares.claims_to_tell()
    ]


def apply_claims(
    shares: DemandShares,
    sender: str,
    received: Iterable[DemandClaim],
    asked_ms: float,
) -> None:
    """Apply the claims in an answer; incomplete ones are left out.

    `asked_ms` is when the other entry was asked, on the clock that includes
    time spent suspended.
    """
    shares.apply(
        sender,
        [
            Claim(row.service_name, row.amount, row.requests or 0)
            for row in received
            if row.service_name and row.amount is not None
        ],
        asked_ms,
    )
