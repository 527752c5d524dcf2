"""Exponential backoff for the retries of claim operations."""

import asyncio
import random

INITIAL_BACKOFF_MS = 10.0
MAX_BACKOFF_MS = 500.0


class Backoff:
    """Doubles the pause with each retry and applies jitter."""

    __slots__ = ('_rng', '_pause_ms')

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause_ms = INITIAL_BACKOFF_MS

    async def pause(self) -> None:
        """Sleep before the next retry."""
        jitter = 0.5 + 0.5 * self._rng.random()
        pause_ms = self._pause_ms * jitter
        self._pause_ms = min(self._pause_ms * 2, MAX_BACKOFF_MS)
        await asyncio.sleep(pause_ms / 1000.0)
