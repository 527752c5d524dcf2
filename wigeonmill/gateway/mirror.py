"""A copy of what the platform's key-value service holds for everyone.

Each record carries the revision of its last change, so copies merge in any
order: from the service's own listing and watches, and from other entries
when the service turns this one away.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

# Records that one message to another entry holds.
MAX_SHARED_RECORDS = 256


@dataclass(frozen=True, slots=True)
class Record:
    """A key at its last known change; `value` is None once it is removed."""

    key: str
    revision: int
    value: bytes | None


class Mirror:
    """Records by key; only a later revision replaces one.

    `complete` is the revision up to which every change is known.
    """

    __slots__ = ('_records', '_listeners', 'complete')

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._listeners: list[Callable[[Record], None]] = []
        self.complete = 0

    def subscribe(self, listener: Callable[[Record], None]) -> None:
        """Call `listener` with each record that changes."""
        self._listeners.append(listener)

    def get(self, key: str) -> Record | None:
        """Return the record of `key`; a removed one has no value."""
        return self._records.get(key)

    def present(self) -> list[Record]:
        """Return the records that are not removed."""
        return [r for r in self._records.values() if r.value is not None]

    def apply(self, records: Iterable[Record]) -> int:
        """Take changes; returns how many were new."""
        count = 0
        for record in records:
            known = self._records.get(record.key)
            if known is not None and known.revision >= record.revision:
                continue
            self._records[record.key] = record
            count += 1
            for listener in self._listeners:
                listener(record)
        return count

    def advance(self, revision: int) -> None:
        """Note that all changes up to `revision` are known."""
        self.complete = max(self.complete, revision)

    def replace(self, records: Iterable[Record], revision: int) -> int:
        """Take a listing made at `revision`.

        What is not listed was removed by then, unless it is newer.
        """
        listed = list(records)
        keys = {record.key for record in listed}
        gone = [
            Record(known.key, revision, None)
            for known in self.present()
            if known.key not in keys and known.revision < revision
        ]
        count = self.apply([*listed, *gone])
        self.advance(revision)
        return count

    def changes_since(self, revision: int) -> tuple[list[Record], int]:
        """Return a bounded number of changes after `revision`, oldest first.

        With them comes the revision up to which they leave out nothing.
        """
        later = [r for r in self._records.values() if r.revision > revision]
        later.sort(key=lambda record: record.revision)
        if len(later) <= MAX_SHARED_RECORDS:
            return later, self.complete
        part = later[:MAX_SHARED_RECORDS]
        return part, min(self.complete, part[-1].revision)

    def merge(self, records: Iterable[Record], complete: int) -> int:
        """Take what another entry knew up to `complete`."""
        count = self.apply(records)
        self.advance(complete)
        return count
