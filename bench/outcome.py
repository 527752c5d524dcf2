"""Results of a benchmark: figures and the bounds that they must meet."""

import sys

import msgspec


class Bound(msgspec.Struct, frozen=True):
    """The goal for one figure: `low` <= figure <= `high`, both in its unit."""

    figure: str
    low: float = float('-inf')
    high: float = float('inf')


class Outcome(msgspec.Struct):
    """The figures and bounds of one benchmark run."""

    name: str
    seed: int
    figures: dict[str, float]
    bounds: list[Bound]

    def missed(self) -> list[Bound]:
        """Return the bounds that the figures do not meet."""
        return [bound for bound in self.bounds if not self._is_met(bound)]

    def _is_met(self, bound: Bound) -> bool:
        value = self.figures.get(bound.figure)
        return value is not None and bound.low <= value <= bound.high


class _Report(msgspec.Struct):
    name: str
    seed: int
    figures: dict[str, float]
    bounds: dict[str, tuple[float | None, float | None]]
    missed: list[str]
    ok: bool


def print_outcome(outcome: Outcome, as_json: bool) -> int:
    """Print an outcome as JSON or as a table; return the exit code.

    Missed bounds go to stderr; the exit code is 1 if there are any.
    """
    missed = outcome.missed()
    if as_json:
        print(msgspec.json.encode(_report(outcome, missed)).decode())
    else:
        _print_table(outcome)
    for bound in missed:
        value = outcome.figures.get(bound.figure)
        print(
            f'{outcome.name}: {bound.figure} is {value}, goal '
            f'{bound.low} to {bound.high}',
            file=sys.stderr,
        )
    return 1 if missed else 0


def _report(outcome: Outcome, missed: list[Bound]) -> _Report:
    bounds = {
        b.figure: (_finite(b.low), _finite(b.high)) for b in outcome.bounds
    }
    names = [bound.figure for bound in missed]
    return _Report(
        outcome.name, outcome.seed, outcome.figures, bounds, names, not missed
    )


def _finite(value: float) -> float | None:
    return None if value in (float('inf'), float('-inf')) else value


def _print_table(outcome: Outcome) -> None:
    width = max((len(name) for name in outcome.figures), default=0)
    for name, value in outcome.figures.items():
        print(f'{name:<{width}}  {value:.4g}')
