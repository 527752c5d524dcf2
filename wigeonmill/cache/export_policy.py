"""Which evicted or ageing blocks are worth a write to the block store."""

from dataclasses import dataclass
import enum

from wigeonmill.cache.ghost_list import GhostList
from wigeonmill.cache.link_budget import LinkBudget
from wigeonmill.cache.link_budget import Transfer


class ExportReason(enum.Enum):
    """Why a block is or isn't exported."""

    WORTH_IT = 'worth_it'
    SEEN_ONCE = 'seen_once'
    STORED_ALREADY = 'stored_already'
    LOW_VALUE = 'low_value'
    LINK_BUDGET = 'link_budget'


@dataclass(frozen=True, slots=True)
class ExportCandidate:
    """A block that leaves accelerator memory or is about to.

    `prefill_ms` is what its recomputation takes; `depth` counts the blocks
    before it in its chain.
    """

    key: bytes
    size_bytes: int
    prefill_ms: float
    depth: int = 0
    stored: bool = False


@dataclass(frozen=True, slots=True)
class ExportSettings:
    """How much saved computation a byte on the link has to bring.

    A block has to be seen `min_sightings` times, unless its recomputation
    takes `costly_ms` or more. What was seen more often goes first.
    `min_gain` compares expected saved prefill with the time of the transfer
    at the full rate of the link.
    """

    min_sightings: int = 1
    costly_ms: float = 1_000.0
    min_gain: float = 1.0


@dataclass(frozen=True, slots=True)
class ExportDecision:
    """The verdict; `transfer` is set when the block is to be exported."""

    reason: ExportReason
    transfer: Transfer | None = None


class ExportPolicy:
    """Decides exports of one target against its link's budget."""

    __slots__ = ('_settings', '_ghosts', '_budget')

    def __init__(
        self, settings: ExportSettings, ghosts: GhostList, budget: LinkBudget
    ) -> None:
        self._settings = settings
        self._ghosts = ghosts
        self._budget = budget

    def value(self, candidate: ExportCandidate) -> float:
        """Return the expected prefill milliseconds saved by each byte."""
        returns = self._expected_returns(candidate.key)
        return returns * candidate.prefill_ms / max(1, candidate.size_bytes)

    def is_worth(self, candidate: ExportCandidate) -> bool:
        """Return whether an export pays, whatever the budget allows now."""
        return self._reason(candidate) is ExportReason.WORTH_IT

    def decide(
        self, candidate: ExportCandidate, now_ms: float
    ) -> ExportDecision:
        """Decide on one block and grant its transfer if it is worth it."""
        reason = self._reason(candidate)
        if reason is not ExportReason.WORTH_IT:
            return ExportDecision(reason)
        transfer = self._budget.grant(candidate.size_bytes, now_ms, False)
        if transfer is None:
            return ExportDecision(ExportReason.LINK_BUDGET)
        return ExportDecision(reason, transfer)

    def in_order(
        self, candidates: list[ExportCandidate]
    ) -> list[ExportCandidate]:
        """Return what is worth exporting, best value for a byte first.

        Of equal value, blocks nearer to the start of their chains go first:
        a block can't be used without those before it.
        """
        worth = [
            candidate for candidate in candidates if self.is_worth(candidate)
        ]
        return sorted(worth, key=lambda c: (-self.value(c), c.depth))

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

    def _expected_returns(self, key: bytes) -> float:
        # What was seen n times returns n - 1 times in the time remembered.
        return max(0.5, self._ghosts.count(key) - 1.0)
