"""The known contents of a cache store, and how long they remain valid.

A part may be fetched only while it is certain to be complete. A store that
restarts is empty, and parts are then written to it again; an entry that does
not know of the restart must not fetch them while they are incomplete.
Therefore the result of a poll is valid for `VALIDITY_MS` on the stores'
clock, each fetch carries the end of that period as its deadline, and no entry
saves to a store until that period has passed after it first saw a restart.
"""

import collections
from collections.abc import Iterable
from dataclasses import dataclass
import enum

from wigeonmill.clock import Clock

# How long the result of a poll is valid. Polls return within a second.
VALIDITY_MS = 3_000
# Margin for the time a request takes to reach its engine.
SEND_MARGIN_MS = 300.0
# How long a save is assumed to be in progress.
SAVE_PENDING_MS = 4_000.0
# Number of pending saves at which expired ones are dropped.
MAX_PENDING_SAVES = 4_096
# Events that are kept for other entries. An entry that needs older events
# polls the store.
MAX_RECENT_EVENTS = 1_024


class SaveDecision(enum.Enum):
    """Whether a part is saved, and if not, why; values label a counter."""

    SAVE = 'save'
    HELD = 'held'
    IN_PROGRESS = 'under_way'
    # The store does not respond, or has not responded yet.
    STORE_UNAVAILABLE = 'not_followed'
    # Another entry may not know yet that the store has restarted.
    RECENTLY_RESTARTED = 'started_lately'


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A part of `tokens` tokens was added to a store, or was removed."""

    added: bool
    salt: str
    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheEventBatch:
    """The response of a store to a poll.

    The following poll starts at `next`. `boot` changes when the store
    restarts. If `lost` is set, events are missing. `clock_ms` is the time on
    the clock that the stores and engines share.
    """

    boot: int
    next: int
    lost: bool
    clock_ms: int
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class CacheListing:
    """All parts in a store; polling continues from event number `next`."""

    boot: int
    next: int
    parts: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class PeerEventBatch:
    """Events of a store as relayed by another entry.

    `events` is complete from the requested event number up to `next`. The
    poll that reported them was sent `age_ms` ago.
    """

    boot: int
    next: int
    clock_ms: int
    age_ms: float
    events: tuple[CacheEvent, ...]


class StoreView:
    """The state of one store as known from polls by this or other entries."""

    __slots__ = (
        '_clock',
        '_parts',
        '_pending',
        '_valid_until_ms',
        '_boot_seen_ms',
        '_recent_events',
        '_recent_after',
        '_clock_ms',
        '_offset_ms',
        'address',
        'boot',
        'next',
        'fetch_until_ms',
        'tokens',
    )

    def __init__(self, clock: Clock, address: str) -> None:
        self._clock = clock
        self._parts: dict[tuple[str, str], int] = {}
        self._pending: dict[tuple[str, str], float] = {}
        self._valid_until_ms = 0.0
        self._boot_seen_ms = 0.0
        # Recent events, each with the event number that its batch reached.
        # Every event after the number `_recent_after` is included.
        self._recent_events: collections.deque[tuple[int, CacheEvent]] = (
            collections.deque()
        )
        self._recent_after = 0
        self._clock_ms = 0
        # Lower bound of the offset of the stores' clock to the local clock.
        self._offset_ms = float('-inf')
        self.address = address
        self.boot: int | None = None
        self.next = 0
        self.fetch_until_ms = 0
        self.tokens = 0

    def apply_events(
        self, batch: CacheEventBatch, requested_ms: float
    ) -> bool:
        """Apply the response to a poll that was sent at `requested_ms`.

        Return False if the store has to be listed again.
        """
        if batch.boot != self.boot:
            self._reset(batch.boot)
            return False
        if batch.lost:
            return False
        # The response may reflect any moment since the poll was sent.
        self._merge_events(
            batch.events, batch.next, requested_ms, batch.clock_ms
        )
        return True

    def apply_peer_events(
        self, batch: PeerEventBatch, requested_ms: float
    ) -> None:
        """Apply events that another entry was asked for at `requested_ms`.

        Events of another boot are ignored: this entry's own poll detects a
        restart.
        """
        if batch.boot != self.boot or batch.next < self.next:
            return
        as_of_ms = requested_ms - batch.age_ms
        self._merge_events(batch.events, batch.next, as_of_ms, batch.clock_ms)

    def events_after(self, boot: int, after: int) -> PeerEventBatch | None:
        """Return the events after a number.

        Return None for another boot, or if some of them were dropped.
        """
        if boot != self.boot or not self._recent_after <= after <= self.next:
            return None
        events = tuple(
            event for number, event in self._recent_events if number > after
        )
        return PeerEventBatch(
            boot, self.next, self._clock_ms, self.age_ms, events
        )

    @property
    def store_now_ms(self) -> float:
        """The time on the stores' clock.

        It lags by at most the transit time of the fastest response.
        """
        return self._clock.now_ms() + self._offset_ms

    @property
    def _is_valid(self) -> bool:
        return self._clock.now_ms() < self._valid_until_ms

    @property
    def age_ms(self) -> float:
        """The time since the poll that this view reflects was sent."""
        requested_ms = self._valid_until_ms - VALIDITY_MS
        return self._clock.now_ms() - requested_ms

    def apply_listing(self, listing: CacheListing) -> None:
        """Replace the known parts by a complete listing.

        One that peers' events have overtaken is of no use.
        """
        if listing.boot != self.boot:
            self._reset(listing.boot)
        elif listing.next < self.next and self._is_valid:
            return
        self._recent_events.clear()
        self._recent_after = listing.next
        self._parts.clear()
        self.tokens = 0
        for part in listing.parts:
            self._apply_event(part)
        self.next = listing.next

    def available_tokens(self, salt: str, part: str) -> int:
        """Return the tokens of a part if it may be fetched now, else 0."""
        if self._clock.now_ms() > self._valid_until_ms - SEND_MARGIN_MS:
            return 0
        return self._parts.get((salt, part), 0)

    def start_save(self, salt: str, part: str) -> SaveDecision:
        """Decide whether to save a part now; if so, mark it as pending."""
        now_ms = self._clock.now_ms()
        key = (salt, part)
        if self.boot is None or not self._is_valid:
            return SaveDecision.STORE_UNAVAILABLE
        if now_ms < self._boot_seen_ms + VALIDITY_MS + SEND_MARGIN_MS:
            return SaveDecision.RECENTLY_RESTARTED
        if key in self._parts:
            return SaveDecision.HELD
        if self._pending.get(key, 0.0) > now_ms:
            return SaveDecision.IN_PROGRESS
        if len(self._pending) >= MAX_PENDING_SAVES:
            self._expire_pending_saves(now_ms)
        self._pending[key] = now_ms + SAVE_PENDING_MS
        return SaveDecision.SAVE

    def parts_with_salts(self, salts: Iterable[str]) -> list[tuple[str, str]]:
        """Return the parts under any of the salts."""
        selected = set(salts)
        return [key for key in self._parts if key[0] in selected]

    def salts(self) -> set[str]:
        """Return the salts of all parts."""
        return {salt for salt, _part in self._parts}

    def _merge_events(
        self,
        events: Iterable[CacheEvent],
        next_: int,
        as_of_ms: float,
        clock_ms: int,
    ) -> None:
        for event in events:
            self._apply_event(event)
            self._recent_events.append((next_, event))
        while len(self._recent_events) > MAX_RECENT_EVENTS:
            self._recent_after = self._recent_events.popleft()[0]
        self.next = next_
        until_ms = as_of_ms + VALIDITY_MS
        self._valid_until_ms = max(self._valid_until_ms, until_ms)
        self._clock_ms = max(self._clock_ms, clock_ms)
        offset_ms = clock_ms - self._clock.now_ms()
        self._offset_ms = max(self._offset_ms, offset_ms)
        self.fetch_until_ms = self._clock_ms + VALIDITY_MS

    def _expire_pending_saves(self, now_ms: float) -> None:
        """Drop pending saves that were not reported as complete in time."""
        self._pending = {
            key: until_ms
            for key, until_ms in self._pending.items()
            if until_ms > now_ms
        }

    def _apply_event(self, event: CacheEvent) -> None:
        key = (event.salt, event.part)
        self.tokens -= self._parts.pop(key, 0)
        self._pending.pop(key, None)
        if event.added:
            self._parts[key] = event.tokens
            self.tokens += event.tokens

    def _reset(self, boot: int) -> None:
        self.boot = boot
        self.next = 0
        self._parts.clear()
        self._pending.clear()
        self._recent_events.clear()
        self._recent_after = 0
        self._clock_ms = 0
        self.tokens = 0
        self._valid_until_ms = 0.0
        self._boot_seen_ms = self._clock.now_ms()
