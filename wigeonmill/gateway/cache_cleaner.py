"""Frees cached parts of replaced weight versions, on the leader only."""

import logging

from result import Err

from wigeonmill.gateway.cache_salt import weights_of_salt
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.leadership import Leadership
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.gateway.store_view import VALIDITY_MS
from wigeonmill.gateway.store_watch import CacheStores
from wigeonmill.gateway.store_watch import StoreWatch

logger = logging.getLogger(__name__)

# An engine may have started to fetch parts of its old weights shortly before
# it changed. Each fetch ends within the validity of a store's view.
SETTLE_TIME_MS = VALIDITY_MS + 1_000.0
# Maximum number of parts freed by one call.
MAX_FREED_PARTS = 200


class CacheCleaner:
    """Frees the cached parts that no engine can use any more."""

    __slots__ = (
        '_ctx',
        '_leadership',
        '_stores',
        '_watch',
        '_settled_since_ms',
    )

    def __init__(
        self,
        ctx: GatewayContext,
        leadership: Leadership,
        stores: CacheStores,
        watch: StoreWatch,
    ) -> None:
        self._ctx = ctx
        self._leadership = leadership
        self._stores = stores
        self._watch = watch
        self._settled_since_ms: dict[tuple[str, int], float] = {}

    async def step(self) -> None:
        """Free some replaced parts of each store if this entry leads."""
        if not self._leadership.is_leader:
            self._settled_since_ms.clear()
            return
        settled = self._settled_versions()
        if not settled:
            return
        for address in list(self._watch.specs):
            await self._free_replaced(self._watch.view(address), settled)

    def _settled_versions(self) -> dict[str, int]:
        """Return the lowest version of each model that has settled.

        It has settled once it was the lowest version of all of the model's
        engines for `SETTLE_TIME_MS`.
        """
        now_ms = self._ctx.clock.now_ms()
        settled = {}
        current = {}
        for model in self._ctx.desired.weight_versions:
            versions = [
                target.weights[model]
                for target in self._ctx.directory.all()
                if model in target.weights
            ]
            if not versions:
                continue
            key = (model, min(versions))
            since_ms = self._settled_since_ms.get(key, now_ms)
            current[key] = since_ms
            if now_ms - since_ms >= SETTLE_TIME_MS:
                settled[model] = min(versions)
        self._settled_since_ms = current
        return settled

    async def _free_replaced(
        self, view: StoreView, settled: dict[str, int]
    ) -> None:
        replaced = [
            salt for salt in view.salts() if _is_replaced(salt, settled)
        ]
        parts = view.parts_with_salts(replaced)[:MAX_FREED_PARTS]
        if not parts or view.boot is None:
            return
        freed = await self._stores.free(view.address, parts, view.boot)
        outcome = 'failed' if isinstance(freed, Err) else 'freed'
        self._ctx.metrics.count('cache_parts_freed', outcome, by=len(parts))
        logger.info(
            'replaced parts freed',
            extra={
                'store': view.address,
                'parts': len(parts),
                'outcome': outcome,
            },
        )


def _is_replaced(salt: str, settled: dict[str, int]) -> bool:
    weights = weights_of_salt(salt)
    if weights is None:
        return False
    model, version = weights
    return version < settled.get(model, 0)
