"""Generates docs/BENCHMARKS.md from the results of the policy benchmark.

python -m bench report [--seed N] [--outcome FILE]

FILE is the JSON output of an earlier `python -m bench policy --json`; without
it, the benchmark is run first.
"""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cappa
import msgspec

from bench.outcome import Outcome
from bench.policy import measure
from bench.policy_sim.comparison import ORACLE
from bench.policy_sim.comparison import REAL
from bench.policy_sim.history import read_rounds
from bench.policy_sim.scenes import SCENES
from bench.policy_sim.workloads import WORKLOADS

PAGE = Path(__file__).parent.parent / 'docs' / 'BENCHMARKS.md'
POLICIES = (REAL, 'round_robin', 'least_load', 'prefix_affinity', ORACLE)
COUNTERS = ('refusals', 'retries', 'denied_retries', 'violations')
GROUPS = ('large', 'small')


@dataclass
class ReportArgs:
    """Write the page of benchmark results."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    outcome: Annotated[Path | None, cappa.Arg(long=True)] = None


class _SavedOutcome(msgspec.Struct):
    """The fields of a policy outcome that the page needs."""

    seed: int
    figures: dict[str, float]
    bounds: dict[str, tuple[float | None, float | None]]
    missed: list[str]


def main(argv: list[str]) -> int:
    """Write the page; return 0."""
    args = cappa.parse(ReportArgs, argv=argv)
    saved = _load_outcome(args)
    PAGE.parent.mkdir(exist_ok=True)
    PAGE.write_text('\n'.join(_render_page(saved)) + '\n')
    return 0


def _load_outcome(args: ReportArgs) -> _SavedOutcome:
    if args.outcome is not None:
        return msgspec.json.decode(
            args.outcome.read_bytes(), type=_SavedOutcome
        )
    return _to_saved(measure(args.seed))


def _to_saved(outcome: Outcome) -> _SavedOutcome:
    bounds = {b.figure: (b.low, b.high) for b in outcome.bounds}
    missed = [bound.figure for bound in outcome.missed()]
    return _SavedOutcome(outcome.seed, outcome.figures, bounds, missed)


def _render_page(saved: _SavedOutcome) -> Iterator[str]:
    yield '# Benchmarks'
    yield ''
    yield f'Written by `python -m bench report` from seed {saved.seed}: real'
    yield 'decisions over small fakes and a manual clock, so the figures are'
    yield 'those of a model of engines, links and store VMs.'
    yield ''
    met = len(saved.bounds) - len(saved.missed)
    yield f'{met} of {len(saved.bounds)} bounds are met. Missed:'
    yield ''
    for name in saved.missed:
        value = saved.figures[name]
        yield f'- `{name}` is {value:.4g}, goal {_format_goal(saved, name)}'
    for workload in WORKLOADS:
        yield ''
        yield from _workload_section(saved, workload)
    yield ''
    yield from _rounds_section()


def _format_goal(saved: _SavedOutcome, name: str) -> str:
    low, high = saved.bounds[name]
    if high is None or high == float('inf'):
        return f'at least {low:.4g}'
    return f'at most {high:.4g}'


def _workload_section(saved: _SavedOutcome, workload: str) -> Iterator[str]:
    yield f'## {workload}'
    yield ''
    yield 'Time to first token, 95th percentile, in milliseconds:'
    yield ''
    yield from _table(saved, workload, 'ttft_p95_ms.all', '.0f')
    yield ''
    yield 'Recomputed share of prompt tokens:'
    yield ''
    yield from _table(saved, workload, 'recomputed_share', '.4f')
    yield ''
    yield 'Requests with their first token within 1.3 s:'
    yield ''
    yield from _table(saved, workload, 'within_goal_share', '.3f')
    yield ''
    yield f'{REAL} by team size and kind of request, p50/p95/p99 in ms:'
    yield ''
    yield from _group_table(saved, workload)
    yield ''
    yield f'{REAL}, link, goodput and counters:'
    yield ''
    yield from _counter_table(saved, workload)


def _table(
    saved: _SavedOutcome, workload: str, figure: str, form: str
) -> Iterator[str]:
    yield '| scene | ' + ' | '.join(POLICIES) + ' |'
    yield '|---' * (len(POLICIES) + 1) + '|'
    for scene in SCENES:
        values = [
            saved.figures[f'{workload}.{scene.name}.{policy}.{figure}']
            for policy in POLICIES
        ]
        cells = ' | '.join(format(value, form) for value in values)
        yield f'| {scene.name} | {cells} |'


def _group_table(saved: _SavedOutcome, workload: str) -> Iterator[str]:
    spec = WORKLOADS[workload]()
    kinds = [kind.name for kind in (*spec.kinds, *spec.returns)]
    groups = [*GROUPS, *kinds]
    yield '| scene | ' + ' | '.join(groups) + ' |'
    yield '|---' * (len(groups) + 1) + '|'
    for scene in SCENES:
        start = f'{workload}.{scene.name}.{REAL}.ttft_p'
        cells = [
            '/'.join(
                f'{saved.figures[f"{start}{percent}_ms.{group}"]:.0f}'
                for percent in (50, 95, 99)
            )
            for group in groups
        ]
        yield f'| {scene.name} | ' + ' | '.join(cells) + ' |'


def _counter_table(saved: _SavedOutcome, workload: str) -> Iterator[str]:
    yield '| scene | link, busiest second by budget | goodput/s | counters |'
    yield '|---|---|---|---|'
    for scene in SCENES:
        start = f'{workload}.{scene.name}.{REAL}.'
        link = saved.figures[f'{start}link_peak_share']
        goodput = saved.figures[f'{start}goodput_rps']
        counters = [
            f'{name.removeprefix(start)} {value:.0f}'
            for name, value in saved.figures.items()
            if name.startswith(start) and _is_counter(name, start) and value
        ]
        listed = ', '.join(counters) or 'none'
        yield f'| {scene.name} | {link:.2f} | {goodput:.1f} | {listed} |'


def _is_counter(name: str, start: str) -> bool:
    return name.removeprefix(start).split('.')[0] in COUNTERS


def _rounds_section() -> Iterator[str]:
    yield '## Rounds'
    yield ''
    yield 'Each line of bench/history.jsonl; the load was raised once, with'
    yield 'the stricter oracle of the round that says so.'
    yield ''
    yield '| round | change | bounds missed |'
    yield '|---|---|---|'
    for number, row in enumerate(read_rounds()):
        missed = f'{row.missed} of {row.bounds}'
        yield f'| {number} | {row.change} | {missed} |'
