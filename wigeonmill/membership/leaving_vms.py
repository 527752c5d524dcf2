"""The leaving VMs at the latest known revision of the VM list."""

from collections.abc import Callable
from dataclasses import dataclass

from wigeonmill.protocol.gen.inner.ttypes import Gossip
from wigeonmill.protocol.gen.inner.ttypes import LeavingVm
from wigeonmill.providers.vm_list import VmListing
from wigeonmill.providers.vm_list import VmState


@dataclass(frozen=True, slots=True)
class VmKey:
    """A VM's name and its IP address."""

    name: str
    address: str


class LeavingVms:
    """The leaving VMs; older revisions of the VM list are ignored."""

    __slots__ = ('revision', 'vms', '_on_change')

    def __init__(self, on_change: Callable[[], None]) -> None:
        self.revision = 0
        self.vms: frozenset[VmKey] = frozenset()
        self._on_change = on_change

    def apply_listing(self, listing: VmListing) -> None:
        """Apply a listing of the VM list itself."""
        leaving = frozenset(
            VmKey(vm.name, vm.address)
            for vm in listing.vms
            if vm.state is VmState.LEAVING
        )
        self._apply(listing.revision, leaving)

    def apply_gossip(self, message: Gossip) -> None:
        """Apply the leaving VMs that a peer reports."""
        leaving = frozenset(
            VmKey(vm.name or '', vm.address or '')
            for vm in message.leaving_vms or []
        )
        self._apply(message.vm_revision or 0, leaving)

    def fill(self, message: Gossip) -> None:
        """Add the leaving VMs and their revision to `message`."""
        message.vm_revision = self.revision
        message.leaving_vms = [
            LeavingVm(vm.name, vm.address) for vm in self.vms
        ]

    def is_leaving(self, names: tuple[str, ...], address: str) -> bool:
        """Return whether a VM with one of `names` or `address` is leaving.

        `address` is IP:port or an IP address.
        """
        host = address.rpartition(':')[0] or address
        return any(
            vm.name in names or (vm.address and vm.address == host)
            for vm in self.vms
        )

    def _apply(self, revision: int, leaving: frozenset[VmKey]) -> None:
        if revision <= self.revision:
            return
        self.revision = revision
        if leaving != self.vms:
            self.vms = leaving
            self._on_change()
