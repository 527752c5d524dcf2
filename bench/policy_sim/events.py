"""An event loop that runs timed callbacks on a manual clock."""

from collections.abc import Callable
import heapq
import itertools
from typing import Any

from wigeonmill.clock import ManualClock


class EventLoop:
    """A heap of timed callbacks; the clock advances from one to the next."""

    __slots__ = ('clock', '_heap', '_sequence')

    def __init__(self) -> None:
        self.clock = ManualClock()
        self._heap: list[tuple[float, int, Callable[..., Any], tuple]] = []
        self._sequence = itertools.count()

    def now_ms(self) -> float:
        """Return the simulated time."""
        return self.clock.now_ms()

    def at(self, time_ms: float, callback: Callable[..., Any], *args: Any):
        """Call `callback` at `time_ms`, or now if that time has passed."""
        time_ms = max(time_ms, self.clock.now_ms())
        entry = (time_ms, next(self._sequence), callback, args)
        heapq.heappush(self._heap, entry)

    def after(self, delay_ms: float, callback: Callable[..., Any], *args: Any):
        """Call `callback` after `delay_ms`."""
        self.at(self.clock.now_ms() + delay_ms, callback, *args)

    def run(self, until_ms: float) -> None:
        """Run every callback that is due before `until_ms`."""
        while self._heap and self._heap[0][0] < until_ms:
            time_ms, _sequence, callback, args = heapq.heappop(self._heap)
            self.clock.set_ms(time_ms)
            callback(*args)
        self.clock.set_ms(until_ms)
