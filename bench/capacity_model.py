"""Recorded measurements and linear estimates for other fleet sizes."""

from dataclasses import dataclass
from pathlib import Path
import statistics
from typing import Any

import msgspec

RECORDS = Path(__file__).parent / 'records'

# The size and load of the fleet that the two-year target names.
ENTRIES = 420
AGENTS = 600
MEMBERS = ENTRIES + AGENTS
TEAMS = 4_900
DOMAINS = 6
CHANGES_PER_DAY = 1_600.0
RESTARTS_PER_DAY = 170.0
FAILURES_PER_DAY = 15.0
REQUESTS_PER_S = 2_800.0
TOKENS_PER_S = 820_000.0
RETURNING_PROMPTS = 1_600_000
DAY_S = 86_400.0


class ControlRecord(msgspec.Struct):
    """The figures of one fleet measured by `bench control`."""

    date: str
    processes: int
    teams: int
    scenes: list[str]
    figures: dict[str, float]


class StateRecord(msgspec.Struct):
    """The figures of one run of `bench state`."""

    date: str
    members: int
    teams: int
    figures: dict[str, float]


class PathRecord(msgspec.Struct):
    """The figures of one run of `bench path --json`."""

    figures: dict[str, float]


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line fitted to measured points."""

    base: float
    slope: float

    def at(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.base + self.slope * x

    def solve_for(self, limit: float) -> float:
        """Return the x at which the line reaches `limit`.

        The result is infinite if the line does not rise.
        """
        if self.slope <= 0:
            return float('inf')
        return (limit - self.base) / self.slope


class Measurements:
    """The recorded measurements in one folder."""

    def __init__(self, folder: Path = RECORDS) -> None:
        self.control = _read_records(folder / 'control.jsonl', ControlRecord)
        self.state = _read_records(folder / 'state.jsonl', StateRecord)
        self.path = _read_records(folder / 'path.jsonl', PathRecord)

    def by_processes(self, figure: str) -> Line:
        """Fit a figure of `bench control` to the number of processes."""
        teams = min(record.teams for record in self.control)
        points = {
            record.processes: record.figures[figure]
            for record in self.control
            if record.teams == teams and figure in record.figures
        }
        return _fit_line(points)

    def by_teams(self, figure: str) -> Line:
        """Fit a figure of `bench control` to the number of teams."""
        sizes: dict[int, dict[int, float]] = {}
        for record in self.control:
            if figure in record.figures:
                points = sizes.setdefault(record.processes, {})
                points[record.teams] = record.figures[figure]
        return _fit_line(max(sizes.values(), key=len))

    def estimate(self, figure: str) -> float:
        """Estimate a figure of `bench control` at the two-year target.

        The estimate is the value of the line over processes, plus the
        increase that the line over teams gives for the additional teams.
        """
        teams = self.by_teams(figure)
        fewest = min(record.teams for record in self.control)
        increase = teams.at(TEAMS) - teams.at(fewest)
        return self.by_processes(figure).at(MEMBERS) + max(increase, 0.0)

    def worst(self, figure: str) -> float:
        """Return the highest value of a figure among all recorded fleets."""
        return max(
            record.figures[figure]
            for record in self.control
            if figure in record.figures
        )

    def full_state(self, figure: str) -> float:
        """Return a figure of `bench state` at the two-year target."""
        found = [
            record.figures[figure]
            for record in self.state
            if record.members == MEMBERS and record.teams == TEAMS
        ]
        return found[-1]

    def state_by_teams(self, figure: str) -> Line:
        """Fit a figure of `bench state` to the number of teams."""
        return _fit_line({r.teams: r.figures[figure] for r in self.state})

    def state_by_members(self, figure: str) -> Line:
        """Fit a figure of `bench state` to the number of members."""
        return _fit_line({r.members: r.figures[figure] for r in self.state})

    def path_figure(self, figure: str) -> float:
        """Return a figure of the latest run of `bench path`."""
        return self.path[-1].figures[figure]


def _read_records(path: Path, record_type: Any) -> list[Any]:
    lines = path.read_bytes().splitlines()
    return [
        msgspec.json.decode(line, type=record_type) for line in lines if line
    ]


def _fit_line(points: dict[int, float]) -> Line:
    if len(points) < 2:
        return Line(next(iter(points.values())), 0.0)
    fitted = statistics.linear_regression(list(points), list(points.values()))
    return Line(fitted.intercept, fitted.slope)
