"""Chooses the entries that get the updates of each interval.

Load: many entries in several failure domains, where bytes between domains
have a price. Most updates stay in the own domain. Others go out of it, so that
news reach all entries within seconds, also if one domain does not reach
another. No more go out than without the preference, so that a domain of few
entries isn't flooded.
"""

from collections.abc import Collection
import random

# Largest number of entries outside of the own domain that get an update per
# interval, unless the own domain has too few.
MAX_FAR_PEERS = 2


class PeerRotation:
    """Chooses all peers in turn, in a random order.

    If `prefers_own`, peers that are known to be in other domains have a
    rotation of their own.
    """

    __slots__ = ('_rng', '_prefers_own', '_all', '_near', '_far')

    def __init__(self, rng: random.Random, prefers_own: bool = False) -> None:
        self._rng = rng
        self._prefers_own = prefers_own
        # Addresses that have not yet had their turn.
        self._all: list[str] = []
        self._near: list[str] = []
        self._far: list[str] = []

    def next(
        self,
        known: Collection[str],
        busy: Collection[str],
        far: Collection[str],
        count: int,
        is_urgent: bool = False,
    ) -> list[str]:
        """Return up to `count` of the `known` peers.

        Those that are `busy` with the last update are left out. No domain is
        preferred if there `is_urgent` news. The first peer alone is asked for
        changes; it is of another domain half of the times at most.
        """
        if not self._prefers_own or is_urgent or not known:
            return self._take(self._all, known, busy, count)
        outside = [address for address in known if address in far]
        inside = [address for address in known if address not in far]
        share = len(outside) / len(known)
        mean = min(float(MAX_FAR_PEERS), count * share)
        far_count = int(mean)
        if self._rng.random() < mean - far_count:
            far_count += 1
        far_count = max(far_count, count - len(inside))
        chosen_far = self._take(self._far, outside, busy, far_count)
        chosen = self._take(self._near, inside, busy, count - len(chosen_far))
        if self._rng.random() * min(1.0, mean) < min(0.5, share):
            return chosen_far + chosen
        return chosen + chosen_far

    def _take(
        self,
        waiting: list[str],
        known: Collection[str],
        busy: Collection[str],
        count: int,
    ) -> list[str]:
        chosen: list[str] = []
        for _round in range(2):
            while waiting and len(chosen) < count:
                address = waiting.pop()
                available = address in known and address not in busy
                if available and address not in chosen:
                    chosen.append(address)
            if len(chosen) < count:
                waiting[:] = known
                self._rng.shuffle(waiting)
        return chosen
