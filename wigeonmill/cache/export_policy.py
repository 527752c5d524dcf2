"""Decides which blocks are worth a write to the block store."""

from dataclasses import dataclass
import enum

from wigeonmill.cache.ghost_list import GhostList
from wigeonmill.cache.link_budget import LinkBudget
from wigeonmill.cache.link_budget import Transfer


class ExportReason(enum.Enum):
    """Why a block is exported or not."""

    WORTH_IT = 'worth_it'
    SEEN_ONCE = 'seen_once'
    STORED_ALREADY = 'stored_already'
    LOW_VALUE = 'low_value'
    LINK_BUDGET = 'link_budget'


@dataclass(frozen=True, slots=True)
class ExportCandidate:
    """A block considered for a write to the block store.

    `prefill_ms` is the time to recompute it; `depth` is the number of
    blocks before it in its chain.
    """

    key: bytes
    size_bytes: int
    prefill_ms: float
    depth: int = 0
    stored: bool = False


@dataclass(frozen=True, slots=True)
class ExportSettings:
    """Thresholds above which an export pays.

    A block has to be seen `min_sightings` times, unless its recomputation
    takes `costly_ms` or more. Blocks that were seen more often are exported
    first. `min_gain` is the least ratio of the expected saved prefill time
    to the transfer time at the link's full rate.
    """

    min_sightings: int = 1
    costly_ms: float = 1_000.0
    min_gain: float = 1.0


@dataclass(frozen=True, slots=True)
class ExportDecision:
    """The decision; `transfer` is set if the block is to be exported."""

    reason: ExportReason
    transfer: Transfer | None = None


class ExportPolicy:
    """Decides on the exports of one target within its link budget."""

    __slots__ = ('_settings', '_ghosts', '_budget')

    def __init__(
        self, settings: ExportSettings, ghosts: GhostList, budget: LinkBudget
    ) -> None:
        self._settings = settings
        self._ghosts = ghosts
        self._budget = budget

    def value(self, candidate: ExportCandidate) -> float:
        """Return the expected saved prefill time in ms per byte."""
        reuses = self._expected_reuses(candidate.key)
        return reuses * candidate.prefill_ms / max(1, candidate.size_bytes)

    def is_worthwhile(self, candidate: ExportCandidate) -> bool:
        """Return whether an export pays, regardless of the budget."""
        return self._reason(candidate) is ExportReason.WORTH_IT

    def decide(
        self, candidate: ExportCandidate, now_ms: float
    ) -> ExportDecision:
        """Decide on one block and grant its transfer if it pays."""
        reason = self._reason(candidate)
        if reason is not ExportReason.WORTH_IT:
            return ExportDecision(reason)
        transfer = self._budget.grant(candidate.size_bytes, now_ms, False)
        if transfer is None:
            return ExportDecision(ExportReason.LINK_BUDGET)
        return ExportDecision(reason, transfer)

    def rank(self, candidates: list[ExportCandidate]) -> list[ExportCandidate]:
        """Return the blocks worth exporting, highest value per byte first.

        Among equal values, blocks nearer to the start of their chains come
        first, because a block is useless without those before it.
        """
        worthwhile = [
            candidate
            for candidate in candidates
            if self.is_worthwhile(candidate)
        ]
        return sorted(worthwhile, key=lambda c: (-self.value(c), c.depth))

    def _reason(self, candidate: ExportCandidate) -> ExportReason:
        if candidate.stored:
            return ExportReason.STORED_ALREADY
        settings = self._settings
        seen = self._ghosts.count(candidate.key)
        costly = candidate.prefill_ms >= settings.costly_ms
        if seen < settings.min_sightings and not costly:
            return ExportReason.SEEN_ONCE
        if self._gain(candidate) < settings.min_gain:
            return ExportReason.LOW_VALUE
        return ExportReason.WORTH_IT

    def _gain(self, candidate: ExportCandidate) -> float:
        bytes_per_ms = self._budget.limit / 1000.0
        return self.value(candidate) * bytes_per_ms

    def _expected_reuses(self, key: bytes) -> float:
        # A block that was seen n times is expected to be reused n - 1 times
        # before its count decays.
        return max(0.5, self._ghosts.count(key) - 1.0)
