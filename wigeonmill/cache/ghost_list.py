"""Remembers which blocks were seen, and how often, in bounded memory."""

from collections import OrderedDict


class GhostList:
    """The keys seen most recently with their counts, least recent out.

    Memory is bounded by `capacity` keys. Counts are halved each time that
    `capacity` sightings have passed, so that old fame fades.
    """

    __slots__ = ('_capacity', '_counts', '_sightings')

    MAX_COUNT = 255

    def __init__(self, capacity: int) -> None:
        """Raises ValueError unless `capacity` is positive."""
        if capacity <= 0:
            raise ValueError(f'a capacity of {capacity} keys')
        self._capacity = capacity
        self._counts: OrderedDict[bytes, int] = OrderedDict()
        self._sightings = 0

    def __len__(self) -> int:
        return len(self._counts)

    def saw(self, key: bytes) -> int:
        """Count a sighting of `key`; returns the count with it."""
        count = min(self._counts.get(key, 0) + 1, self.MAX_COUNT)
        self._counts[key] = count
        self._counts.move_to_end(key)
        if len(self._counts) > self._capacity:
            self._counts.popitem(last=False)
        self._sightings += 1
        if self._sightings >= self._capacity:
            self._fade()
        return count

    def count(self, key: bytes) -> int:
        """Return how often `key` was seen lately; 0 if it wasn't."""
        return self._counts.get(key, 0)

    def _fade(self) -> None:
        self._sightings = 0
        for key, count in self._counts.items():
            self._counts[key] = max(1, count // 2)
