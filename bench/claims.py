"""Compares the claim stores by throughput, key-value calls and added latency.

Twelve agents in one process claim credits, dispatch them to a ledger and
record the answers in a key-value service with limited rates. A second run
adds faults: lost replies, an outage of the service, an owner that stalls and
an owner that dies.
"""

import asyncio
from dataclasses import dataclass
import random
from typing import Annotated

import cappa

from bench.claims_load import Callers
from bench.claims_load import Ledger
from bench.claims_load import Load
from bench.claims_load import make_fleet
from bench.claims_load import StoreKind
from bench.outcome import Bound
from bench.outcome import Outcome
from bench.outcome import print_outcome
from wigeonmill.clock import Clock

RATES = (1, 10, 100, 1000)
# Credits per second in the run with faults.
FAULTS_RATE = 200
WRITES_PER_SECOND = 300
READS_PER_SECOND = 2000
MAX_ADDED_P50_MS = 50.0


@cappa.command(name='claims')
@dataclass
class Options:
    """Arguments of the benchmark."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    json: Annotated[bool, cappa.Arg(long=True)] = False
    seconds: Annotated[float, cappa.Arg(long=True)] = 8.0
    shards: Annotated[int, cappa.Arg(long=True)] = 2
    flush_interval_ms: Annotated[float, cappa.Arg(long=True)] = 10.0


def main(argv: list[str]) -> int:
    """Run the benchmark; return its exit code."""
    options = cappa.parse(Options, argv=argv)
    figures = asyncio.run(_measure(options))
    outcome = Outcome('claims', options.seed, figures, _bounds())
    return print_outcome(outcome, options.json)


async def _measure(options: Options) -> dict[str, float]:
    figures: dict[str, float] = {}
    for kind in StoreKind:
        for rate in RATES:
            found = await _run_store(options, kind, rate, faults=False)
            figures.update(
                {f'{kind.value}.{rate}.{k}': v for k, v in found.items()}
            )
        found = await _run_store(options, kind, FAULTS_RATE, faults=True)
        figures.update(
            {f'{kind.value}.faults.{k}': v for k, v in found.items()}
        )
    return figures


async def _run_store(
    options: Options, kind: StoreKind, rate: int, faults: bool
) -> dict[str, float]:
    rng = random.Random(f'{options.seed} {kind} {rate} {faults}')
    load = Load(
        rate,
        options.seconds,
        WRITES_PER_SECOND,
        READS_PER_SECOND,
        options.shards,
        options.flush_interval_ms,
    )
    clock = Clock()
    fleet = make_fleet(kind, load, clock, rng)
    ledger = Ledger()
    callers = Callers(fleet, ledger, load, clock, rng, faults)
    fault_task = None
    if faults:
        fault_task = asyncio.ensure_future(fleet.inject_faults())
    await callers.run()
    if fault_task is not None:
        await fault_task
    await fleet.close()
    figures = callers.figures()
    if kind is StoreKind.GROUPED:
        figures['rebuild_ms'] = await fleet.measure_rebuild(load, clock, rng)
    return figures


def _bounds() -> list[Bound]:
    highest = f'{StoreKind.GROUPED.value}.{RATES[-1]}'
    bounds = [
        Bound(f'{highest}.completed_share', low=1.0),
        Bound(f'{highest}.writes_per_second', high=WRITES_PER_SECOND),
        Bound(f'{highest}.reads_per_second', high=READS_PER_SECOND),
        Bound(f'{highest}.added_p50_ms', high=MAX_ADDED_P50_MS),
    ]
    runs = [f'{r}' for r in RATES] + ['faults']
    for kind in StoreKind:
        for run in runs:
            for figure in ('doubled', 'lost', 'not_run_but_ran', 'differing'):
                name = f'{kind.value}.{run}.{figure}'
                bounds.append(Bound(name, high=0))
    return bounds
