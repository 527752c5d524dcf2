"""Plans the rollout of a weight version to the engines of one model."""

from collections.abc import Sequence
from dataclasses import dataclass
import math

# Maximum fraction of the engines that load at the same time. The platform's
# weight store serves a little over a third of a fleet without slowing down.
MAX_LOADING_FRACTION = 0.36


@dataclass(frozen=True, slots=True)
class EngineState:
    """The last reported state of an engine.

    `ordered` is set if it was ordered to load and has not finished, `held`
    if it must not be ordered yet. `runs` counts the open requests of all
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
    """The engines to select now, and all that get no new work meanwhile.

    `waves_left` is the number of waves until all engines have the version.
    """

    start: tuple[str, ...]
    loading: tuple[str, ...]
    waves_left: int


def plan_wave(engines: Sequence[EngineState], desired_version: int) -> Wave:
    """Return the engines that load `desired_version` next.

    Engines with the oldest weights go first, because new versions may be set
    faster than all engines load them. Among these the least busy go first, so
    that the fewest requests have to wait.
    """
    loading = [engine.id for engine in engines if engine.ordered]
    waiting = [
        engine
        for engine in engines
        if engine.version < desired_version
        and not engine.ordered
        and not engine.held
    ]
    waiting.sort(key=lambda engine: (engine.version, engine.runs, engine.id))
    limit = max_loading(len(engines))
    available = max(0, limit - len(loading))
    start = tuple(engine.id for engine in waiting[:available])
    behind = sum(1 for e in engines if e.version < desired_version)
    waves_left = math.ceil(behind / limit)
    return Wave(start, (*loading, *start), waves_left)


def max_loading(engine_count: int) -> int:
    """Return how many of `engine_count` engines may load at a time."""
    return max(1, math.floor(engine_count * MAX_LOADING_FRACTION))
