"""Exchange of cache store events between entries, on the inner protocol."""

from collections.abc import Iterable
from typing import Protocol

from wigeonmill.gateway.store_view import CacheEvent
from wigeonmill.gateway.store_view import PeerEventBatch
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.protocol.gen.inner.ttypes import CachePart
from wigeonmill.protocol.gen.inner.ttypes import CachePoint
from wigeonmill.protocol.gen.inner.ttypes import CacheUpdate

# No events are requested for a store whose view is at most this old.
MAX_FRESH_AGE_MS = 300.0


class StoreViews(Protocol):
    """The views of the monitored cache stores."""

    def views(self) -> Iterable[StoreView]:
        """Return the view of each store."""

    def find(self, address: str) -> StoreView | None:
        """Return the view of a store, or None if it is not monitored."""


class CacheEventExchange:
    """Requests store events from other entries and serves their requests."""

    __slots__ = ('_stores',)

    def __init__(self, stores: StoreViews) -> None:
        self._stores = stores

    def stale_points(self) -> list[CachePoint]:
        """Return the event numbers after which to request events."""
        return [
            CachePoint(view.address, view.boot, view.next)
            for view in self._stores.views()
            if view.boot is not None and view.age_ms > MAX_FRESH_AGE_MS
        ]

    def updates_after(self, points: Iterable[CachePoint]) -> list[CacheUpdate]:
        """Return the events that this entry has after the points."""
        updates = []
        for point in points:
            view = self._stores.find(point.store)
            batch = view.events_after(point.boot, point.next) if view else None
            if batch is not None:
                updates.append(_to_wire(point.store, batch))
        return updates

    def apply_updates(
        self, updates: Iterable[CacheUpdate], requested_ms: float
    ) -> None:
        """Apply the updates that were requested at `requested_ms`."""
        for update in updates:
            view = self._stores.find(update.store)
            if view is not None:
                view.apply_peer_events(_from_wire(update), requested_ms)


def _to_wire(store: str, batch: PeerEventBatch) -> CacheUpdate:
    parts = [
        CachePart(event.added, event.salt, event.part, event.tokens)
        for event in batch.events
    ]
    return CacheUpdate(
        store, batch.boot, batch.next, batch.clock_ms, batch.age_ms, parts
    )


def _from_wire(update: CacheUpdate) -> PeerEventBatch:
    events = tuple(
        CacheEvent(part.held, part.salt, part.part, part.tokens)
        for part in update.parts or ()
    )
    return PeerEventBatch(
        update.boot, update.next, update.clock_ms, update.age_ms, events
    )
