"""Pauses between tries against the key-value service."""

import asyncio
import random

FIRST_PAUSE_MS = 10.0
LONGEST_PAUSE_MS = 500.0


class Backoff:
    """Doubles its pause with each try, with jitter."""

    __slots__ = ('_rng', '_pause_ms')

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._pause_ms = FIRST_PAUSE_MS

    async def pause(self) -> None:
        """Sleep before the next try."""
        share = 0.5 + 0.5 * self._rng.random()
        pause_ms = self._pause_ms * share
        self._pause_ms = min(self._pause_ms * 2, LONGEST_PAUSE_MS)
        await asyncio.sleep(pause_ms / 1000.0)
