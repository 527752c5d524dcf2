"""Injects faults under a mixed load and checks the system's invariants.

`python -m bench chaos --seed N --seconds S` starts real processes behind
fault proxies and injects faults on a seeded schedule. The checker reads only
the stand-ins' audits and the callers' own records. With `--log`, the logs of
the processes are kept and the folder that holds them is printed.
"""

import asyncio
from collections.abc import Coroutine
from dataclasses import dataclass
import json
import random
import shutil
import sys
from typing import Annotated
from typing import Any

import cappa

from bench.chaos_parts.callers import Callers
from bench.chaos_parts.checker import bounds
from bench.chaos_parts.checker import check
from bench.chaos_parts.checker import Evidence
from bench.chaos_parts.checker import read_audits
from bench.chaos_parts.checker import refusal_counts
from bench.chaos_parts.faults import CrashCounts
from bench.chaos_parts.faults import FaultContext
from bench.chaos_parts.operators import Operators
from bench.chaos_parts.proxied_system import ProxiedSystem
from bench.chaos_parts.schedule import run_schedule
from bench.outcome import Outcome
from bench.outcome import print_outcome
from bench.processes import wait_until
from bench.system import SystemOptions
from wigeonmill.log import configure_logs

REQUESTS_PER_S = 12.0
SETTLE_TIMEOUT_S = 120.0
COLD_CONCURRENCY = 2
ENGINE_OPTIONS: dict[str, Any] = {
    'cache_blocks': 24,
    'block_bytes': 16_384,
    'cold_concurrency': COLD_CONCURRENCY,
    'cold_duration_ms': 1500.0,
    'restart_ms': 300.0,
    'faults': {'event_delay_ms': 30.0, 'drop_nth_event': 17},
}


@dataclass
class Arguments:
    """The command line."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 30.0
    json: Annotated[bool, cappa.Arg(long=True)] = False
    log: Annotated[bool, cappa.Arg(long=True)] = False


class Chaos:
    """Runs load and faults against one system, then checks the result."""

    def __init__(self, seed: int, seconds: float) -> None:
        self.seconds = seconds
        self.load_rng = random.Random(f'load-{seed}')
        self.fault_rng = random.Random(f'faults-{seed}')
        self.system = ProxiedSystem(
            SystemOptions(
                entries=2,
                engines=4,
                ledgers=2,
                store_vms=2,
                engine_options=ENGINE_OPTIONS,
                cold_concurrency=COLD_CONCURRENCY,
                max_concurrency=16,
            )
        )
        self.injected: list[str] = []
        self.evidence: Evidence | None = None
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> dict[str, float]:
        """Send load while faults occur; return the figures of the check."""
        await self.system.start()
        callers = Callers(
            self.system.entry_addresses,
            self.system.options.teams,
            self.load_rng,
        )
        operators = Operators(self.system)
        crash_counts = CrashCounts()
        context = FaultContext(self.system, operators, callers, crash_counts)
        watch = asyncio.create_task(operators.watch())
        sender = asyncio.create_task(self._send(callers))
        self.injected = await run_schedule(
            context, self.fault_rng, self.seconds
        )
        await sender
        await self._settle(callers)
        watch.cancel()
        await wait_until(operators.check_record)
        operators.close()
        callers.close()
        self.evidence = Evidence(
            read_audits(self.system),
            {t.name: t.failure_domain for t in self.system.targets.values()},
            callers.records,
            operators.records,
            crash_counts,
        )
        return check(self.evidence)

    async def _send(self, callers: Callers) -> None:
        count = int(self.seconds * REQUESTS_PER_S)
        for number in range(count):
            request = self._choose_request(callers, number)
            self._tasks.append(asyncio.create_task(request))
            gap_s = self.load_rng.expovariate(REQUESTS_PER_S)
            await asyncio.sleep(gap_s)

    def _choose_request(
        self, callers: Callers, number: int
    ) -> Coroutine[Any, Any, None]:
        draw = self.load_rng.random()
        if draw < 0.4:
            return callers.reconcile(number)
        if draw < 0.6:
            return callers.tag(number)
        return callers.credit(number)

    async def _settle(self, callers: Callers) -> None:
        """Wait for the open requests; cancel those that exceed the timeout.

        A cancelled request counts in the figure `open_after_heal`.
        """
        _done, pending = await asyncio.wait(
            self._tasks, timeout=SETTLE_TIMEOUT_S
        )
        for task in pending:
            task.cancel()


def run_chaos(seed: int, seconds: float, keep_logs: bool = False) -> Outcome:
    """Run the benchmark once and return its outcome."""
    chaos = Chaos(seed, seconds)
    try:
        figures = asyncio.run(chaos.run())
    finally:
        chaos.system.close()
        if not keep_logs:
            shutil.rmtree(chaos.system.fleet.folder, ignore_errors=True)
    if keep_logs:
        _write_records(chaos)
    figures['faults'] = len(chaos.injected)
    assert chaos.evidence is not None
    figures.update(refusal_counts(chaos.evidence.callers))
    return Outcome('chaos', seed, figures, bounds())


def _write_records(chaos: Chaos) -> None:
    """Write the injected faults and the callers' records beside the logs."""
    folder = chaos.system.fleet.folder
    assert chaos.evidence is not None
    callers = chaos.evidence.callers
    lines = [*chaos.injected, *map(repr, callers.credits)]
    lines += [repr(record)[-2000:] for record in callers.prompts]
    (folder / 'records.txt').write_text('\n'.join(lines))
    (folder / 'operators.txt').write_text(repr(chaos.evidence.operators))
    (folder / 'tally.txt').write_text(repr(chaos.evidence.crash_counts))
    print(json.dumps({'folder': str(folder)}), file=sys.stderr)


def main(argv: list[str]) -> int:
    """Run the benchmark; return 1 if an invariant was violated."""
    args = cappa.parse(Arguments, argv=argv)
    configure_logs('chaos', 'INFO' if args.log else 'ERROR', sys.stderr)
    outcome = run_chaos(args.seed, args.seconds, args.log)
    return print_outcome(outcome, args.json)
