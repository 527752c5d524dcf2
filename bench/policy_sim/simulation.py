"""The simulated components of one run and the checks on their use."""

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

# After this time, a drained domain must get no new work.
DRAIN_GRACE_MS = 3000.0


class Simulation:
    """Engines, links and store VMs of one run; policies act through it."""

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
        self.drained_since: dict[str, float] = {}
        self._computed_keys: set[bytes] = set()

    def now_ms(self) -> float:
        """Return the simulated time."""
        return self.loop.now_ms()

    def submit(
        self,
        engine: FakeEngine,
        req: SimRequest,
        keys: Sequence[bytes],
        on_first_token: Callable[[EngineRun], None],
        on_end: Callable[[EngineRun, RunEnd], None],
    ) -> EngineRun | None:
        """Start a request on an engine; return None if the engine is down."""
        drained_since = self.drained_since.get(engine.domain)
        if drained_since is not None:
            if self.now_ms() > drained_since + DRAIN_GRACE_MS:
                self.count_violation('work_to_drained_domain')
        if tuple(keys) != req.keys(engine.version) and not engine.loading:
            self.count_violation('stale_version')
        run = EngineRun(req, tuple(keys), on_first_token, on_end)
        return run if engine.submit(run) else None

    def record_first_token(self, req: SimRequest) -> None:
        """Record the time of a request's first token."""
        record = self.stats.record(req)
        if record.ttft_ms is None:
            record.ttft_ms = self.now_ms() - req.arrival_ms

    def record_finished(self, req: SimRequest) -> None:
        """Record that a request got its complete answer."""
        record = self.stats.record(req)
        if record.finished:
            self.count_violation('answered_twice')
        record.finished = True

    def count_violation(self, name: str) -> None:
        """Count a violation of the invariant `name`."""
        self.stats.violations[name] += 1

    def is_measured(self, req: SimRequest) -> bool:
        """Return whether a request arrived after the warm-up."""
        return req.arrival_ms >= self.measured_from_ms

    def export(self, engine: FakeEngine, key: bytes, team: str, vm: int):
        """Export a block to a store VM; return whether it was stored."""
        block = engine.export_block(key)
        if block is None:
            return False
        frame = StoredFrame(key, team, engine.version)
        stored = self.vms[vm].put(frame)
        self.stats.exported_blocks += stored
        return stored

    def import_frames(
        self, engine: FakeEngine, frames: Sequence[StoredFrame], team: str
    ) -> int:
        """Import frames into an engine and check them; return their number."""
        for frame in frames:
            if not frame.complete:
                self.count_violation('partial_block_read')
            if frame.team != team:
                self.count_violation('foreign_block_read')
            if frame.version != engine.version:
                self.count_violation('stale_block_read')
        keys = [frame.key for frame in frames]
        imported = engine.import_blocks(keys, engine.version)
        self.stats.imported_blocks += imported
        return imported

    def _make_engines(self) -> list[FakeEngine]:
        domains = self.fleet.domains
        engines = []
        for number in range(self.fleet.engines):
            domain = domains[number % len(domains)]
            name = f'engine-{number}'
            engine = FakeEngine(name, domain, self.fleet.engine, self.loop)
            engine.on_computed = self._count_computed
            engines.append(engine)
        return engines

    def _count_computed(self, run: EngineRun, cached_blocks: int) -> None:
        """Count prompt tokens, and those that any engine computed before."""
        computed = run.keys[cached_blocks:]
        if self.is_measured(run.request):
            recomputed = sum(key in self._computed_keys for key in computed)
            self.stats.prompt_tokens += run.request.prompt_tokens
            self.stats.recomputed_tokens += recomputed * BLOCK_TOKENS
        self._computed_keys.update(computed)
