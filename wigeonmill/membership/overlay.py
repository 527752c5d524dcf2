"""Chooses each process's few neighbors and the readers of a domain.

The members stand in several rings, each in its own hash order. Neighbors
are the next and the previous member of each ring, so everyone has about
the same small number and the graph's diameter grows with the logarithm of
the number of members.
"""

from collections.abc import Sequence

import xxhash

from wigeonmill.membership.member import Member

RINGS = 3
READERS_PER_DOMAIN = 2


def neighbors(me: Member, others: Sequence[Member]) -> list[Member]:
    """Return the neighbors of `me` among the living `others`."""
    chosen: dict[str, Member] = {}
    for ring in range(RINGS):
        for member in _beside(ring, me, others):
            chosen[member.name] = member
    return list(chosen.values())


def is_reader(me: Member, others: Sequence[Member]) -> bool:
    """Return whether `me` is one of its failure domain's readers."""
    own = _place(RINGS, me.name)
    before = sum(
        1
        for member in others
        if member.failure_domain == me.failure_domain
        and _place(RINGS, member.name) < own
    )
    return before < READERS_PER_DOMAIN


def _beside(
    ring: int, me: Member, others: Sequence[Member]
) -> tuple[Member, ...]:
    if not others:
        return ()
    own = _place(ring, me.name)
    mask = (1 << 64) - 1

    def distance(member: Member) -> int:
        return (_place(ring, member.name) - own) & mask

    return (min(others, key=distance), max(others, key=distance))


def _place(ring: int, name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=ring)
