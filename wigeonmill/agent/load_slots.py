"""Leased slots that bound the number of targets loading weights at a time."""

from dataclasses import dataclass
import logging

from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.providers.key_value import KvErrorKind

logger = logging.getLogger(__name__)

SLOT_PREFIX = 'wigeonmill/load-slots'
LEASE_MS = 10_000
# A lease is treated as expired this long before its expiry, so that an order
# in transit arrives while the lease is still held.
LEASE_MARGIN_MS = 3_000
RENEW_INTERVAL_MS = 2_000.0


@dataclass(slots=True)
class LoadSlot:
    """A held slot.

    `order` is the revision of the write that acquired the slot. It increases
    with every acquisition of any slot and is the fencing token of orders.
    """

    key: str
    lease: int
    order: int
    valid_until_ms: float


class LoadSlots:
    """Acquires, renews and releases the load slots of one service."""

    def __init__(
        self, key_value: KeyValue, clock: Clock, service: str, holder: str
    ) -> None:
        self._key_value = key_value
        self._clock = clock
        self._service = service
        self._holder = holder.encode()
        self.held: LoadSlot | None = None

    @property
    def valid(self) -> bool:
        """Whether the lease is certainly held; check before each order."""
        held = self.held
        return held is not None and self._clock.now_ms() < held.valid_until_ms

    async def acquire(self, count: int) -> bool:
        """Acquire one of `count` slots; return False if none was acquired."""
        if self.valid:
            return True
        requested_ms = self._clock.now_ms()
        lease = await self._key_value.grant_lease(LEASE_MS)
        if isinstance(lease, Err):
            return False
        for number in range(count):
            key = f'{SLOT_PREFIX}/{self._service}/{number}'
            acquired = await self._acquire_key(key, lease.ok_value)
            if isinstance(acquired, Ok):
                valid_until_ms = requested_ms + LEASE_MS - LEASE_MARGIN_MS
                self.held = LoadSlot(
                    key, lease.ok_value, acquired.ok_value, valid_until_ms
                )
                return True
        await self._key_value.revoke_lease(lease.ok_value)
        return False

    async def renew(self) -> None:
        """Renew the lease; after a failure it expires unless renewed again."""
        held = self.held
        if held is None:
            return
        requested_ms = self._clock.now_ms()
        renewed = await self._key_value.keep_alive(held.lease)
        if isinstance(renewed, Ok):
            held.valid_until_ms = requested_ms + LEASE_MS - LEASE_MARGIN_MS
        elif renewed.err_value.kind is KvErrorKind.INVALID:
            held.valid_until_ms = requested_ms

    async def release(self) -> None:
        """Release the slot by revoking its lease."""
        held = self.held
        self.held = None
        if held is not None:
            await self._key_value.revoke_lease(held.lease)

    async def _acquire_key(self, key: str, lease: int) -> Result[int, None]:
        swapped = await self._key_value.compare_and_swap(
            key, 0, self._holder, lease
        )
        if isinstance(swapped, Ok):
            return Ok(swapped.ok_value)
        if swapped.err_value.kind is not KvErrorKind.UNKNOWN:
            return Err(None)
        return await self._confirm_acquired(key, lease)

    async def _confirm_acquired(
        self, key: str, lease: int
    ) -> Result[int, None]:
        """Resolve an unknown outcome; the lease is unique to this attempt."""
        read = await self._key_value.get(key)
        if isinstance(read, Err) or read.ok_value is None:
            return Err(None)
        if read.ok_value.lease != lease:
            return Err(None)
        return Ok(read.ok_value.version)
