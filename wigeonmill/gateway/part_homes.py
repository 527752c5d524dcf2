"""Decides which targets hold the shared parts of a prompt.

Every entry ranks the targets of a service alike, without a message. The first
target in the ranking of the last shared part is its home, and the next one its
second home, which takes over when the first is full, slow, loading or silent.
A lost target's parts move to its successors alone.

Load: many subjects, each asked for again after a time in which the memory of
the engines was used several times over, so that only stores still hold it, and
bursts of requests for one subject, of which the stores have nothing yet.
"""

from collections.abc import Sequence
from dataclasses import dataclass

from wigeonmill.gateway.request import Generation
from wigeonmill.routing.rendezvous import RendezvousRing
from wigeonmill.routing.rendezvous import WeightedTarget

# Number of targets that hold a part.
HOMES = 2
# Time to fetch cached prompt parts from a store, without the transfer of
# their tokens.
FETCH_FIXED_MS = 15.0
# Share of the parts in no store that a home is expected to read although
# another target holds them. Subjects that leave their first home meet at the
# second one.
REPEATED_SHARES = (0.0, 0.5)
# Number of sets of targets whose ranking is prepared. Requests of one service
# may be restricted to some regions or to one software version.
MAX_RINGS = 32


@dataclass(frozen=True, slots=True)
class Reading:
    """What a target does with a prompt before its first token.

    It reads `tokens` and fetches others in `fetch_ms`. `repeated` are those
    of the tokens that are read needlessly, as another target may hold them.
    """

    tokens: int
    fetch_ms: float
    repeated: int


class PartHomes:
    """Ranks targets by the last shared part of a prompt."""

    __slots__ = ('_rings',)

    def __init__(self) -> None:
        self._rings: dict[tuple[str, ...], RendezvousRing] = {}

    def homes(
        self, generation: Generation | None, targets: Sequence[str]
    ) -> tuple[str, ...]:
        """Return the ids of the homes among `targets`, the first one first.

        The result is empty if the prompt has no shared part.
        """
        if generation is None or generation.last_shared_part is None:
            return ()
        key = tuple(targets)
        ring = self._rings.get(key)
        if ring is None:
            if len(self._rings) >= MAX_RINGS:
                self._rings.clear()
            ring = RendezvousRing([WeightedTarget(id_, '') for id_ in key])
            self._rings[key] = ring
        part = generation.last_shared_part.id.encode()
        return tuple(target.name for target in ring.rank(part, HOMES))


def reading_at(
    position: int | None, generation: Generation, fetchable_tokens: int
) -> Reading:
    """Return what a target reads; `position` is its own among the homes.

    The first home is assumed to hold all shared parts. Any other target
    fetches what stores hold of them.
    """
    shared = sum(part.tokens for part in generation.shared_parts)
    own = max(0, generation.prompt_tokens - shared)
    if position == 0:
        return Reading(own, 0.0, 0)
    fetched = min(shared, fetchable_tokens)
    missing = shared - fetched
    share = REPEATED_SHARES[position] if position is not None else 1.0
    return Reading(
        own + missing,
        FETCH_FIXED_MS if fetched else 0.0,
        int(share * missing),
    )
