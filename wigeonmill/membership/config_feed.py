"""Keeps the configuration of a process up to date.

The readers of a failure domain watch the key-value service. All other
processes fetch from the peer that announced a higher serial, and read the
service only if no peer can provide the configuration.
"""

import asyncio
import logging
import random

import msgspec

from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import CONFIG_KEY
from wigeonmill.config.model import decode_record
from wigeonmill.membership.freshness import Freshness
from wigeonmill.membership.peer_source import PeerSource
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KeyValue

logger = logging.getLogger(__name__)

WATCH_MS = 10_000
INITIAL_BACKOFF_MS = 250.0
MAX_BACKOFF_MS = 5_000.0
HINTED_FETCH_PAUSE_MS = 50.0
# Peers asked for their configuration if the service does not answer.
COLD_START_PEERS = 5
# A configuration not confirmed by a reader for this long is read directly.
STALE_MS = 30_000.0
# Direct reads of the whole fleet per second, and the minimum pause between
# direct reads of one process: while it has peers and while it is cut off.
FLEET_READS_PER_SECOND = 5.0
DIRECT_READ_PAUSE_MS = 10_000.0
CUT_OFF_READ_PAUSE_MS = 5_000.0


class ConfigFeed:
    """Adopts newer records from the key-value service and from peers."""

    def __init__(
        self,
        key_value: KeyValue,
        holder: ConfigHolder,
        freshness: Freshness,
        peers: PeerSource,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._key_value = key_value
        self._holder = holder
        self._freshness = freshness
        self._peers = peers
        self._rng = rng
        self._metrics = metrics
        self._hinted = asyncio.Event()
        # Peers that announced a higher serial, the latest one last.
        self._sources: dict[str, None] = {}
        self._hinted_serial = 0

    def hint(self, source: str, serial: int) -> None:
        """Record that the peer `source` (name or IP:port) has `serial`."""
        if serial > self._holder.serial:
            self._sources.pop(source, None)
            self._sources[source] = None
            self._hinted_serial = max(self._hinted_serial, serial)
            self._hinted.set()

    async def run_hinted_fetches(self) -> None:
        """Fetch as soon as a peer has a higher serial, until cancelled."""
        while True:
            await self._hinted.wait()
            self._hinted.clear()
            await self._fetch_from_sources()
            if self._is_behind:
                self._metrics.count('config_retries', 'direct')
                await self._read()
            await asyncio.sleep(HINTED_FETCH_PAUSE_MS / 1000.0)

    @property
    def _is_behind(self) -> bool:
        return self._hinted_serial > self._holder.serial

    async def _fetch_from_sources(self) -> None:
        """Fetch from one source after the other until up to date."""
        while self._is_behind and self._sources:
            source, _none = self._sources.popitem()
            await self._peers.pull(source)
            if self._is_behind:
                self._metrics.count('config_retries', 'next_peer')
        self._sources.clear()

    async def watch_key(self) -> None:
        """Read the configuration key, then watch it, until cancelled."""
        revision = 0
        backoff_ms = INITIAL_BACKOFF_MS
        while True:
            if revision:
                revision = await self._watch(revision)
            else:
                revision = await self._read()
            if revision:
                backoff_ms = INITIAL_BACKOFF_MS
                continue
            if not self._holder.serial:
                await self.ask_peers()
            await asyncio.sleep(backoff_ms * self._jitter() / 1000.0)
            backoff_ms = min(backoff_ms * 2, MAX_BACKOFF_MS)

    async def read_now(self) -> bool:
        """Read the key-value service; False if nothing was read."""
        return bool(await self._read())

    async def ask_peers(self) -> None:
        """Adopt the configuration with the highest serial of several peers."""
        await self._peers.pull_from_several(COLD_START_PEERS)

    async def read_if_stale(self, elapsed_ms: float) -> None:
        """Read directly at random times if the configuration is stale.

        `elapsed_ms` is the time since the last call.
        """
        if self._freshness.age_ms < STALE_MS:
            return
        pause_ms = self._direct_read_pause_ms()
        if self._rng.random() * pause_ms < elapsed_ms:
            self._metrics.count('config_retries', 'stale')
            await self._read()

    def _direct_read_pause_ms(self) -> float:
        if self._peers.cut_off:
            return CUT_OFF_READ_PAUSE_MS
        shared_ms = 1000.0 * self._peers.count / FLEET_READS_PER_SECOND
        return max(DIRECT_READ_PAUSE_MS, shared_ms)

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
        self._freshness.confirm()
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
        self._freshness.confirm()
        if record.serial > self._holder.serial:
            self._holder.adopt(record)

    def _jitter(self) -> float:
        return self._rng.uniform(0.5, 1.5)
