"""Waits for a future without cancelling it.

asyncio.wait_for() of Python 3.11 drops a cancellation that comes in the turn
of the loop in which what it waits for ends, so it is not used. Its other uses
are `async with asyncio.timeout()`, which passes the cancellation on.
"""

import asyncio
from typing import Any


async def wait_done(fut: asyncio.Future[Any], timeout_s: float) -> bool:
    """Wait for `fut` or the timeout; return whether `fut` is done.

    Raises CancelledError if the caller is cancelled, also if `fut` is done.

    This is cheaper than asyncio.wait() with a single future.
    """
    if fut.done():
        return True
    loop = asyncio.get_running_loop()
    waiter = loop.create_future()

    def wake(*_fut: asyncio.Future[Any]) -> None:
        if not waiter.done():
            waiter.set_result(None)

    timer = loop.call_later(timeout_s, wake)
    fut.add_done_callback(wake)
    try:
        await waiter
    finally:
        timer.cancel()
        fut.remove_done_callback(wake)
    return fut.done()
