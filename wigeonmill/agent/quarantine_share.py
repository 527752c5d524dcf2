"""Persists the quarantine in the key-value service."""

import asyncio
import logging

import msgspec
from result import Err

from wigeonmill.agent.quarantine import decode_state
from wigeonmill.agent.quarantine import encode_state
from wigeonmill.agent.quarantine import Quarantine
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KeyValue

logger = logging.getLogger(__name__)

QUARANTINE_KEY = 'wigeonmill/quarantine'
WRITE_POLL_MS = 100.0
RETRY_MS = 500.0
MAX_READ_WAIT_MS = 3_000.0


class QuarantineShare:
    """Reads the shared state once, then writes local changes.

    Crashes are rare, so all agents share one key. Until a crash is written,
    entries learn of it from the offers of the agents that recorded it, and
    pass it on to other agents.
    """

    def __init__(
        self,
        key_value: KeyValue,
        quarantine: Quarantine,
        clock: Clock,
        metrics: Metrics,
    ) -> None:
        self._key_value = key_value
        self._quarantine = quarantine
        self._clock = clock
        self._metrics = metrics
        self._written_changes = 0
        self._read_done = False
        self._read_deadline_ms = clock.now_ms() + MAX_READ_WAIT_MS

    @property
    def ready(self) -> bool:
        """Whether the state was read, or reading it has failed for too long.

        Until then the agent refuses all prompts, as it might start one that is
        known to crash its target.
        """
        return (
            self._read_done or self._clock.now_ms() >= self._read_deadline_ms
        )

    async def run(self) -> None:
        """Read with retries until it succeeds, then write changes forever."""
        while not await self.read():
            await asyncio.sleep(RETRY_MS / 1000.0)
        self._read_done = True
        while True:
            pause_ms = WRITE_POLL_MS
            if self._quarantine.changes != self._written_changes:
                if not await self.write():
                    pause_ms = RETRY_MS
            await asyncio.sleep(pause_ms / 1000.0)

    async def read(self) -> bool:
        """Merge the shared state; return False if it can't be read."""
        return await self._merge_stored() is not None

    async def write(self) -> bool:
        """Write the merged state; return True if it was certainly stored."""
        changes = self._quarantine.changes
        version = await self._merge_stored()
        if version is None:
            return False
        value = encode_state(self._quarantine.state)
        written = await self._key_value.compare_and_swap(
            QUARANTINE_KEY, version, value
        )
        if isinstance(written, Err):
            reason = written.err_value.kind.value
            self._metrics.count('quarantine_writes_failed', reason)
            return False
        self._written_changes = changes
        logger.info('quarantine written to the key-value service')
        return True

    async def _merge_stored(self) -> int | None:
        """Merge the stored state and return its version.

        The version is 0 if nothing is stored yet, None if it can't be read.
        """
        read = await self._key_value.get(QUARANTINE_KEY)
        if isinstance(read, Err):
            self._metrics.count('quarantine_reads_failed')
            return None
        entry = read.ok_value
        if entry is None:
            return 0
        try:
            stored = decode_state(entry.value)
        except msgspec.DecodeError:
            self._metrics.count('crash_records_malformed')
            return entry.version
        self._quarantine.merge(stored, self._clock.wall_ms())
        return entry.version
