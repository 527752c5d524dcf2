"""The durable state of a shard's keys in memory, up to its retention."""

import collections
import sys

from wigeonmill.claims.record import ClaimRecord
from wigeonmill.claims.record import decode_record
from wigeonmill.claims.segment import Entry
from wigeonmill.clock import Clock


class _Kept:
    """The encoded state of a key and the number of its segment."""

    __slots__ = ('record', 'number')

    def __init__(self, record: bytes, number: int) -> None:
        self.record = record
        self.number = number


class _Sealed:
    """A sealed segment as remembered until its retention is over."""

    __slots__ = ('at_ms', 'number', 'size', 'names')

    def __init__(
        self, at_ms: float, number: int, size: int, names: list[str]
    ) -> None:
        self.at_ms = at_ms
        self.number = number
        self.size = size
        self.names = names


class KeyIndex:
    """Finds each key's last state; drops whole segments when they expire.

    A key outlives a segment if a later one holds a newer state of it.
    `head_expired` says that the newest segment is to be sealed, because
    all its entries are past retention.
    """

    def __init__(self, clock: Clock, longest_ms: float) -> None:
        self._clock = clock
        self._longest_ms = longest_ms
        self._kept: dict[str, _Kept] = {}
        self._sealed: collections.deque[_Sealed] = collections.deque()
        self._head_names: list[str] = []
        self._head_number = 0
        self._appended_ms = clock.now_ms()
        self.sealed_bytes = 0
        self.head_expired = False

    @property
    def key_count(self) -> int:
        """Number of keys whose state is kept."""
        return len(self._kept)

    def get(self, name: str) -> ClaimRecord | None:
        """Return the state of a key."""
        kept = self._kept.get(name)
        return decode_record(kept.record) if kept else None

    def keep(self, name: str, record: bytes, number: int) -> None:
        """Take in an entry of the newest segment, which has `number`."""
        name = sys.intern(name)
        self._kept[name] = _Kept(record, number)
        self._head_names.append(name)
        self._head_number = number
        self._appended_ms = self._clock.now_ms()

    def seal(self, number: int, size: int) -> None:
        """Count the newest segment as sealed, with `size` bytes."""
        now_ms = self._clock.now_ms()
        sealed = _Sealed(now_ms, number, size, self._head_names)
        self._sealed.append(sealed)
        self.sealed_bytes += size
        self._head_names = []
        self.head_expired = False

    def load_older(self, number: int, size: int, entries: list[Entry]) -> None:
        """Take in a sealed segment that is older than all the others."""
        names = []
        for entry in reversed(entries):
            name = sys.intern(entry.name)
            names.append(name)
            if name not in self._kept:
                self._kept[name] = _Kept(bytes(entry.record), number)
        sealed = _Sealed(self._clock.now_ms(), number, size, names)
        self._sealed.appendleft(sealed)
        self.sealed_bytes += size

    def drop_expired(self) -> None:
        """Forget the segments past retention."""
        oldest_ms = self._clock.now_ms() - self._longest_ms
        while self._sealed and self._sealed[0].at_ms < oldest_ms:
            sealed = self._sealed.popleft()
            self.sealed_bytes -= sealed.size
            self._drop(sealed.names, sealed.number)
        if self._head_names and self._appended_ms < oldest_ms:
            self._drop(self._head_names, self._head_number)
            self._head_names = []
            self.head_expired = True

    def _drop(self, names: list[str], number: int) -> None:
        for name in names:
            kept = self._kept.get(name)
            if kept is not None and kept.number == number:
                del self._kept[name]
