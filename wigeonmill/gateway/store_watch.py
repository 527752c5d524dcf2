"""Follows what each cache store holds by long polls."""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
from collections.abc import Sequence
import functools
import logging
from typing import Protocol

from result import Err
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.gateway.desired import CacheStoreSpec
from wigeonmill.gateway.store_view import CacheEventBatch
from wigeonmill.gateway.store_view import CacheListing
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.gateway.supervision import keep_going
from wigeonmill.metrics import Metrics
from wigeonmill.providers.fetch import FetchError

logger = logging.getLogger(__name__)

# How long a poll waits for events; shorter ones cost as probes.
POLL_WAIT_MS = 700
# Pause after an answer, so that a busy store is not asked for every event.
POLL_PAUSE_MS = 100.0
FAILED_PAUSE_MS = 500.0
# Entries that poll a store; the others hear from them.
READERS = 3
# An entry that has heard nothing of a store for so long asks it as well.
UNHEARD_MS = 1_500.0


class CacheStores(Protocol):
    """Asks stores of cached parts."""

    async def poll_events(
        self, address: str, since: int, wait_ms: int
    ) -> Result[CacheEventBatch, FetchError]:
        """Return the events after `since`, waiting for the first."""

    async def listing(self, address: str) -> Result[CacheListing, FetchError]:
        """Return all that a store holds."""

    async def free(
        self, address: str, parts: Sequence[tuple[str, str]], boot: int
    ) -> Result[None, FetchError]:
        """Free parts (salt and id) unless the store has restarted."""


class StoreWatch:
    """One view and one polling task for each store."""

    def __init__(
        self,
        stores: CacheStores,
        clock: Clock,
        metrics: Metrics,
        is_reader: Callable[[str, int], bool],
    ) -> None:
        self._stores = stores
        self._is_reader = is_reader
        self._clock = clock
        self._metrics = metrics
        self._views: dict[str, StoreView] = {}
        self._specs: dict[str, CacheStoreSpec] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._lost: set[str] = set()

    def follow(self, specs: Iterable[CacheStoreSpec]) -> None:
        """Follow exactly these stores."""
        wanted = {spec.address: spec for spec in specs if spec.managed}
        for address in set(self._tasks) - set(wanted):
            self._tasks.pop(address).cancel()
            del self._views[address]
        for address in set(wanted) - set(self._tasks):
            view = StoreView(self._clock, address)
            self._views[address] = view
            loop = functools.partial(self._poll, view)
            self._tasks[address] = asyncio.ensure_future(keep_going(loop))
        self._specs = wanted

    def close(self) -> None:
        """Follow no store any more."""
        self.follow(())

    @property
    def specs(self) -> dict[str, CacheStoreSpec]:
        """The stores that are followed, by address."""
        return self._specs

    def view(self, address: str) -> StoreView:
        """Return the view of a followed store."""
        return self._views[address]

    def views(self) -> Iterable[StoreView]:
        """Return the view of each followed store."""
        return self._views.values()

    def find(self, address: str) -> StoreView | None:
        """Return the view of a store, if it is followed."""
        return self._views.get(address)

    async def _poll(self, view: StoreView) -> None:
        while True:
            pause_ms = POLL_PAUSE_MS
            if self._is_due(view):
                pause_ms = await self._poll_once(view)
            await asyncio.sleep(pause_ms / 1000.0)

    def _is_due(self, view: StoreView) -> bool:
        return (
            view.boot is None
            or view.age_ms > UNHEARD_MS
            or self._is_reader(view.address, READERS)
        )

    async def _poll_once(self, view: StoreView) -> float:
        asked_ms = self._clock.now_ms()
        wait_ms = POLL_WAIT_MS if view.boot is not None else 0
        news = await self._stores.poll_events(view.address, view.next, wait_ms)
        if isinstance(news, Err):
            self._note_lost(view, news.err_value)
            return FAILED_PAUSE_MS
        self._note_found(view)
        if view.apply_events(news.ok_value, asked_ms):
            return POLL_PAUSE_MS
        listing = await self._stores.listing(view.address)
        if isinstance(listing, Err):
            self._note_lost(view, listing.err_value)
            return FAILED_PAUSE_MS
        view.apply_listing(listing.ok_value)
        logger.info(
            'cache store listed',
            extra={
                'store': view.address,
                'boot': view.boot,
                'tokens': view.tokens,
            },
        )
        return 0.0

    def _note_lost(self, view: StoreView, error: FetchError) -> None:
        self._metrics.count('cache_polls_failed')
        if view.address not in self._lost:
            self._lost.add(view.address)
            logger.warning(
                'cache store lost',
                extra={'store': view.address, 'detail': error.message},
            )

    def _note_found(self, view: StoreView) -> None:
        if view.address in self._lost:
            self._lost.discard(view.address)
            logger.info('cache store reached', extra={'store': view.address})
