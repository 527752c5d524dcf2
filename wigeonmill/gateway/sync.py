"""Synchronizes the mirror with the platform's key-value service."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from dataclasses import dataclass
import logging
from math import inf
import random
from typing import Any
from typing import Protocol

from result import Err
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.gateway.freshness import Freshness
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.revisions import era_of
from wigeonmill.gateway.revisions import revision_of
from wigeonmill.gateway.supervision import run_supervised
from wigeonmill.log import loggable_ms
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind

logger = logging.getLogger(__name__)

# A watch is repeated at this interval, so that a silent connection is detected
# well within the time that changes may take to come into force.
WATCH_WAIT_MS = 1_800
# The interval of the readers in a large fleet. It is shorter, because the
# copies of the other entries are only as fresh as theirs.
READER_WAIT_MS = 700
# A watch that took longer than this waited for the changes that it returned.
WAITED_MS = 50.0
# Number of entries that always watch the service. The others get the changes
# from their peers, and check at an interval whether their copy is still fresh
# enough. If it is not, they ask the service themselves.
READERS = 8
STALE_COPY_MS = 2_000.0
FRESHNESS_CHECK_MS = 100.0
# While a reply is awaited, the process wakes at this interval. A wake-up that
# is late by more than the tolerance shows that it was frozen or starved.
WAKE_INTERVAL_MS = 100.0
WAKE_TOLERANCE_MS = 100.0
# The first watch after a failure or a freeze, and that of an entry that is no
# reader, does not wait for changes: it shows immediately whether the service
# responds. Its changes may be as old as the copy, however long it takes.
RECONNECT_WAIT_MS = 1
# Pause after a watch that returned changes, for each reader.
PAUSE_PER_READER_MS = 4.0
# Time in which changes reach the entries that do not watch the service.
SPREAD_MS = 1_000.0
# A copy that was not confirmed for longer than this is confirmed by a watch
# that does not wait, so that later changes are not taken to be as old.
MAX_WATCH_GAP_MS = 500.0
# Calls that only confirm the copy are sent at this interval at most. Each
# serves all who ask meanwhile.
CONFIRM_INTERVAL_MS = 50.0
FIRST_BACKOFF_MS = 50.0
MAX_BACKOFF_MS = 500.0
# Size of received records from which their transfer is logged.
LOGGED_TRANSFER_BYTES = 32 * 1024
_READERS_KEY = 'key-value service'


def propagation_ms(entry_count: int) -> float:
    """Return the time in which a change reaches most of the entries."""
    pause_ms = PAUSE_PER_READER_MS * min(entry_count, READERS)
    return pause_ms if entry_count <= READERS else pause_ms + SPREAD_MS


@dataclass(frozen=True, slots=True)
class Changes:
    """Current and removed records, complete up to the position `revision`.

    The service began to send them `age_ms` ago, which is before the call if
    that continued an earlier one.
    """

    records: tuple[Record, ...]
    revision: int
    age_ms: float = 0.0


class RecordSource(Protocol):
    """Reads the records of the key-value service."""

    async def listing(self) -> Result[Changes, KvError]:
        """Return every record."""

    async def changes(
        self, after: int, wait_ms: int, fresh: bool
    ) -> Result[Changes, KvError]:
        """Wait for changes after a position.

        The error is INVALID if it is too old or its era is over. `fresh`
        requests a new connection, because an existing one may have gone
        silent.
        """

    def adopt_era(self, at: int) -> None:
        """Count revisions in the era of `at`, unless the service names it."""


class FleetEntries(Protocol):
    """The entries, of which some are selected to watch the service."""

    def count(self) -> int:
        """Return how many entries may be alive."""

    def is_selected(self, key: str, count: int) -> bool:
        """Whether this entry is one of `count` that are selected."""


class MirrorSync:
    """Lists all records and then watches them until it is closed.

    It lists them again if the service no longer has the next changes. In a
    large fleet only the readers watch as long as the others' copies are
    fresh.
    """

    def __init__(
        self,
        source: RecordSource,
        mirror: Mirror,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        on_connection_change: Callable[[bool], None],
        freshness: Freshness,
        entries: FleetEntries,
        is_receiving: Callable[[], bool] = lambda: False,
    ) -> None:
        """Create the synchronization of an entry.

        While it `is_receiving` a large record from a peer, an entry that is
        no reader does not get the same from the service.
        """
        self._is_receiving = is_receiving
        self._source = source
        self._mirror = mirror
        self._clock = clock
        self._rng = rng
        self._metrics = metrics
        self._on_connection_change = on_connection_change
        self._freshness = freshness
        self._entries = entries
        self._task: asyncio.Task[None] | None = None
        # When the last call was sent whose reply is in the copy, on the clock
        # that never stops. Later changes may be missing.
        self._current_to_ms = -inf
        self._confirming: asyncio.Task[bool] | None = None
        self._confirm_sent_ms = -inf
        # None until the service has replied or failed for the first time.
        self._connected: bool | None = None

    def start(self) -> None:
        """Start listing and watching the records."""
        self._task = asyncio.ensure_future(run_supervised(self._run))

    def close(self) -> None:
        """Stop the synchronization."""
        for task in (self._task, self._confirming):
            if task is not None:
                task.cancel()

    async def confirm(self, since_ms: float, timeout_ms: float) -> bool:
        """Return whether the copy has every change made before `since_ms`.

        That is a time on the clock that never stops. If it isn't known, the
        service is asked; it is False if there is no reply within the timeout.
        """
        try:
            async with asyncio.timeout(timeout_ms / 1000.0):
                while self._current_to_ms < since_ms:
                    if self._confirming is None or self._confirming.done():
                        self._confirming = asyncio.ensure_future(
                            self._confirm_once()
                        )
                    # Others wait for the same reply.
                    confirmed = await asyncio.shield(self._confirming)
                    if not confirmed and self._confirm_sent_ms >= since_ms:
                        return False
        except asyncio.TimeoutError:
            return False
        return True

    async def _confirm_once(self) -> bool:
        """Ask for the changes up to now; return whether they are applied."""
        due_ms = self._confirm_sent_ms + CONFIRM_INTERVAL_MS
        await asyncio.sleep(max(0.0, due_ms - self._clock.boot_ms()) / 1000.0)
        self._confirm_sent_ms = self._clock.boot_ms()
        if not self._mirror.complete:
            return False
        outcome, _stalled_ms = await self._watch_once(reconnecting=True)
        confirmed = not isinstance(outcome, Err)
        self._metrics.count(
            'copy_confirmations', 'current' if confirmed else 'failed'
        )
        return confirmed

    async def _run(self) -> None:
        backoff_ms = FIRST_BACKOFF_MS
        listed = False
        failed = False
        while True:
            watches = self._is_reader()
            if listed and not (failed or watches or self._is_stale()):
                await asyncio.sleep(FRESHNESS_CHECK_MS / 1000.0)
                continue
            if listed:
                outcome, stalled_ms = await self._watch_once(
                    failed or not watches or self._has_gap()
                )
            else:
                outcome, stalled_ms = await self._list_once()
            failed = isinstance(outcome, Err)
            if isinstance(outcome, Err):
                error = outcome.err_value
                listed = listed and error.kind is not KvErrorKind.INVALID
                self._record_failure(error)
                pause_ms = backoff_ms * (0.5 + self._rng.random())
                await asyncio.sleep(pause_ms / 1000.0)
                backoff_ms = min(MAX_BACKOFF_MS, backoff_ms * 2)
                continue
            self._record_success(stalled_ms)
            backoff_ms = FIRST_BACKOFF_MS
            listed = True
            if outcome.ok_value.records:
                pause_ms = PAUSE_PER_READER_MS * min(
                    self._entries.count(), READERS
                )
                await asyncio.sleep(pause_ms / 1000.0)

    def _is_reader(self) -> bool:
        """Whether this entry always watches the service."""
        return self._entries.count() <= READERS or self._entries.is_selected(
            _READERS_KEY, READERS
        )

    def _is_stale(self) -> bool:
        return (
            self._freshness.age_ms > STALE_COPY_MS and not self._is_receiving()
        )

    def _has_gap(self) -> bool:
        """Whether changes may have come since the last watch ended."""
        return self._freshness.age_ms > MAX_WATCH_GAP_MS

    async def _list_once(self) -> tuple[Result[Changes, KvError], float]:
        sent_boot_ms = self._clock.boot_ms()
        outcome, stalled_ms = await self._call(self._source.listing())
        if not isinstance(outcome, Err):
            found = outcome.ok_value
            self._log_transfer(found, self._clock.boot_ms() - sent_boot_ms)
            stalled_ms += found.age_ms
            took_ms = self._clock.boot_ms() - sent_boot_ms
            self._mirror.replace(found.records, found.revision)
            if found.age_ms <= took_ms:
                self._current_to_ms = max(self._current_to_ms, sent_boot_ms)
        return outcome, stalled_ms

    async def _watch_once(
        self, reconnecting: bool
    ) -> tuple[Result[Changes, KvError], float]:
        wait_ms = WATCH_WAIT_MS
        if self._entries.count() > READERS:
            wait_ms = READER_WAIT_MS
        if reconnecting:
            wait_ms = RECONNECT_WAIT_MS
        sent_ms, sent_boot_ms = self._clock.now_ms(), self._clock.boot_ms()
        outcome, stalled_ms = await self._call(
            self._source.changes(
                self._mirror.complete, wait_ms, fresh=reconnecting
            )
        )
        if not isinstance(outcome, Err):
            found = outcome.ok_value
            self._log_transfer(found, self._clock.boot_ms() - sent_boot_ms)
            stalled_ms += found.age_ms
            took_ms = self._clock.now_ms() - sent_ms - found.age_ms
            if took_ms > WAITED_MS and not reconnecting:
                # Nothing had changed until the reply was sent.
                self._freshness.confirm(stalled_ms)
            self._mirror.apply(found.records)
            self._mirror.advance(found.revision)
            self._current_to_ms = max(self._current_to_ms, sent_boot_ms)
        return outcome, stalled_ms

    async def _call(
        self, call: Coroutine[Any, Any, Result[Changes, KvError]]
    ) -> tuple[Result[Changes, KvError], float]:
        """Return the outcome and for how long the process stood still.

        A reply may have been waiting to be read for that time. Whether the
        monotonic clock stops in a freeze depends on the kind of freeze, so
        the time is taken from late wake-ups, on the clock that never stops.
        """
        stalled_ms = 0.0
        task = asyncio.ensure_future(call)
        try:
            while not task.done():
                slept_ms = self._clock.boot_ms()
                await asyncio.wait([task], timeout=WAKE_INTERVAL_MS / 1000.0)
                late_ms = self._clock.boot_ms() - slept_ms - WAKE_INTERVAL_MS
                if late_ms > WAKE_TOLERANCE_MS:
                    stalled_ms += late_ms + WAKE_INTERVAL_MS
        finally:
            task.cancel()
        return task.result(), stalled_ms

    def _record_failure(self, error: KvError) -> None:
        self._metrics.count('key_value_failures', error.kind.value)
        if error.received_bytes:
            logger.warning(
                'transfer from the key-value service given up',
                extra={
                    'received_bytes': error.received_bytes,
                    'detail': error.message,
                    **self._describe_copy(),
                },
            )
        if error.kind is KvErrorKind.INVALID:
            logger.info(
                'changes not available, listing again',
                extra={'detail': error.message},
            )
            return
        if self._connected is not False:
            self._connected = False
            logger.warning(
                'key-value service not reachable',
                extra={'detail': error.message},
            )
            self._on_connection_change(False)

    def _log_transfer(self, found: Changes, took_ms: float) -> None:
        """Log the transfer of records that take time on a slow link."""
        size = sum(len(record.value or b'') for record in found.records)
        if size >= LOGGED_TRANSFER_BYTES:
            logger.info(
                'records received from the key-value service',
                extra={
                    'count': len(found.records),
                    'bytes': size,
                    'took_ms': round(took_ms),
                    **self._describe_copy(),
                },
            )

    def _describe_copy(self) -> dict[str, object]:
        return {
            'complete': revision_of(self._mirror.complete),
            'copy_age_ms': loggable_ms(self._freshness.age_ms),
        }

    def _record_success(self, stalled_ms: float) -> None:
        self._freshness.confirm(stalled_ms)
        if not self._connected:
            self._connected = True
            logger.info(
                'key-value service reachable',
                extra={
                    'complete': revision_of(self._mirror.complete),
                    'era': era_of(self._mirror.complete),
                },
            )
            self._on_connection_change(True)
