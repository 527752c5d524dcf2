"""An event loop whose time is a manual clock that never waits."""

import asyncio

from wigeonmill.clock import ManualClock


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """Advances its clock to the next timer when nothing else is ready."""

    def __init__(self, clock):
        super().__init__()
        self._virtual_clock = clock

    def time(self):
        return self._virtual_clock.now_ms() / 1000.0

    def _run_once(self):
        if not self._ready and self._scheduled:
            due_ms = self._scheduled[0].when() * 1000.0
            now_ms = self._virtual_clock.now_ms()
            # A timer is due once the loop's resolution has passed it.
            self._virtual_clock.set_ms(max(now_ms, due_ms + 1e-3))
        super()._run_once()


def run_virtual(clock: ManualClock, awaitable):
    """Run `awaitable` to its end in virtual time; return its result."""
    loop = VirtualTimeLoop(clock)
    asyncio.set_event_loop(loop)
    try:
        return loop.run_until_complete(awaitable)
    finally:
        for task in asyncio.all_tasks(loop):
            task.cancel()
        loop.run_until_complete(asyncio.sleep(0))
        asyncio.set_event_loop(None)
        loop.close()
