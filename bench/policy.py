"""Compares the routing and admission policy with baselines.

python -m bench policy [--seed N] [--workload W] [--scene S] [--json]

Each scene replays one trace with the real decisions, three baselines and an
oracle. The same seed gives the same figures.
"""

from concurrent.futures import ProcessPoolExecutor
from dataclasses import dataclass
import logging
import multiprocessing
from typing import Annotated

import cappa

from bench.outcome import Bound
from bench.outcome import Outcome
from bench.outcome import print_outcome
from bench.policy_sim.comparison import bounds_of
from bench.policy_sim.comparison import compare
from bench.policy_sim.comparison import SceneFigures
from bench.policy_sim.history import append_round
from bench.policy_sim.runner import policies
from bench.policy_sim.runner import run_scene
from bench.policy_sim.scenes import Scene
from bench.policy_sim.scenes import SCENES
from bench.policy_sim.workloads import WORKLOADS

# Processes that run scenes in parallel.
WORKERS = 2


@dataclass
class PolicyArgs:
    """Measure the routing and admission policy."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    workload: Annotated[str, cappa.Arg(long=True)] = ''
    scene: Annotated[str, cappa.Arg(long=True)] = ''
    json: Annotated[bool, cappa.Arg(long=True)] = False
    round: Annotated[str, cappa.Arg(long=True)] = ''


def run_case(workload: str, scene: Scene, seed: int) -> SceneFigures:
    """Run every policy in one scene of a workload."""
    logging.disable(logging.WARNING)
    runs = [
        run_scene(WORKLOADS[workload](), scene, make_policy, seed)
        for make_policy in policies()
    ]
    figures = {run.policy: run.figures() for run in runs}
    return SceneFigures(workload, scene.name, figures)


def measure(seed: int, workload: str = '', scene: str = '') -> Outcome:
    """Run the selected workloads and scenes, by default all of them."""
    cases = [
        (name, candidate, seed)
        for name in WORKLOADS
        for candidate in SCENES
        if workload in ('', name) and scene in ('', candidate.name)
    ]
    return summarise(seed, run_cases(cases))


def run_cases(cases: list[tuple[str, Scene, int]]) -> list[SceneFigures]:
    """Run cases in parallel; the results have the order of the cases."""
    if len(cases) == 1:
        return [run_case(*cases[0])]
    context = multiprocessing.get_context('spawn')
    with ProcessPoolExecutor(WORKERS, mp_context=context) as pool:
        return list(pool.map(run_case, *zip(*cases)))


def summarise(seed: int, results: list[SceneFigures]) -> Outcome:
    """Return all figures with the bounds that the goals set."""
    figures: dict[str, float] = {}
    bounds: list[Bound] = []
    for result in results:
        figures.update(result.flat())
        figures.update(compare(result, results))
        bounds += bounds_of(result, results)
    return Outcome('policy', seed, figures, bounds)


def main(argv: list[str]) -> int:
    """Run the benchmark; return its exit code."""
    args = cappa.parse(PolicyArgs, argv=argv)
    outcome = measure(args.seed, args.workload, args.scene)
    if args.round:
        append_round(args.round, outcome)
    return print_outcome(outcome, args.json)
