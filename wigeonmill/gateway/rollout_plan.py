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
    """The engines to order now, and all that get no new work meanwhile."""

    start: tuple[str, ...]
    loading: tuple[str, ...]


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
    available = max(0, _max_loading(engines) - len(loading))
    start = tuple(engine.id for engine in waiting[:available])
    return Wave(start, (*loading, *start))


def count_waves(engines: Sequence[EngineState], desired_version: int) -> int:
    """Return the number of waves for the engines without the version."""
    behind = sum(1 for e in engines if e.version < desired_version)
    return math.ceil(behind / _max_loading(engines))


def _max_loading(engines: Sequence[EngineState]) -> int:
    return max(1, math.floor(len(engines) * MAX_LOADING_FRACTION))
