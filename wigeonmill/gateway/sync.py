"""Keeps the mirror in step with the platform's key-value service."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import logging
import random
from typing import Protocol

from result import Err
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.supervision import run_supervised
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind

logger = logging.getLogger(__name__)

# A watch that is asked again this often shows a silent connection well
# within the time that changes may take to be in force.
WATCH_WAIT_MS = 1_800
# The first watch after a failure waits for nothing: it shows at once
# whether the service answers again.
RETURN_WAIT_MS = 1
FIRST_BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 500.0


@dataclass(frozen=True, slots=True)
class Changes:
    """Records in force or removed, and the revision they are complete to."""

    records: tuple[Record, ...]
    revision: int


class RecordSource(Protocol):
    """Reads the records of the key-value service."""

    async def listing(self) -> Result[Changes, KvError]:
        """Return every record."""

    async def changes(
        self, after: int, wait_ms: int, fresh: bool
    ) -> Result[Changes, KvError]:
        """Wait for changes after a revision; INVALID if it is too old.

        `fresh` asks on a new connection: a kept one may have gone silent.
        """


class MirrorSync:
    """Lists all records once, then watches them, for as long as it runs."""

    def __init__(
        self,
        source: RecordSource,
        mirror: Mirror,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        on_reach: Callable[[bool], None],
    ) -> None:
        self._source = source
        self._mirror = mirror
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._on_reach = on_reach
        self._task: asyncio.Task[None] | None = None
        self.reached = False

    def start(self) -> None:
        """Begin to follow the records."""
        self._task = asyncio.ensure_future(run_supervised(self._follow))

    def close(self) -> None:
        """Stop following."""
        if self._task is not None:
            self._task.cancel()

    async def _follow(self) -> None:
        backoff_ms = FIRST_BACKOFF_MS
        listed = False
        failed = False
        while True:
            if listed:
                outcome = await self._watch_once(failed)
            else:
                outcome = await self._list_once()
            failed = isinstance(outcome, Err)
            if isinstance(outcome, Err):
                error = outcome.err_value
                listed = listed and error.kind is not KvErrorKind.INVALID
                self._note_failure(error)
                pause_ms = backoff_ms * (0.5 + self._rng.random())
                await asyncio.sleep(pause_ms / 1000.0)
                backoff_ms = min(MAX_BACKOFF_MS, backoff_ms * 2)
                continue
            self._note_success()
            backoff_ms = FIRST_BACKOFF_MS
            listed = True

    async def _list_once(self) -> Result[Changes, KvError]:
        outcome = await self._source.listing()
        if not isinstance(outcome, Err):
            found = outcome.ok_value
            self._mirror.replace(found.records, found.revision)
        return outcome

    async def _watch_once(self, returning: bool) -> Result[Changes, KvError]:
        wait_ms = RETURN_WAIT_MS if returning else WATCH_WAIT_MS
        outcome = await self._source.changes(
            self._mirror.complete, wait_ms, fresh=returning
        )
        if not isinstance(outcome, Err):
            found = outcome.ok_value
            self._mirror.apply(found.records)
            self._mirror.advance(found.revision)
        return outcome

    def _note_failure(self, error: KvError) -> None:
        self._metrics.count('key_value_failures', error.kind.value)
        if error.kind is KvErrorKind.INVALID:
            logger.info(
                'history lost, listing anew',
                extra={'detail': error.message},
            )
            return
        if self.reached:
            self.reached = False
            logger.warning(
                'key-value service lost',
                extra={'detail': error.message},
            )
            self._on_reach(False)

    def _note_success(self) -> None:
        if not self.reached:
            self.reached = True
            logger.info(
                'key-value service reached',
                extra={'complete': self._mirror.complete},
            )
            self._on_reach(True)
