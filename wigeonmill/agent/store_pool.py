"""The configured store VMs and their observed state."""

from dataclasses import dataclass
import logging

from result import Ok
from result import Result

from wigeonmill.cache.placement import place_for_write
from wigeonmill.cache.placement import PlacementSettings
from wigeonmill.cache.placement import places_for_read
from wigeonmill.cache.placement import StoreState
from wigeonmill.clock import Clock
from wigeonmill.config.model import Document
from wigeonmill.providers.block_store import HttpBlockStore
from wigeonmill.providers.transfer import TransferError
from wigeonmill.providers.transfer import TransferErrorKind

logger = logging.getLogger(__name__)

# Time for which a store VM is not used after a failed transfer, and after it
# reported that it is full.
UNAVAILABLE_MS = 5_000.0
FULL_MS = 10_000.0


@dataclass(slots=True)
class _StoreVm:
    address: str
    store: HttpBlockStore
    unavailable_until_ms: float = 0.0
    full_until_ms: float = 0.0


class StorePool:
    """The clients of all store VMs in service."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._stores: dict[str, _StoreVm] = {}
        self._settings = PlacementSettings()

    def configure(self, document: Document) -> None:
        """Apply the store VMs that the document has in service."""
        domains_out_of_service = {
            domain.name
            for domain in document.failure_domains
            if not domain.in_service
        }
        addresses = {
            vm.name: vm.address
            for vm in document.store_vms
            if vm.in_service
            and vm.failure_domain not in domains_out_of_service
        }
        for name, store_vm in list(self._stores.items()):
            if addresses.get(name) != store_vm.address:
                store_vm.store.close()
                del self._stores[name]
        for name, address in addresses.items():
            if name not in self._stores:
                store = HttpBlockStore(address, self._clock)
                self._stores[name] = _StoreVm(address, store)

    def for_write(self, anchor: bytes, copy: bool = False) -> str | None:
        """Return the VM to write a prefix's blocks to, if one is available.

        With `copy`, this is the VM of the second copy, which differs from
        that of the first.
        """
        place = place_for_write(anchor, self._states(), self._settings, copy)
        return place.name if place is not None else None

    def for_read(self, anchor: bytes) -> list[str]:
        """Return the VMs that may hold a prefix's blocks, likeliest first."""
        places = places_for_read(anchor, self._states(), self._settings)
        return [place.name for place in places]

    def get(self, name: str) -> HttpBlockStore | None:
        """Return the client of a VM, or None if it is no longer in service."""
        store_vm = self._stores.get(name)
        return store_vm.store if store_vm is not None else None

    def record_outcome(
        self, name: str, outcome: Result[None, TransferError]
    ) -> None:
        """Update a VM's state with the outcome of a transfer."""
        store_vm = self._stores.get(name)
        if store_vm is None:
            return
        if isinstance(outcome, Ok):
            store_vm.unavailable_until_ms = 0.0
            return
        self._record_error(name, store_vm, outcome.err_value)

    def close(self) -> None:
        """Close all clients."""
        for store_vm in self._stores.values():
            store_vm.store.close()
        self._stores.clear()

    def _record_error(
        self, name: str, store_vm: _StoreVm, error: TransferError
    ) -> None:
        now_ms = self._clock.now_ms()
        if error.kind is TransferErrorKind.FULL:
            if store_vm.full_until_ms < now_ms:
                logger.warning('store VM %s is full', name)
            store_vm.full_until_ms = now_ms + FULL_MS
        elif error.kind in (
            TransferErrorKind.UNAVAILABLE,
            TransferErrorKind.TIMEOUT,
        ):
            if store_vm.unavailable_until_ms < now_ms:
                logger.warning('store VM %s: %s', name, error.message)
            store_vm.unavailable_until_ms = now_ms + UNAVAILABLE_MS

    def _states(self) -> list[StoreState]:
        now_ms = self._clock.now_ms()
        return [
            StoreState(
                name,
                store_vm.unavailable_until_ms <= now_ms,
                1.0 if store_vm.full_until_ms > now_ms else 0.0,
            )
            for name, store_vm in self._stores.items()
        ]
