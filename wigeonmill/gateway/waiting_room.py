"""A short queue of requests in front of targets that have no room.

It is bounded by count and by bytes. Waiting requests look for room in the
order of their standing, at intervals and whenever an answer frees some.
"""

import asyncio
from bisect import insort
import enum
from math import inf

from wigeonmill.clock import Clock
from wigeonmill.gateway.admission import MIN_HOLD_MS
from wigeonmill.gateway.admission import Standing

# Interval at which waiting requests look for room that others have freed.
LOOK_MS = 20.0
# Shortest time between two rounds. Those whose time is over within it look in
# the earlier one.
MIN_ROUND_MS = MIN_HOLD_MS
MAX_WAITING = 256
MAX_WAITING_BYTES = 8 * 1024 * 1024
# Requests that look at once at each interval, besides those whose time is
# over. Each compares all targets.
MAX_LOOKS = 16


class Turn(enum.Enum):
    """How a wait has ended."""

    LOOK = 'look'
    # A slot has become free, also if its target refused others before.
    SLOT = 'slot'
    DISPLACED = 'displaced'


class Place:
    """The place of one request in the queue."""

    __slots__ = ('service', 'excess', 'standing', 'bytes', 'until_ms', 'fut')

    def __init__(
        self,
        service: str,
        excess: float,
        standing: Standing,
        bytes_: int,
    ) -> None:
        """Create a place of a team that was served `excess` fair shares."""
        self.service = service
        self.excess = excess
        self.standing = standing
        self.bytes = bytes_
        # When the request looks at the latest.
        self.until_ms = inf
        self.fut: asyncio.Future[Turn] | None = None

    def __lt__(self, other: 'Place') -> bool:
        return self.standing < other.standing

    @property
    def waits(self) -> bool:
        """Whether the request waits at the moment."""
        return self.fut is not None and not self.fut.done()

    def end(self, turn: Turn) -> None:
        """End the wait, unless it has ended."""
        if self.fut is not None and not self.fut.done():
            self.fut.set_result(turn)


class WaitingRoom:
    """Holds requests until there may be room for them."""

    __slots__ = ('_clock', '_places', '_bytes', '_timer', '_limit')

    def __init__(self, clock: Clock, limit: int = MAX_WAITING) -> None:
        self._clock = clock
        self._places: list[Place] = []
        self._bytes = 0
        self._timer: asyncio.TimerHandle | None = None
        self._limit = limit

    @property
    def waiting(self) -> int:
        """The number of requests that wait."""
        return len(self._places)

    def waiting_for(self, service: str) -> int:
        """Return the number of requests that wait for a service."""
        return sum(place.service == service for place in self._places)

    def goes_first(self, service: str, standing: Standing) -> bool:
        """Whether none that waits for a service goes before `standing`."""
        return not any(
            place.service == service and place.standing < standing
            for place in self._places
        )

    def enter(self, place: Place) -> bool:
        """Take a place; return False if there is none for the request.

        If the queue is full, the least urgent request of the team furthest
        above its share leaves it, or else the request does not enter.
        """
        insort(self._places, place)
        self._bytes += place.bytes
        while self._is_full():
            last = max(self._places, key=lambda p: (p.excess, p.standing))
            self.leave(last)
            if last is place:
                return False
            last.end(Turn.DISPLACED)
        return True

    def leave(self, place: Place) -> None:
        """Give up a place, if the request still has one."""
        if place not in self._places:
            return
        self._places.remove(place)
        self._bytes -= place.bytes
        if not self._places and self._timer is not None:
            self._timer.cancel()
            self._timer = None

    async def wait(self, place: Place) -> Turn:
        """Wait until the request may look for room, or lost its place."""
        if place not in self._places:
            return Turn.DISPLACED
        place.fut = asyncio.get_running_loop().create_future()
        self._start_timer()
        try:
            return await place.fut
        finally:
            place.fut = None

    def offer_slot(self, service: str) -> None:
        """Offer a slot that an answer has freed to the first request."""
        for place in self._places:
            if place.service == service and place.waits:
                place.end(Turn.SLOT)
                return

    def _look(self) -> None:
        """Let the first requests look, and those whose time is over."""
        self._timer = None
        by_ms = self._clock.now_ms() + MIN_ROUND_MS
        for number, place in enumerate(self._places):
            if number < MAX_LOOKS or by_ms >= place.until_ms:
                place.end(Turn.LOOK)
        # Those that don't look now wait on.
        if len(self._places) > MAX_LOOKS:
            self._start_timer()

    def _start_timer(self) -> None:
        """Look at the next interval, or when the time of the first is over."""
        if self._timer is not None:
            return
        first_ms = min(
            (place.until_ms for place in self._places if place.waits),
            default=inf,
        )
        wait_ms = min(LOOK_MS, first_ms - self._clock.now_ms())
        wait_ms = max(MIN_ROUND_MS, wait_ms)
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(wait_ms / 1000.0, self._look)

    def _is_full(self) -> bool:
        return (
            len(self._places) > self._limit or self._bytes > MAX_WAITING_BYTES
        )
