"""What an agent happens to know of the blocks in the store.

Not a directory: it holds what this agent wrote, read or missed itself. A
wrong entry costs one failed read.
"""

from collections import OrderedDict


class StoredIndex:
    """Blocks known to be stored and blocks lately found missing."""

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
        """Note that a block was written or read."""
        self._absent.pop(key, None)
        self._stored[key] = None
        self._stored.move_to_end(key)
        if len(self._stored) > self._capacity:
            self._stored.popitem(last=False)

    def on_absent(self, key: bytes, now_ms: float) -> None:
        """Note that a block was not found, or not whole."""
        self._stored.pop(key, None)
        self._absent[key] = now_ms
        self._absent.move_to_end(key)
        if len(self._absent) > self._capacity:
            self._absent.popitem(last=False)

    def known_prefix(self, keys: list[bytes]) -> int:
        """Return how many leading blocks are known to be stored."""
        for at, key in enumerate(keys):
            if key not in self._stored:
                return at
        return len(keys)

    def may_hold(self, key: bytes, now_ms: float) -> bool:
        """Return whether a read of a block is worth a try."""
        missed_ms = self._absent.get(key)
        return missed_ms is None or now_ms - missed_ms >= self._absent_ms
