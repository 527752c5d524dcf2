"""The agent's view of its target's cache, built from numbered events.

Events come late and with gaps. Any gap drops the view, which then holds
nothing until a fresh listing. A block that the view lacks costs a
recomputation; a block that it wrongly holds would cost a wrong estimate
only, as the target looks up its own cache by key.
"""

from dataclasses import dataclass
import enum


class CacheChange(enum.Enum):
    """What happened to a block in accelerator memory."""

    STORED = 'stored'
    REMOVED = 'removed'
    CLEARED = 'cleared'


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """One numbered event; numbers of an incarnation rise by one."""

    number: int
    change: CacheChange
    keys: tuple[bytes, ...] = ()


class CacheView:
    """The blocks in one target's accelerator memory, as far as known."""

    __slots__ = ('_incarnation', '_keys', '_next_number', '_pending', 'gaps')

    # Events that may come ahead of the listing they follow.
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
        """Whether a fresh listing has to be asked for."""
        return self._next_number is None

    def on_listing(
        self, incarnation: str, last_number: int, keys: list[bytes]
    ) -> None:
        """Take a listing that covers all events up to `last_number`."""
        if incarnation != self._incarnation:
            self._pending.clear()
            self._incarnation = incarnation
        self._keys = set(keys)
        self._next_number = last_number + 1
        self._catch_up()

    def on_event(self, incarnation: str, event: CacheEvent) -> bool:
        """Take an event; returns False if a listing is needed now."""
        if incarnation != self._incarnation:
            self.drop(incarnation)
        if self._next_number is None:
            self._keep(event)
            return False
        if event.number < self._next_number:
            return True
        if event.number > self._next_number:
            self.gaps += 1
            self.drop(incarnation)
            self._keep(event)
            return False
        self._apply(event)
        return True

    def drop(self, incarnation: str) -> None:
        """Forget everything, as after a gap or a restart of the target."""
        self._incarnation = incarnation
        self._keys.clear()
        self._pending.clear()
        self._next_number = None

    def holds(self, key: bytes) -> bool:
        """Return whether a block is held."""
        return key in self._keys

    def cached_prefix(self, keys: list[bytes]) -> int:
        """Return how many leading blocks of a chain are held."""
        for at, key in enumerate(keys):
            if key not in self._keys:
                return at
        return len(keys)

    def _keep(self, event: CacheEvent) -> None:
        if len(self._pending) >= self.MAX_PENDING:
            self._pending.clear()
        self._pending[event.number] = event

    def _catch_up(self) -> None:
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
