"""An event loop whose time and progress a test controls."""

import asyncio
import collections
from collections.abc import Callable
import heapq
from typing import Any

from wigeonmill.clock import Clock


class StepLoop(asyncio.AbstractEventLoop):
    """Runs ready callbacks; timers fire only when time is advanced."""

    def __init__(self) -> None:
        self._now_s = 0.0
        self._ready: collections.deque[tuple[Callable, tuple]]
        self._ready = collections.deque()
        self._handle = asyncio.Handle(self.settle, (), self)
        self._timers: list[tuple[float, int, asyncio.TimerHandle]] = []
        self._timer_sequence = 0
        self.failures: list[BaseException] = []

    def time(self) -> float:
        return self._now_s

    def settle(self) -> None:
        """Run callbacks until none is ready."""
        asyncio._set_running_loop(self)
        try:
            while self._ready:
                callback, args = self._ready.popleft()
                callback(*args)
        finally:
            asyncio._set_running_loop(None)

    def has_timer(self) -> bool:
        """Return whether a timer is pending."""
        while self._timers and self._timers[0][2].cancelled():
            heapq.heappop(self._timers)
        return bool(self._timers)

    def advance(self) -> None:
        """Advance the time to the next timer and run what is due."""
        if not self.has_timer():
            return
        self._now_s = max(self._now_s, self._timers[0][0])
        while self.has_timer() and self._timers[0][0] <= self._now_s:
            handle = heapq.heappop(self._timers)[2]
            self._ready.append((handle._run, ()))
        self.settle()

    def call_soon(  # type: ignore[override]
        self, callback: Callable, *args: Any, context: Any = None
    ) -> asyncio.Handle:
        # The explored code doesn't cancel these handles and doesn't read
        # context variables.
        self._ready.append((callback, args))
        return self._handle

    def call_later(  # type: ignore[override]
        self, delay: float, callback: Callable, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        when_s = self._now_s + delay
        return self.call_at(when_s, callback, *args, context=context)

    def call_at(  # type: ignore[override]
        self, when: float, callback: Callable, *args: Any, context: Any = None
    ) -> asyncio.TimerHandle:
        handle = asyncio.TimerHandle(when, callback, args, self, context)
        self._timer_sequence += 1
        heapq.heappush(self._timers, (when, self._timer_sequence, handle))
        return handle

    def create_future(self) -> asyncio.Future:
        return asyncio.Future(loop=self)

    def create_task(
        self, coro: Any, *, name: Any = None, context: Any = None
    ) -> asyncio.Task:
        task = asyncio.Task(coro, loop=self, name=name, context=context)
        # An explored run ends with unfinished tasks; they are not reported.
        task._log_destroy_pending = False  # type: ignore[attr-defined]
        return task

    def get_debug(self) -> bool:
        return False

    def call_exception_handler(self, context: dict[str, Any]) -> None:
        failure = context.get('exception')
        if failure is not None:
            self.failures.append(failure)

    def _timer_handle_cancelled(self, handle: asyncio.TimerHandle) -> None:
        # A cancelled timer is removed when it is the next one in the heap.
        return


class LoopClock(Clock):
    """Reads the time of a StepLoop."""

    __slots__ = ('_loop',)

    def __init__(self, loop: StepLoop) -> None:
        self._loop = loop

    def now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def wall_ms(self) -> int:
        return int(self._loop.time() * 1000.0)
