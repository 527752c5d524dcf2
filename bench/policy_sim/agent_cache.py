"""An agent's cache decisions over the fakes: views, imports, exports."""

from collections.abc import Callable
from collections.abc import Sequence
import functools

from bench.policy_sim.engine import FakeEngine
from bench.policy_sim.model import BLOCK_TOKENS
from bench.policy_sim.simulation import Simulation
from bench.policy_sim.store import FakeStoreVm
from bench.policy_sim.store import StoredFrame
from wigeonmill.agent.admission import Admission
from wigeonmill.agent.admission_types import Ticket
from wigeonmill.cache.decider import CacheDecider
from wigeonmill.cache.decider import DeciderSettings
from wigeonmill.cache.decider import ExportOrder
from wigeonmill.cache.decider import Speeds
from wigeonmill.cache.import_policy import ImportProgress
from wigeonmill.cache.import_policy import ImportSettings
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

EVENT_LAG_MS = 50.0
EVENT_LOSS = 0.01
LISTING_MS = 20.0
IDLE_EXPORT_MS = 50.0


class AgentCache:
    """Joins the real cache decisions with an engine, a link and a store."""

    def __init__(
        self, sim: Simulation, engine: FakeEngine, admission: Admission
    ) -> None:
        spec = sim.fleet.store
        self._sim = sim
        self._engine = engine
        self._admission = admission
        self._link = sim.links[engine.name]
        self._size = spec.block_bytes
        self._latency_ms = spec.latency_ms
        self._budget = LinkBudget(int(spec.budget_bytes_per_s))
        self._imports = ImportSettings(latency_ms=spec.latency_ms)
        self.decider = CacheDecider(
            DeciderSettings(BLOCK_TOKENS, self._size),
            self._budget,
            self._speeds(),
            imports=self._imports,
        )
        self._placement = PlacementSettings()
        self._events = 0
        self._teams: dict[bytes, str] = {}
        engine.cache.on_stored = functools.partial(
            self._emit, CacheChange.STORED
        )
        engine.cache.on_removed = functools.partial(
            self._emit, CacheChange.REMOVED
        )
        self._list_anew()
        sim.loop.after(IDLE_EXPORT_MS, self._export_next)

    def plan(self, keys: Sequence[bytes], prompt_tokens: int) -> TierPlan:
        """Return where a prompt's tokens would come from."""
        now_ms = self._sim.now_ms()
        return self.decider.plan(list(keys), prompt_tokens, now_ms)

    def admitted(self, keys: Sequence[bytes], team: str) -> None:
        """Note that a prompt was admitted."""
        self._teams.update(dict.fromkeys(keys, team))
        self.decider.record_prompt(list(keys))

    def probe(self, keys: Sequence[bytes]) -> bytes | None:
        """Return the next block that the store may hold, if any."""
        return self.decider.probe(list(keys), self._sim.now_ms())

    def restarted(self) -> None:
        """Forget what the engine held."""
        self._list_anew()

    def fetch(
        self,
        ticket: Ticket,
        keys: Sequence[bytes],
        done: Callable[[TierPlan], None],
    ) -> None:
        """Import what pays; `done` gets what came of it."""
        BlockImport(self, ticket, keys, done).next_block()

    def read(self, keys: Sequence[bytes], key: bytes, done: 'OnFrame') -> None:
        """Read a block over the link; `done` gets None on a miss."""
        vm = self._holder(keys[0], key)
        if vm is None:
            self._missed(key)
            self._sim.loop.after(self._latency_ms, done, None)
            return
        transfer = self._take(True)
        if transfer is None:
            self._sim.loop.after(0.0, done, None)
            return
        self._move(transfer, functools.partial(self._read, vm, key, done))

    def cut_off(self, done: int, left: int) -> bool:
        """Whether computing the rest of an import is quicker."""
        speeds = self.decider.speeds
        progress = ImportProgress(
            done, left, self._size, BLOCK_TOKENS, speeds.link_bytes_per_ms
        )
        return should_cut_off(
            progress, speeds.prefill_ms_per_token, self._imports
        )

    def take_in(self, frames: Sequence[StoredFrame], team: str) -> None:
        """Give imported frames to the engine."""
        self._sim.take_in(self._engine, frames, team)

    def learn(self) -> None:
        """Take over the speeds learned until now."""
        self.decider.speeds = self._speeds()

    def _speeds(self) -> Speeds:
        estimator = self._admission.health.estimator
        return Speeds(estimator.link_bytes_per_ms, estimator.prefill_ms(1))

    def _emit(self, change: CacheChange, keys: Sequence[bytes]) -> None:
        self._events += 1
        event = CacheEvent(self._events, change, tuple(keys))
        if self._sim.rng.random() >= EVENT_LOSS:
            incarnation = str(self._engine.incarnation)
            self._sim.loop.after(
                EVENT_LAG_MS, self._on_event, incarnation, event
            )

    def _on_event(self, incarnation: str, event: CacheEvent) -> None:
        if not self.decider.view.on_event(incarnation, event):
            self._sim.loop.after(LISTING_MS, self._list_anew)

    def _list_anew(self) -> None:
        incarnation = str(self._engine.incarnation)
        keys = self._engine.cache.keys()
        self.decider.view.on_listing(incarnation, self._events, keys)

    def _stores(self) -> list[StoreState]:
        return [StoreState(vm.name, vm.up) for vm in self._sim.vms]

    def _holder(self, anchor: bytes, key: bytes) -> FakeStoreVm | None:
        vms = {vm.name: vm for vm in self._sim.vms}
        places = places_for_read(anchor, self._stores(), self._placement)
        for place in places:
            if key in vms[place.name]:
                return vms[place.name]
        return None

    def _read(
        self, vm: FakeStoreVm, key: bytes, done: 'OnFrame', took_ms: float
    ) -> None:
        self._learn_link(took_ms)
        frame = vm.get(key)
        if frame is None or not frame.complete:
            self._missed(key)
        else:
            self.decider.stored.on_stored(key)
        done(frame)

    def _missed(self, key: bytes) -> None:
        self.decider.stored.on_absent(key, self._sim.now_ms())

    def _take(self, urgent: bool) -> Transfer | None:
        return self._budget.grant(self._size, self._sim.now_ms(), urgent)

    def _move(self, transfer: Transfer, done: Callable[[float], None]) -> None:
        began_ms = self._sim.now_ms()

        def moved() -> None:
            now_ms = self._sim.now_ms()
            self._budget.end(transfer, now_ms, self._size)
            done(now_ms - began_ms)

        self._link.transfer(self._size, moved)

    def _learn_link(self, took_ms: float) -> None:
        estimator = self._admission.health.estimator
        estimator.on_import(self._size, took_ms)
        self.learn()

    def _export_next(self) -> None:
        """Export one block after the other while there are any."""
        order = self.decider.next_export(self._sim.now_ms())
        if order is None:
            self._sim.loop.after(IDLE_EXPORT_MS, self._export_next)
            return
        began_ms = self._sim.now_ms()
        self._link.transfer(
            self._size, functools.partial(self._exported, order, began_ms)
        )

    def _exported(self, order: ExportOrder, began_ms: float) -> None:
        now_ms = self._sim.now_ms()
        place = place_for_write(
            order.anchor, self._stores(), self._placement, order.copy
        )
        whole = False
        if place is not None:
            names = [vm.name for vm in self._sim.vms]
            team = self._teams.get(order.key, '')
            whole = self._sim.export(
                self._engine, order.key, team, names.index(place.name)
            )
        self.decider.end_export(order, now_ms, self._size, whole)
        self._learn_link(now_ms - began_ms)
        self._export_next()


OnFrame = Callable[[StoredFrame | None], None]


class BlockImport:
    """One import, block by block, cut off when it gets too slow."""

    __slots__ = ('_cache', '_ticket', '_keys', '_done', '_frames', '_cached')

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
        self._cached = ticket.plan.cached_tokens // BLOCK_TOKENS

    def next_block(self) -> None:
        """Read the next block, or end the import."""
        done = len(self._frames)
        left = self._ticket.plan.import_blocks - done
        at = self._cached + done
        more = left > 0 or self._cache.probe(self._keys) is not None
        if at >= len(self._keys) or not more:
            self._end()
        elif self._cache.cut_off(done, max(1, left)):
            self._end()
        else:
            self._cache.read(self._keys, self._keys[at], self._took)

    def _took(self, frame: StoredFrame | None) -> None:
        if frame is None or not self._sound(frame):
            self._end()
            return
        self._frames.append(frame)
        self.next_block()

    def _sound(self, frame: StoredFrame) -> bool:
        same_team = frame.team == self._ticket.request.team
        version = frame.version == self._ticket.weight_version
        return frame.complete and same_team and version

    def _end(self) -> None:
        if self._frames:
            self._cache.take_in(self._frames, self._ticket.request.team)
        plan = self._ticket.plan
        tokens = len(self._frames) * BLOCK_TOKENS
        left = plan.import_tokens + plan.recompute_tokens - tokens
        self._done(TierPlan(plan.cached_tokens, tokens, left))
