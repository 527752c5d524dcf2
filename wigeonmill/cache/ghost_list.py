"""Counts how often blocks were seen, in bounded memory."""

from collections import OrderedDict


class GhostList:
    """An LRU list of the keys seen most recently, with their counts.

    It holds at most `capacity` keys. All counts are halved after every
    `capacity` sightings, so that old sightings weigh less.
    """

    __slots__ = ('_capacity', '_counts', '_sightings')

    MAX_COUNT = 255

    def __init__(self, capacity: int) -> None:
        """Raises ValueError unless `capacity` is positive."""
        if capacity <= 0:
            raise ValueError(f'capacity must be positive, not {capacity}')
        self._capacity = capacity
        self._counts: OrderedDict[bytes, int] = OrderedDict()
        self._sightings = 0

    def __len__(self) -> int:
        return len(self._counts)

    def record(self, key: bytes) -> int:
        """Count a sighting of `key`; return the new count."""
        count = min(self._counts.get(key, 0) + 1, self.MAX_COUNT)
        self._counts[key] = count
        self._counts.move_to_end(key)
        if len(self._counts) > self._capacity:
            self._counts.popitem(last=False)
        self._sightings += 1
        if self._sightings >= self._capacity:
            self._decay()
        return count

    def count(self, key: bytes) -> int:
        """Return how often `key` was seen recently; 0 if never."""
        return self._counts.get(key, 0)

    def _decay(self) -> None:
        self._sightings = 0
        for key, count in self._counts.items():
            self._counts[key] = max(1, count // 2)
