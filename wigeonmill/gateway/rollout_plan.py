"""Plans a change of weights over the engines of one model."""

from collections.abc import Sequence
from dataclasses import dataclass
import math

# Share of the engines that load at the same time: the platform's weight
# store bears about a third of a fleet without slowing down.
LOADING_SHARE = 1.0 / 3.0


@dataclass(frozen=True, slots=True)
class EngineState:
    """One engine as last reported.

    `ordered` says that it was ordered to load and has not finished, `held`
    that it must not be ordered yet. `runs` are the open requests of all
    entries.
    """

    id: str
    failure_domain: str
    version: int
    ordered: bool
    runs: int
    held: bool = False


@dataclass(frozen=True, slots=True)
class Wave:
    """The engines to order now, and all that get no new work meanwhile."""

    start: tuple[str, ...]
    loading: tuple[str, ...]


def plan_wave(engines: Sequence[EngineState], wanted: int) -> Wave:
    """Return which engines load next towards version `wanted`.

    Those with the oldest weights go first, as versions may be named faster
    than all engines load them; then the least busy, so that the fewest
    requests wait.
    """
    bound = max(1, math.floor(len(engines) * LOADING_SHARE))
    loading = [engine.id for engine in engines if engine.ordered]
    waiting = [
        engine
        for engine in engines
        if engine.version < wanted and not engine.ordered and not engine.held
    ]
    waiting.sort(key=lambda engine: (engine.version, engine.runs, engine.id))
    free = max(0, bound - len(loading))
    start = tuple(engine.id for engine in waiting[:free])
    return Wave(start, (*loading, *start))
