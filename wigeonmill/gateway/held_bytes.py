"""Bounds the bytes that an entry holds for its callers.

Load: many callers that read their answers, or send their bodies, a byte a
second, many large bodies at once, and many targets that send without end. A
caller that is behind gets no more from its target for a moment. If all of them
together hold too much, the one that has done nothing for the longest time is
ended first. A body for which there would be no room beside those that wait for
their targets is refused before it is read.

Answers that are read completely before they are passed on go on one at a time
while there is too much. If none of them ends for a while, the one that holds
most is ended, as its target is faulty or slow.
"""

import asyncio
from collections.abc import Callable
from math import inf

from wigeonmill.clock import Clock

# What a caller has not read of its answer before its target is read on.
LOW_WATER_BYTES = 64 * 1024
# Bodies up to this size are never refused, nor ended before larger ones. Their
# number is limited by that of the connections.
SMALL_BODY_BYTES = 4 * 1024
# Share of the bound that larger bodies leave to what else is held.
RESERVED_SHARE = 0.125
# Longest time for which an answer is not read on from its target. Targets
# close connections that are not read for some seconds.
MAX_PAUSE_MS = 1_000.0
# Beyond the bound by this much, answers are ended at once.
OVERDRAFT_BYTES = 4 * 1024 * 1024
# Time without a byte after which an answer lets another one go on, beyond the
# pause of each, and time with too much and no end after which one is ended.
STALLED_MS = 250.0
MAX_FULL_MS = 2_000.0
# A caller whose time is over is ended once it has read nothing for this time,
# so that answers that are ready are delivered, also late.
UNREAD_GRACE_MS = 2_000.0


class Holding:
    """What is held for one caller, in bytes.

    `input` is the body of its request, and `is_reading` tells whether more of
    it may come. `collected` is what was read of an answer and not written yet,
    and `unsent` what was written and the kernel has not taken.
    `idle_since_ms` is the time since when the entry waits for the caller to
    read or to send; it is infinite if it doesn't.
    """

    __slots__ = (
        'input',
        'is_reading',
        'collected',
        'unsent',
        'idle_since_ms',
        'deadline_ms',
        'end',
        'read_unsent',
        'waiters',
    )

    def __init__(
        self, end: Callable[[str], None], read_unsent: Callable[[], int]
    ) -> None:
        self.input = 0
        self.is_reading = False
        self.collected = 0
        self.unsent = 0
        self.idle_since_ms = inf
        self.deadline_ms = inf
        # Ends the caller's request for a reason.
        self.end = end
        # Returns what the kernel has not taken by now.
        self.read_unsent = read_unsent
        self.waiters: set[asyncio.Future[None]] = set()

    @property
    def total(self) -> int:
        """All bytes that are held."""
        return self.input + self.collected + self.unsent


class Collection:
    """What one target has sent of an answer that is not passed on yet.

    `size` is in bytes, and `moved_ms` is when more of it came. `break_off`
    ends the answer as that of a faulty target.
    """

    __slots__ = ('holding', 'size', 'moved_ms', 'break_off')

    def __init__(
        self, holding: Holding, now_ms: float, break_off: Callable[[], None]
    ) -> None:
        self.holding = holding
        self.size = 0
        self.moved_ms = now_ms
        self.break_off = break_off


class HeldBytes:
    """The bytes held for all callers, at most `max_bytes` (0: no bound)."""

    __slots__ = (
        '_clock',
        '_holdings',
        '_collections',
        '_full_since_ms',
        '_checked_ms',
        '_reading',
        'max_bytes',
        'total',
    )

    def __init__(self, clock: Clock, max_bytes: int = 0) -> None:
        self._clock = clock
        self.max_bytes = max_bytes
        # Those that hold anything.
        self._holdings: dict[Holding, None] = {}
        self._collections: dict[Collection, None] = {}
        # Since when there has been too much, or infinite.
        self._full_since_ms = inf
        self._checked_ms = clock.now_ms()
        # The part of the total that is bodies of which more may come.
        self._reading = 0
        self.total = 0

    @property
    def is_bounded(self) -> bool:
        """Whether there is a bound."""
        return self.max_bytes > 0

    @property
    def _max_large_bytes(self) -> float:
        return self.max_bytes * (1.0 - RESERVED_SHARE)

    def has_room(self, size: int) -> bool:
        """Whether a body of this size may be read.

        Those that are being read have to make room for it if they are slower.
        One that is alone may always be read.
        """
        fixed = self.total - self._reading
        return (
            not self.is_bounded
            or size <= SMALL_BODY_BYTES
            or fixed + size <= self._max_large_bytes
            or self._is_alone(0)
        )

    def set_input(self, holding: Holding, size: int, complete: bool) -> None:
        """Set the size of a body, of which more may have to be sent."""
        if not self.is_bounded:
            return
        self._set_input_size(holding, size, not complete)
        holding.idle_since_ms = inf if complete else self._clock.now_ms()
        if not complete and size > SMALL_BODY_BYTES:
            self._enforce(self._max_large_bytes)
        else:
            self._enforce(self.max_bytes)

    def collect(
        self, holding: Holding, break_off: Callable[[], None]
    ) -> Collection:
        """Return a collection of what a target sends."""
        return Collection(holding, self._clock.now_ms(), break_off)

    def set_collected(self, collection: Collection, size: int) -> None:
        """Set what was read of an answer and not written yet."""
        change = size - collection.size
        if not self.is_bounded or not change:
            return
        collection.size = size
        if change > 0:
            collection.moved_ms = self._clock.now_ms()
        if size:
            self._collections[collection] = None
        else:
            self._collections.pop(collection, None)
            if -change > LOW_WATER_BYTES:
                # As long as large answers end, others may wait.
                self._full_since_ms = inf
        self._apply(collection.holding, change)
        collection.holding.collected += change
        self._enforce(self.max_bytes)
        if self.total > self.max_bytes + OVERDRAFT_BYTES:
            self._break_off_one()
        elif change < 0:
            self._wake_next()

    def record_written(self, holding: Holding, size: int) -> None:
        """Count `size` more bytes that were written to the caller."""
        if self.is_bounded:
            self._update_unsent(holding, holding.unsent + size)
            self._update_unsent(holding, holding.read_unsent())
            self._enforce(self.max_bytes)

    def release(self, holding: Holding) -> None:
        """Hold nothing more that the caller has to read or to complete."""
        self._set_input_size(holding, 0, False)
        self._apply(holding, -holding.unsent)
        holding.unsent = 0
        holding.idle_since_ms = inf
        self._wake_all(holding)

    def release_input(self, holding: Holding) -> None:
        """Hold the body no longer; the caller may still read its answer."""
        self._set_input_size(holding, 0, False)

    def check(self) -> None:
        """Look what callers have read, and end those whose time is over."""
        now_ms = self._clock.now_ms()
        stood_still = now_ms - self._checked_ms > MAX_PAUSE_MS
        self._checked_ms = now_ms
        for holding in list(self._holdings):
            if stood_still and holding.idle_since_ms < inf:
                # The process has not written what they would have read.
                holding.idle_since_ms = now_ms
            if holding.unsent:
                unsent = holding.read_unsent()
                self._update_unsent(holding, unsent)
            if not self.is_behind(holding):
                self._wake_all(holding)
            since_ms = max(
                holding.idle_since_ms, holding.deadline_ms - UNREAD_GRACE_MS
            )
            if now_ms >= since_ms + UNREAD_GRACE_MS:
                self._end(holding, 'deadline')
        self._enforce(self.max_bytes)
        self._check_full(now_ms)

    def is_behind(self, holding: Holding) -> bool:
        """Whether to read on from the target later.

        If all of them together hold too much, nothing is read on for a caller
        that has something to read, nor into answers that are not complete.
        Small ones and the one that is next are read on.
        """
        if not self.is_bounded:
            return False
        if holding.unsent > LOW_WATER_BYTES:
            return True
        if self.total < self.max_bytes:
            return False
        if holding.unsent:
            return True
        if holding.collected <= SMALL_BODY_BYTES:
            return False
        leader = self._next()
        return leader is None or leader.holding is not holding

    async def wait(self, holding: Holding, until_ms: float) -> None:
        """Wait until the caller is not behind, or the target has to be read.

        It lasts until `until_ms` at most.
        """
        if not self.is_behind(holding):
            return
        wait_ms = min(MAX_PAUSE_MS, until_ms - self._clock.now_ms())
        if wait_ms <= 0:
            return
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        holding.waiters.add(waiter)
        timer = loop.call_later(wait_ms / 1000.0, _wake, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            holding.waiters.discard(waiter)

    def _update_unsent(self, holding: Holding, unsent: int) -> None:
        """Set what is unsent; less of it means that the caller has read."""
        if unsent == 0:
            holding.idle_since_ms = inf
        elif unsent < holding.unsent or holding.unsent == 0:
            holding.idle_since_ms = self._clock.now_ms()
        self._apply(holding, unsent - holding.unsent)
        holding.unsent = unsent

    def _apply(self, holding: Holding, change: int) -> None:
        self.total += change
        if holding.total + change > 0:
            self._holdings[holding] = None
        else:
            self._holdings.pop(holding, None)

    def _set_input_size(
        self, holding: Holding, size: int, is_reading: bool
    ) -> None:
        if holding.is_reading:
            self._reading -= holding.input
        if is_reading:
            self._reading += size
        self._apply(holding, size - holding.input)
        holding.input = size
        holding.is_reading = is_reading

    def _is_alone(self, size: int) -> bool:
        """Whether next to nothing is held but `size` bytes of one caller."""
        return self.total - size <= self.max_bytes * RESERVED_SHARE

    def _enforce(self, max_bytes: float) -> None:
        """End callers until the bound is kept, the most idle one first.

        Requests that wait for their targets alone are not ended.
        """
        if not self.is_bounded or self.total <= max_bytes:
            return
        idle = [h for h in self._holdings if h.idle_since_ms < inf]
        idle.sort(key=lambda h: (h.total <= SMALL_BODY_BYTES, h.idle_since_ms))
        for holding in idle:
            if self.total <= max_bytes:
                return
            # It may have read since the last look.
            if holding.unsent:
                self._update_unsent(holding, holding.read_unsent())
            is_alone = holding.is_reading and self._is_alone(holding.total)
            if (
                holding.idle_since_ms < inf
                and self.total > max_bytes
                and not is_alone
            ):
                self._end(holding, 'memory')

    def _end(self, holding: Holding, why: str) -> None:
        self.release(holding)
        holding.deadline_ms = inf
        holding.end(why)

    def _next(self) -> Collection | None:
        """Return the answer that goes on while there is too much.

        It is the one that holds most, of those that do come.
        """
        if not self._collections:
            return None
        now_ms = self._clock.now_ms()
        return max(
            self._collections,
            key=lambda c: (
                now_ms - c.moved_ms < MAX_PAUSE_MS + STALLED_MS,
                c.size,
            ),
        )

    def _wake_next(self) -> None:
        leader = self._next()
        if leader is not None and not self.is_behind(leader.holding):
            self._wake_all(leader.holding)

    def _check_full(self, now_ms: float) -> None:
        """End an answer if there has been too much for too long."""
        if not self.is_bounded or self.total < self.max_bytes:
            self._full_since_ms = inf
            return
        self._full_since_ms = min(self._full_since_ms, now_ms)
        if now_ms - self._full_since_ms >= MAX_FULL_MS:
            self._full_since_ms = now_ms
            self._break_off_one()

    def _break_off_one(self) -> None:
        """End the answer that holds most, one that does not come first.

        Its target is to blame, or the machine is too small for the load.
        """
        if not self._collections:
            return
        now_ms = self._clock.now_ms()
        largest = max(
            self._collections,
            key=lambda c: (
                now_ms - c.moved_ms >= MAX_PAUSE_MS + STALLED_MS,
                c.size,
            ),
        )
        if largest.size <= SMALL_BODY_BYTES:
            return
        # Its request lets go of the bytes as it ends.
        del self._collections[largest]
        largest.break_off()
        self._wake_all(largest.holding)

    def _wake_all(self, holding: Holding) -> None:
        for waiter in holding.waiters:
            _wake(waiter)


def _wake(waiter: 'asyncio.Future[None]') -> None:
    if not waiter.done():
        waiter.set_result(None)
