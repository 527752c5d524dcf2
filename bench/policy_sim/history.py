"""The history of the benchmark, one line for each change of the policy."""

from pathlib import Path

import msgspec

from bench.outcome import Outcome
from bench.policy_sim.comparison import REAL

HISTORY = Path(__file__).parent.parent / 'history.jsonl'
_KEY_FIGURES = (
    f'{REAL}.ttft_p95_ms.all',
    f'{REAL}.recomputed_share',
    f'{REAL}.within_goal_share',
    'recomputed_by_oracle',
    'p95_by_baseline',
    'violations',
)


class Round(msgspec.Struct):
    """One round with the key figures of the real policy by scene."""

    change: str
    seed: int
    missed: int
    bounds: int
    figures: dict[str, float]


def append_round(change: str, outcome: Outcome) -> None:
    """Append a round to the history."""
    figures = {
        name: round(value, 4)
        for name, value in outcome.figures.items()
        if name.endswith(_KEY_FIGURES)
    }
    row = Round(
        change,
        outcome.seed,
        len(outcome.missed()),
        len(outcome.bounds),
        figures,
    )
    with HISTORY.open('ab') as out:
        out.write(msgspec.json.encode(row) + b'\n')


def read_rounds() -> list[Round]:
    """Return all rounds, the oldest first."""
    lines = HISTORY.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Round) for line in lines]
