"""What a cache store holds, and how long that may be relied on.

A part may be fetched only while it is surely whole. A store that restarts is
empty, and parts are written to it again; an entry that has not heard of the
restart must not fetch them meanwhile. So what a poll told is trusted for
`TRUST_MS` on the stores' clock, fetches name its end, and nobody saves to a
store within that time after seeing it at a new start.
"""

import collections
from collections.abc import Iterable
from dataclasses import dataclass
import enum

from wigeonmill.clock import Clock

# How long a store's answer is relied on. Polls come back within a second.
TRUST_MS = 3_000
# Margin for the way of a request to its engine.
SEND_MARGIN_MS = 300.0
# How long a save is taken to be under way.
SAVE_PENDING_MS = 4_000.0
# Saves under way that are remembered before lost ones are dropped.
MAX_PENDING_SAVES = 4_096
# Events that are kept to be told to other entries; those that lack more ask
# the store.
MAX_TOLD_EVENTS = 1_024


class SaveDecision(enum.Enum):
    """Whether a part is saved, and why not; each has a counter."""

    SAVE = 'save'
    HELD = 'held'
    UNDER_WAY = 'under_way'
    # The store does not answer, or has not answered yet.
    NOT_FOLLOWED = 'not_followed'
    # Another entry may not have heard of the store's new start.
    STARTED_LATELY = 'started_lately'


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A part that a store holds now (`tokens` of it), or holds no more."""

    added: bool
    salt: str
    part: str
    tokens: int


@dataclass(frozen=True, slots=True)
class CacheEventBatch:
    """A store's answer to a poll; `next` continues it.

    `boot` changes when the store restarts; `lost` says that events are
    missing. `clock_ms` is the stores' and engines' common clock.
    """

    boot: int
    next: int
    lost: bool
    clock_ms: int
    events: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class CacheListing:
    """All that a store holds, to be continued from `next`."""

    boot: int
    next: int
    parts: tuple[CacheEvent, ...]


@dataclass(frozen=True, slots=True)
class SharedNews:
    """News of a store from another entry, which asked `age_ms` ago.

    `events` are all after the number that was asked for, up to `next`.
    """

    boot: int
    next: int
    clock_ms: int
    age_ms: float
    events: tuple[CacheEvent, ...]


class StoreView:
    """One store as its polls, and those of other entries, show it."""

    __slots__ = (
        '_clock',
        '_parts',
        '_pending',
        '_trusted_until_ms',
        '_boot_seen_ms',
        '_told',
        '_told_from',
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
        self._trusted_until_ms = 0.0
        self._boot_seen_ms = 0.0
        # Events with the number up to which they were complete, all later
        # than the number `_told_from`.
        self._told: collections.deque[tuple[int, CacheEvent]] = (
            collections.deque()
        )
        self._told_from = 0
        self._clock_ms = 0
        # Least by which the stores' clock is ahead of this process's.
        self._offset_ms = float('-inf')
        self.address = address
        self.boot: int | None = None
        self.next = 0
        self.fetch_until_ms = 0
        self.tokens = 0

    def apply_events(self, news: CacheEventBatch, asked_ms: float) -> bool:
        """Take an answer asked for at `asked_ms`; False: list anew."""
        if news.boot != self.boot:
            self._restart(news.boot)
            return False
        if news.lost:
            return False
        # The store may have answered at any time since it was asked.
        self._advance(news.events, news.next, asked_ms, news.clock_ms)
        return True

    def take_shared(self, news: SharedNews, asked_ms: float) -> None:
        """Take what another entry, asked at `asked_ms`, knew.

        News of another start are left to a poll of this entry's own.
        """
        if news.boot != self.boot or news.next < self.next:
            return
        known_ms = asked_ms - news.age_ms
        self._advance(news.events, news.next, known_ms, news.clock_ms)

    def share(self, boot: int, after: int) -> SharedNews | None:
        """Return what came after an event number, if all of it is kept."""
        if boot != self.boot or not self._told_from <= after <= self.next:
            return None
        events = tuple(event for number, event in self._told if number > after)
        return SharedNews(boot, self.next, self._clock_ms, self.age_ms, events)

    @property
    def store_now_ms(self) -> float:
        """The stores' clock now; behind by an answer's way at most."""
        return self._clock.now_ms() + self._offset_ms

    @property
    def age_ms(self) -> float:
        """Time since the store was asked for what is known."""
        asked_ms = self._trusted_until_ms - TRUST_MS
        return self._clock.now_ms() - asked_ms

    def apply_listing(self, listing: CacheListing) -> None:
        """Take all that the store holds."""
        if listing.boot != self.boot:
            self._restart(listing.boot)
        self._told.clear()
        self._told_from = listing.next
        self._parts.clear()
        self.tokens = 0
        for part in listing.parts:
            self._set(part)
        self.next = listing.next

    def available_tokens(self, salt: str, part: str) -> int:
        """Return the whole tokens of a part that may be fetched now."""
        if self._clock.now_ms() > self._trusted_until_ms - SEND_MARGIN_MS:
            return 0
        return self._parts.get((salt, part), 0)

    def start_save(self, salt: str, part: str) -> SaveDecision:
        """Decide on saving a part now; if so it counts as under way."""
        now_ms = self._clock.now_ms()
        key = (salt, part)
        if self.boot is None or now_ms >= self._trusted_until_ms:
            return SaveDecision.NOT_FOLLOWED
        if now_ms < self._boot_seen_ms + TRUST_MS + SEND_MARGIN_MS:
            return SaveDecision.STARTED_LATELY
        if key in self._parts:
            return SaveDecision.HELD
        if self._pending.get(key, 0.0) > now_ms:
            return SaveDecision.UNDER_WAY
        if len(self._pending) >= MAX_PENDING_SAVES:
            self._forget_lost_saves(now_ms)
        self._pending[key] = now_ms + SAVE_PENDING_MS
        return SaveDecision.SAVE

    def parts_with(self, unwanted: Iterable[str]) -> list[tuple[str, str]]:
        """Return the parts under any of the salts."""
        salts = set(unwanted)
        return [key for key in self._parts if key[0] in salts]

    def salts(self) -> set[str]:
        """Return the salts of all parts."""
        return {salt for salt, _part in self._parts}

    def _advance(
        self,
        events: Iterable[CacheEvent],
        next_: int,
        known_ms: float,
        clock_ms: int,
    ) -> None:
        for event in events:
            self._set(event)
            self._told.append((next_, event))
        while len(self._told) > MAX_TOLD_EVENTS:
            self._told_from = self._told.popleft()[0]
        self.next = next_
        until_ms = known_ms + TRUST_MS
        self._trusted_until_ms = max(self._trusted_until_ms, until_ms)
        self._clock_ms = max(self._clock_ms, clock_ms)
        offset_ms = clock_ms - self._clock.now_ms()
        self._offset_ms = max(self._offset_ms, offset_ms)
        self.fetch_until_ms = self._clock_ms + TRUST_MS

    def _forget_lost_saves(self, now_ms: float) -> None:
        """Drop saves that were never reported as whole."""
        self._pending = {
            key: until_ms
            for key, until_ms in self._pending.items()
            if until_ms > now_ms
        }

    def _set(self, event: CacheEvent) -> None:
        key = (event.salt, event.part)
        self.tokens -= self._parts.pop(key, 0)
        self._pending.pop(key, None)
        if event.added:
            self._parts[key] = event.tokens
            self.tokens += event.tokens

    def _restart(self, boot: int) -> None:
        self.boot = boot
        self.next = 0
        self._parts.clear()
        self._pending.clear()
        self._told.clear()
        self._told_from = 0
        self._clock_ms = 0
        self.tokens = 0
        self._trusted_until_ms = 0.0
        self._boot_seen_ms = self._clock.now_ms()
