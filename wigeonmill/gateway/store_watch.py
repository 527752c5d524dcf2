"""Tracks the contents of each cache store by long polling."""

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
from wigeonmill.gateway.supervision import run_supervised
from wigeonmill.metrics import Metrics
from wigeonmill.providers.fetch import FetchError

logger = logging.getLogger(__name__)

# How long a poll waits for events. Shorter polls are charged as probes.
POLL_WAIT_MS = 700
# A poll of a view that is stale does not wait. A store holds only a few polls
# at once, and refuses those of the others if all entries start together.
CATCH_UP_WAIT_MS = 0
# Pause after a response, so that a busy store is not polled for every event.
POLL_PAUSE_MS = 100.0
FAILED_PAUSE_MS = 500.0
# Number of entries that poll a store; the others get its events from them.
POLLERS_PER_STORE = 3
# Age of a view from which any entry polls the store itself.
STALE_VIEW_MS = 1_500.0
# Number of stores that are listed at the same time, and the pause after each.
# An entry that has just started lists all stores, and callers' requests must
# not wait on its link for that.
MAX_LISTINGS = 2
LISTING_PAUSE_MS = 50.0


class CacheStores(Protocol):
    """Client of the cache stores."""

    async def poll_events(
        self, address: str, since: int, wait_ms: int
    ) -> Result[CacheEventBatch, FetchError]:
        """Return the events after `since`; wait for one if there is none."""

    async def listing(self, address: str) -> Result[CacheListing, FetchError]:
        """Return all parts in a store."""

    async def free(
        self, address: str, parts: Sequence[tuple[str, str]], boot: int
    ) -> Result[None, FetchError]:
        """Free parts (salt and id) unless the store has restarted."""


class StoreWatch:
    """Maintains a view and a polling task for each managed store."""

    def __init__(
        self,
        stores: CacheStores,
        clock: Clock,
        metrics: Metrics,
        is_poller: Callable[[str, int], bool],
    ) -> None:
        self._stores = stores
        self._is_poller = is_poller
        self._clock = clock
        self._metrics = metrics
        self._views: dict[str, StoreView] = {}
        self._specs: dict[str, CacheStoreSpec] = {}
        self._tasks: dict[str, asyncio.Task[None]] = {}
        self._unreachable: set[str] = set()
        self._listings = asyncio.Semaphore(MAX_LISTINGS)
        self._retried_listings = asyncio.Semaphore(MAX_LISTINGS)

    def set_stores(self, specs: Iterable[CacheStoreSpec]) -> None:
        """Start and stop polling so that exactly these stores are polled."""
        specs_by_address = {
            spec.address: spec for spec in specs if spec.managed
        }
        for address in set(self._tasks) - set(specs_by_address):
            self._tasks.pop(address).cancel()
            del self._views[address]
        for address in set(specs_by_address) - set(self._tasks):
            view = StoreView(self._clock, address)
            self._views[address] = view
            loop = functools.partial(self._poll, view)
            self._tasks[address] = asyncio.ensure_future(run_supervised(loop))
        self._specs = specs_by_address

    def close(self) -> None:
        """Stop polling all stores."""
        self.set_stores(())

    @property
    def specs(self) -> dict[str, CacheStoreSpec]:
        """The monitored stores by address."""
        return self._specs

    def view(self, address: str) -> StoreView:
        """Return the view of a monitored store."""
        return self._views[address]

    def views(self) -> Iterable[StoreView]:
        """Return the view of each monitored store."""
        return self._views.values()

    def find(self, address: str) -> StoreView | None:
        """Return the view of a store, or None if it is not monitored."""
        return self._views.get(address)

    async def _poll(self, view: StoreView) -> None:
        while True:
            pause_ms = POLL_PAUSE_MS
            if self._should_poll(view):
                pause_ms = await self._poll_once(view)
            await asyncio.sleep(pause_ms / 1000.0)

    def _should_poll(self, view: StoreView) -> bool:
        return (
            view.boot is None
            or view.age_ms > STALE_VIEW_MS
            or self._is_poller(view.address, POLLERS_PER_STORE)
        )

    async def _poll_once(self, view: StoreView) -> float:
        if view.boot is None:
            # All events that the store has kept would be of no use.
            return await self._list(view)
        requested_ms = self._clock.now_ms()
        is_stale = view.age_ms > STALE_VIEW_MS
        batch = await self._stores.poll_events(
            view.address,
            view.next,
            CATCH_UP_WAIT_MS if is_stale else POLL_WAIT_MS,
        )
        if isinstance(batch, Err):
            self._record_failure(view, batch.err_value)
            return FAILED_PAUSE_MS
        self._record_success(view)
        if view.apply_events(batch.ok_value, requested_ms):
            return POLL_PAUSE_MS
        return await self._list(view)

    async def _list(self, view: StoreView) -> float:
        """List a store; return the pause after it."""
        async with self._listing_limit(view):
            listing = await self._stores.listing(view.address)
            if isinstance(listing, Err):
                self._record_failure(view, listing.err_value)
                return FAILED_PAUSE_MS
            self._record_success(view)
            view.apply_listing(listing.ok_value)
            self._log_listed(view)
            await asyncio.sleep(LISTING_PAUSE_MS / 1000.0)
        return 0.0

    def _listing_limit(self, view: StoreView) -> asyncio.Semaphore:
        """Return the limit for a store; one that is down holds up no other."""
        if view.address in self._unreachable:
            return self._retried_listings
        return self._listings

    def _log_listed(self, view: StoreView) -> None:
        logger.info(
            'cache store listed',
            extra={
                'store': view.address,
                'boot': view.boot,
                'tokens': view.tokens,
            },
        )

    def _record_failure(self, view: StoreView, error: FetchError) -> None:
        self._metrics.count('cache_polls_failed')
        if view.address not in self._unreachable:
            self._unreachable.add(view.address)
            logger.warning(
                'cache store not reachable',
                extra={'store': view.address, 'detail': error.message},
            )

    def _record_success(self, view: StoreView) -> None:
        if view.address in self._unreachable:
            self._unreachable.discard(view.address)
            logger.info('cache store reachable', extra={'store': view.address})
