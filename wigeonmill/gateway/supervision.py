"""Restarts background loops that fail."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
from typing import Any

logger = logging.getLogger(__name__)

RESTART_DELAY_S = 0.5


async def run_supervised(
    loop: Callable[[], Coroutine[Any, Any, None]],
) -> None:
    """Run a loop until it returns; log an exception and start it again."""
    while True:
        try:
            await loop()
            return
        except Exception:
            # An exception in one loop must not stop the other loops.
            logger.exception('exception in a background loop')
            await asyncio.sleep(RESTART_DELAY_S)
