"""The scenes of the policy benchmark: traces and injected faults."""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import replace
import random

from bench.policy_sim.model import SimRequest
from bench.policy_sim.model import SimTeam
from bench.policy_sim.policy import Policy
from bench.policy_sim.simulation import Simulation
from bench.policy_sim.workloads import DEADLINE_MS
from bench.policy_sim.workloads import Phase
from bench.policy_sim.workloads import TraceMaker
from bench.policy_sim.workloads import Workload

WARMUP_S = 25.0
# The fleet starts cold, so the load begins at a part of the first phase's.
RAMP_S = 12.0
RAMP_SHARE = 0.4
DURATION_S = 85.0
# Time that a change of the configuration takes to reach every process.
CONFIG_LAG_MS = 1000.0
# Time from the drain of a domain to the shutdown of its engines and VMs.
NOTICE_MS = 15_000.0
DRAIN_AT_MS = 35_000.0
RESTORE_AT_MS = 60_000.0
COLD_AT_MS = (35_000.0, 60_000.0)
ROLL_FROM_MS = 27_000.0
FLOOD_FROM_S = 35.0
FLOOD_FACTOR = 10.0
CRASH_FROM_MS = 35_000.0
CRASH_EVERY_MS = 1500.0
CRASH_RESENDS = 20
VM_FAILS_AT_MS = 40_000.0
VM_RECOVERS_AT_MS = 65_000.0

Faults = Callable[[Simulation, Policy], None]


@dataclass(slots=True, frozen=True)
class Scene:
    """A trace and the faults injected into it.

    `load_scale` scales the load to the capacity that stays in service. The
    requests of the team `flooding`, which exceeds its share, and requests
    that crash engines do not count in the times to first token.
    """

    name: str
    faults: Faults
    load_scale: float = 1.0
    phases: tuple[Phase, ...] = ()
    flooding: str = ''
    crashing: bool = False

    def is_excluded(self, req: SimRequest) -> bool:
        """Return whether the times to first token omit a request."""
        return req.crashes or req.team.name == self.flooding


def make_trace(
    workload: Workload, scene: Scene, rng: random.Random
) -> list[SimRequest]:
    """Return the scene's requests, ordered by arrival."""
    phases = _add_ramp(scene.phases or workload.phases)
    maker = TraceMaker(workload, rng)
    requests = maker.make(phases, DURATION_S, scene.load_scale)
    if scene.flooding:
        requests += _flood_requests(workload, scene, maker, phases)
    if scene.crashing:
        requests += _crashing_requests(workload, maker, phases)
    return sorted(requests, key=lambda req: (req.arrival_ms, req.id))


def _add_ramp(phases: Sequence[Phase]) -> tuple[Phase, ...]:
    first = phases[0]
    low = replace(first, load=first.load * RAMP_SHARE)
    return (low, replace(first, from_s=RAMP_S), *phases[1:])


def _flood_requests(
    workload: Workload,
    scene: Scene,
    maker: TraceMaker,
    phases: Sequence[Phase],
) -> list[SimRequest]:
    team = _team(workload, scene.flooding)
    share = team.share * (FLOOD_FACTOR - 1.0)
    extra = maker.make(phases, DURATION_S, share, [team])
    return [r for r in extra if r.arrival_ms >= FLOOD_FROM_S * 1000.0]


def _crashing_requests(
    workload: Workload, maker: TraceMaker, phases: Sequence[Phase]
) -> list[SimRequest]:
    pool = maker.make(phases, DURATION_S, 0.2)
    first = next(req for req in pool if not req.priority)
    return [
        replace(
            first,
            id=first.id if not number else 1_000_000 + number,
            arrival_ms=CRASH_FROM_MS + number * CRASH_EVERY_MS,
            deadline_ms=CRASH_FROM_MS + number * CRASH_EVERY_MS + DEADLINE_MS,
            crashes=True,
            resend_of=first.id,
        )
        for number in range(CRASH_RESENDS)
    ]


def _team(workload: Workload, name: str) -> SimTeam:
    return next(team for team in workload.teams if team.name == name)


def _no_faults(sim: Simulation, policy: Policy) -> None:
    pass


def _slow_link(sim: Simulation, policy: Policy) -> None:
    for link in sim.links.values():
        link.bytes_per_s *= 0.1


def _store_vm_dies(sim: Simulation, policy: Policy) -> None:
    vm = sim.vms[0]
    sim.loop.at(VM_FAILS_AT_MS, vm.fail)
    sim.loop.at(VM_RECOVERS_AT_MS, vm.recover)


def _engine_turns_cold(sim: Simulation, policy: Policy) -> None:
    engines = list(sim.engines.values())
    for at_ms, engine in zip(COLD_AT_MS, engines):
        sim.loop.at(at_ms, engine.restart, 500.0)


def _domain_leaves(sim: Simulation, policy: Policy) -> None:
    domain = sim.fleet.domains[0]
    sim.loop.at(DRAIN_AT_MS, _change_domain, sim, policy, domain, False)
    sim.loop.at(DRAIN_AT_MS + NOTICE_MS, _shut_down_domain, sim, domain)
    sim.loop.at(RESTORE_AT_MS, _change_domain, sim, policy, domain, True)


def _change_domain(
    sim: Simulation, policy: Policy, domain: str, in_service: bool
) -> None:
    if in_service:
        sim.drained_since.pop(domain, None)
        for vm in sim.vms:
            if vm.domain == domain:
                vm.recover()
    else:
        sim.drained_since[domain] = sim.now_ms()
    sim.loop.after(CONFIG_LAG_MS, policy.domain_changed, domain, in_service)


def _shut_down_domain(sim: Simulation, domain: str) -> None:
    for vm in sim.vms:
        if vm.domain == domain:
            vm.fail()
    for engine in sim.engines.values():
        if engine.domain == domain:
            if engine.active:
                sim.stats.violations['runs_cut_off'] += engine.active
            engine.restart(RESTORE_AT_MS - DRAIN_AT_MS - NOTICE_MS)


def _weights_roll(sim: Simulation, policy: Policy) -> None:
    sim.loop.at(ROLL_FROM_MS, policy.roll, 'v2')


def _return_phases(load: float) -> tuple[Phase, ...]:
    return (
        Phase(0.0, load, documents=(0.0, 0.4)),
        Phase(25.0, load, documents=(0.4, 1.0)),
        Phase(55.0, load, documents=(0.0, 0.4)),
    )


SCENES = (
    Scene('steady', _no_faults),
    Scene('return', _no_faults, phases=_return_phases(0.8)),
    Scene('slow_link', _slow_link),
    Scene('store_vm_dies', _store_vm_dies),
    Scene('turns_cold', _engine_turns_cold),
    Scene('domain_leaves', _domain_leaves, load_scale=2.0 / 3.0),
    Scene('weights_roll', _weights_roll),
    Scene('team_floods', _no_faults, flooding='large-0'),
    Scene('crashing_request', _no_faults, crashing=True),
)
