"""Holds the transfers of a stand-in to a rate."""

import asyncio

from wigeonmill.clock import Clock


class Pacer:
    """Shares one link's rate among its transfers, piece by piece."""

    __slots__ = ('_clock', '_free_ms')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._free_ms = 0.0

    async def take(self, size_bytes: int, bytes_per_second: int) -> None:
        """Wait until `size_bytes` have passed (rate 0: at once)."""
        if bytes_per_second <= 0:
            return
        now_ms = self._clock.now_ms()
        took_ms = size_bytes * 1000.0 / bytes_per_second
        self._free_ms = max(now_ms, self._free_ms) + took_ms
        await asyncio.sleep((self._free_ms - now_ms) / 1000.0)
