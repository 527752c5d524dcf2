"""Limits the rate of a stand-in's transfers."""

import asyncio

from wigeonmill.clock import Clock


class Pacer:
    """Shares the rate of one link among its transfers, chunk by chunk."""

    __slots__ = ('_clock', '_free_at_ms')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._free_at_ms = 0.0

    async def throttle(self, size_bytes: int, bytes_per_second: int) -> None:
        """Wait until `size_bytes` are transferred; rate 0 is no limit."""
        if bytes_per_second <= 0:
            return
        now_ms = self._clock.now_ms()
        transfer_ms = size_bytes * 1000.0 / bytes_per_second
        self._free_at_ms = max(now_ms, self._free_at_ms) + transfer_ms
        await asyncio.sleep((self._free_at_ms - now_ms) / 1000.0)
