"""The statistics of one policy in one scene."""

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
    """The result of one request; `ttft_ms` is None without a first token."""

    request: SimRequest
    ttft_ms: float | None = None
    finished: bool = False
    refusal: str = ''


@dataclass(slots=True)
class SceneStats:
    """The request records and the counters of one run."""

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
        """Return the record of a request; create it on first use."""
        found = self.records.get(req.id)
        if found is None:
            found = RequestRecord(req)
            self.records[req.id] = found
        return found

    def refuse(self, req: SimRequest, reason: str) -> None:
        """Count a refusal that was returned to the caller."""
        self.refusals[reason] += 1
        self.record(req).refusal = reason

    def recomputed_share(self) -> float:
        """Return the ratio of recomputed tokens to prompt tokens."""
        return self.recomputed_tokens / max(1, self.prompt_tokens)

    def waits(self, chosen: Callable[[RequestRecord], bool]) -> list[float]:
        """Return the sorted times to first token of the chosen requests.

        A request that did not finish counts with its full deadline.
        """
        return sorted(
            _time_to_first_token(record)
            for record in self.records.values()
            if chosen(record)
        )


def _time_to_first_token(record: RequestRecord) -> float:
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
