"""Frees cached parts that are out of use, on the leader only.

Those are parts of replaced weight versions, and of caches whose owner is gone.
"""

from collections.abc import Iterable
import logging

from result import Err

from wigeonmill.gateway.cache_salt import owner_of_salt
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
# An owner may return, and with it the use of its cache. Parts of one that has
# been gone for longer are freed when the store fills up.
GONE_OWNER_MS = 60_000.0
FULL_SHARE = 0.75
# Maximum number of parts freed by one call.
MAX_FREED_PARTS = 200


class CacheCleaner:
    """Frees the cached parts that no request can use any more."""

    __slots__ = (
        '_ctx',
        '_leadership',
        '_stores',
        '_watch',
        '_settled_since_ms',
        '_gone_since_ms',
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
        # By salt, since when the owner of its cache is gone.
        self._gone_since_ms: dict[str, float] = {}

    async def step(self) -> None:
        """Free some unused parts of each store if this entry leads."""
        if not self._leadership.is_leader:
            self._settled_since_ms.clear()
            self._gone_since_ms.clear()
            return
        settled = self._settled_versions()
        views = {
            address: self._watch.view(address)
            for address in list(self._watch.specs)
        }
        salts = {address: view.salts() for address, view in views.items()}
        gone = self._gone_salts(set().union(*salts.values()))
        for address, view in views.items():
            unused = {
                salt for salt in salts[address] if _is_replaced(salt, settled)
            }
            spec = self._watch.specs.get(address)
            if spec and view.tokens >= FULL_SHARE * spec.cache_tokens:
                unused |= gone
            await self._free(view, unused)

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

    def _gone_salts(self, salts: Iterable[str]) -> set[str]:
        """Return those of caches whose owner has been gone for long."""
        if self._ctx.desired.state is None:
            return set()
        now_ms = self._ctx.clock.now_ms()
        owners = self._ctx.desired.caches.all()
        self._gone_since_ms = {
            salt: self._gone_since_ms.get(salt, now_ms)
            for salt in salts
            if owner_of_salt(salt) not in owners
        }
        oldest_ms = now_ms - GONE_OWNER_MS
        return {
            salt
            for salt, since_ms in self._gone_since_ms.items()
            if since_ms <= oldest_ms
        }

    async def _free(self, view: StoreView, unused: set[str]) -> None:
        parts = view.parts_with_salts(unused)[:MAX_FREED_PARTS]
        if not parts or view.boot is None:
            return
        freed = await self._stores.free(view.address, parts, view.boot)
        outcome = 'failed' if isinstance(freed, Err) else 'freed'
        self._ctx.metrics.count('cache_parts_freed', outcome, by=len(parts))
        logger.info(
            'unused parts freed',
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
