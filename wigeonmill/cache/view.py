"""The agent's view of its target's cache, built from numbered events.

Events may arrive late or be lost. Any gap clears the view, which then stays
empty until the next listing. A block missing from the view costs a
recomputation. A block wrongly in the view costs a wrong estimate only, as
the target looks up its own cache by key.
"""

from dataclasses import dataclass
import enum


class CacheChange(enum.Enum):
    """A change of the blocks in accelerator memory."""

    STORED = 'stored'
    REMOVED = 'removed'
    CLEARED = 'cleared'


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One event; numbers are consecutive within an incarnation."""

    number: int
    change: CacheChange
    keys: tuple[bytes, ...] = ()


class CacheView:
    """The blocks known to be in one target's accelerator memory."""

    __slots__ = ('_incarnation', '_keys', '_next_number', '_pending', 'gaps')

    # Maximum number of events buffered until a listing arrives.
    MAX_PENDING = 4096

    def __init__(self) -> None:
        self._incarnation = ''
        self._keys: set[bytes] = set()
        self._next_number: int | None = None
        self._pending: dict[int, CacheEvent] = {}
        self.gaps = 0

    def __len__(self) -> int:
        return len(self._keys)

    @property
    def needs_listing(self) -> bool:
        """Whether a new listing has to be requested."""
        return self._next_number is None

    def on_listing(
        self, incarnation: str, last_number: int, keys: list[bytes]
    ) -> None:
        """Apply a listing that covers all events up to `last_number`."""
        if incarnation != self._incarnation:
            self._pending.clear()
            self._incarnation = incarnation
        self._keys = set(keys)
        self._next_number = last_number + 1
        self._apply_pending()

    def on_event(self, incarnation: str, event: CacheEvent) -> bool:
        """Apply an event; return False if a listing is needed."""
        if incarnation != self._incarnation:
            self.drop(incarnation)
        if self._next_number is None:
            self._buffer(event)
            return False
        if event.number < self._next_number:
            return True
        if event.number > self._next_number:
            self.gaps += 1
            self.drop(incarnation)
            self._buffer(event)
            return False
        self._apply(event)
        return True

    def drop(self, incarnation: str) -> None:
        """Clear the view, as after a gap or a restart of the target."""
        self._incarnation = incarnation
        self._keys.clear()
        self._pending.clear()
        self._next_number = None

    def holds(self, key: bytes) -> bool:
        """Return whether a block is in the view."""
        return key in self._keys

    def cached_prefix(self, keys: list[bytes]) -> int:
        """Return how many leading blocks of a chain are in the view."""
        for index, key in enumerate(keys):
            if key not in self._keys:
                return index
        return len(keys)

    def _buffer(self, event: CacheEvent) -> None:
        if len(self._pending) >= self.MAX_PENDING:
            self._pending.clear()
        self._pending[event.number] = event

    def _apply_pending(self) -> None:
        for number in sorted(self._pending):
            event = self._pending.pop(number)
            if not self.on_event(self._incarnation, event):
                return

    def _apply(self, event: CacheEvent) -> None:
        self._next_number = event.number + 1
        if event.change is CacheChange.STORED:
            self._keys.update(event.keys)
        elif event.change is CacheChange.REMOVED:
            self._keys.difference_update(event.keys)
        else:
            self._keys.clear()
