"""Simple policies that the real policy is compared with."""

from collections.abc import Sequence
import functools
import itertools
import random

from bench.policy_sim.engine import EngineRun
from bench.policy_sim.engine import FakeEngine
from bench.policy_sim.engine import RunEnd
from bench.policy_sim.model import SimRequest
from bench.policy_sim.simulation import Simulation
from wigeonmill.routing.candidates import routing_keys
from wigeonmill.routing.rendezvous import RendezvousRing
from wigeonmill.routing.rendezvous import WeightedTarget

REPORT_EVERY_MS = 250.0
REPORT_LAG_MS = 500.0
HEALTH_LAG_MS = 1000.0
ROLL_LAG_MS = 1000.0
ROLL_EVERY_MS = 6000.0
MAX_ATTEMPTS = 3


class Baseline:
    """Sends each request to an engine at once and retries lost requests."""

    name = ''

    def __init__(self, sim: Simulation) -> None:
        self.sim = sim
        self.usable = dict(sim.engines)
        self._drained: set[str] = set()
        self._loading: set[str] = set()
        sim.loop.after(HEALTH_LAG_MS, self._check_health)

    def arrive(self, req: SimRequest) -> None:
        self._attempt(req, 1)

    def domain_changed(self, domain: str, in_service: bool) -> None:
        (self._drained.discard if in_service else self._drained.add)(domain)
        self._refresh()

    def roll(self, version: str) -> None:
        for number, engine in enumerate(self.sim.engines.values()):
            at_ms = number * ROLL_EVERY_MS
            self.sim.loop.after(at_ms, self._roll_one, engine, version)

    def _roll_one(self, engine: FakeEngine, version: str) -> None:
        self._loading.add(engine.name)
        self._refresh()
        loop = self.sim.loop
        load_ms = engine.spec.load_ms
        loop.after(ROLL_LAG_MS, engine.load_version, version, load_ms)
        loop.after(ROLL_LAG_MS + load_ms, self._on_loaded, engine)

    def choose(self, req: SimRequest) -> FakeEngine | None:
        """Return the engine for a request."""
        raise NotImplementedError

    def on_usable_changed(self) -> None:
        """Handle a change of the usable engines."""

    def _on_loaded(self, engine: FakeEngine) -> None:
        self._loading.discard(engine.name)
        self._refresh()

    def _check_health(self) -> None:
        self._refresh()
        self.sim.loop.after(HEALTH_LAG_MS, self._check_health)

    def _refresh(self) -> None:
        usable = {
            name: engine
            for name, engine in self.sim.engines.items()
            if engine.up
            and engine.domain not in self._drained
            and name not in self._loading
        }
        if usable.keys() != self.usable.keys():
            self.usable = usable
            self.on_usable_changed()

    def _attempt(self, req: SimRequest, attempt: int) -> None:
        sim = self.sim
        if sim.now_ms() >= req.deadline_ms:
            sim.stats.refuse(req, 'deadline')
            return
        engine = self.choose(req)
        if engine is None:
            sim.stats.refuse(req, 'no_target')
            return
        ended = functools.partial(self._on_end, attempt=attempt)
        keys = req.keys(engine.version)
        run = sim.submit(engine, req, keys, self._on_first_token, ended)
        if run is None:
            self._retry(req, attempt, 'unreachable')
            return
        sim.loop.at(req.deadline_ms, self._give_up, engine, run)

    def _give_up(self, engine: FakeEngine, run: EngineRun) -> None:
        if run.first_token_ms is None:
            engine.cancel(run)

    def _on_first_token(self, run: EngineRun) -> None:
        self.sim.record_first_token(run.request)

    def _on_end(self, run: EngineRun, end: RunEnd, attempt: int) -> None:
        if end is RunEnd.DONE:
            self.sim.record_finished(run.request)
        elif end is RunEnd.CANCELLED:
            self.sim.stats.refuse(run.request, 'deadline')
        else:
            self._retry(run.request, attempt, end.value)

    def _retry(self, req: SimRequest, attempt: int, reason: str) -> None:
        if attempt >= MAX_ATTEMPTS:
            self.sim.stats.refuse(req, reason)
            return
        self.sim.stats.retries[reason] += 1
        self.sim.loop.after(100.0, self._attempt, req, attempt + 1)


class RoundRobin(Baseline):
    """Chooses the engines in turn."""

    name = 'round_robin'

    def __init__(self, sim: Simulation) -> None:
        super().__init__(sim)
        self._counter = itertools.count()

    def choose(self, req: SimRequest) -> FakeEngine | None:
        engines = list(self.usable.values())
        return engines[next(self._counter) % len(engines)] if engines else None


class LeastLoad(Baseline):
    """Chooses the engine with the fewest runs in the last, delayed report."""

    name = 'least_load'

    def __init__(self, sim: Simulation) -> None:
        super().__init__(sim)
        self._load = dict.fromkeys(sim.engines, 0)
        sim.loop.after(REPORT_EVERY_MS, self._send_report)

    def choose(self, req: SimRequest) -> FakeEngine | None:
        if not self.usable:
            return None
        least = min(self._load[name] for name in self.usable)
        names = [name for name in self.usable if self._load[name] == least]
        return self.usable[self.sim.rng.choice(names)]

    def _send_report(self) -> None:
        loads = {
            name: engine.active for name, engine in self.sim.engines.items()
        }
        self.sim.loop.after(REPORT_LAG_MS, self._on_report, loads)
        self.sim.loop.after(REPORT_EVERY_MS, self._send_report)

    def _on_report(self, loads: dict[str, int]) -> None:
        self._load = loads


class PrefixAffinity(Baseline):
    """Chooses the engine by a hash of the start of the prompt."""

    name = 'prefix_affinity'

    def __init__(self, sim: Simulation) -> None:
        super().__init__(sim)
        self._ring = _make_ring(list(self.usable.values()))
        self._rng = random.Random(1)

    def choose(self, req: SimRequest) -> FakeEngine | None:
        if not self.usable:
            return None
        key = routing_keys(req.keys('v1'), self._rng)[-1]
        return self.usable[self._ring.rank(key, 1)[0].name]

    def on_usable_changed(self) -> None:
        self._ring = _make_ring(list(self.usable.values()))


def _make_ring(engines: Sequence[FakeEngine]) -> RendezvousRing:
    return RendezvousRing([WeightedTarget(e.name, e.domain) for e in engines])


BASELINES = (RoundRobin, LeastLoad, PrefixAffinity)
