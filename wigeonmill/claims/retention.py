"""Leases with which the key-value service expires stored claims."""

import asyncio

import msgspec
from result import Ok

from wigeonmill.clock import Clock
from wigeonmill.providers.key_value import KeyValue

RETENTION_MS = 24 * 3600 * 1000
# Values written within one span share a lease.
SPAN_MS = 3600 * 1000


class RetentionPolicy(msgspec.Struct, frozen=True):
    """How long claims and answers are retained, in milliseconds."""

    retention_ms: int = RETENTION_MS
    span_ms: int = SPAN_MS


class RetentionLease:
    """Obtains one lease per span; values live at least `retention_ms`.

    The maximum lifetime is the retention plus two spans. Values are never
    deleted explicitly, so there are no sweeps and no delayed deletes.
    """

    __slots__ = ('_kv', '_clock', '_policy', '_lease', '_granted_ms', '_lock')

    def __init__(
        self, kv: KeyValue, clock: Clock, policy: RetentionPolicy
    ) -> None:
        self._kv = kv
        self._clock = clock
        self._policy = policy
        self._lease = 0
        self._granted_ms = 0.0
        self._lock = asyncio.Lock()

    @property
    def max_lifetime_ms(self) -> int:
        """The maximum lifetime of a value."""
        return self._policy.retention_ms + 2 * self._policy.span_ms

    async def current(self) -> int:
        """Return the lease of the current span, 0 if none was granted."""
        if self._is_fresh():
            return self._lease
        async with self._lock:
            if not self._is_fresh():
                await self._grant()
            return self._lease

    def _is_fresh(self) -> bool:
        age_ms = self._clock.now_ms() - self._granted_ms
        return bool(self._lease) and age_ms < self._policy.span_ms

    async def _grant(self) -> None:
        self._lease = 0
        requested_ms = self._clock.now_ms()
        ttl_ms = self._policy.retention_ms + self._policy.span_ms
        granted = await self._kv.grant_lease(ttl_ms)
        if isinstance(granted, Ok):
            self._lease = granted.ok_value
            self._granted_ms = requested_ms

    def invalidate(self, lease: int) -> None:
        """Stop using a lease that the key-value service does not know."""
        if self._lease == lease:
            self._lease = 0
