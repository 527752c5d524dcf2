"""Bounds the bytes that an entry holds for its callers.

Load: many callers that read their answers, or send their bodies, a byte a
second. A caller that is behind gets no more from its target for a moment. If
all of them together hold too much, the one that has done nothing for the
longest time is ended first.
"""

import asyncio
from collections.abc import Callable
from math import inf

from wigeonmill.clock import Clock

# What a caller has not read of its answer before its target is read on.
LOW_WATER_BYTES = 64 * 1024
# Longest time for which an answer is not read on from its target. Targets
# close connections that are not read for some seconds.
MAX_PAUSE_MS = 1_000.0
# A caller whose time is over is ended once it has read nothing for this time,
# so that answers that are ready are delivered, also late.
UNREAD_GRACE_MS = 2_000.0


class Holding:
    """What is held for one caller, in bytes.

    `input` is the body of its request, `collected` what was read of an answer
    and not written yet, and `unsent` what was written and the kernel has not
    taken. `idle_since_ms` is the time since when the entry waits for the
    caller to read or to send; it is infinite if it doesn't.
    """

    __slots__ = (
        'input',
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


class HeldBytes:
    """The bytes held for all callers, at most `max_bytes` (0: no bound)."""

    __slots__ = ('_clock', '_max_bytes', '_holdings', '_checked_ms', 'total')

    def __init__(self, clock: Clock, max_bytes: int = 0) -> None:
        self._clock = clock
        self._max_bytes = max_bytes
        # Those that hold anything.
        self._holdings: dict[Holding, None] = {}
        self._checked_ms = clock.now_ms()
        self.total = 0

    @property
    def is_bounded(self) -> bool:
        """Whether there is a bound."""
        return self._max_bytes > 0

    def set_input(self, holding: Holding, size: int, complete: bool) -> None:
        """Set the size of a body, of which more may have to be sent."""
        if not self.is_bounded:
            return
        self._apply(holding, size - holding.input)
        holding.input = size
        holding.idle_since_ms = inf if complete else self._clock.now_ms()
        self._enforce()

    def add_collected(self, holding: Holding, change: int) -> None:
        """Add to what was read of the answer and not written yet."""
        if not self.is_bounded or not change:
            return
        self._apply(holding, change)
        holding.collected += change
        self._enforce()

    def record_written(self, holding: Holding, size: int) -> None:
        """Count `size` more bytes that were written to the caller."""
        if self.is_bounded:
            self._update_unsent(holding, holding.unsent + size)
            self._update_unsent(holding, holding.read_unsent())
            self._enforce()

    def release(self, holding: Holding) -> None:
        """Hold nothing more that the caller has to read or to complete."""
        self._apply(holding, -(holding.input + holding.unsent))
        holding.input = holding.unsent = 0
        holding.idle_since_ms = inf
        self._wake_all(holding)

    def release_input(self, holding: Holding) -> None:
        """Hold the body no longer; the caller may still read its answer."""
        self._apply(holding, -holding.input)
        holding.input = 0

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
        self._enforce()

    def is_behind(self, holding: Holding) -> bool:
        """Whether to read on from the target later.

        If all of them together hold too much, nothing is read on for a caller
        that has something to read, nor into answers that are not complete.
        """
        if not self.is_bounded:
            return False
        if holding.unsent > LOW_WATER_BYTES:
            return True
        held = holding.unsent or holding.collected
        return held > 0 and self.total >= self._max_bytes

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

    def _enforce(self) -> None:
        """End callers until the bound is kept, the most idle one first.

        Requests that wait for their targets alone are not ended.
        """
        if not self.is_bounded or self.total <= self._max_bytes:
            return
        idle = [h for h in self._holdings if h.idle_since_ms < inf]
        for holding in sorted(idle, key=lambda h: h.idle_since_ms):
            if self.total <= self._max_bytes:
                return
            # It may have read since the last look.
            if holding.unsent:
                self._update_unsent(holding, holding.read_unsent())
            if holding.idle_since_ms < inf and self.total > self._max_bytes:
                self._end(holding, 'memory')

    def _end(self, holding: Holding, why: str) -> None:
        self.release(holding)
        holding.deadline_ms = inf
        holding.end(why)

    def _wake_all(self, holding: Holding) -> None:
        for waiter in holding.waiters:
            _wake(waiter)


def _wake(waiter: 'asyncio.Future[None]') -> None:
    if not waiter.done():
        waiter.set_result(None)
