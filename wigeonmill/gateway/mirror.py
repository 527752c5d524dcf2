"""A copy of the shared records in the platform's key-value service.

Each record carries the position of its last change (see `revisions`), so that
changes can be merged in any order: from the listings and watches of the
service itself, and from other entries while the service rejects the requests
of this one.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
import heapq

from wigeonmill.gateway.revisions import era_of
from wigeonmill.gateway.revisions import position
from wigeonmill.gateway.revisions import revision_of

# Maximum number of records in one message to another entry.
MAX_SHARED_RECORDS = 256
# Records of removed keys that are kept. An entry that missed older removals
# gets all present records instead of the changes.
MAX_REMOVED_RECORDS = 1_024


@dataclass(frozen=True, slots=True)
class Record:
    """The last known change of a key; `value` is None if it was removed.

    `revision` is the position of the change.
    """

    key: str
    revision: int
    value: bytes | None


class Mirror:
    """Records by key, each replaced only by a later change.

    `complete` is the position up to which every change is known.
    """

    __slots__ = (
        '_records',
        '_listeners',
        '_restore_listeners',
        '_removed',
        '_forgotten',
        '_listed',
        'complete',
    )

    def __init__(self) -> None:
        self._records: dict[str, Record] = {}
        self._listeners: list[Callable[[Record], None]] = []
        self._restore_listeners: list[Callable[[int], None]] = []
        # Positions of the kept removals by key, and the highest position of
        # a removal that is no longer kept.
        self._removed: dict[str, int] = {}
        self._forgotten = 0
        # The position of the latest listing. It does not tell which keys had
        # been removed by then.
        self._listed = 0
        self.complete = 0

    def subscribe(self, listener: Callable[[Record], None]) -> None:
        """Register a listener that is called with each changed record."""
        self._listeners.append(listener)

    def subscribe_restores(self, listener: Callable[[int], None]) -> None:
        """Register a listener that is called when an era replaces another.

        It gets the previous `complete`, before any record of the new era is
        applied.
        """
        self._restore_listeners.append(listener)

    def get(self, key: str) -> Record | None:
        """Return the record of a key, which may be a removed one."""
        return self._records.get(key)

    def present(self) -> list[Record]:
        """Return the records that are not removed."""
        return [r for r in self._records.values() if r.value is not None]

    def apply(self, records: Iterable[Record]) -> int:
        """Apply changes and return how many of them were new."""
        count = 0
        for record in records:
            known = self._records.get(record.key)
            if known is not None and known.revision >= record.revision:
                continue
            if known is None and self._is_forgotten(record):
                continue
            self._records[record.key] = record
            count += 1
            self._removed.pop(record.key, None)
            if record.value is None:
                self._removed[record.key] = record.revision
            for listener in self._listeners:
                listener(record)
        self._forget_removals()
        return count

    def advance(self, revision: int) -> None:
        """Record that all changes up to `revision` are known."""
        self.complete = max(self.complete, revision)

    def replace(self, records: Iterable[Record], revision: int) -> int:
        """Apply a listing made at `revision`; return the number of changes.

        A record that is not listed was removed by then, unless it is newer.
        A listing of an earlier era is ignored.
        """
        if era_of(revision) < era_of(self.complete):
            return 0
        listed = list(records)
        if era_of(revision) > era_of(self.complete):
            self._begin_era(listed, era_of(revision))
        keys = {record.key for record in listed}
        removed = [
            Record(known.key, revision, None)
            for known in self.present()
            if known.key not in keys and known.revision < revision
        ]
        count = self.apply([*listed, *removed])
        if revision > self.complete:
            self._listed = revision
        self.advance(revision)
        return count

    def lacks_changes_since(self, revision: int) -> bool:
        """Whether removals after `revision` are not known or not kept."""
        return revision < max(self._forgotten, self._listed)

    def changes_since(self, revision: int) -> tuple[list[Record], int]:
        """Return a bounded number of changes after `revision`, oldest first.

        Also return the position up to which they are complete.
        """
        later = [r for r in self._records.values() if r.revision > revision]
        later.sort(key=lambda record: record.revision)
        if len(later) <= MAX_SHARED_RECORDS:
            return later, self.complete
        batch = later[:MAX_SHARED_RECORDS]
        return batch, min(self.complete, batch[-1].revision)

    def merge(self, records: Iterable[Record], complete: int) -> int:
        """Apply another entry's records, complete up to `complete`.

        Return how many of them were new.
        """
        count = self.apply(records)
        self.advance(complete)
        return count

    def _begin_era(self, listed: Iterable[Record], era: int) -> None:
        """Prepare for the first listing of an era.

        Records that were in the copy are not reported as changed.
        """
        previous = self.complete
        for key in self._removed:
            del self._records[key]
        self._removed.clear()
        self._forgotten = position(era, 0)
        if previous:
            for restore_listener in self._restore_listeners:
                restore_listener(previous)
        for record in listed:
            known = self._records.get(record.key)
            if known is not None and _is_same_change(known, record):
                self._records[record.key] = record

    def _is_forgotten(self, record: Record) -> bool:
        """Whether a record of an unknown key precedes its removal."""
        return record.revision <= min(self._forgotten, self.complete)

    def _forget_removals(self) -> None:
        """Forget the oldest removals once there are too many of them."""
        excess = len(self._removed) - MAX_REMOVED_RECORDS
        if excess <= 0:
            return
        oldest = heapq.nsmallest(
            excess, self._removed.items(), key=lambda item: item[1]
        )
        for key, revision in oldest:
            del self._removed[key]
            del self._records[key]
            self._forgotten = max(self._forgotten, revision)


def _is_same_change(known: Record, record: Record) -> bool:
    return known.value == record.value and revision_of(
        known.revision
    ) == revision_of(record.revision)
