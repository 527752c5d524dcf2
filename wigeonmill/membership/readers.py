"""Tasks that run on a fixed number of processes of a failure domain."""

import asyncio
from collections.abc import Callable
import random

from wigeonmill.membership.leaving_vms import LeavingVms
from wigeonmill.metrics import Metrics
from wigeonmill.providers.vm_list import VmList

VM_LIST_WAIT_MS = 10_000
INITIAL_BACKOFF_MS = 1_000.0
MAX_BACKOFF_MS = 10_000.0


class Reader:
    """Runs a task while this process is a reader of its domain."""

    __slots__ = ('_start', '_task')

    def __init__(self, start: Callable[[], 'asyncio.Task[None]']) -> None:
        self._start = start
        self._task: asyncio.Task[None] | None = None

    @property
    def active(self) -> bool:
        """Whether the task is running."""
        return self._task is not None

    def set_active(self, active: bool) -> None:
        """Start or stop the task if necessary."""
        if active and self._task is None:
            self._task = self._start()
        elif not active and self._task is not None:
            self._task.cancel()
            self._task = None


class VmListFeed:
    """Polls the platform's list of VMs."""

    __slots__ = ('_vm_list', '_leaving_vms', '_rng', '_metrics')

    def __init__(
        self,
        vm_list: VmList,
        leaving_vms: LeavingVms,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self._vm_list = vm_list
        self._leaving_vms = leaving_vms
        self._rng = rng
        self._metrics = metrics

    async def run(self) -> None:
        """Apply each new revision until cancelled."""
        revision = 0
        backoff_ms = INITIAL_BACKOFF_MS
        while True:
            read = await self._vm_list.read(revision, VM_LIST_WAIT_MS)
            if read.is_ok():
                listing = read.unwrap()
                revision = listing.revision
                self._leaving_vms.apply_listing(listing)
                backoff_ms = INITIAL_BACKOFF_MS
                continue
            self._metrics.count('vm_list_reads_failed')
            jitter = self._rng.uniform(0.5, 1.5)
            await asyncio.sleep(backoff_ms * jitter / 1000.0)
            backoff_ms = min(backoff_ms * 2, MAX_BACKOFF_MS)
