"""Measures the time and the state that one routing decision takes.

python -m bench decide [--json]

A decision picks candidates for a prompt, chooses among one offer of each and
consults the retry budget once.
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
# The time may grow with the candidates, but not with the targets.
MAX_GROWTH_IN_TARGETS = 1.5


@dataclass
class DecideArgs:
    """Measure the cost of a routing decision."""

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
        """Make the routing decisions of one request; return the target."""
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


def make_prompts(teams: int, rng: random.Random) -> list[list[bytes]]:
    """Return the block keys of a few prompts of every team."""
    return [
        [rng.randbytes(16) for _block in range(4)]
        for _prompt in range(teams * PROMPTS_PER_TEAM)
    ]


def measure_case(
    targets: int, teams: int, count: int, seed: int
) -> tuple[float, float]:
    """Return the microseconds per decision and the bytes of routing state.

    The time is the best of three rounds.
    """
    prompts = make_prompts(teams, random.Random(seed))
    rng = random.Random(seed)
    tracemalloc.start()
    before, _peak = tracemalloc.get_traced_memory()
    decider = Decider(targets, count, seed)
    for keys in prompts:
        decider.decide(keys)
    after, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    sample = rng.choices(prompts, k=DECISIONS)
    best_us = float('inf')
    for _round in range(3):
        started = time.perf_counter()
        for keys in sample:
            decider.decide(keys)
        elapsed_us = (time.perf_counter() - started) * 1e6 / DECISIONS
        best_us = min(best_us, elapsed_us)
    return best_us, float(after - before)


def measure(seed: int) -> Outcome:
    """Measure all fleet sizes and numbers of candidates."""
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
        growth = figures[f'targets_{many}.teams_{teams}.us'] / base
        figures[f'growth_in_targets.teams_{teams}'] = growth
        bounds.append(
            Bound(
                f'growth_in_targets.teams_{teams}', high=MAX_GROWTH_IN_TARGETS
            )
        )
    fewest, most = CANDIDATES[0], CANDIDATES[-1]
    by_fewest = figures[f'candidates_{fewest}.us']
    figures['growth_in_candidates'] = (
        figures[f'candidates_{most}.us'] / by_fewest / (most / fewest)
    )
    bounds.append(Bound('growth_in_candidates', high=1.0))
    return Outcome('decide', seed, figures, bounds)


def main(argv: list[str]) -> int:
    """Run the benchmark; return its exit code."""
    args = cappa.parse(DecideArgs, argv=argv)
    return print_outcome(measure(args.seed), args.json)
