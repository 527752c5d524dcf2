"""Refuses to mix processes that store claims in different layouts.

A process that looked for a claim in a different place from where it was
stored would dispatch the call again.
"""

import asyncio
import enum

from result import Err

from wigeonmill.claims.model import RETRIES
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KeyValue

LAYOUT_KEY = 'wigeonmill/claims/layout'


class LayoutState(enum.Enum):
    """Whether the stored layout is this process's layout."""

    AGREES = 'agrees'
    DIFFERS = 'differs'
    # Reading the layout failed, or storing it at first use.
    UNKNOWN = 'unknown'


class LayoutGuard:
    """Stores the layout at first use and compares against it later."""

    __slots__ = ('_kv', '_metrics', '_layout', '_agreed', '_lock')

    def __init__(self, kv: KeyValue, metrics: Metrics, layout: str) -> None:
        self._kv = kv
        self._metrics = metrics
        self._layout = layout.encode()
        self._agreed = False
        self._lock = asyncio.Lock()

    async def check(self) -> LayoutState:
        """Compare the layouts; an agreement is cached."""
        if self._agreed:
            return LayoutState.AGREES
        async with self._lock:
            state = await self._read_or_store()
            self._agreed = state is LayoutState.AGREES
            return state

    async def _read_or_store(self) -> LayoutState:
        if self._agreed:
            return LayoutState.AGREES
        read = await self._kv.get(LAYOUT_KEY)
        if isinstance(read, Err):
            self._metrics.count(RETRIES, read.err_value.kind.value)
            return LayoutState.UNKNOWN
        entry = read.ok_value
        if entry is None:
            written = await self._kv.compare_and_swap(
                LAYOUT_KEY, 0, self._layout
            )
            agreed = written.is_ok()
            return LayoutState.AGREES if agreed else LayoutState.UNKNOWN
        if entry.value == self._layout:
            return LayoutState.AGREES
        return LayoutState.DIFFERS
