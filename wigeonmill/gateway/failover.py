"""Runs the attempts of a stream that are under way at the same time."""

import asyncio
import logging
from typing import Protocol

from wigeonmill.gateway.attempt import Attempt
from wigeonmill.gateway.failures import Failure
from wigeonmill.gateway.failures import internal_error

logger = logging.getLogger(__name__)


class FailoverOwner(Protocol):
    """Starts a second attempt and records how attempts end."""

    def start_second(self, first: Attempt) -> Attempt | None:
        """Start an attempt beside `first`, or return None if none may be."""

    def on_lead(self, attempt: Attempt, overtaken: Attempt | None) -> None:
        """Handle that an attempt is about to write to the caller.

        `overtaken` is the attempt that is cancelled because of it.
        """

    def on_end(self, attempt: Attempt, failure: Failure | None) -> None:
        """Handle that an attempt ended with an answer or a failure."""


class Failover:
    """Runs an attempt and, while its target is silent, one more beside it.

    The first attempt to deliver something new for the caller goes on, and the
    other one is cancelled before that is passed on. An attempt that fails,
    even by an error of the gateway itself, leaves the other one running.
    """

    __slots__ = ('_owner', '_running', '_cancelled', '_ended', '_can_start')

    def __init__(self, owner: FailoverOwner) -> None:
        self._owner = owner
        self._running: dict[Attempt, asyncio.Task[Failure | None]] = {}
        self._cancelled: list[asyncio.Task[Failure | None]] = []
        self._ended = asyncio.Event()
        self._can_start = True

    async def run(self, first: Attempt) -> Failure | None:
        """Return None after an answer, or else the last failure."""
        self._start(first)
        try:
            return await self._wait()
        finally:
            for attempt in list(self._running):
                self._cancel(attempt)
            # The tasks must not outlive the request.
            await asyncio.gather(*self._cancelled, return_exceptions=True)

    def _start(self, attempt: Attempt) -> None:
        attempt.on_lead = self._lead
        attempt.on_stall = self._stall
        attempt.has_rival = self._has_rival
        task = asyncio.ensure_future(attempt.run())
        task.add_done_callback(lambda _task: self._ended.set())
        self._running[attempt] = task

    async def _wait(self) -> Failure | None:
        while True:
            await self._ended.wait()
            self._ended.clear()
            ended = [a for a, task in self._running.items() if task.done()]
            for attempt in ended:
                task = self._running.pop(attempt)
                self._close(attempt)
                failure = self._result(task)
                self._report_end(attempt, failure)
                if failure is None or not self._running:
                    return failure

    def _result(self, task: asyncio.Task[Failure | None]) -> Failure | None:
        """Return how an attempt ended.

        An exception is raised only if no other attempt can go on.
        """
        exc = task.exception()
        if exc is None:
            return task.result()
        if not self._running:
            raise exc
        logger.error('internal error in one of two attempts', exc_info=exc)
        return internal_error()

    def _report_end(self, attempt: Attempt, failure: Failure | None) -> None:
        try:
            self._owner.on_end(attempt, failure)
        except Exception:
            if not self._running:
                raise
            # The other attempt may still serve the request.
            logger.exception('internal error as one of two attempts ended')

    def _has_rival(self) -> bool:
        """Whether two attempts are under way."""
        return len(self._running) > 1

    def _stall(self, attempt: Attempt) -> None:
        if self._has_rival() or not self._can_start:
            return
        try:
            second = self._owner.start_second(attempt)
        except Exception:
            # The silent target may still go on.
            logger.exception('internal error starting a second attempt')
            self._can_start = False
            return
        if second is not None:
            self._start(second)

    def _lead(self, attempt: Attempt) -> None:
        overtaken = None
        for other, task in list(self._running.items()):
            # One that has just failed is handled as such.
            if other is not attempt and not task.done():
                overtaken = other
                self._cancel(other)
        try:
            self._owner.on_lead(attempt, overtaken)
        except Exception:
            # The attempt is the only one left.
            logger.exception('internal error as an attempt went on')

    def _cancel(self, attempt: Attempt) -> None:
        task = self._running.pop(attempt)
        task.cancel()
        self._cancelled.append(task)
        self._close(attempt)

    def _close(self, attempt: Attempt) -> None:
        try:
            attempt.close()
        except Exception:
            # What the other attempt writes does not depend on it.
            logger.exception('internal error closing an attempt')
