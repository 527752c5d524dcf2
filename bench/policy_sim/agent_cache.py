"""The real cache decisions of an agent over simulated components."""

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
    """Connects the real cache decisions to an engine, a link and a store."""

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
        self._relist()
        sim.loop.after(IDLE_EXPORT_MS, self._export_next)

    def plan(self, keys: Sequence[bytes], prompt_tokens: int) -> TierPlan:
        """Return from which tiers a prompt's tokens would come."""
        now_ms = self._sim.now_ms()
        return self.decider.plan(list(keys), prompt_tokens, now_ms)

    def record_admitted(self, keys: Sequence[bytes], team: str) -> None:
        """Record that a prompt was admitted."""
        self._teams.update(dict.fromkeys(keys, team))
        self.decider.record_prompt(list(keys))

    def probe(self, keys: Sequence[bytes]) -> bytes | None:
        """Return the next block that the store may hold, or None."""
        return self.decider.probe(list(keys), self._sim.now_ms())

    def reset_view(self) -> None:
        """Replace the view of the engine's cache by a new listing."""
        self._relist()

    def fetch(
        self,
        ticket: Ticket,
        keys: Sequence[bytes],
        done: Callable[[TierPlan], None],
    ) -> None:
        """Import blocks while this pays; `done` gets the resulting plan."""
        BlockImport(self, ticket, keys, done).next_block()

    def read(self, keys: Sequence[bytes], key: bytes, done: 'OnFrame') -> None:
        """Read a block over the link; `done` gets None if it was not read."""
        vm = self._find_holder(keys[0], key)
        if vm is None:
            self._record_absent(key)
            self._sim.loop.after(self._latency_ms, done, None)
            return
        transfer = self._request_transfer(True)
        if transfer is None:
            self._sim.loop.after(0.0, done, None)
            return
        self._start_transfer(
            transfer, functools.partial(self._on_read, vm, key, done)
        )

    def cut_off(self, done: int, remaining: int) -> bool:
        """Return whether computing the remaining blocks is quicker."""
        speeds = self.decider.speeds
        progress = ImportProgress(
            done, remaining, self._size, BLOCK_TOKENS, speeds.link_bytes_per_ms
        )
        return should_cut_off(
            progress, speeds.prefill_ms_per_token, self._imports
        )

    def import_frames(self, frames: Sequence[StoredFrame], team: str) -> None:
        """Import frames into the engine."""
        self._sim.import_frames(self._engine, frames, team)

    def update_speeds(self) -> None:
        """Copy the estimated speeds to the decider."""
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
            self._sim.loop.after(LISTING_MS, self._relist)

    def _relist(self) -> None:
        incarnation = str(self._engine.incarnation)
        keys = self._engine.cache.keys()
        self.decider.view.on_listing(incarnation, self._events, keys)

    def _store_states(self) -> list[StoreState]:
        return [StoreState(vm.name, vm.up) for vm in self._sim.vms]

    def _find_holder(self, anchor: bytes, key: bytes) -> FakeStoreVm | None:
        vms = {vm.name: vm for vm in self._sim.vms}
        places = places_for_read(anchor, self._store_states(), self._placement)
        for place in places:
            if key in vms[place.name]:
                return vms[place.name]
        return None

    def _on_read(
        self, vm: FakeStoreVm, key: bytes, done: 'OnFrame', elapsed_ms: float
    ) -> None:
        self._record_transfer(elapsed_ms)
        frame = vm.get(key)
        if frame is None or not frame.complete:
            self._record_absent(key)
        else:
            self.decider.stored.on_stored(key)
        done(frame)

    def _record_absent(self, key: bytes) -> None:
        self.decider.stored.on_absent(key, self._sim.now_ms())

    def _request_transfer(self, urgent: bool) -> Transfer | None:
        return self._budget.grant(self._size, self._sim.now_ms(), urgent)

    def _start_transfer(
        self, transfer: Transfer, done: Callable[[float], None]
    ) -> None:
        started_ms = self._sim.now_ms()

        def on_transferred() -> None:
            now_ms = self._sim.now_ms()
            self._budget.end(transfer, now_ms, self._size)
            done(now_ms - started_ms)

        self._link.transfer(self._size, on_transferred)

    def _record_transfer(self, elapsed_ms: float) -> None:
        estimator = self._admission.health.estimator
        estimator.on_transfer(self._size, elapsed_ms)
        self.update_speeds()

    def _export_next(self) -> None:
        """Export the next block, or check again after `IDLE_EXPORT_MS`."""
        order = self.decider.next_export(self._sim.now_ms())
        if order is None:
            self._sim.loop.after(IDLE_EXPORT_MS, self._export_next)
            return
        started_ms = self._sim.now_ms()
        self._link.transfer(
            self._size, functools.partial(self._on_exported, order, started_ms)
        )

    def _on_exported(self, order: ExportOrder, started_ms: float) -> None:
        now_ms = self._sim.now_ms()
        place = place_for_write(
            order.anchor, self._store_states(), self._placement, order.copy
        )
        whole = False
        if place is not None:
            names = [vm.name for vm in self._sim.vms]
            team = self._teams.get(order.key, '')
            whole = self._sim.export(
                self._engine, order.key, team, names.index(place.name)
            )
        self.decider.end_export(order, now_ms, self._size, whole)
        self._record_transfer(now_ms - started_ms)
        self._export_next()


OnFrame = Callable[[StoredFrame | None], None]


class BlockImport:
    """Imports blocks one by one until computing the rest is quicker."""

    __slots__ = (
        '_cache',
        '_ticket',
        '_keys',
        '_done',
        '_frames',
        '_cached_blocks',
    )

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
        self._cached_blocks = ticket.plan.cached_tokens // BLOCK_TOKENS

    def next_block(self) -> None:
        """Read the next block, or finish the import."""
        done = len(self._frames)
        remaining = self._ticket.plan.import_blocks - done
        index = self._cached_blocks + done
        more = remaining > 0 or self._cache.probe(self._keys) is not None
        if index >= len(self._keys) or not more:
            self._finish()
        elif self._cache.cut_off(done, max(1, remaining)):
            self._finish()
        else:
            self._cache.read(self._keys, self._keys[index], self._on_frame)

    def _on_frame(self, frame: StoredFrame | None) -> None:
        if frame is None or not self._is_valid(frame):
            self._finish()
            return
        self._frames.append(frame)
        self.next_block()

    def _is_valid(self, frame: StoredFrame) -> bool:
        same_team = frame.team == self._ticket.request.team
        same_version = frame.version == self._ticket.weight_version
        return frame.complete and same_team and same_version

    def _finish(self) -> None:
        if self._frames:
            self._cache.import_frames(self._frames, self._ticket.request.team)
        plan = self._ticket.plan
        tokens = len(self._frames) * BLOCK_TOKENS
        recomputed = plan.import_tokens + plan.recompute_tokens - tokens
        self._done(TierPlan(plan.cached_tokens, tokens, recomputed))
