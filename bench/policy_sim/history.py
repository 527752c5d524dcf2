"""One line for each round of work on the policy."""

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
    """A round with the real policy's key figures by scene."""

    change: str
    seed: int
    missed: int
    bounds: int
    figures: dict[str, float]


def append_round(change: str, outcome: Outcome) -> None:
    """Add a line for a round."""
    figures = {
        name: round(value, 4)
        for name, value in outcome.figures.items()
        if name.endswith(_KEY_FIGURES)
    }
    entry = Round(
        change,
        outcome.seed,
        len(outcome.missed()),
        len(outcome.bounds),
        figures,
    )
    with HISTORY.open('ab') as out:
        out.write(msgspec.json.encode(entry) + b'\n')


def read_rounds() -> list[Round]:
    """Return all rounds, the first one first."""
    lines = HISTORY.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=Round) for line in lines]
