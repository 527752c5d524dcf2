"""The bounded prefix cache of a simulated engine."""

import collections
from collections.abc import Callable
from collections.abc import Sequence

# Called with the keys that were stored or removed.
CacheListener = Callable[[Sequence[bytes]], None]


class BlockCache:
    """Evicts the least recently used block that is not pinned."""

    __slots__ = ('capacity', '_pins', 'on_stored', 'on_removed')

    def __init__(self, capacity: int) -> None:
        self.capacity = capacity
        self._pins: collections.OrderedDict[bytes, int] = (
            collections.OrderedDict()
        )
        self.on_stored: CacheListener | None = None
        self.on_removed: CacheListener | None = None

    def __contains__(self, key: bytes) -> bool:
        return key in self._pins

    def __len__(self) -> int:
        return len(self._pins)

    def keys(self) -> list[bytes]:
        """Return the cached keys in the order of their eviction."""
        return list(self._pins)

    def match(self, keys: Sequence[bytes]) -> int:
        """Return the number of leading blocks that are cached."""
        for count, key in enumerate(keys):
            if key not in self._pins:
                return count
        return len(keys)

    def pin(self, keys: Sequence[bytes]) -> None:
        """Protect cached blocks from eviction until they are unpinned."""
        for key in keys:
            self._pins[key] += 1

    def unpin(self, keys: Sequence[bytes]) -> None:
        """Unpin blocks; the last block of a prompt is evicted first."""
        for key in reversed(keys):
            if key in self._pins:
                self._pins[key] = max(0, self._pins[key] - 1)
                self._pins.move_to_end(key)
        self._evict()

    def store(self, keys: Sequence[bytes]) -> None:
        """Add or refresh blocks, which are in the order of the prompt."""
        added = [key for key in keys if key not in self._pins]
        for key in reversed(keys):
            self._pins.setdefault(key, 0)
            self._pins.move_to_end(key)
        if added and self.on_stored:
            self.on_stored(added)
        self._evict()

    def clear(self) -> None:
        """Drop all blocks, as a restart does."""
        self._pins.clear()

    def _evict(self) -> None:
        excess = len(self._pins) - self.capacity
        if excess <= 0:
            return
        victims = []
        for key, pins in self._pins.items():
            if len(victims) == excess:
                break
            if not pins:
                victims.append(key)
        for key in victims:
            del self._pins[key]
        if victims and self.on_removed:
            self.on_removed(victims)
