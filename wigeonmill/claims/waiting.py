"""Waits for a task without cancelling it."""

import asyncio
from typing import Any


async def wait_done(task: asyncio.Task[Any], timeout_s: float) -> bool:
    """Wait for `task` or the timeout; return whether the task is done.

    This is cheaper than asyncio.wait() with a single task.
    """
    if task.done():
        return True
    loop = asyncio.get_running_loop()
    waiter = loop.create_future()

    def wake(*_task: asyncio.Task[Any]) -> None:
        if not waiter.done():
            waiter.set_result(None)

    timer = loop.call_later(timeout_s, wake)
    task.add_done_callback(wake)
    try:
        await waiter
    finally:
        timer.cancel()
        task.remove_done_callback(wake)
    return task.done()
