"""Weighted rendezvous hashing."""

from collections.abc import Sequence
from dataclasses import dataclass
import heapq
import math

import xxhash

_HASH_SPACE = 2.0**64


@dataclass(slots=True, frozen=True)
class WeightedTarget:
    """A target, its failure domain and its weight (above 0)."""

    name: str
    failure_domain: str
    weight: float = 1.0


_Scored = tuple[float, int, WeightedTarget]


def name_seed(name: str) -> int:
    """Return the 64-bit hash seed of a target or failure domain."""
    return xxhash.xxh3_64_intdigest(name.encode())


def score(key: bytes, seed: int, weight: float) -> float:
    """Return a target's score for `key`; the highest score wins."""
    digest = xxhash.xxh3_64_intdigest(key, seed=seed)
    return -weight / math.log((digest + 0.5) / _HASH_SPACE)


def rank(
    key: bytes, targets: Sequence[WeightedTarget], count: int
) -> list[WeightedTarget]:
    """Return the `count` best targets for `key`, the best one first."""
    return RendezvousRing(targets).rank(key, count)


class RendezvousRing:
    """Ranks a fixed set of targets; hash seeds are computed once."""

    __slots__ = ('_entries', '_equal_weights')

    def __init__(self, targets: Sequence[WeightedTarget]) -> None:
        self._entries = [
            (name_seed(target.name), target.weight, target)
            for target in targets
        ]
        self._equal_weights = len({target.weight for target in targets}) <= 1

    def __len__(self) -> int:
        return len(self._entries)

    def rank(self, key: bytes, count: int) -> list[WeightedTarget]:
        """Return the `count` best targets for `key`, the best one first."""
        scored = self._scored(key)
        if count >= len(scored):
            best = sorted(scored, key=_by_score, reverse=True)
        else:
            best = heapq.nlargest(count, scored, key=_by_score)
        return [target for _score, _seed, target in best]

    def _scored(self, key: bytes) -> list[_Scored]:
        if self._equal_weights:
            # With equal weights the scores are in the order of the digests.
            digest = xxhash.xxh3_64_intdigest
            return [
                (digest(key, seed=seed), seed, target)
                for seed, _weight, target in self._entries
            ]
        return [
            (score(key, seed, weight), seed, target)
            for seed, weight, target in self._entries
        ]


def _by_score(entry: _Scored) -> tuple[float, int]:
    return entry[0], entry[1]
