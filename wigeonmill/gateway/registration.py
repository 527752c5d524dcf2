"""Lists this entry among the entries, and counts those that may be alive."""

import logging

import msgspec
from result import Err

from wigeonmill.clock import Clock
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import decode_own
from wigeonmill.gateway.own_records import ENTRY_PREFIX
from wigeonmill.gateway.own_records import EntryRecord
from wigeonmill.providers.key_value import KvErrorKind
from wigeonmill.providers.key_value import LeasedKeys
from wigeonmill.routing.rendezvous import rank
from wigeonmill.routing.rendezvous import WeightedTarget

logger = logging.getLogger(__name__)

# Term of an entry's lease, and its renewals within one.
LEASE_MS = 9_000
RENEWALS = 3.0
# Time after which a failed registration is tried again.
RETRY_MS = 1_000.0
# An entry that is listed no more may live on for this long, cut off from
# the key-value service.
UNLISTED_COUNTS_MS = 15_000.0


class Registration:
    """Keeps this entry's record in the key-value service."""

    __slots__ = ('_keys', '_clock', '_key', '_value', '_lease', '_due_ms')

    def __init__(
        self, keys: LeasedKeys, clock: Clock, entry: str, address: str
    ) -> None:
        self._keys = keys
        self._clock = clock
        self._key = ENTRY_PREFIX + entry
        self._value = msgspec.json.encode(EntryRecord(address))
        self._lease = 0
        self._due_ms = 0.0

    async def step(self, listed: Record | None) -> None:
        """Register or renew if it is due; `listed` is the record known."""
        if self._clock.now_ms() < self._due_ms:
            return
        self._due_ms = self._clock.now_ms() + RETRY_MS
        if self._lease:
            await self._renew()
        else:
            await self._register(listed)

    async def withdraw(self) -> None:
        """End the lease and with it the record."""
        if self._lease:
            await self._keys.revoke_lease(self._lease)

    async def _renew(self) -> None:
        kept = await self._keys.keep_alive(self._lease)
        if not isinstance(kept, Err):
            self._due_ms = self._clock.now_ms() + LEASE_MS / RENEWALS
        elif kept.err_value.kind is KvErrorKind.INVALID:
            logger.info('registration lapsed')
            self._lease = 0
            self._due_ms = 0.0

    async def _register(self, listed: Record | None) -> None:
        granted = await self._keys.grant_lease(LEASE_MS)
        if isinstance(granted, Err):
            return
        lease = granted.ok_value
        version = listed.revision if listed and listed.value else 0
        written = await self._keys.compare_and_swap(
            self._key, version, self._value, lease
        )
        if isinstance(written, Err):
            # A lease without a key ends by itself.
            logger.info(
                'not registered', extra={'detail': written.err_value.message}
            )
            return
        self._lease = lease
        self._due_ms = self._clock.now_ms() + LEASE_MS / RENEWALS


class EntryList:
    """The entries that are listed, and those that were not long ago."""

    __slots__ = (
        '_clock',
        '_me',
        '_addresses',
        '_unlisted_ms',
        '_least',
        '_chosen',
    )

    def __init__(self, clock: Clock, me: str, least: int) -> None:
        self._clock = clock
        self._me = me
        self._addresses: dict[str, str] = {}
        self._unlisted_ms: dict[str, float] = {}
        self._least = least
        # What was chosen for the list as it is.
        self._chosen: dict[tuple[str, int], bool] = {}

    def take(self, record: Record) -> None:
        """Take the record of an entry."""
        name = record.key.removeprefix(ENTRY_PREFIX)
        self._chosen.clear()
        found = decode_own(record, EntryRecord)
        if found is None:
            if self._addresses.pop(name, None) is not None:
                self._unlisted_ms[name] = self._clock.now_ms()
            return
        self._addresses[name] = found.address
        self._unlisted_ms.pop(name, None)

    def peers(self) -> dict[str, str]:
        """Return the inner addresses of the other entries by name."""
        return {
            name: address
            for name, address in self._addresses.items()
            if name != self._me
        }

    def is_among(self, key: str, count: int) -> bool:
        """Whether this entry is one of `count` that are chosen for `key`.

        All entries choose alike once they know the same list.
        """
        known = self._chosen.get((key, count))
        if known is None:
            names = {*self._addresses, self._me}
            entries = [WeightedTarget(name, '') for name in names]
            best = rank(key.encode(), entries, count)
            known = any(entry.name == self._me for entry in best)
            self._chosen[key, count] = known
        return known

    def count(self) -> int:
        """Return how many entries may be alive, this one included."""
        oldest_ms = self._clock.now_ms() - UNLISTED_COUNTS_MS
        recent = [ms for ms in self._unlisted_ms.values() if ms >= oldest_ms]
        return max(len(self._addresses) + len(recent), self._least)
