"""Draws a seeded schedule of single and paired faults, and runs it."""

import asyncio
from dataclasses import dataclass
import logging
import random

from bench.chaos_parts.faults import Fault
from bench.chaos_parts.faults import FaultContext
from bench.chaos_parts.faults import FaultKind
from bench.chaos_parts.faults import make_fault

logger = logging.getLogger(__name__)

FIRST_S = 1.0
GAP_S = (0.3, 1.0)
DURATION_S = (1.5, 4.0)
PAIR_SHARE = 0.5
SECOND_AFTER_S = 0.8
# Kinds that cannot affect the same part of the system at the same time; an
# episode has at most one of each group.
_EXCLUSIVE_GROUPS = (
    {FaultKind.KILL_ENTRY, FaultKind.STOP_ENTRY, FaultKind.PAUSE_ENTRY},
    {FaultKind.KILL_AGENT, FaultKind.STOP_AGENT, FaultKind.PAUSE_AGENT},
    {FaultKind.STORE_KILLED, FaultKind.STORE_FULL, FaultKind.STORE_TRUNCATES},
    {FaultKind.DRAIN, FaultKind.KEY_VALUE_OUTAGE},
)


@dataclass(frozen=True, slots=True)
class Episode:
    """One or two faults; the second begins `second_after_s` later."""

    kinds: tuple[FaultKind, ...]
    gap_s: float
    duration_s: float
    second_after_s: float


class Episodes:
    """Draws episodes; every kind is used once before any is repeated."""

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng
        self._remaining: list[FaultKind] = []

    def draw(self) -> Episode:
        """Return the next episode."""
        kinds = [self._next_kind()]
        if self._rng.random() < PAIR_SHARE:
            kinds.append(self._next_kind())
        if len(kinds) == 2 and _conflict(kinds[0], kinds[1]):
            self._remaining.append(kinds.pop())
        return Episode(
            tuple(kinds),
            self._rng.uniform(*GAP_S),
            self._rng.uniform(*DURATION_S),
            self._rng.uniform(0.0, SECOND_AFTER_S),
        )

    def _next_kind(self) -> FaultKind:
        if not self._remaining:
            self._remaining = list(FaultKind)
            self._rng.shuffle(self._remaining)
        return self._remaining.pop()


async def run_schedule(
    context: FaultContext, rng: random.Random, seconds: float
) -> list[str]:
    """Run episodes for `seconds` and heal each; return their names."""
    loop = asyncio.get_running_loop()
    ends = loop.time() + seconds
    episodes = Episodes(rng)
    injected: list[str] = []
    await asyncio.sleep(FIRST_S)
    while loop.time() < ends:
        episode = episodes.draw()
        faults = [make_fault(kind, context, rng) for kind in episode.kinds]
        name = '+'.join(kind.value for kind in episode.kinds)
        logger.info('injecting faults: %s', name)
        injected.append(name)
        await _run_episode(episode, faults)
        await asyncio.sleep(episode.gap_s)
    return injected


async def _run_episode(episode: Episode, faults: list[Fault]) -> None:
    delays_s = (0.0, episode.second_after_s)
    await asyncio.gather(
        *(
            _run_fault(fault, delay_s, episode.duration_s)
            for fault, delay_s in zip(faults, delays_s)
        )
    )


async def _run_fault(fault: Fault, delay_s: float, duration_s: float) -> None:
    await asyncio.sleep(delay_s)
    await fault.begin()
    await asyncio.sleep(duration_s)
    await fault.heal()


def _conflict(first: FaultKind, second: FaultKind) -> bool:
    if first is second:
        return True
    return any(
        first in group and second in group for group in _EXCLUSIVE_GROUPS
    )
