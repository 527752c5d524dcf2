"""Chooses each process's neighbors and the readers of a failure domain.

The members form several rings, each ordered by a different hash. Neighbors
are the next and the previous member in each ring. Every member thus has
about the same small number of them, and the diameter of the graph grows with
the logarithm of the number of members.
"""

from collections.abc import Sequence

import xxhash

from wigeonmill.membership.member import Member

RINGS = 3
READERS_PER_DOMAIN = 2


def neighbors(me: Member, others: Sequence[Member]) -> list[Member]:
    """Return the neighbors of `me` among `others`, all of them alive."""
    chosen: dict[str, Member] = {}
    for ring in range(RINGS):
        for member in _ring_neighbors(ring, me, others):
            chosen[member.name] = member
    return list(chosen.values())


def is_reader(me: Member, others: Sequence[Member]) -> bool:
    """Return whether `me` is one of its failure domain's readers."""
    own = _ring_position(RINGS, me.name)
    rank = sum(
        1
        for member in others
        if member.failure_domain == me.failure_domain
        and _ring_position(RINGS, member.name) < own
    )
    return rank < READERS_PER_DOMAIN


def _ring_neighbors(
    ring: int, me: Member, others: Sequence[Member]
) -> tuple[Member, ...]:
    if not others:
        return ()
    own = _ring_position(ring, me.name)
    mask = (1 << 64) - 1

    def distance(member: Member) -> int:
        return (_ring_position(ring, member.name) - own) & mask

    return (min(others, key=distance), max(others, key=distance))


def _ring_position(ring: int, name: str) -> int:
    return xxhash.xxh64_intdigest(name.encode(), seed=ring)
