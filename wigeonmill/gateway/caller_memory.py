"""Keeps the bound of what is held for callers in step with the process."""

from collections.abc import Callable

from wigeonmill.clock import Clock
from wigeonmill.gateway.held_bytes import HeldBytes
from wigeonmill.gateway.machine_limits import held_bytes_limit
from wigeonmill.gateway.machine_limits import unread_bytes_limit

# What the process needs itself is measured while callers hold less than this.
CALM_BYTES = 1024 * 1024
MEASURE_INTERVAL_MS = 10_000.0
# Memory is returned to the machine after callers have held this much.
CROWD_BYTES = 8 * 1024 * 1024


class CallerMemory:
    """Bounds what is held for callers by the memory of the machine.

    `max_held_bytes` is a lower bound that operators have set (0: none).
    """

    __slots__ = (
        '_clock',
        '_held',
        '_memory_bytes',
        '_max_held_bytes',
        '_resident_bytes',
        '_return_free_memory',
        '_separate_large_blocks',
        '_measured_ms',
        '_peak',
        'max_unread_bytes',
    )

    def __init__(
        self,
        clock: Clock,
        held: HeldBytes,
        memory_bytes: int,
        max_held_bytes: int,
        resident_bytes: Callable[[], int],
        return_free_memory: Callable[[], None],
        separate_large_blocks: Callable[[], None] = lambda: None,
    ) -> None:
        self._clock = clock
        self._held = held
        self._memory_bytes = memory_bytes
        self._max_held_bytes = max_held_bytes
        self._resident_bytes = resident_bytes
        self._return_free_memory = return_free_memory
        self._separate_large_blocks: Callable[[], None] | None = (
            separate_large_blocks
        )
        self._measured_ms = 0.0
        self._peak = 0
        self.max_unread_bytes = 0
        self.measure()

    def check(self) -> None:
        """Return the memory of a crowd that is gone, and measure in calm."""
        self._peak = max(self._peak, self._held.total)
        if self._held.total >= CALM_BYTES:
            if self._separate_large_blocks is not None:
                self._separate_large_blocks()
                self._separate_large_blocks = None
            return
        if self._peak >= CROWD_BYTES:
            self._peak = 0
            self._return_free_memory()
            self.measure()
        elif self._clock.now_ms() - self._measured_ms >= MEASURE_INTERVAL_MS:
            self.measure()

    def measure(self) -> None:
        """Set the bounds by the memory that the process uses now."""
        self._measured_ms = self._clock.now_ms()
        needed = max(0, self._resident_bytes() - self._held.total)
        limit = held_bytes_limit(self._memory_bytes, needed)
        if self._max_held_bytes:
            limit = min(limit, self._max_held_bytes)
        self._held.max_bytes = limit
        self.max_unread_bytes = unread_bytes_limit(self._memory_bytes, needed)
