"""Chooses the entries that get the updates of each interval.

Load: many entries in several failure domains, where bytes between domains
have a price. Most updates stay in the own domain. Others go out of it in each
interval, so that news reach all entries within seconds, also if one domain
does not reach another.
"""

from collections.abc import Collection
import random

# Number of entries outside of the own domain that get an update per interval.
MAX_FAR_PEERS = 2


class PeerRotation:
    """Chooses all peers in turn, in a random order.

    If `prefers_own`, peers that are known to be in other domains have a
    rotation of their own.
    """

    __slots__ = ('_rng', '_prefers_own', '_near', '_far', '_far_first')

    def __init__(self, rng: random.Random, prefers_own: bool = False) -> None:
        self._rng = rng
        self._prefers_own = prefers_own
        # Addresses that have not yet had their turn.
        self._near: list[str] = []
        self._far: list[str] = []
        self._far_first = False

    def next(
        self,
        known: Collection[str],
        busy: Collection[str],
        far: Collection[str],
        count: int,
    ) -> list[str]:
        """Return up to `count` of the `known` peers.

        Those that are `busy` with the last update are left out. The first one
        is in turn of the own domain and of another one, because it alone is
        asked for changes.
        """
        if not self._prefers_own:
            return self._take(self._near, known, busy, count)
        outside = [address for address in known if address in far]
        inside = [address for address in known if address not in far]
        far_count = min(count, MAX_FAR_PEERS)
        if len(inside) < count - far_count:
            far_count = count - len(inside)
        chosen_far = self._take(self._far, outside, busy, far_count)
        chosen = self._take(self._near, inside, busy, count - len(chosen_far))
        self._far_first = not self._far_first
        if self._far_first:
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
