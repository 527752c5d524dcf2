"""Recorded measurements, their slopes, and estimates at another size."""

from dataclasses import dataclass
from pathlib import Path
import statistics
from typing import Any

import msgspec

RECORDS = Path(__file__).parent / 'records'

# The two-year target.
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
    """One fleet that `bench control` measured."""

    date: str
    processes: int
    teams: int
    scenes: list[str]
    figures: dict[str, float]


class StateRecord(msgspec.Struct):
    """One run of `bench state`."""

    date: str
    members: int
    teams: int
    figures: dict[str, float]


class PathRecord(msgspec.Struct):
    """One run of `bench path --json`."""

    figures: dict[str, float]


@dataclass(frozen=True, slots=True)
class Line:
    """A straight line through measured points."""

    base: float
    slope: float

    def at(self, x: float) -> float:
        """Return the line's value at `x`."""
        return self.base + self.slope * x

    def reaches(self, limit: float) -> float:
        """Return where the line reaches `limit`; infinite if never."""
        if self.slope <= 0:
            return float('inf')
        return (limit - self.base) / self.slope


class Measurements:
    """All records of one folder."""

    def __init__(self, folder: Path = RECORDS) -> None:
        self.control = _read(folder / 'control.jsonl', ControlRecord)
        self.state = _read(folder / 'state.jsonl', StateRecord)
        self.path = _read(folder / 'path.jsonl', PathRecord)

    def by_processes(self, figure: str) -> Line:
        """Return a figure of `bench control` over the number of processes."""
        teams = min(record.teams for record in self.control)
        points = {
            record.processes: record.figures[figure]
            for record in self.control
            if record.teams == teams and figure in record.figures
        }
        return _fit(points)

    def by_teams(self, figure: str) -> Line:
        """Return a figure of `bench control` over the number of teams."""
        sizes: dict[int, dict[int, float]] = {}
        for record in self.control:
            if figure in record.figures:
                points = sizes.setdefault(record.processes, {})
                points[record.teams] = record.figures[figure]
        return _fit(max(sizes.values(), key=len))

    def estimate(self, figure: str) -> float:
        """Return a figure of `bench control` at the two-year target.

        The line over processes, plus what the teams add on their own line.
        """
        teams = self.by_teams(figure)
        least = min(record.teams for record in self.control)
        grown = teams.at(TEAMS) - teams.at(least)
        return self.by_processes(figure).at(MEMBERS) + max(grown, 0.0)

    def worst(self, figure: str) -> float:
        """Return the highest value of a figure over all recorded fleets."""
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
        """Return a figure of `bench state` over the number of teams."""
        return _fit({r.teams: r.figures[figure] for r in self.state})

    def state_by_members(self, figure: str) -> Line:
        """Return a figure of `bench state` over the number of members."""
        return _fit({r.members: r.figures[figure] for r in self.state})

    def path_figure(self, figure: str) -> float:
        """Return a figure of the latest `bench path`."""
        return self.path[-1].figures[figure]


def _read(path: Path, kind: Any) -> list[Any]:
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=kind) for line in lines if line]


def _fit(points: dict[int, float]) -> Line:
    if len(points) < 2:
        return Line(next(iter(points.values())), 0.0)
    fitted = statistics.linear_regression(list(points), list(points.values()))
    return Line(fitted.intercept, fitted.slope)
