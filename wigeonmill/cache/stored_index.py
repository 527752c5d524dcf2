"""An agent's partial knowledge of the blocks in the store.

The index is not a directory: it only covers blocks that this agent wrote, read
or missed itself. A wrong entry costs one failed read.
"""

from collections import OrderedDict


class StoredIndex:
    """Blocks known to be stored and blocks recently found missing."""

    __slots__ = ('_capacity', '_absent_ms', '_stored', '_absent')

    def __init__(self, capacity: int, absent_ms: float) -> None:
        """A miss is remembered for `absent_ms`."""
        self._capacity = capacity
        self._absent_ms = absent_ms
        self._stored: OrderedDict[bytes, None] = OrderedDict()
        self._absent: OrderedDict[bytes, float] = OrderedDict()

    def __len__(self) -> int:
        return len(self._stored)

    def __contains__(self, key: bytes) -> bool:
        return key in self._stored

    def on_stored(self, key: bytes) -> None:
        """Record that a block was written or read."""
        self._absent.pop(key, None)
        self._stored[key] = None
        self._stored.move_to_end(key)
        if len(self._stored) > self._capacity:
            self._stored.popitem(last=False)

    def on_absent(self, key: bytes, now_ms: float) -> None:
        """Record that a block was missing or incomplete."""
        self._stored.pop(key, None)
        self._absent[key] = now_ms
        self._absent.move_to_end(key)
        if len(self._absent) > self._capacity:
            self._absent.popitem(last=False)

    def known_prefix(self, keys: list[bytes]) -> int:
        """Return how many leading blocks are known to be stored."""
        for index, key in enumerate(keys):
            if key not in self._stored:
                return index
        return len(keys)

    def may_hold(self, key: bytes, now_ms: float) -> bool:
        """Return whether the store may hold a block (no recent miss)."""
        missed_ms = self._absent.get(key)
        return missed_ms is None or now_ms - missed_ms >= self._absent_ms
