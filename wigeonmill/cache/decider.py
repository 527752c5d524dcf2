"""The cache decisions of one agent, without I/O.

The decider combines the view of accelerator memory, the index of stored
blocks, the link budget and the policies. The agent performs the transfers
and reports their results.
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
    """Block sizes and limits of the decider's memory.

    At most `export_queue` blocks wait for their export; beyond that, the
    oldest are dropped first. A missing block is remembered for `absent_ms`.
    """

    block_tokens: int
    block_bytes: int
    ghost_keys: int = 65_536
    stored_keys: int = 65_536
    absent_ms: float = 10_000.0
    export_queue: int = 1_024


@dataclass(frozen=True, slots=True)
class Speeds:
    """The speeds of the link and the target as estimated by the agent."""

    link_bytes_per_ms: float
    prefill_ms_per_token: float


@dataclass(frozen=True, slots=True)
class ExportOrder:
    """A block to write to the store now.

    `anchor` is the first key of its prefix, which determines the placement.
    `transfer` is the grant that `end_export` closes. A `copy` is written to
    a different VM from the first one.
    """

    key: bytes
    anchor: bytes
    transfer: Transfer
    copy: bool = False


@dataclass(frozen=True, slots=True)
class _PendingExport:
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
        '_pending',
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
        self.stored = StoredIndex(settings.stored_keys, settings.absent_ms)
        self.budget = budget
        self.speeds = speeds
        self.block_bytes = settings.block_bytes
        self.export_reasons: dict[ExportReason, int] = {}
        self._settings = settings
        self._ghosts = GhostList(settings.ghost_keys)
        self._exports = ExportPolicy(
            exports or ExportSettings(), self._ghosts, budget
        )
        self._imports = imports or ImportSettings()
        self._pending: OrderedDict[bytes, _PendingExport] = OrderedDict()
        # The anchors of blocks that have only one copy in the store, by key.
        self._uncopied: OrderedDict[bytes, bytes] = OrderedDict()

    def plan(
        self,
        keys: list[bytes],
        prompt_tokens: int,
        now_ms: float,
        wait_ms: float = 0.0,
    ) -> TierPlan:
        """Return the tier plan of a prompt that waits `wait_ms` anyway."""
        cached = self.view.cached_prefix(keys)
        known = self.stored.known_prefix(keys[cached:])
        return self._plan(cached, known, prompt_tokens, now_ms, wait_ms)

    def plan_search(
        self, keys: list[bytes], prompt_tokens: int, now_ms: float
    ) -> TierPlan:
        """Return the plan as if the store held every block it may hold.

        Starting such an import pays: the first missing block ends it, which
        costs one read.
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
        """Return the first block not known to be stored, to be probed.

        None if all blocks are known or this one was recently found missing.
        """
        cached = self.view.cached_prefix(keys)
        known = cached + self.stored.known_prefix(keys[cached:])
        if known >= len(keys):
            return None
        key = keys[known]
        return key if self.stored.may_hold(key, now_ms) else None

    def record_prompt(self, keys: list[bytes]) -> None:
        """Count a prompt's blocks and queue those worth exporting."""
        for depth, key in enumerate(keys):
            self._ghosts.record(key)
            if key in self.stored or key in self._pending:
                continue
            if self._exports.is_worthwhile(self._candidate(key, depth)):
                self._pending[key] = _PendingExport(key, keys[0], depth)
        while len(self._pending) > self._settings.export_queue:
            self._pending.popitem(last=False)

    def next_export(self, now_ms: float) -> ExportOrder | None:
        """Grant the most valuable export that the budget allows now."""
        if self.budget.available(now_ms, urgent=False) < self.block_bytes:
            return None
        held = [
            self._candidate(pending.key, pending.depth)
            for pending in self._pending.values()
            if self.view.holds(pending.key)
        ]
        for candidate in self._exports.rank(held):
            decision = self._exports.decide(candidate, now_ms)
            self._count_reason(decision.reason)
            if decision.transfer is None:
                return None
            pending = self._pending.pop(candidate.key)
            return ExportOrder(pending.key, pending.anchor, decision.transfer)
        return self._next_copy(now_ms)

    def end_export(
        self, order: ExportOrder, now_ms: float, moved_bytes: int, whole: bool
    ) -> None:
        """Record an export's end; `whole` means that the block is stored."""
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

    def _count_reason(self, reason: ExportReason) -> None:
        reasons = self.export_reasons
        reasons[reason] = reasons.get(reason, 0) + 1
