"""Selects the candidate targets that are asked for an offer.

The key space is divided into a fixed number of slots. The ranking of a slot is
computed on first use and cached until the set of targets changes, so that the
cost of a decision does not grow with the number of targets.
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
# Lengths, in blocks, of the prompt prefixes that select targets. The prompts
# of a team often share their first blocks; the longer prefix spreads them.
PREFIX_BLOCKS = (3, 2)
DEFAULT_CANDIDATES = 3
# Number of targets cached for each slot. All targets are ranked again if
# exclusions leave too few of these.
RANK_DEPTH = 8


@dataclass(slots=True, frozen=True)
class RoutableTarget:
    """A target and its state in the configuration and the membership."""

    name: str
    failure_domain: str
    weight: float = 1.0
    in_service: bool = True
    suspect: bool = False
    leaving: bool = False
    circuit_open: bool = False

    @property
    def routable(self) -> bool:
        """Whether the target may receive new requests."""
        if self.suspect or self.leaving or self.circuit_open:
            return False
        return self.in_service and self.weight > 0


class CandidatePicker:
    """Picks candidates among the routable targets of one service."""

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
        """Number of candidates that the prefix selects before a random one."""
        return self._count

    def pick(
        self,
        block_keys: Sequence[bytes],
        excluded: Collection[str] = (),
        blocked: Callable[[str], bool] | None = None,
    ) -> list[str]:
        """Return the names of the targets to ask, the preferred one first.

        `excluded` names targets that were already tried; `blocked` returns
        whether this process must not use a target because its circuit is
        open. Up to `count` targets are selected by prefix; fewer if too few
        remain. If there are more, one of them is added at random.
        """

        def allowed(target: WeightedTarget) -> bool:
            if target.name in excluded:
                return False
            return blocked is None or not blocked(target.name)

        slots = [slot_of(key) for key in routing_keys(block_keys, self._rng)]
        rankings = [self._rank_allowed(slot, allowed) for slot in slots]
        names = merge_rankings(rankings, slots[0], self._count)
        extra = self._random_target(names, allowed)
        if extra is not None:
            names.append(extra)
        return names

    def _rank_allowed(
        self, slot: int, allowed: Callable[[WeightedTarget], bool]
    ) -> list[WeightedTarget]:
        ranking = self._slots.get(slot)
        if ranking is None:
            ranking = self._rank_slot(slot, RANK_DEPTH)
            self._slots[slot] = ranking
        usable = [target for target in ranking if allowed(target)]
        if len(usable) < self._count and len(ranking) < len(self._targets):
            full_ranking = self._rank_slot(slot, len(self._targets))
            usable = [target for target in full_ranking if allowed(target)]
        return usable

    def _rank_slot(self, slot: int, depth: int) -> list[WeightedTarget]:
        key = slot.to_bytes(4, 'big')
        ranking = self._ring.rank(key, len(self._targets))
        return interleave_domains(ranking)[:depth]

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
    """Return the keys that select targets; without blocks, a random one."""
    if not block_keys:
        return [rng.randbytes(8)]
    available = len(block_keys)
    keys = [block_keys[min(count, available) - 1] for count in PREFIX_BLOCKS]
    return list(dict.fromkeys(keys))


def merge_rankings(
    rankings: Sequence[Sequence[WeightedTarget]], salt: int, count: int
) -> list[str]:
    """Return `count` names from the rankings, first one of each domain.

    A hash of the domain's name and `salt` assigns each failure domain to one
    ranking. The assignment doesn't depend on the other domains, so their
    targets stay the same when one domain is removed.
    """
    best: dict[str, str] = {}
    for index, ranking in enumerate(rankings):
        for target in ranking:
            domain = target.failure_domain
            assigned = (name_seed(domain) + salt) % len(rankings)
            if index == assigned and domain not in best:
                best[domain] = target.name
    names = dict.fromkeys(best.values())
    for targets in itertools.zip_longest(*rankings):
        names.update(dict.fromkeys(t.name for t in targets if t is not None))
    return list(names)[:count]


def slot_of(key: bytes) -> int:
    """Return the slot of a routing key."""
    return xxhash.xxh3_64_intdigest(key) % SLOTS


def interleave_domains(
    ranking: Sequence[WeightedTarget],
) -> list[WeightedTarget]:
    """Reorder a ranking so that failure domains alternate.

    The order within a failure domain is kept; the domains are in the order
    of their best targets.
    """
    domains: dict[str, list[WeightedTarget]] = {}
    for target in ranking:
        domains.setdefault(target.failure_domain, []).append(target)
    rounds = max((len(members) for members in domains.values()), default=0)
    return [
        members[position]
        for position in range(rounds)
        for members in domains.values()
        if position < len(members)
    ]
