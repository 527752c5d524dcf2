"""Compares the real policy's figures with the goals and other policies."""

from collections.abc import Sequence
from dataclasses import dataclass

from bench.outcome import Bound
from bench.policy_sim.runner import TTFT_GOAL_MS

REAL = 'wigeonmill'
ORACLE = 'oracle'
RECOMPUTED_BY_ORACLE = 1.25
WITHIN_GOAL_SHARE = 0.95
SMALL_TEAMS_FACTOR = 1.10
# Means "below 1"; the upper end of a bound is inclusive.
BELOW = 1.0 - 1e-9


@dataclass(slots=True, frozen=True)
class SceneFigures:
    """The figures of every policy in one scene, by policy and name."""

    workload: str
    scene: str
    figures: dict[str, dict[str, float]]

    @property
    def prefix(self) -> str:
        """The prefix of the names of the scene's figures."""
        return f'{self.workload}.{self.scene}'

    @property
    def real(self) -> dict[str, float]:
        """The figures of the real policy."""
        return self.figures[REAL]

    def flat(self) -> dict[str, float]:
        """Return all figures by their full names."""
        return {
            f'{self.prefix}.{policy}.{name}': value
            for policy, found in self.figures.items()
            for name, value in found.items()
        }

    def best_baseline(self, name: str) -> float:
        """Return the lowest value of a figure among the baselines."""
        return min(
            found[name]
            for policy, found in self.figures.items()
            if policy not in (REAL, ORACLE)
        )


def compare(
    result: SceneFigures, results: Sequence[SceneFigures]
) -> dict[str, float]:
    """Return the ratios of the real policy's figures to those of others."""
    prefix = result.prefix
    real = result.real
    share = real['recomputed_share']
    oracle = result.figures[ORACLE]['recomputed_share']
    best_share = result.best_baseline('recomputed_share')
    best_p95 = result.best_baseline('ttft_p95_ms.all')
    found = {
        f'{prefix}.recomputed_by_oracle': _ratio(share, oracle),
        f'{prefix}.recomputed_by_baseline': _ratio(share, best_share),
        f'{prefix}.p95_by_baseline': real['ttft_p95_ms.all'] / best_p95,
        f'{prefix}.violations': _count_violations(real),
    }
    steady = _steady_scene(result, results)
    if steady is not None:
        steady_p95 = steady.real['ttft_p95_ms.small_late']
        flood_p95 = real['ttft_p95_ms.small_late']
        found[f'{prefix}.small_teams_by_steady'] = flood_p95 / steady_p95
    return found


def bounds_of(
    result: SceneFigures, results: Sequence[SceneFigures]
) -> list[Bound]:
    """Return the bounds for one scene."""
    prefix = result.prefix
    real = f'{prefix}.{REAL}'
    bounds = [
        Bound(f'{real}.ttft_p95_ms.all', high=TTFT_GOAL_MS),
        Bound(f'{prefix}.recomputed_by_oracle', high=RECOMPUTED_BY_ORACLE),
        Bound(f'{prefix}.recomputed_by_baseline', high=BELOW),
        Bound(f'{prefix}.p95_by_baseline', high=BELOW),
        Bound(f'{real}.link_peak_share', high=1.0),
        Bound(f'{prefix}.violations', high=0.0),
    ]
    if result.scene == 'domain_leaves':
        name = f'{real}.within_goal_after_leave'
        bounds.append(Bound(name, low=WITHIN_GOAL_SHARE))
    if _steady_scene(result, results) is not None:
        name = f'{prefix}.small_teams_by_steady'
        bounds.append(Bound(name, high=SMALL_TEAMS_FACTOR))
    return bounds


def _steady_scene(
    result: SceneFigures, results: Sequence[SceneFigures]
) -> SceneFigures | None:
    if result.scene != 'team_floods':
        return None
    for other in results:
        if (other.workload, other.scene) == (result.workload, 'steady'):
            return other
    return None


def _count_violations(figures: dict[str, float]) -> float:
    return sum(
        value
        for name, value in figures.items()
        if name.startswith('violations.')
    )


def _ratio(value: float, base: float) -> float:
    if base > 0.0:
        return value / base
    return 0.0 if value == 0.0 else float('inf')
