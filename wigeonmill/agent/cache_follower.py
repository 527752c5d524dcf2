"""Keeps the view of the engine's cache up to date with its events."""

import asyncio

from wigeonmill.agent.engine_cache import EngineCacheClient
from wigeonmill.agent.engine_cache import EngineEvent
from wigeonmill.agent.engine_cache import EngineEventKind
from wigeonmill.agent.engine_cache import EngineEvents
from wigeonmill.cache.view import CacheChange
from wigeonmill.cache.view import CacheEvent
from wigeonmill.cache.view import CacheView
from wigeonmill.metrics import Metrics

POLL_WAIT_MS = 5_000
RETRY_MS = 500.0
_CHANGES = {
    EngineEventKind.STORED: CacheChange.STORED,
    EngineEventKind.EVICTED: CacheChange.REMOVED,
}


class CacheFollower:
    """Polls the engine's events and lists its blocks again after a gap."""

    def __init__(
        self, engine: EngineCacheClient, view: CacheView, metrics: Metrics
    ) -> None:
        self._engine = engine
        self._view = view
        self._metrics = metrics
        self._incarnation = ''
        self._next = 0

    async def run(self) -> None:
        """Update the view until cancelled."""
        while True:
            succeeded = await self.update()
            if not succeeded:
                await asyncio.sleep(RETRY_MS / 1000.0)

    async def update(self) -> bool:
        """List or poll once; return False if the call to the engine failed."""
        if self._view.needs_listing:
            return await self._list()
        polled = await self._engine.events(self._next, POLL_WAIT_MS)
        if polled.is_err():
            self._view.drop('')
            return False
        self.apply(polled.unwrap())
        return True

    def apply(self, batch: EngineEvents) -> None:
        """Apply a batch of events; a gap or restart invalidates the view."""
        if batch.incarnation != self._incarnation:
            self._view.drop(batch.incarnation)
            return
        for event in batch.events:
            if not self._view.on_event(batch.incarnation, _change(event)):
                self._metrics.count('cache_view_dropped', 'gap')
                return
            self._next = event.sequence + 1
        if self._next < batch.next:
            # The events right before `next` were lost.
            self._metrics.count('cache_view_dropped', 'gap')
            self._view.drop(batch.incarnation)

    async def _list(self) -> bool:
        listed = await self._engine.listing()
        if listed.is_err():
            return False
        listing = listed.unwrap()
        keys = [bytes.fromhex(key) for key in listing.block_keys]
        self._incarnation = listing.incarnation
        self._next = listing.sequence
        self._view.on_listing(listing.incarnation, listing.sequence - 1, keys)
        return True


def _change(event: EngineEvent) -> CacheEvent:
    key = bytes.fromhex(event.block_key)
    return CacheEvent(event.sequence, _CHANGES[event.kind], (key,))
