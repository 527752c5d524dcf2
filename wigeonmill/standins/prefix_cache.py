"""The bounded prefix cache of a stand-in engine and its event log."""

import asyncio
import collections
from collections.abc import Sequence
from dataclasses import dataclass

from wigeonmill.clock import Clock
from wigeonmill.standins.engine_messages import CacheEvent
from wigeonmill.standins.engine_messages import CacheEventKind

EVENT_LOG_CAPACITY = 10_000


@dataclass(slots=True)
class _LoggedEvent:
    visible_at_ms: float
    event: CacheEvent | None
    sequence: int


class EventLog:
    """A log of numbered events that can be delayed or dropped.

    An event becomes visible `delay_ms` after it was added. Every
    `drop_nth`-th event is dropped, which leaves a gap in the visible
    numbers; 0 drops none.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._events: collections.deque[_LoggedEvent] = collections.deque(
            maxlen=EVENT_LOG_CAPACITY
        )
        self._event_added = asyncio.Event()
        self.next_sequence = 1

    def add(
        self, kind: CacheEventKind, key: str, delay_ms: float, drop_nth: int
    ) -> None:
        """Append an event with the next sequence number."""
        sequence = self.next_sequence
        self.next_sequence += 1
        dropped = drop_nth > 0 and sequence % drop_nth == 0
        event = None if dropped else CacheEvent(sequence, kind, key)
        visible_at_ms = self._clock.now_ms() + delay_ms
        self._events.append(_LoggedEvent(visible_at_ms, event, sequence))
        self._event_added.set()

    def read_from(self, sequence: int) -> tuple[list[CacheEvent], int]:
        """Return the visible events from `sequence` on.

        Also returns the sequence number to read from next.
        """
        now_ms = self._clock.now_ms()
        visible: list[CacheEvent] = []
        next_number = self.next_sequence
        for logged in reversed(self._events):
            if logged.visible_at_ms > now_ms:
                next_number = logged.sequence
            elif logged.sequence < sequence:
                break
            elif logged.event is not None:
                visible.append(logged.event)
        visible.reverse()
        return visible, max(next_number, sequence)

    async def poll_from(
        self, sequence: int, wait_ms: float
    ) -> tuple[list[CacheEvent], int]:
        """Wait up to `wait_ms` for events from `sequence` on.

        Returns the same as `read_from`. A dropped event also ends the wait.
        """
        deadline_ms = self._clock.now_ms() + wait_ms
        while True:
            events, next_number = self.read_from(sequence)
            remaining_ms = deadline_ms - self._clock.now_ms()
            if next_number > sequence or remaining_ms <= 0:
                return events, next_number
            self._event_added.clear()
            timeout_ms = min(remaining_ms, self._ms_until_visible(sequence))
            try:
                async with asyncio.timeout(timeout_ms / 1000.0):
                    await self._event_added.wait()
            except asyncio.TimeoutError:
                continue

    def _ms_until_visible(self, sequence: int) -> float:
        now_ms = self._clock.now_ms()
        times_ms = [
            x.visible_at_ms for x in self._events if x.sequence >= sequence
        ]
        return max(times_ms[0] - now_ms, 1.0) if times_ms else 1000.0


class PrefixCache:
    """An LRU cache of blocks by key; `capacity` is a number of blocks.

    The value of a block is its content if that was imported and is wrong,
    else None: correct content is generated again for each export.
    """

    def __init__(self, clock: Clock, capacity: int) -> None:
        self.capacity = capacity
        self.log = EventLog(clock)
        self.event_delay_ms = 0.0
        self.drop_nth_event = 0
        self._blocks: collections.OrderedDict[str, bytes | None] = (
            collections.OrderedDict()
        )
        self._pins: collections.Counter[str] = collections.Counter()

    def __len__(self) -> int:
        return len(self._blocks)

    def __contains__(self, key: str) -> bool:
        return key in self._blocks

    def keys(self) -> list[str]:
        """Return every key, least recently used first."""
        return list(self._blocks)

    def wrong_content(self, key: str) -> bytes | None:
        """Return the content imported as `key` if it was wrong."""
        return self._blocks.get(key)

    def match_prefix(self, keys: Sequence[str]) -> int:
        """Return how many leading keys are cached; mark those as used."""
        count = 0
        while count < len(keys) and keys[count] in self._blocks:
            count += 1
        for key in reversed(keys[:count]):
            self._blocks.move_to_end(key)
        return count

    def pin(self, keys: Sequence[str]) -> None:
        """Protect blocks from eviction until they are unpinned."""
        self._pins.update(keys)

    def unpin(self, keys: Sequence[str]) -> None:
        """Undo one `pin` of the same blocks."""
        self._pins.subtract(keys)
        for key in keys:
            if self._pins[key] <= 0:
                del self._pins[key]

    def store(self, keys: Sequence[str]) -> None:
        """Add a prompt's computed blocks; the first is evicted last."""
        for key in keys:
            self.put(key, self._blocks.get(key))
        self.match_prefix(keys)

    def put(self, key: str, wrong_content: bytes | None) -> bool:
        """Add one block; return False if the cache is full of pinned ones."""
        if key in self._blocks:
            self._blocks[key] = wrong_content
            self._blocks.move_to_end(key)
            return True
        if not self._make_room():
            return False
        self._blocks[key] = wrong_content
        self._log_event(CacheEventKind.STORED, key)
        return True

    def clear(self) -> None:
        """Evict every block."""
        for key in self._blocks:
            self._log_event(CacheEventKind.EVICTED, key)
        self._blocks.clear()

    def _make_room(self) -> bool:
        if len(self._blocks) < self.capacity:
            return True
        victim = next((k for k in self._blocks if k not in self._pins), None)
        if victim is None:
            return False
        del self._blocks[victim]
        self._log_event(CacheEventKind.EVICTED, victim)
        return True

    def _log_event(self, kind: CacheEventKind, key: str) -> None:
        self.log.add(kind, key, self.event_delay_ms, self.drop_nth_event)
