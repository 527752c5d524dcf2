"""The limited prefix cache of a stand-in engine and its event log."""

import asyncio
import collections
from collections.abc import Sequence
from dataclasses import dataclass

from wigeonmill.clock import Clock
from wigeonmill.standins.engine_messages import CacheEvent
from wigeonmill.standins.engine_messages import CacheEventKind

KEPT_EVENTS = 10_000


@dataclass(slots=True)
class _Published:
    due_ms: float
    event: CacheEvent | None
    sequence: int


class EventLog:
    """Numbered events that appear late and may have gaps.

    `delay_ms` holds an event back; every `drop_nth` event never appears
    (0: none is dropped).
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._events: collections.deque[_Published] = collections.deque(
            maxlen=KEPT_EVENTS
        )
        self._added = asyncio.Event()
        self.next_sequence = 1

    def add(
        self, kind: CacheEventKind, key: str, delay_ms: float, drop_nth: int
    ) -> None:
        """Append an event."""
        sequence = self.next_sequence
        self.next_sequence += 1
        dropped = drop_nth > 0 and sequence % drop_nth == 0
        event = None if dropped else CacheEvent(sequence, kind, key)
        due_ms = self._clock.now_ms() + delay_ms
        self._events.append(_Published(due_ms, event, sequence))
        self._added.set()

    def since(self, sequence: int) -> tuple[list[CacheEvent], int]:
        """Return visible events from `sequence` on and the next number."""
        now_ms = self._clock.now_ms()
        found: list[CacheEvent] = []
        following = self.next_sequence
        for published in reversed(self._events):
            if published.due_ms > now_ms:
                following = published.sequence
            elif published.sequence < sequence:
                break
            elif published.event is not None:
                found.append(published.event)
        found.reverse()
        return found, max(following, sequence)

    async def wait_since(
        self, sequence: int, wait_ms: float
    ) -> tuple[list[CacheEvent], int]:
        """Wait up to `wait_ms` until numbers from `sequence` on appear."""
        deadline_ms = self._clock.now_ms() + wait_ms
        while True:
            events, following = self.since(sequence)
            left_ms = deadline_ms - self._clock.now_ms()
            if following > sequence or left_ms <= 0:
                return events, following
            self._added.clear()
            step_ms = min(left_ms, self._due_in_ms(sequence))
            try:
                await asyncio.wait_for(self._added.wait(), step_ms / 1000.0)
            except asyncio.TimeoutError:
                continue

    def _due_in_ms(self, sequence: int) -> float:
        now_ms = self._clock.now_ms()
        due = [x.due_ms for x in self._events if x.sequence >= sequence]
        return max(due[0] - now_ms, 1.0) if due else 1000.0


class PrefixCache:
    """Blocks by key with eviction of the least recently used.

    The value of a block is its content when that was imported and is
    wrong, else None: right content is made again when it is exported.
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
        """Return the wrong content imported as `key`, if it was."""
        return self._blocks.get(key)

    def match(self, keys: Sequence[str]) -> int:
        """Return how many leading keys are held, and mark them used."""
        count = 0
        while count < len(keys) and keys[count] in self._blocks:
            count += 1
        for key in reversed(keys[:count]):
            self._blocks.move_to_end(key)
        return count

    def pin(self, keys: Sequence[str]) -> None:
        """Keep blocks from eviction until they are unpinned."""
        self._pins.update(keys)

    def unpin(self, keys: Sequence[str]) -> None:
        """End a pin."""
        self._pins.subtract(keys)
        for key in keys:
            if self._pins[key] <= 0:
                del self._pins[key]

    def store(self, keys: Sequence[str]) -> None:
        """Hold computed blocks; the first of a prompt is evicted last."""
        for key in keys:
            self.put(key, self._blocks.get(key))
        self.match(keys)

    def put(self, key: str, wrong_content: bytes | None) -> bool:
        """Hold one block; False when pinned blocks leave no room."""
        if key in self._blocks:
            self._blocks[key] = wrong_content
            self._blocks.move_to_end(key)
            return True
        if not self._make_room():
            return False
        self._blocks[key] = wrong_content
        self._record(CacheEventKind.STORED, key)
        return True

    def clear(self) -> None:
        """Evict every block."""
        for key in self._blocks:
            self._record(CacheEventKind.EVICTED, key)
        self._blocks.clear()

    def _make_room(self) -> bool:
        if len(self._blocks) < self.capacity:
            return True
        victim = next((k for k in self._blocks if k not in self._pins), None)
        if victim is None:
            return False
        del self._blocks[victim]
        self._record(CacheEventKind.EVICTED, victim)
        return True

    def _record(self, kind: CacheEventKind, key: str) -> None:
        self.log.add(kind, key, self.event_delay_ms, self.drop_nth_event)
