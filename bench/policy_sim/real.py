"""The real policy: simulated entries and agents that run real decisions."""

import random

from bench.policy_sim.model import SimRequest
from bench.policy_sim.sim_agent import SimAgent
from bench.policy_sim.sim_entry import SimEntry
from bench.policy_sim.simulation import Simulation
from wigeonmill.agent.rollout import limit_share
from wigeonmill.agent.rollout import OrderKind
from wigeonmill.agent.rollout import plan_rollout
from wigeonmill.agent.rollout import RolloutSettings
from wigeonmill.agent.rollout import TargetPhase
from wigeonmill.agent.rollout import TargetReport

ENTRIES = 3
ROLLOUT_EVERY_MS = 250.0


class RealPolicy:
    """Makes every decision with the modules of wigeonmill."""

    name = 'wigeonmill'

    def __init__(self, sim: Simulation) -> None:
        self._sim = sim
        self.agents = {
            name: SimAgent(sim, engine) for name, engine in sim.engines.items()
        }
        for agent in self.agents.values():
            others = self.agents.values()
            agent.peers = [peer for peer in others if peer is not agent]
        self.entries = [
            SimEntry(sim, self.agents, random.Random(number))
            for number in range(ENTRIES)
        ]
        self._phases = dict.fromkeys(self.agents, TargetPhase.SERVING)

    def arrive(self, req: SimRequest) -> None:
        self._sim.rng.choice(self.entries).arrive(req)

    def domain_changed(self, domain: str, in_service: bool) -> None:
        for entry in self.entries:
            entry.domain_changed(domain, in_service)
        for agent in self.agents.values():
            if agent.engine.domain == domain:
                agent.set_in_service(in_service)

    def roll(self, version: str) -> None:
        reports = [self._make_report(agent) for agent in self.agents.values()]
        loading = [n for n, p in self._phases.items() if p.name == 'LOADING']
        settings = RolloutSettings(self._sim.fleet.concurrent_loads)
        plan = plan_rollout(reports, version, frozenset(loading), settings)
        for order in plan.orders:
            agent = self.agents[order.target]
            if order.kind is OrderKind.DRAIN:
                self._phases[order.target] = TargetPhase.DRAINING
                agent.admission.set_draining(True)
                agent.pump()
            elif order.kind is OrderKind.LOAD:
                self._phases[order.target] = TargetPhase.LOADING
                agent.load_version(version)
                load_ms = agent.engine.spec.load_ms
                self._sim.loop.after(load_ms + 1.0, self._on_loaded, agent)
            else:
                self._phases[order.target] = TargetPhase.SERVING
                agent.admission.set_draining(False)
        if not plan.done:
            self._sim.loop.after(ROLLOUT_EVERY_MS, self.roll, version)

    def _on_loaded(self, agent: SimAgent) -> None:
        self._phases[agent.engine.name] = TargetPhase.DRAINING

    def _make_report(self, agent: SimAgent) -> TargetReport:
        name = agent.engine.name
        runs = [peer.admission.running for peer in self.agents.values()]
        return TargetReport(
            name,
            agent.engine.domain,
            agent.engine.version,
            self._phases[name],
            limit_share=limit_share(agent.admission.limit, runs),
            running=agent.admission.running,
        )
