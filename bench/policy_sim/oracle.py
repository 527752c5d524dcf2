"""A policy with perfect knowledge, as a bound for real policies.

The oracle knows the present state of every engine, cache, link and store VM
and which blocks will be requested again. It has one queue for all engines.
"""

from collections import defaultdict
import functools

from bench.policy_sim.engine import EngineRun
from bench.policy_sim.engine import FakeEngine
from bench.policy_sim.engine import RunEnd
from bench.policy_sim.model import BLOCK_TOKENS
from bench.policy_sim.model import SimRequest
from bench.policy_sim.simulation import Simulation
from bench.policy_sim.store import StoredFrame

ROLL_EVERY_MS = 6000.0
# The cost of a computed token, added to the time to the first token.
COMPUTED_TOKEN_MS = 0.15


class Oracle:
    """Assigns requests with exact knowledge of the present and future."""

    name = 'oracle'

    def __init__(self, sim: Simulation) -> None:
        self.sim = sim
        self._queue: list[SimRequest] = []
        self._drained: set[str] = set()
        self._rolling: set[str] = set()
        self._stored: dict[bytes, StoredFrame] = {}
        self._uses = self._future_uses()
        self._importing: dict[str, dict[int, int]] = defaultdict(dict)
        self._crashing = self._find_crashing()
        for name, link in sim.links.items():
            budget = sim.fleet.store.budget_bytes_per_s
            link.bytes_per_s = min(link.bytes_per_s, budget)
            engine = sim.engines[name]
            stored = functools.partial(self._export, engine)
            engine.cache.on_stored = stored

    def arrive(self, req: SimRequest) -> None:
        if req.fingerprint in self._crashing:
            self.sim.stats.refuse(req, 'quarantined')
            return
        self._queue.append(req)
        self._queue.sort(key=lambda r: (-r.priority, r.arrival_ms))
        self._dispatch()

    def domain_changed(self, domain: str, in_service: bool) -> None:
        (self._drained.discard if in_service else self._drained.add)(domain)
        self._dispatch()

    def roll(self, version: str) -> None:
        for number, engine in enumerate(self.sim.engines.values()):
            at_ms = number * ROLL_EVERY_MS
            self.sim.loop.after(at_ms, self._roll_one, engine, version)

    def _roll_one(self, engine: FakeEngine, version: str) -> None:
        load_ms = engine.spec.load_ms
        engine.load_version(version, load_ms)
        self.sim.loop.after(load_ms, self._dispatch)

    def _future_uses(self) -> dict[bytes, list[float]]:
        uses: dict[bytes, list[float]] = defaultdict(list)
        for req in self.sim.requests:
            for version in ('v1', 'v2'):
                for key in req.keys(version):
                    uses[key].append(req.arrival_ms)
        return uses

    def _find_crashing(self) -> set[bytes]:
        requests = self.sim.requests
        return {req.fingerprint for req in requests if req.crashes}

    def _export(self, engine: FakeEngine, keys: list[bytes]) -> None:
        link = self.sim.links[engine.name]
        now_ms = self.sim.now_ms()
        size = self.sim.fleet.store.block_bytes
        for key in keys:
            uses = self._uses.get(key)
            if key in self._stored or not uses or uses[-1] <= now_ms:
                continue
            frame = StoredFrame(key, '', engine.version)
            self._stored[key] = frame
            self.sim.stats.exported_blocks += 1
            link.transfer(size, _ignore)

    def _dispatch(self) -> None:
        waiting = []
        now_ms = self.sim.now_ms()
        for req in self._queue:
            if now_ms >= req.deadline_ms:
                self.sim.stats.refuse(req, 'deadline')
            elif not self._assign(req):
                waiting.append(req)
        self._queue = waiting

    def _assign(self, req: SimRequest) -> bool:
        options = [
            (*self._cost(engine, req), engine)
            for engine in self.sim.engines.values()
            if self._usable(engine)
        ]
        if not options:
            return False
        _cost, fetched, engine = min(options, key=lambda option: option[0])
        self._send(engine, req, fetched)
        return True

    def _usable(self, engine: FakeEngine) -> bool:
        if not engine.up or engine.loading or engine.domain in self._drained:
            return False
        importing = len(self._importing[engine.name])
        return engine.active + importing < engine.capacity

    def _cost(
        self, engine: FakeEngine, req: SimRequest
    ) -> tuple[float, list[bytes]]:
        rate = engine.spec.prefill_tokens_per_s / 1000.0
        keys = req.keys(engine.version)
        cached_blocks = engine.cache.match(keys)
        queued = engine.waiting_tokens(req.priority)
        queued += sum(self._importing[engine.name].values())
        wait_ms = queued / rate
        fetched = self._fetchable(engine, keys, cached_blocks)
        link = self.sim.links[engine.name]
        size = self.sim.fleet.store.block_bytes
        fetch_ms = len(fetched) * size / link.bytes_per_s * 1000.0
        fetch_ms += link.busy_ms if fetched else 0.0
        if fetch_ms > len(fetched) * BLOCK_TOKENS / rate + wait_ms:
            fetched, fetch_ms = [], 0.0
        known = (cached_blocks + len(fetched)) * BLOCK_TOKENS
        computed = max(1, req.prompt_tokens - known)
        first_ms = max(wait_ms, fetch_ms) + computed / rate
        return first_ms + computed * COMPUTED_TOKEN_MS, fetched

    def _fetchable(
        self, engine: FakeEngine, keys: tuple[bytes, ...], cached_blocks: int
    ) -> list[bytes]:
        found = []
        for key in keys[cached_blocks:]:
            if key not in self._stored:
                break
            found.append(key)
        return found

    def _send(
        self, engine: FakeEngine, req: SimRequest, fetched: list[bytes]
    ) -> None:
        if not fetched:
            self._submit(engine, req)
            return
        missing = req.prompt_tokens - len(fetched) * BLOCK_TOKENS
        self._importing[engine.name][req.id] = missing
        size = self.sim.fleet.store.block_bytes * len(fetched)
        link = self.sim.links[engine.name]
        link.transfer(
            size, functools.partial(self._on_imported, engine, req, fetched)
        )

    def _on_imported(
        self, engine: FakeEngine, req: SimRequest, fetched: list[bytes]
    ) -> None:
        self._importing[engine.name].pop(req.id, None)
        usable = not engine.loading and engine.up
        if not usable or not set(fetched) <= set(req.keys(engine.version)):
            self.arrive(req)
            return
        engine.import_blocks(fetched, engine.version)
        self.sim.stats.imported_blocks += len(fetched)
        self._submit(engine, req)

    def _submit(self, engine: FakeEngine, req: SimRequest) -> None:
        keys = req.keys(engine.version)
        run = self.sim.submit(
            engine, req, keys, self._on_first_token, self._on_end
        )
        if run is None:
            self.arrive(req)

    def _on_first_token(self, run: EngineRun) -> None:
        self.sim.record_first_token(run.request)
        self.sim.loop.after(0.0, self._dispatch)

    def _on_end(self, run: EngineRun, end: RunEnd) -> None:
        if end is RunEnd.DONE:
            self.sim.record_finished(run.request)
            self._dispatch()
            return
        self.sim.stats.retries[end.value] += 1
        self.arrive(run.request)


def _ignore() -> None:
    pass
