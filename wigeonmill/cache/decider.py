"""All cache decisions of one agent, without I/O.

Joins the view of accelerator memory, what is known of the store, the
link's budget and the policies. The agent moves the bytes and reports back.
"""

from collections import OrderedDict
from dataclasses import dataclass

from wigeonmill.cache.export_policy import ExportCandidate
from wigeonmill.cache.export_policy import ExportPolicy
from wigeonmill.cache.export_policy import ExportReason
from wigeonmill.cache.export_policy import ExportSettings
from wigeonmill.cache.ghost_list import GhostList
from wigeonmill.cache.import_policy import ImportSettings
from wigeonmill.cache.import_policy import plan_tiers
from wigeonmill.cache.import_policy import Prefix
from wigeonmill.cache.import_policy import Rates
from wigeonmill.cache.link_budget import LinkBudget
from wigeonmill.cache.link_budget import Transfer
from wigeonmill.cache.stored_index import StoredIndex
from wigeonmill.cache.tiers import TierPlan
from wigeonmill.cache.view import CacheView


@dataclass(frozen=True, slots=True)
class DeciderSettings:
    """Sizes of what an agent remembers.

    Exports wait in a list of `export_queue` blocks at most; those that
    entered it first leave first.
    """

    block_tokens: int
    block_bytes: int
    ghosts: int = 65_536
    stored: int = 65_536
    absent_ms: float = 10_000.0
    export_queue: int = 1_024


@dataclass(frozen=True, slots=True)
class Speeds:
    """What the agent has learned of its link and its target."""

    link_bytes_per_ms: float
    prefill_ms_per_token: float


@dataclass(frozen=True, slots=True)
class ExportOrder:
    """A block to write to the store now.

    `anchor` is the first key of its prefix, for the placement; `transfer`
    goes back to `end_export`. A `copy` goes to another VM than the first.
    """

    key: bytes
    anchor: bytes
    transfer: Transfer
    copy: bool = False


@dataclass(frozen=True, slots=True)
class _Waiting:
    key: bytes
    anchor: bytes
    depth: int


class CacheDecider:
    """Plans imports and exports of one target."""

    __slots__ = (
        'view',
        'stored',
        'budget',
        'speeds',
        'block_bytes',
        'export_reasons',
        '_settings',
        '_ghosts',
        '_exports',
        '_imports',
        '_waiting',
        '_uncopied',
    )

    def __init__(
        self,
        settings: DeciderSettings,
        budget: LinkBudget,
        speeds: Speeds,
        exports: ExportSettings | None = None,
        imports: ImportSettings | None = None,
    ) -> None:
        self.view = CacheView()
        self.stored = StoredIndex(settings.stored, settings.absent_ms)
        self.budget = budget
        self.speeds = speeds
        self.block_bytes = settings.block_bytes
        self.export_reasons: dict[ExportReason, int] = {}
        self._settings = settings
        self._ghosts = GhostList(settings.ghosts)
        self._exports = ExportPolicy(
            exports or ExportSettings(), self._ghosts, budget
        )
        self._imports = imports or ImportSettings()
        self._waiting: OrderedDict[bytes, _Waiting] = OrderedDict()
        # Blocks with one copy in the store, by key with their anchors.
        self._uncopied: OrderedDict[bytes, bytes] = OrderedDict()

    def plan(
        self,
        keys: list[bytes],
        prompt_tokens: int,
        now_ms: float,
        wait_ms: float = 0.0,
    ) -> TierPlan:
        """Return the sources of a prompt that waits `wait_ms` anyway."""
        cached = self.view.cached_prefix(keys)
        known = self.stored.known_prefix(keys[cached:])
        return self._plan(cached, known, prompt_tokens, now_ms, wait_ms)

    def plan_search(
        self, keys: list[bytes], prompt_tokens: int, now_ms: float
    ) -> TierPlan:
        """Return the plan if the store had each block that it may have.

        Its import is worth starting: the first block that is not there
        ends it at the cost of one read.
        """
        cached = self.view.cached_prefix(keys)
        possible = 0
        for key in keys[cached:]:
            if not self.stored.may_hold(key, now_ms):
                break
            possible += 1
        return self._plan(cached, possible, prompt_tokens, now_ms, 0.0)

    def _plan(
        self,
        cached: int,
        stored: int,
        prompt_tokens: int,
        now_ms: float,
        wait_ms: float,
    ) -> TierPlan:
        prefix = Prefix(
            prompt_tokens,
            self._settings.block_tokens,
            cached,
            stored,
            self.block_bytes,
        )
        rates = Rates(
            self.speeds.link_bytes_per_ms,
            self.speeds.prefill_ms_per_token,
            self.budget.available(now_ms, urgent=True),
            wait_ms,
        )
        return plan_tiers(prefix, rates, self._imports)

    def probe(self, keys: list[bytes], now_ms: float) -> bytes | None:
        """Return the block whose read would tell whether to import more.

        None if the store is known to lack it.
        """
        cached = self.view.cached_prefix(keys)
        known = cached + self.stored.known_prefix(keys[cached:])
        if known >= len(keys):
            return None
        key = keys[known]
        return key if self.stored.may_hold(key, now_ms) else None

    def record_prompt(self, keys: list[bytes]) -> None:
        """Count an admitted prompt and consider its blocks for export."""
        for depth, key in enumerate(keys):
            self._ghosts.saw(key)
            if key in self.stored or key in self._waiting:
                continue
            if self._exports.is_worth(self._candidate(key, depth)):
                self._waiting[key] = _Waiting(key, keys[0], depth)
        while len(self._waiting) > self._settings.export_queue:
            self._waiting.popitem(last=False)

    def next_export(self, now_ms: float) -> ExportOrder | None:
        """Grant the most valuable export that the budget allows now."""
        if self.budget.available(now_ms, urgent=False) < self.block_bytes:
            return None
        held = [
            self._candidate(waiting.key, waiting.depth)
            for waiting in self._waiting.values()
            if self.view.holds(waiting.key)
        ]
        for candidate in self._exports.in_order(held):
            decision = self._exports.decide(candidate, now_ms)
            self._count(decision.reason)
            if decision.transfer is None:
                return None
            waiting = self._waiting.pop(candidate.key)
            return ExportOrder(waiting.key, waiting.anchor, decision.transfer)
        return self._next_copy(now_ms)

    def end_export(
        self, order: ExportOrder, now_ms: float, moved_bytes: int, whole: bool
    ) -> None:
        """Take the end of an export; `whole` if the store has the block."""
        self.budget.end(order.transfer, now_ms, moved_bytes)
        if not whole or order.copy:
            return
        self.stored.on_stored(order.key)
        self._uncopied[order.key] = order.anchor
        if len(self._uncopied) > self._settings.export_queue:
            self._uncopied.popitem(last=False)

    def _next_copy(self, now_ms: float) -> ExportOrder | None:
        while self._uncopied:
            key, anchor = self._uncopied.popitem(last=False)
            if self.view.holds(key):
                size = self.block_bytes
                transfer = self.budget.grant(size, now_ms, urgent=False)
                if transfer is None:
                    return None
                return ExportOrder(key, anchor, transfer, copy=True)
        return None

    def _candidate(self, key: bytes, depth: int) -> ExportCandidate:
        tokens = self._settings.block_tokens
        return ExportCandidate(
            key,
            self.block_bytes,
            tokens * self.speeds.prefill_ms_per_token,
            depth,
        )

    def _count(self, reason: ExportReason) -> None:
        reasons = self.export_reasons
        reasons[reason] = reasons.get(reason, 0) + 1
