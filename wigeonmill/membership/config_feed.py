"""Keeps a process's configuration up to date from the key-value service."""

import asyncio
import logging

import msgspec

from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import CONFIG_KEY
from wigeonmill.config.model import decode_record
from wigeonmill.metrics import Metrics
from wigeonmill.platform.key_value import KeyValue

logger = logging.getLogger(__name__)

WATCH_MS = 20_000
RETRY_MS = 500
HINT_PAUSE_MS = 200


class ConfigFeed:
    """Reads the configuration once, then watches its key."""

    def __init__(
        self, key_value: KeyValue, holder: ConfigHolder, metrics: Metrics
    ) -> None:
        self._key_value = key_value
        self._holder = holder
        self._metrics = metrics
        self._hinted = asyncio.Event()

    def hint(self, serial: int) -> None:
        """Note that a peer has a later configuration, `serial`."""
        if serial > self._holder.serial:
            self._hinted.set()

    async def follow_hints(self) -> None:
        """Read at once when a peer is ahead, until cancelled."""
        while True:
            await self._hinted.wait()
            self._hinted.clear()
            await self._read()
            await asyncio.sleep(HINT_PAUSE_MS / 1000.0)

    async def run(self) -> None:
        """Follow the key until cancelled."""
        revision = 0
        while True:
            if not revision:
                revision = await self._read()
            else:
                revision = await self._watch(revision)
            if not revision:
                await asyncio.sleep(RETRY_MS / 1000.0)

    async def _read(self) -> int:
        read = await self._key_value.get(CONFIG_KEY)
        if read.is_err():
            self._metrics.count('config_reads_failed', 'get')
            return 0
        entry = read.unwrap()
        if entry is None:
            return 0
        self._adopt(entry.value)
        return entry.version + 1

    async def _watch(self, revision: int) -> int:
        watched = await self._key_value.watch(CONFIG_KEY, revision, WATCH_MS)
        if watched.is_err():
            self._metrics.count('config_reads_failed', 'watch')
            return 0
        batch = watched.unwrap()
        for event in batch.events:
            if event.entry is not None:
                self._adopt(event.entry.value)
        return max(batch.next_revision, revision)

    def _adopt(self, value: bytes) -> None:
        try:
            record = decode_record(value)
        except msgspec.MsgspecError:
            self._metrics.count('config_refused', 'malformed')
            logger.error('configuration in the key-value service is malformed')
            return
        self._holder.adopt(record)
