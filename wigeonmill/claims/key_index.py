"""An in-memory index of the durable state of a shard's keys."""

import collections
import sys

from wigeonmill.claims.record import ClaimRecord
from wigeonmill.claims.record import decode_record
from wigeonmill.claims.segment import Entry
from wigeonmill.clock import Clock


class _IndexedRecord:
    """The encoded record of a key and the number of its segment."""

    __slots__ = ('record', 'number')

    def __init__(self, record: bytes, number: int) -> None:
        self.record = record
        self.number = number


class _SealedNames:
    """The key names of a sealed segment, until its retention expires."""

    __slots__ = ('retained_from_ms', 'number', 'size', 'names')

    def __init__(
        self, retained_from_ms: float, number: int, size: int, names: list[str]
    ) -> None:
        self.retained_from_ms = retained_from_ms
        self.number = number
        self.size = size
        self.names = names


class KeyIndex:
    """Maps keys to their latest state and drops whole expired segments.

    When a segment is dropped, a key stays in the index if a later segment
    holds a newer state of it.
    `head_expired` means that the newest segment has to be sealed, because
    all its entries are past retention.
    """

    def __init__(self, clock: Clock, max_lifetime_ms: float) -> None:
        self._clock = clock
        self._max_lifetime_ms = max_lifetime_ms
        self._records: dict[str, _IndexedRecord] = {}
        self._sealed: collections.deque[_SealedNames] = collections.deque()
        self._head_names: list[str] = []
        self._head_number = 0
        self._appended_ms = clock.now_ms()
        self.sealed_bytes = 0
        self.head_expired = False

    @property
    def key_count(self) -> int:
        """Number of keys in the index."""
        return len(self._records)

    def get(self, name: str) -> ClaimRecord | None:
        """Return the state of a key."""
        indexed = self._records.get(name)
        return decode_record(indexed.record) if indexed else None

    def add(self, name: str, record: bytes, number: int) -> None:
        """Index an entry of the newest segment, whose number is `number`."""
        name = sys.intern(name)
        self._records[name] = _IndexedRecord(record, number)
        self._head_names.append(name)
        self._head_number = number
        self._appended_ms = self._clock.now_ms()

    def seal(self, number: int, size: int) -> None:
        """Mark the newest segment as sealed with a size of `size` bytes."""
        now_ms = self._clock.now_ms()
        sealed = _SealedNames(now_ms, number, size, self._head_names)
        self._sealed.append(sealed)
        self.sealed_bytes += size
        self._head_names = []
        self.head_expired = False

    def load_older(self, number: int, size: int, entries: list[Entry]) -> None:
        """Index a sealed segment that is older than all indexed ones."""
        names = []
        for entry in reversed(entries):
            name = sys.intern(entry.name)
            names.append(name)
            if name not in self._records:
                self._records[name] = _IndexedRecord(
                    bytes(entry.record), number
                )
        sealed = _SealedNames(self._clock.now_ms(), number, size, names)
        self._sealed.appendleft(sealed)
        self.sealed_bytes += size

    def drop_expired(self) -> None:
        """Drop the segments past retention."""
        oldest_ms = self._clock.now_ms() - self._max_lifetime_ms
        while self._sealed and self._sealed[0].retained_from_ms < oldest_ms:
            sealed = self._sealed.popleft()
            self.sealed_bytes -= sealed.size
            self._drop(sealed.names, sealed.number)
        if self._head_names and self._appended_ms < oldest_ms:
            self._drop(self._head_names, self._head_number)
            self._head_names = []
            self.head_expired = True

    def _drop(self, names: list[str], number: int) -> None:
        for name in names:
            indexed = self._records.get(name)
            if indexed is not None and indexed.number == number:
                del self._records[name]
