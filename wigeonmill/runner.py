"""Runs the event loop of a process and ends its tasks in a limited time."""

import asyncio
from collections.abc import Coroutine
import logging
from typing import Any
from typing import TypeVar

T = TypeVar('T')

logger = logging.getLogger(__name__)

# How often a task that does not end is cancelled until it is left behind.
CANCELLATIONS = 5


def run_process(main: Coroutine[Any, Any, T], end_timeout_s: float) -> T:
    """Run `main`, end the tasks that it has left, and return its result.

    asyncio.run() waits forever for a task that goes on after it is cancelled.
    Here such a task is cancelled again. If it has not ended after
    `end_timeout_s`, it is logged and left behind with its loop.
    """
    runner = asyncio.Runner()
    try:
        return runner.run(main)
    finally:
        if not runner.run(_end_tasks(end_timeout_s)):
            runner.close()


async def _end_tasks(timeout_s: float) -> int:
    """Cancel all other tasks; return how many have not ended in time."""
    loop = asyncio.get_running_loop()
    until_s = loop.time() + timeout_s
    this = asyncio.current_task()
    while (left := asyncio.all_tasks() - {this}) and loop.time() < until_s:
        for task in left:
            task.cancel()
        await asyncio.wait(left, timeout=timeout_s / CANCELLATIONS)
    for task in left:
        logger.error(
            'task left behind',
            extra={'task': task.get_name(), 'calls': _calls(task)},
        )
    return len(left)


def _calls(task: asyncio.Task[Any]) -> list[str]:
    """Return the names of a task's coroutines, from the outermost one."""
    names = []
    coro: Any = task.get_coro()
    while hasattr(coro, 'cr_await'):
        names.append(coro.__qualname__)
        coro = coro.cr_await
    return names
