"""An agent's cache decisions over the fakes: views, imports, exports."""

import collections
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import functools

from bench.policy_sim.engine import FakeEngine
from bench.policy_sim.model import BLOCK_TOKENS
from bench.policy_sim.store import StoredFrame
from bench.policy_sim.world import World
from wigeonmill.agent.admission import Admission
from wigeonmill.agent.admission_types import Ticket
from wigeonmill.cache.export_policy import ExportCandidate
from wigeonmill.cache.export_policy import ExportPolicy
from wigeonmill.cache.export_policy import ExportReason
from wigeonmill.cache.export_policy import ExportSettings
from wigeonmill.cache.ghost_list import GhostList
from wigeonmill.cache.import_policy import ImportProgress
from wigeonmill.cache.import_policy import ImportSettings
from wigeonmill.cache.import_policy import plan_after_cut_off
from wigeonmill.cache.import_policy import plan_tiers
from wigeonmill.cache.import_policy import Prefix
from wigeonmill.cache.import_policy import Rates
from wigeonmill.cache.import_policy import should_cut_off
from wigeonmill.cache.link_budget import LinkBudget
from wigeonmill.cache.link_budget import Transfer
from wigeonmill.cache.placement import place_for_write
from wigeonmill.cache.placement import PlacementSettings
from wigeonmill.cache.placement import places_for_read
from wigeonmill.cache.placement import StoreState
from wigeonmill.cache.tiers import TierPlan
from wigeonmill.cache.view import CacheChange
from wigeonmill.cache.view import CacheEvent
from wigeonmill.cache.view import CacheView

EVENT_LAG_MS = 50.0
EVENT_LOSS = 0.01
LISTING_MS = 20.0
EXPORT_EVERY_MS = 50.0
GHOST_KEYS = 8192


@dataclass(slots=True, frozen=True)
class _PendingExport:
    anchor: bytes
    team: str
    depth: int


@dataclass(slots=True, frozen=True)
class _Candidate(ExportCandidate):
    pending: _PendingExport = _PendingExport(b'', '', 0)


class AgentCache:
    """Joins the cache modules of one agent with its engine and link."""

    def __init__(
        self, world: World, engine: FakeEngine, admission: Admission
    ) -> None:
        spec = world.fleet.store
        self._world = world
        self._engine = engine
        self._admission = admission
        self._link = world.links[engine.name]
        self._size = spec.block_bytes
        self._budget = LinkBudget(int(spec.budget_bytes_per_s))
        self._ghosts = GhostList(GHOST_KEYS)
        self._imports = ImportSettings(latency_ms=spec.latency_ms)
        self._exports = ExportPolicy(
            ExportSettings(), self._ghosts, self._budget
        )
        self._placement = PlacementSettings()
        self._view = CacheView()
        self._events = 0
        self._pending: dict[bytes, _PendingExport] = {}
        engine.cache.on_stored = functools.partial(
            self._emit, CacheChange.STORED
        )
        engine.cache.on_removed = functools.partial(
            self._emit, CacheChange.REMOVED
        )
        self._list_anew()
        world.loop.after(EXPORT_EVERY_MS, self._export_some)

    def plan(self, keys: Sequence[bytes], prompt_tokens: int) -> TierPlan:
        """Return where a prompt's tokens would come from."""
        cached = self._view.cached_prefix(list(keys))
        estimator = self._admission.health.estimator
        prefix = Prefix(
            prompt_tokens,
            BLOCK_TOKENS,
            cached,
            self._stored_blocks(keys, cached),
            self._size,
        )
        rates = Rates(
            estimator.link_bytes_per_ms,
            estimator.prefill_ms(1),
            self._budget.available(self._world.now_ms(), True),
        )
        return plan_tiers(prefix, rates, self._imports)

    def completed(self, keys: Sequence[bytes], team: str) -> None:
        """Note that the engine holds these blocks and that they were used."""
        for depth, key in enumerate(keys):
            self._ghosts.saw(key)
            self._pending[key] = _PendingExport(keys[0], team, depth)

    def restarted(self) -> None:
        """Forget what the engine held."""
        self._pending.clear()
        self._list_anew()

    def fetch(
        self,
        ticket: Ticket,
        keys: Sequence[bytes],
        done: Callable[[TierPlan], None],
    ) -> None:
        """Import what the plan says; `done` gets what came of it."""
        BlockImport(self, ticket, keys, done).next_block()

    def _emit(self, change: CacheChange, keys: Sequence[bytes]) -> None:
        self._events += 1
        event = CacheEvent(self._events, change, tuple(keys))
        if self._world.rng.random() >= EVENT_LOSS:
            incarnation = str(self._engine.incarnation)
            self._world.loop.after(
                EVENT_LAG_MS, self._on_event, incarnation, event
            )

    def _on_event(self, incarnation: str, event: CacheEvent) -> None:
        if not self._view.on_event(incarnation, event):
            self._world.loop.after(LISTING_MS, self._list_anew)

    def _list_anew(self) -> None:
        incarnation = str(self._engine.incarnation)
        keys = self._engine.cache.keys()
        self._view.on_listing(incarnation, self._events, keys)

    def _stores(self) -> list[StoreState]:
        return [StoreState(vm.name, vm.up) for vm in self._world.vms]

    def _stored_blocks(self, keys: Sequence[bytes], cached: int) -> int:
        if cached >= len(keys):
            return 0
        places = places_for_read(keys[0], self._stores(), self._placement)
        names = {place.name for place in places}
        vms = [vm for vm in self._world.vms if vm.name in names]
        for count, key in enumerate(keys[cached:]):
            if not any(key in vm for vm in vms):
                return count
        return len(keys) - cached

    def read(self, anchor: bytes, key: bytes) -> StoredFrame | None:
        """Return a block's frame from where it would be kept."""
        for place in places_for_read(anchor, self._stores(), self._placement):
            vm = next(vm for vm in self._world.vms if vm.name == place.name)
            frame = vm.get(key)
            if frame is not None:
                return frame
        return None

    def take(self, urgent: bool) -> Transfer | None:
        """Ask the link's budget for one block."""
        return self._budget.take(self._size, self._world.now_ms(), urgent)

    def move(self, transfer: Transfer, done: Callable[[float], None]) -> None:
        """Move one block; `done` gets the milliseconds that it took."""
        began_ms = self._world.now_ms()

        def moved() -> None:
            now_ms = self._world.now_ms()
            self._budget.end(transfer, now_ms, self._size)
            done(now_ms - began_ms)

        self._link.transfer(self._size, moved)

    def learn_link(self, took_ms: float) -> None:
        """Learn the link's rate from one block."""
        estimator = self._admission.health.estimator
        estimator.on_import(self._size, took_ms)

    def cut_off(self, done: int, left: int) -> bool:
        """Whether computing the rest of an import is quicker."""
        estimator = self._admission.health.estimator
        progress = ImportProgress(
            done, left, self._size, BLOCK_TOKENS, estimator.link_bytes_per_ms
        )
        return should_cut_off(progress, estimator.prefill_ms(1), self._imports)

    def take_in(self, frames: Sequence[StoredFrame], team: str) -> None:
        """Give imported frames to the engine."""
        self._world.take_in(self._engine, frames, team)

    def _export_some(self) -> None:
        """Export what is worth it, one block at a time."""
        candidates = [
            self._candidate(key, pending)
            for key, pending in self._pending.items()
        ]
        self._pending = {}
        queue = self._exports.in_order(candidates)
        self._export_next(collections.deque(queue))

    def _export_next(self, queue: collections.deque[_Candidate]) -> None:
        while queue:
            if self._export(queue.popleft(), queue):
                return
        self._world.loop.after(EXPORT_EVERY_MS, self._export_some)

    def _candidate(self, key: bytes, pending: _PendingExport) -> _Candidate:
        estimator = self._admission.health.estimator
        return _Candidate(
            key,
            self._size,
            estimator.prefill_ms(BLOCK_TOKENS),
            pending.depth,
            self.read(pending.anchor, key) is not None,
            pending,
        )

    def _export(
        self, candidate: _Candidate, rest: collections.deque[_Candidate]
    ) -> bool:
        now_ms = self._world.now_ms()
        place = place_for_write(
            candidate.pending.anchor, self._stores(), self._placement
        )
        if place is None or candidate.key not in self._engine.cache:
            return False
        decision = self._exports.decide(candidate, now_ms)
        if decision.transfer is None:
            if decision.reason is ExportReason.LINK_BUDGET:
                self._pending.setdefault(candidate.key, candidate.pending)
            return False
        vm = [vm.name for vm in self._world.vms].index(place.name)

        def moved(took_ms: float) -> None:
            self.learn_link(took_ms)
            team = candidate.pending.team
            self._world.export(self._engine, candidate.key, team, vm)
            self._export_next(rest)

        self.move(decision.transfer, moved)
        return True


class BlockImport:
    """One import, block by block, cut off when it gets too slow."""

    __slots__ = ('_cache', '_ticket', '_keys', '_done', '_frames')

    def __init__(
        self,
        cache: AgentCache,
        ticket: Ticket,
        keys: Sequence[bytes],
        done: Callable[[TierPlan], None],
    ) -> None:
        self._cache = cache
        self._ticket = ticket
        self._keys = keys
        self._done = done
        self._frames: list[StoredFrame] = []

    def next_block(self) -> None:
        """Move the next block, or end the import."""
        left = self._ticket.plan.import_blocks - len(self._frames)
        if not left or self._cache.cut_off(len(self._frames), left):
            self._end()
            return
        transfer = self._cache.take(True)
        if transfer is None:
            self._end()
            return
        self._cache.move(transfer, self._moved)

    def _moved(self, took_ms: float) -> None:
        self._cache.learn_link(took_ms)
        cached = self._ticket.plan.cached_tokens // BLOCK_TOKENS
        key = self._keys[cached + len(self._frames)]
        frame = self._cache.read(self._keys[0], key)
        if frame is None or not self._sound(frame, key):
            self._end()
            return
        self._frames.append(frame)
        self.next_block()

    def _sound(self, frame: StoredFrame, key: bytes) -> bool:
        same = frame.key == key and frame.team == self._ticket.request.team
        version = frame.version == self._ticket.weight_version
        return frame.complete and same and version

    def _end(self) -> None:
        if self._frames:
            self._cache.take_in(self._frames, self._ticket.request.team)
        self._done(plan_after_cut_off(self._ticket.plan, len(self._frames)))
