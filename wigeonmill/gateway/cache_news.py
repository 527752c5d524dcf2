"""What entries tell each other of cache stores, over the inner protocol."""

from collections.abc import Iterable
from typing import Protocol

from wigeonmill.gateway.store_view import CacheEvent
from wigeonmill.gateway.store_view import SharedNews
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.protocol.gen.inner.ttypes import CachePart
from wigeonmill.protocol.gen.inner.ttypes import CachePoint
from wigeonmill.protocol.gen.inner.ttypes import CacheUpdate

# Newer knowledge is not asked for.
FRESH_MS = 300.0


class FollowedStores(Protocol):
    """The views of the stores that are followed."""

    def views(self) -> Iterable[StoreView]:
        """Return the view of each store."""

    def find(self, address: str) -> StoreView | None:
        """Return the view of one store, if it is followed."""


class CacheEventExchange:
    """Asks other entries for news of the stores, and answers them."""

    __slots__ = ('_stores',)

    def __init__(self, stores: FollowedStores) -> None:
        self._stores = stores

    def stale_points(self) -> list[CachePoint]:
        """Return the points after which news are wanted."""
        return [
            CachePoint(view.address, view.boot, view.next)
            for view in self._stores.views()
            if view.boot is not None and view.age_ms > FRESH_MS
        ]

    def updates_after(self, points: Iterable[CachePoint]) -> list[CacheUpdate]:
        """Return what this entry knows after the points."""
        updates = []
        for point in points:
            view = self._stores.find(point.store)
            news = view.share(point.boot, point.next) if view else None
            if news is not None:
                updates.append(_to_wire(point.store, news))
        return updates

    def apply_updates(
        self, updates: Iterable[CacheUpdate], asked_ms: float
    ) -> None:
        """Take the answers to questions that were sent at `asked_ms`."""
        for update in updates:
            view = self._stores.find(update.store)
            if view is not None:
                view.take_shared(_from_wire(update), asked_ms)


def _to_wire(store: str, news: SharedNews) -> CacheUpdate:
    parts = [
        CachePart(event.added, event.salt, event.part, event.tokens)
        for event in news.events
    ]
    return CacheUpdate(
        store, news.boot, news.next, news.clock_ms, news.age_ms, parts
    )


def _from_wire(update: CacheUpdate) -> SharedNews:
    events = tuple(
        CacheEvent(part.held, part.salt, part.part, part.tokens)
        for part in update.parts or ()
    )
    return SharedNews(
        update.boot, update.next, update.clock_ms, update.age_ms, events
    )
