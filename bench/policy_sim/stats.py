"""What a run of one policy through one scene showed."""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import math

from bench.policy_sim.model import SimRequest

PERCENTILES = (50, 95, 99)


@dataclass(slots=True)
class RequestRecord:
    """How one request fared; `ttft_ms` is None without a first token."""

    request: SimRequest
    ttft_ms: float | None = None
    finished: bool = False
    refusal: str = ''


@dataclass(slots=True)
class SceneStats:
    """Records and counters of one run."""

    records: dict[int, RequestRecord] = field(default_factory=dict)
    refusals: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    retries: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    denials: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    violations: collections.Counter[str] = field(
        default_factory=collections.Counter
    )
    prompt_tokens: int = 0
    recomputed_tokens: int = 0
    imported_blocks: int = 0
    exported_blocks: int = 0

    def record(self, req: SimRequest) -> RequestRecord:
        """Return the record of a request, made on first use."""
        found = self.records.get(req.id)
        if found is None:
            found = RequestRecord(req)
            self.records[req.id] = found
        return found

    def refuse(self, req: SimRequest, reason: str) -> None:
        """Count a refusal that the caller saw."""
        self.refusals[reason] += 1
        self.record(req).refusal = reason

    def recomputed_share(self) -> float:
        """Return recomputed tokens by prompt tokens."""
        return self.recomputed_tokens / max(1, self.prompt_tokens)

    def waits(self, chosen: Callable[[RequestRecord], bool]) -> list[float]:
        """Return sorted times to first token of the chosen requests.

        A request without a first token counts with its whole deadline.
        """
        return sorted(
            _wait(record) for record in self.records.values() if chosen(record)
        )


def _wait(record: RequestRecord) -> float:
    if record.ttft_ms is not None and record.finished:
        return record.ttft_ms
    return record.request.deadline_ms - record.request.arrival_ms


def percentile(ordered: list[float], percent: float) -> float:
    """Return the value at `percent` of a sorted list (nearest rank)."""
    if not ordered:
        return 0.0
    rank = max(1, math.ceil(len(ordered) * percent / 100.0))
    return ordered[rank - 1]


def share_within(waits: Iterable[float], limit_ms: float) -> float:
    """Return the share of times that are at most `limit_ms`."""
    values = list(waits)
    if not values:
        return 1.0
    return sum(value <= limit_ms for value in values) / len(values)
