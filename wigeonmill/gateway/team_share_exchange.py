"""Converts what teams were served to messages between entries and back."""

from collections.abc import Iterable

from wigeonmill.gateway.team_shares import TeamShares
from wigeonmill.gateway.team_shares import TeamWork
from wigeonmill.protocol.gen.inner.ttypes import ServedWork

# The largest amount that a message holds.
MAX_WORK = 2**63 - 1


def shares_to_wire(shares: TeamShares) -> list[ServedWork]:
    """Return the rows to tell another entry."""
    return [
        ServedWork(
            row.service,
            row.team,
            min(MAX_WORK, round(row.asked)),
            min(MAX_WORK, round(row.served)),
        )
        for row in shares.to_tell()
    ]


def apply_shares(
    shares: TeamShares, sender: str, received: Iterable[ServedWork]
) -> None:
    """Replace what another entry has told; incomplete rows are left out."""
    shares.apply(
        sender,
        [
            TeamWork(
                row.service_name,
                row.team or '',
                float(row.asked or 0),
                float(row.served or 0),
            )
            for row in received
            if row.service_name
        ],
    )
