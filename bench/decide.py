"""Measures what one routing decision costs and how much state it needs.

python -m bench decide [--json]

A decision picks candidates for a prompt, chooses among as many offers and
asks the retry budget once.
"""

from dataclasses import dataclass
import random
import time
import tracemalloc
from typing import Annotated

import cappa

from bench.outcome import Bound
from bench.outcome import Outcome
from bench.outcome import print_outcome
from wigeonmill.clock import ManualClock
from wigeonmill.routing.candidates import CandidatePicker
from wigeonmill.routing.candidates import RoutableTarget
from wigeonmill.routing.circuit import CircuitBreakers
from wigeonmill.routing.offers import choose_offer
from wigeonmill.routing.offers import TargetOffer
from wigeonmill.routing.retries import Attempts
from wigeonmill.routing.retries import may_retry
from wigeonmill.routing.retries import RetryBudget
from wigeonmill.routing.retries import RetryReason

TARGETS = (20, 200, 600)
TEAMS = (10, 500, 4900)
CANDIDATES = (2, 3, 4, 8)
DOMAINS = 6
DECISIONS = 4000
PROMPTS_PER_TEAM = 2
# The goal is growth in candidates, not in targets.
FLAT_FACTOR = 1.5


@dataclass
class DecideArgs:
    """Measure what a routing decision costs."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    json: Annotated[bool, cappa.Arg(long=True)] = False


class Decider:
    """The routing state of one entry for one service."""

    def __init__(self, targets: int, count: int, seed: int) -> None:
        rng = random.Random(seed)
        self._clock = ManualClock()
        table = [
            RoutableTarget(f'engine-{i}', f'domain-{i % DOMAINS}')
            for i in range(targets)
        ]
        self.picker = CandidatePicker(table, rng, count)
        self.breakers = CircuitBreakers(self._clock, rng)
        self.budget = RetryBudget()

    def decide(self, keys: list[bytes]) -> str:
        """Make the decisions of one request; returns the target."""
        names = self.picker.pick(keys, (), self.breakers.blocked)
        offers = [
            TargetOffer(name, 8192, 1024 * (len(name) % 4), 0, 10.0, 500.0)
            for name in names
        ]
        best = choose_offer(offers).unwrap()
        attempts = Attempts(1000.0, idempotent=True, attempts=4)
        may_retry(RetryReason.REFUSED, attempts, self.budget, self._clock)
        self.breakers.record_success(best.target)
        self.budget.record_success()
        return best.target


def prompts(teams: int, rng: random.Random) -> list[list[bytes]]:
    """Return the block keys of a few prompts of every team."""
    return [
        [rng.randbytes(16) for _block in range(4)]
        for _prompt in range(teams * PROMPTS_PER_TEAM)
    ]


def measure_case(
    targets: int, teams: int, count: int, seed: int
) -> tuple[float, float]:
    """Return microseconds per decision and bytes of routing state."""
    chain = prompts(teams, random.Random(seed))
    rng = random.Random(seed)
    tracemalloc.start()
    before, _peak = tracemalloc.get_traced_memory()
    decider = Decider(targets, count, seed)
    for keys in chain:
        decider.decide(keys)
    after, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    asked = rng.choices(chain, k=DECISIONS)
    best_us = float('inf')
    for _turn in range(3):
        began = time.perf_counter()
        for keys in asked:
            decider.decide(keys)
        took_us = (time.perf_counter() - began) * 1e6 / DECISIONS
        best_us = min(best_us, took_us)
    return best_us, float(after - before)


def measure(seed: int) -> Outcome:
    """Measure all sizes."""
    figures: dict[str, float] = {}
    for targets in TARGETS:
        for teams in TEAMS:
            micros, size = measure_case(targets, teams, 3, seed)
            figures[f'targets_{targets}.teams_{teams}.us'] = micros
            figures[f'targets_{targets}.teams_{teams}.state_bytes'] = size
    for count in CANDIDATES:
        micros, _size = measure_case(TARGETS[-1], TEAMS[0], count, seed)
        figures[f'candidates_{count}.us'] = micros
    few, many = TARGETS[0], TARGETS[-1]
    bounds = []
    for teams in TEAMS:
        base = figures[f'targets_{few}.teams_{teams}.us']
        grown = figures[f'targets_{many}.teams_{teams}.us'] / base
        figures[f'growth_in_targets.teams_{teams}'] = grown
        bounds.append(
            Bound(f'growth_in_targets.teams_{teams}', high=FLAT_FACTOR)
        )
    least, most = CANDIDATES[0], CANDIDATES[-1]
    by_two = figures[f'candidates_{least}.us']
    figures['growth_in_candidates'] = (
        figures[f'candidates_{most}.us'] / by_two / (most / least)
    )
    bounds.append(Bound('growth_in_candidates', high=1.0))
    return Outcome('decide', seed, figures, bounds)


def main(argv: list[str]) -> int:
    """Run the benchmark; returns its exit code."""
    args = cappa.parse(DecideArgs, argv=argv)
    return print_outcome(measure(args.seed), args.json)
