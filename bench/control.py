"""Measures the cost of control and the time until a configuration is in force.

`python -m bench control [--processes N ...] [--teams N] [--scenes a,b]` runs
real wigeonmilld processes on loopback, without load. `--record FILE` appends
the figures of each fleet to FILE for `python -m bench capacity`.
"""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import datetime
from pathlib import Path
import sys
from typing import Annotated

import cappa
import msgspec

from bench.control_fleet import ControlFleet
from bench.control_fleet import DOMAINS
from bench.control_fleet import FleetOptions
from bench.control_scenes import IDLE_S
from bench.control_scenes import SCENES
from bench.outcome import Bound
from bench.outcome import Outcome
from bench.outcome import print_outcome
from wigeonmill.membership.overlay import READERS_PER_DOMAIN

GOAL_IN_FORCE_MS = 3_000.0
GOAL_KEY_VALUE_CALLS_PER_S = 50.0
GOAL_CORE_SHARE = 0.014
GOAL_MEMORY_BYTES = 256e6
GOAL_BYTES_PER_S = 20_000.0
# The calls must not grow with the fleet. One call of each reader is allowed
# for, since it may fall just inside or outside the measured time.
GOAL_CALLS_GROWTH = len(DOMAINS) * READERS_PER_DOMAIN / IDLE_S
_GOALS = {
    'key_value_calls_growth': GOAL_CALLS_GROWTH,
    'in_force_ms_max': GOAL_IN_FORCE_MS,
    'restart_in_force_ms_max': GOAL_IN_FORCE_MS,
    'loss_in_force_ms_max': GOAL_IN_FORCE_MS,
    'outage_in_force_ms_max': GOAL_IN_FORCE_MS,
    'drain_in_force_ms_max': GOAL_IN_FORCE_MS,
    'idle_key_value_calls_per_s': GOAL_KEY_VALUE_CALLS_PER_S,
    'busy_key_value_calls_per_s': GOAL_KEY_VALUE_CALLS_PER_S,
    'outage_key_value_calls_per_s': GOAL_KEY_VALUE_CALLS_PER_S,
    'idle_core_share_max': GOAL_CORE_SHARE,
    'day_core_share': GOAL_CORE_SHARE,
    'idle_bytes_per_s_max': GOAL_BYTES_PER_S,
    'day_bytes_per_s': GOAL_BYTES_PER_S,
    'memory_bytes_max': GOAL_MEMORY_BYTES,
    'drain_new_work_after_3_s': 0.0,
    'drain_failed_reads': 0.0,
    'reverts': 0.0,
}


@dataclass
class Arguments:
    """The command line."""

    processes: Annotated[list[int], cappa.Arg(long=True, num_args=-1)] = field(
        default_factory=lambda: [10, 25, 50]
    )
    teams: Annotated[int, cappa.Arg(long=True)] = 10
    scenes: Annotated[str, cappa.Arg(long=True)] = 'idle,changes'
    record: Annotated[str, cappa.Arg(long=True)] = ''
    seed: Annotated[int, cappa.Arg(long=True)] = 1
    json: Annotated[bool, cappa.Arg(long=True)] = False


class ControlRecord(msgspec.Struct):
    """The figures of one fleet, stored as one line of the records file."""

    date: str
    processes: int
    teams: int
    scenes: list[str]
    figures: dict[str, float]


async def measure(
    processes: int, teams: int, scenes: list[str]
) -> ControlRecord:
    """Start a fleet, run `scenes` on it in order and return the figures."""
    options = FleetOptions(processes, teams, proxied='loss' in scenes)
    fleet = ControlFleet(options)
    figures: dict[str, float] = {}
    try:
        await fleet.start()
        for scene in scenes:
            figures.update(await SCENES[scene](fleet))
        figures['reverts'] = float(fleet.reverts())
    finally:
        fleet.close()
    today = datetime.date.today().isoformat()
    return ControlRecord(today, processes, teams, scenes, figures)


def main(argv: list[str]) -> int:
    """Run the benchmark; return its exit code."""
    args = cappa.parse(Arguments, argv=argv)
    scenes = args.scenes.split(',')
    unknown = set(scenes) - set(SCENES)
    if unknown:
        known = ', '.join(SCENES)
        print(f'scenes: {", ".join(unknown)}; known: {known}', file=sys.stderr)
        return 2
    figures: dict[str, float] = {}
    for processes in args.processes:
        record = asyncio.run(measure(processes, args.teams, scenes))
        for name, value in record.figures.items():
            figures[f'n{processes}_{name}'] = value
        if args.record:
            with Path(args.record).open('ab') as file:
                file.write(msgspec.json.encode(record) + b'\n')
    _add_growth(args.processes, figures)
    bounds = _bounds(figures)
    outcome = Outcome('control', args.seed, figures, bounds)
    return print_outcome(outcome, args.json)


def _add_growth(sizes: list[int], figures: dict[str, float]) -> None:
    """Add how much the calls grow from the smallest to the largest fleet.

    Fleets that are too small for all readers of every domain are left out.
    """
    readers = len(DOMAINS) * READERS_PER_DOMAIN
    rates = [
        figures.get(f'n{size}_idle_key_value_calls_per_s', 0.0)
        for size in sorted(sizes)
        if size >= readers
    ]
    if len(rates) > 1:
        figures['all_key_value_calls_growth'] = rates[-1] - rates[0]


def _bounds(figures: dict[str, float]) -> list[Bound]:
    bounds = []
    for figure in figures:
        goal = _GOALS.get(figure.partition('_')[2])
        if goal is not None:
            bounds.append(Bound(figure, high=goal))
    return bounds
