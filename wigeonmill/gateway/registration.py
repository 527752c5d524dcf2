"""Registers this entry, and tracks which entries may be alive."""

import logging

import msgspec
from result import Err

from wigeonmill.addresses import is_address
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

# Term of an entry's lease, and the number of renewals within one term.
LEASE_TERM_MS = 9_000
RENEWALS_PER_LEASE = 3.0
# Delay before a failed registration is retried.
RETRY_MS = 1_000.0
# An entry that is no longer listed is still counted for this long, because it
# may be running without a connection to the key-value service.
UNLISTED_GRACE_MS = 15_000.0
# The rate that counts for a link that is slower or unknown.
LEAST_LINK_MBPS = 1.0


class Registration:
    """Maintains this entry's leased record in the key-value service."""

    __slots__ = (
        '_keys',
        '_clock',
        '_key',
        '_value',
        '_lease',
        '_due_ms',
        '_restores',
    )

    def __init__(
        self,
        keys: LeasedKeys,
        clock: Clock,
        entry: str,
        address: str,
        link_mbps: float = 0.0,
    ) -> None:
        self._keys = keys
        self._clock = clock
        self._key = ENTRY_PREFIX + entry
        self._value = msgspec.json.encode(EntryRecord(address, link_mbps))
        self._lease = 0
        self._due_ms = 0.0
        # How often the key-value service lost all leases.
        self._restores = 0

    async def step(self, listed: Record | None) -> None:
        """Register, or renew the lease, if that is due.

        `listed` is this entry's last known record.
        """
        if self._clock.now_ms() < self._due_ms:
            return
        self._due_ms = self._clock.now_ms() + RETRY_MS
        if self._lease:
            await self._renew()
        else:
            await self._register(listed)

    def key_value_restored(self) -> None:
        """Register again: the service lost the lease with the record."""
        self._restores += 1
        self._lease = 0
        self._due_ms = 0.0

    async def withdraw(self) -> None:
        """Revoke the lease, which also removes the record."""
        if self._lease:
            await self._keys.revoke_lease(self._lease)

    async def _renew(self) -> None:
        restores = self._restores
        renewed = await self._keys.keep_alive(self._lease)
        if restores != self._restores:
            return
        if not isinstance(renewed, Err):
            self._due_ms = (
                self._clock.now_ms() + LEASE_TERM_MS / RENEWALS_PER_LEASE
            )
        elif renewed.err_value.kind is KvErrorKind.INVALID:
            logger.info('registration expired')
            self._lease = 0
            self._due_ms = 0.0

    async def _register(self, listed: Record | None) -> None:
        restores = self._restores
        granted = await self._keys.grant_lease(LEASE_TERM_MS)
        if isinstance(granted, Err):
            return
        lease = granted.ok_value
        version = listed.revision if listed and listed.value else 0
        written = await self._keys.compare_and_swap(
            self._key, version, self._value, lease
        )
        if isinstance(written, Err):
            # A lease without a key expires by itself.
            logger.info(
                'not registered', extra={'detail': written.err_value.message}
            )
            return
        if restores != self._restores:
            return
        self._lease = lease
        self._due_ms = (
            self._clock.now_ms() + LEASE_TERM_MS / RENEWALS_PER_LEASE
        )


class EntryList:
    """The entries that are listed, and those that recently were."""

    __slots__ = (
        '_clock',
        '_own_name',
        '_addresses',
        '_links_mbps',
        '_unlisted_at_ms',
        '_min_count',
        '_selected',
        '_position',
    )

    def __init__(
        self,
        clock: Clock,
        own_name: str,
        min_count: int,
        own_link_mbps: float = 0.0,
    ) -> None:
        self._clock = clock
        self._own_name = own_name
        self._addresses: dict[str, str] = {}
        # Known rates of the links of entries.
        self._links_mbps = {own_name: own_link_mbps}
        self._unlisted_at_ms: dict[str, float] = {}
        self._min_count = min_count
        # Results of `is_selected` for the current list, by its arguments.
        self._selected: dict[tuple[str, int, bool], bool] = {}
        self._position: float | None = None

    def update(self, record: Record) -> None:
        """Apply a changed record of an entry."""
        name = record.key.removeprefix(ENTRY_PREFIX)
        self._selected.clear()
        self._position = None
        found = decode_own(record, EntryRecord)
        if found is not None and not is_address(found.address):
            logger.warning('malformed record', extra={'key': record.key})
            found = None
        if found is None:
            if name != self._own_name:
                self._links_mbps.pop(name, None)
            if self._addresses.pop(name, None) is not None:
                self._unlisted_at_ms[name] = self._clock.now_ms()
            return
        self._addresses[name] = found.address
        self._links_mbps[name] = found.link_mbps
        self._unlisted_at_ms.pop(name, None)

    def peers(self) -> dict[str, str]:
        """Return the inner addresses of the other entries by name."""
        return {
            name: address
            for name, address in self._addresses.items()
            if name != self._own_name
        }

    def is_selected(self, key: str, count: int, by_link: bool = False) -> bool:
        """Whether this entry is one of `count` that are selected for `key`.

        All entries make the same selection once they have the same list. With
        `by_link`, those with fast links are preferred.
        """
        known = self._selected.get((key, count, by_link))
        if known is None:
            names = {*self._addresses, self._own_name}
            entries = [
                WeightedTarget(name, '', self._weight(name) if by_link else 1)
                for name in names
            ]
            best = rank(key.encode(), entries, count)
            known = any(entry.name == self._own_name for entry in best)
            self._selected[key, count, by_link] = known
        return known

    def _weight(self, name: str) -> float:
        return max(LEAST_LINK_MBPS, self._links_mbps.get(name, 0.0))

    def position(self) -> float:
        """Return the position of this entry in the list, from 0 to 1."""
        if self._position is None:
            names = {*self._addresses, self._own_name}
            before = sum(1 for name in names if name < self._own_name)
            self._position = before / len(names)
        return self._position

    @property
    def tracked_names(self) -> int:
        """The number of entries that are listed or recently were."""
        return len(self._addresses) + len(self._unlisted_at_ms)

    def is_counted(self, entry: str) -> bool:
        """Whether `count` includes an entry."""
        return entry in self._addresses or entry in self._unlisted_at_ms

    def count(self) -> int:
        """Return how many entries may be alive, this one included."""
        # Ordered by time, because an entry is appended when it is unlisted.
        oldest_ms = self._clock.now_ms() - UNLISTED_GRACE_MS
        while self._unlisted_at_ms:
            name = next(iter(self._unlisted_at_ms))
            if self._unlisted_at_ms[name] >= oldest_ms:
                break
            del self._unlisted_at_ms[name]
        return max(self.tracked_names, self._min_count)


class EntriesByLink:
    """The entries, of which those with fast links are selected first.

    Load: large records, which the selected entries read from the key-value
    service and pass on to the others over their links.
    """

    __slots__ = ('_entries',)

    def __init__(self, entries: EntryList) -> None:
        self._entries = entries

    def count(self) -> int:
        """Return how many entries may be alive, this one included."""
        return self._entries.count()

    def is_selected(self, key: str, count: int) -> bool:
        """Whether this entry is one of `count` that are selected for `key`."""
        return self._entries.is_selected(key, count, by_link=True)
