"""Runs policies in scenes and computes the figures."""

from collections.abc import Callable
from dataclasses import dataclass
import random

from bench.policy_sim.baselines import BASELINES
from bench.policy_sim.oracle import Oracle
from bench.policy_sim.policy import Policy
from bench.policy_sim.real import RealPolicy
from bench.policy_sim.scenes import DRAIN_AT_MS
from bench.policy_sim.scenes import DURATION_S
from bench.policy_sim.scenes import FLOOD_FROM_S
from bench.policy_sim.scenes import make_trace
from bench.policy_sim.scenes import Scene
from bench.policy_sim.scenes import WARMUP_S
from bench.policy_sim.simulation import Simulation
from bench.policy_sim.stats import percentile
from bench.policy_sim.stats import PERCENTILES
from bench.policy_sim.stats import RequestRecord
from bench.policy_sim.stats import share_within
from bench.policy_sim.workloads import Workload

TTFT_GOAL_MS = 1300.0
# `within_goal_after_leave` counts the requests that arrive at least this long
# after a domain was taken out of service.
SETTLE_AFTER_LEAVE_MS = 5000.0
# The run goes on this long after the last arrival, so that requests end.
DRAIN_MS = 20_000.0

MakePolicy = Callable[[Simulation], Policy]


@dataclass(slots=True)
class SceneRun:
    """The run of one policy in one scene of a workload."""

    workload: Workload
    scene: Scene
    policy: str
    sim: Simulation

    def figures(self) -> dict[str, float]:
        """Return the figures of the run by name."""
        stats = self.sim.stats
        found: dict[str, float] = {}
        for name, chosen in self._groups().items():
            waits = stats.waits(chosen)
            for percent in PERCENTILES:
                found[f'ttft_p{percent}_ms.{name}'] = percentile(
                    waits, percent
                )
        found['recomputed_share'] = stats.recomputed_share()
        found['link_peak_share'] = self._link_peak_share()
        found['within_goal_share'] = self._within_goal(0.0)
        if self.scene.name == 'domain_leaves':
            from_ms = DRAIN_AT_MS + SETTLE_AFTER_LEAVE_MS
            found['within_goal_after_leave'] = self._within_goal(from_ms)
        found['goodput_rps'] = self._goodput()
        if self.scene.name == 'weights_roll':
            found['rolled_share'] = self._rolled_share()
        found['imported_blocks'] = stats.imported_blocks
        found['exported_blocks'] = stats.exported_blocks
        found.update(self._counters())
        return found

    def _is_counted(self, record: RequestRecord) -> bool:
        req = record.request
        return self.sim.is_measured(req) and not self.scene.is_excluded(req)

    def _groups(self) -> dict[str, Callable[[RequestRecord], bool]]:
        counted = self._is_counted
        kinds = self.workload.kinds + self.workload.returns
        groups: dict[str, Callable[[RequestRecord], bool]] = {
            'all': counted,
            'large': lambda r: counted(r) and r.request.team.large,
            'small': lambda r: counted(r) and not r.request.team.large,
        }
        groups['small_late'] = lambda r: (
            groups['small'](r)
            and r.request.arrival_ms >= FLOOD_FROM_S * 1000.0
        )
        for kind in kinds:
            groups[kind.name] = _of_kind(counted, kind.name)
        return groups

    def _within_goal(self, from_ms: float) -> float:
        waits = self.sim.stats.waits(
            lambda r: self._is_counted(r) and r.request.arrival_ms >= from_ms
        )
        return share_within(waits, TTFT_GOAL_MS)

    def _goodput(self) -> float:
        good = [
            record
            for record in self.sim.stats.records.values()
            if record.finished and self.sim.is_measured(record.request)
        ]
        return len(good) / (DURATION_S - WARMUP_S)

    def _rolled_share(self) -> float:
        engines = self.sim.engines.values()
        return sum(e.version == 'v2' for e in engines) / len(engines)

    def _link_peak_share(self) -> float:
        budget = self.workload.fleet.store.budget_bytes_per_s
        links = self.sim.links.values()
        return max(link.peak_bytes_per_second() for link in links) / budget

    def _counters(self) -> dict[str, float]:
        stats = self.sim.stats
        engines = self.sim.engines.values()
        overloads = sum(engine.counts.cold_overloads for engine in engines)
        found: dict[str, float] = {'violations.cold_overload': overloads}
        for name, counter in (
            ('violations', stats.violations),
            ('refusals', stats.refusals),
            ('retries', stats.retries),
            ('denied_retries', stats.denials),
        ):
            for reason, count in sorted(counter.items()):
                found[f'{name}.{reason}'] = count
        return found


def _of_kind(
    counted: Callable[[RequestRecord], bool], kind: str
) -> Callable[[RequestRecord], bool]:
    return lambda r: counted(r) and r.request.kind == kind


def run_scene(
    workload: Workload, scene: Scene, make_policy: MakePolicy, seed: int
) -> SceneRun:
    """Run one policy in one scene; the same seed gives the same run."""
    name = f'{seed}:{workload.name}'
    requests = make_trace(workload, scene, random.Random(name))
    sim = Simulation(workload.fleet, requests, name)
    sim.measured_from_ms = WARMUP_S * 1000.0
    policy = make_policy(sim)
    scene.faults(sim, policy)
    for req in requests:
        sim.stats.record(req)
        sim.loop.at(req.arrival_ms, policy.arrive, req)
    sim.loop.run(DURATION_S * 1000.0 + DRAIN_MS)
    return SceneRun(workload, scene, policy.name, sim)


def policies() -> tuple[MakePolicy, ...]:
    """Return factories of the real policy, the baselines and the oracle."""
    return (RealPolicy, *BASELINES, Oracle)
