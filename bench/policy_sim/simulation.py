"""Engines, links and store VMs of one run, and the checks on their use."""

from collections.abc import Callable
from collections.abc import Sequence
import random

from bench.policy_sim.engine import EngineRun
from bench.policy_sim.engine import FakeEngine
from bench.policy_sim.engine import RunEnd
from bench.policy_sim.events import EventLoop
from bench.policy_sim.model import BLOCK_TOKENS
from bench.policy_sim.model import Fleet
from bench.policy_sim.model import SimRequest
from bench.policy_sim.stats import SceneStats
from bench.policy_sim.store import FakeStoreVm
from bench.policy_sim.store import StoredFrame
from bench.policy_sim.store import StoreLink

# Time after which a domain taken out must get no new work.
DRAIN_GRACE_MS = 3000.0


class Simulation:
    """The fakes of one run; every action of a policy goes through it."""

    def __init__(
        self, fleet: Fleet, requests: Sequence[SimRequest], seed: str
    ) -> None:
        self.fleet = fleet
        self.loop = EventLoop()
        self.rng = random.Random(seed)
        self.stats = SceneStats()
        self.requests = list(requests)
        self.engines = {engine.name: engine for engine in self._make_engines()}
        rate = fleet.store.link_bytes_per_s
        self.links = {
            name: StoreLink(self.loop, rate) for name in self.engines
        }
        self.vms = [
            FakeStoreVm(
                f'store-{i}',
                fleet.domains[i % len(fleet.domains)],
                fleet.store.vm_blocks,
            )
            for i in range(fleet.store_vms)
        ]
        self.measured_from_ms = 0.0
        self.out_since: dict[str, float] = {}
        self._seen: set[bytes] = set()

    def now_ms(self) -> float:
        """Return the present time of the run."""
        return self.loop.now_ms()

    def submit(
        self,
        engine: FakeEngine,
        req: SimRequest,
        keys: Sequence[bytes],
        on_first_token: Callable[[EngineRun], None],
        on_end: Callable[[EngineRun, RunEnd], None],
    ) -> EngineRun | None:
        """Start a request on an engine; None if the engine is not there."""
        out_since = self.out_since.get(engine.domain)
        if out_since is not None:
            if self.now_ms() > out_since + DRAIN_GRACE_MS:
                self.violate('work_to_drained_domain')
        if tuple(keys) != req.keys(engine.version) and not engine.loading:
            self.violate('stale_version')
        run = EngineRun(req, tuple(keys), on_first_token, on_end)
        return run if engine.submit(run) else None

    def first_token(self, req: SimRequest) -> None:
        """Note a request's first token."""
        record = self.stats.record(req)
        if record.ttft_ms is None:
            record.ttft_ms = self.now_ms() - req.arrival_ms

    def finished(self, req: SimRequest) -> None:
        """Note a request's whole answer."""
        record = self.stats.record(req)
        if record.finished:
            self.violate('answered_twice')
        record.finished = True

    def violate(self, name: str) -> None:
        """Count a broken promise."""
        self.stats.violations[name] += 1

    def measured(self, req: SimRequest) -> bool:
        """Whether a request counts for the figures."""
        return req.arrival_ms >= self.measured_from_ms

    def export(self, engine: FakeEngine, key: bytes, team: str, vm: int):
        """Put an engine's block on a store VM; False when that fails."""
        block = engine.export_block(key)
        if block is None:
            return False
        frame = StoredFrame(key, team, engine.version)
        stored = self.vms[vm].put(frame)
        self.stats.exported_blocks += stored
        return stored

    def take_in(
        self, engine: FakeEngine, frames: Sequence[StoredFrame], team: str
    ) -> int:
        """Give frames that a policy accepted to the engine."""
        for frame in frames:
            if not frame.complete:
                self.violate('partial_block_read')
            if frame.team != team:
                self.violate('foreign_block_read')
            if frame.version != engine.version:
                self.violate('stale_block_read')
        keys = [frame.key for frame in frames]
        taken = engine.import_blocks(keys, engine.version)
        self.stats.imported_blocks += taken
        return taken

    def _make_engines(self) -> list[FakeEngine]:
        domains = self.fleet.domains
        made = []
        for number in range(self.fleet.engines):
            domain = domains[number % len(domains)]
            name = f'engine-{number}'
            engine = FakeEngine(name, domain, self.fleet.engine, self.loop)
            engine.on_computed = self._computed
            made.append(engine)
        return made

    def _computed(self, run: EngineRun, held: int) -> None:
        computed = run.keys[held:]
        if self.measured(run.request):
            again = sum(key in self._seen for key in computed)
            self.stats.prompt_tokens += run.request.prompt_tokens
            self.stats.recomputed_tokens += again * BLOCK_TOKENS
        self._seen.update(computed)
