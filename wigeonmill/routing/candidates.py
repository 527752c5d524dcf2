"""Chooses the targets that are asked for an offer.

The key space is cut into a fixed number of slots. The ranking of a slot is
computed on first use and kept until the table changes, so that the cost of a
decision does not grow with the number of targets.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass
import itertools
import random

import xxhash

from wigeonmill.routing.rendezvous import name_seed
from wigeonmill.routing.rendezvous import RendezvousRing
from wigeonmill.routing.rendezvous import WeightedTarget

SLOTS = 4096
# Counts of blocks at a prompt's start that decide where it goes. A team's
# prompts often share their first blocks: the longer prefix spreads them.
PREFIX_BLOCKS = (3, 2)
DEFAULT_CANDIDATES = 3
# Targets kept for each slot; exclusions beyond these rank all targets anew.
RANK_DEPTH = 8


@dataclass(slots=True, frozen=True)
class RoutableTarget:
    """A target as configuration and membership describe it."""

    name: str
    failure_domain: str
    weight: float = 1.0
    in_service: bool = True
    suspect: bool = False
    leaving: bool = False
    circuit_open: bool = False

    @property
    def routable(self) -> bool:
        """Whether the target may get new work."""
        if self.suspect or self.leaving or self.circuit_open:
            return False
        return self.in_service and self.weight > 0


class CandidatePicker:
    """Picks candidates for one service from its routable targets."""

    __slots__ = ('_targets', '_ring', '_slots', '_rng', '_count')

    def __init__(
        self,
        targets: Sequence[RoutableTarget],
        rng: random.Random,
        count: int = DEFAULT_CANDIDATES,
    ) -> None:
        usable = sorted(
            (target for target in targets if target.routable),
            key=lambda target: target.name,
        )
        self._targets = [
            WeightedTarget(t.name, t.failure_domain, t.weight) for t in usable
        ]
        self._ring = RendezvousRing(self._targets)
        self._slots: dict[int, list[WeightedTarget]] = {}
        self._rng = rng
        self._count = count

    def __len__(self) -> int:
        return len(self._targets)

    @property
    def count(self) -> int:
        """Targets that the prefix chooses; any after them came by chance."""
        return self._count

    def pick(
        self,
        block_keys: Sequence[bytes],
        excluded: Collection[str] = (),
        blocked: Callable[[str], bool] | None = None,
    ) -> list[str]:
        """Return the names of the targets to ask, the preferred one first.

        `excluded` names targets that were tried already; `blocked` tells
        whether a target is closed to this process (an open circuit). The
        list is shorter than asked when too few targets remain, and holds
        one more target, chosen at random, when there are enough.
        """

        def allowed(target: WeightedTarget) -> bool:
            if target.name in excluded:
                return False
            return blocked is None or not blocked(target.name)

        slots = [slot_of(key) for key in routing_keys(block_keys, self._rng)]
        rankings = [self._ranked(slot, allowed) for slot in slots]
        names = merge_rankings(rankings, slots[0], self._count)
        extra = self._random_target(names, allowed)
        if extra is not None:
            names.append(extra)
        return names

    def _ranked(
        self, slot: int, allowed: Callable[[WeightedTarget], bool]
    ) -> list[WeightedTarget]:
        ranking = self._slots.get(slot)
        if ranking is None:
            ranking = self._rank_slot(slot, RANK_DEPTH)
            self._slots[slot] = ranking
        usable = [target for target in ranking if allowed(target)]
        if len(usable) < self._count and len(ranking) < len(self._targets):
            everything = self._rank_slot(slot, len(self._targets))
            usable = [target for target in everything if allowed(target)]
        return usable

    def _rank_slot(self, slot: int, depth: int) -> list[WeightedTarget]:
        key = slot.to_bytes(4, 'big')
        ranking = self._ring.rank(key, len(self._targets))
        return spread(ranking)[:depth]

    def _random_target(
        self,
        names: Collection[str],
        allowed: Callable[[WeightedTarget], bool],
    ) -> str | None:
        if len(self._targets) <= len(names):
            return None
        for _attempt in range(RANK_DEPTH):
            target = self._rng.choice(self._targets)
            if target.name not in names and allowed(target):
                return target.name
        return None


def routing_keys(
    block_keys: Sequence[bytes], rng: random.Random
) -> list[bytes]:
    """Return the keys that choose targets, a random one without blocks."""
    if not block_keys:
        return [rng.randbytes(8)]
    held = len(block_keys)
    keys = [block_keys[min(count, held) - 1] for count in PREFIX_BLOCKS]
    return list(dict.fromkeys(keys))


def merge_rankings(
    rankings: Sequence[Sequence[WeightedTarget]], salt: int, count: int
) -> list[str]:
    """Return `count` names from the rankings, one per domain at first.

    Each failure domain is drawn by one of the rankings, whichever domains
    there are besides: so the others' targets stay when one leaves.
    """
    best: dict[str, str] = {}
    for at, ranking in enumerate(rankings):
        for target in ranking:
            domain = target.failure_domain
            drawn = (name_seed(domain) + salt) % len(rankings)
            if at == drawn and domain not in best:
                best[domain] = target.name
    names = dict.fromkeys(best.values())
    for targets in itertools.zip_longest(*rankings):
        names.update(dict.fromkeys(t.name for t in targets if t is not None))
    return list(names)[:count]


def slot_of(key: bytes) -> int:
    """Return the slot of a routing key."""
    return xxhash.xxh3_64_intdigest(key) % SLOTS


def spread(ranking: Sequence[WeightedTarget]) -> list[WeightedTarget]:
    """Reorder a ranking so that failure domains take turns.

    The order within a failure domain stays; the order of the domains is
    that of their best targets.
    """
    domains: dict[str, list[WeightedTarget]] = {}
    for target in ranking:
        domains.setdefault(target.failure_domain, []).append(target)
    rounds = max((len(members) for members in domains.values()), default=0)
    return [
        members[turn]
        for turn in range(rounds)
        for members in domains.values()
        if turn < len(members)
    ]
