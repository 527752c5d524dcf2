"""Which VMs the VM list shows as leaving, at its newest known revision."""

from collections.abc import Callable
from dataclasses import dataclass

from wigeonmill.protocol.gen.inner.ttypes import Gossip
from wigeonmill.protocol.gen.inner.ttypes import LeavingVm
from wigeonmill.providers.vm_list import VmListing
from wigeonmill.providers.vm_list import VmState


@dataclass(frozen=True, slots=True)
class VmKey:
    """A VM's name and its IP number."""

    name: str
    address: str


class LeavingVms:
    """Holds the leaving VMs; never goes back to a lower revision."""

    __slots__ = ('revision', 'leaving', '_on_change')

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.revision = 0
        self.leaving: frozenset[VmKey] = frozenset()
        self._on_change = on_change

    def take_listing(self, listing: VmListing) -> None:
        """Take what the VM list itself says."""
        leaving = frozenset(
            VmKey(vm.name, vm.address)
            for vm in listing.vms
            if vm.state is VmState.LEAVING
        )
        self._take(listing.revision, leaving)

    def take_gossip(self, message: Gossip) -> None:
        """Take what a peer knows of the list."""
        leaving = frozenset(
            VmKey(vm.name or '', vm.address or '')
            for vm in message.leaving_vms or []
        )
        self._take(message.vm_revision or 0, leaving)

    def fill(self, message: Gossip) -> None:
        """Add all that is known to `message`."""
        message.vm_revision = self.revision
        message.leaving_vms = [
            LeavingVm(vm.name, vm.address) for vm in self.leaving
        ]

    def is_leaving(self, names: tuple[str, ...], address: str) -> bool:
        """Return whether a VM with one of `names` or at `address` leaves.

        `address` is IP:port or an IP number.
        """
        host = address.rpartition(':')[0] or address
        return any(
            vm.name in names or (vm.address and vm.address == host)
            for vm in self.leaving
        )

    def _take(self, revision: int, leaving: frozenset[VmKey]) -> None:
        if revision <= self.revision:
            return
        self.revision = revision
        if leaving != self.leaving:
            self.leaving = leaving
            self._on_change()
