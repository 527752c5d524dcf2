"""A list of live and leaving VMs that can show changes with a delay."""

import asyncio

import msgspec

from wigeonmill.clock import Clock
from wigeonmill.providers.vm_list import Vm
from wigeonmill.providers.vm_list import VmListing
from wigeonmill.standins.server import Route
from wigeonmill.standins.server import StandinHandler
from wigeonmill.standins.server import StandinServer
from wigeonmill.standins.server import start_server

POLL_INTERVAL_MS = 20.0


class VmListFaults(msgspec.Struct):
    """Faults of the list; changes are visible only after `lag_ms`."""

    lag_ms: float = 0.0
    unavailable: bool = False


class VmListOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options of the list; `vms` are the VMs at the start."""

    vms: list[Vm] = []
    faults: VmListFaults = msgspec.field(default_factory=VmListFaults)


class VmListAudit(msgspec.Struct):
    """The reads so far and the newest revision, even if not yet visible."""

    reads: int = 0
    revision: int = 1


class VmListState:
    """The listings with the times at which they were made."""

    def __init__(self, options: VmListOptions, clock: Clock) -> None:
        self.faults = options.faults
        self.stats = VmListAudit()
        self.clock = clock
        self._vms = {vm.name: vm for vm in options.vms}
        first = VmListing(1, list(options.vms))
        self._listings = [(float('-inf'), first)]

    def audit(self) -> VmListAudit:
        """Return the reads so far."""
        return self.stats

    def faults_changed(self) -> None:
        """Do nothing: faults apply from the next call on."""

    def set_vm(self, vm: Vm) -> None:
        """Add or change a VM."""
        self._vms[vm.name] = vm
        self._publish()

    def remove_vm(self, name: str) -> None:
        """Remove a VM, if it is listed."""
        if self._vms.pop(name, None) is not None:
            self._publish()

    def listing(self) -> VmListing:
        """Return the listing as it was `lag_ms` ago."""
        cutoff_ms = self.clock.now_ms() - self.faults.lag_ms
        while len(self._listings) > 1 and self._listings[1][0] <= cutoff_ms:
            self._listings.pop(0)
        return self._listings[0][1]

    async def wait_for_change(self, known: int, wait_ms: float) -> VmListing:
        """Return the listing once its revision is not `known`.

        After `wait_ms`, the listing is returned in any case.
        """
        deadline_ms = self.clock.now_ms() + wait_ms
        while True:
            listing = self.listing()
            remaining_ms = deadline_ms - self.clock.now_ms()
            if listing.revision != known or remaining_ms <= 0:
                return listing
            await asyncio.sleep(min(remaining_ms, POLL_INTERVAL_MS) / 1000.0)

    def _publish(self) -> None:
        self.stats.revision += 1
        listing = VmListing(self.stats.revision, list(self._vms.values()))
        self._listings.append((self.clock.now_ms(), listing))


class _ListHandler(StandinHandler):
    state: VmListState

    async def get(self) -> None:
        if self.state.faults.unavailable:
            return self.reply_error(503, 'unavailable', 'out of service')
        self.state.stats.reads += 1
        known = int(self.get_query_argument('known', '0'))
        wait_ms = float(self.get_query_argument('wait_ms', '0'))
        return self.reply(await self.state.wait_for_change(known, wait_ms))

    def post(self) -> None:
        vm = self.decode(Vm)
        if vm is not None:
            self.state.set_vm(vm)
            self.reply(vm)


class _VmHandler(StandinHandler):
    state: VmListState

    def delete(self, name: str) -> None:
        self.state.remove_vm(name)
        self.set_status(204)


async def start_vm_list(
    options: VmListOptions, host: str = '127.0.0.1', port: int = 0
) -> StandinServer[VmListState]:
    """Start a VM list."""
    state = VmListState(options, Clock())
    handler_args = {'state': state}
    routes: list[Route] = [
        ('/vms', _ListHandler, handler_args),
        ('/vms/([^/]+)', _VmHandler, handler_args),
    ]
    return await start_server(state, routes, host, port)
