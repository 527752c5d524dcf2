"""The entries of one team in the fair queue."""

from dataclasses import dataclass
from dataclasses import field
import enum
import heapq


class Lane(enum.Enum):
    """A class of entries that start under the same conditions."""

    SHORT = 'short'
    LONG = 'long'
    ALONE = 'alone'


@dataclass(slots=True, eq=False)
class QueueEntry:
    """A queued request; `cost` is its prefill in tokens (at least 1).

    `deadline_ms` is a time of the agent's clock. Within a team, entries of
    a higher `priority` are served first.
    """

    id: int
    team: str
    weight: int
    priority: int
    cost: int
    deadline_ms: float
    enqueued_ms: float
    lane: Lane = Lane.SHORT
    queued: bool = field(default=False, init=False)


# The rank within the team, the sequence number and the entry.
HeapItem = tuple[float, int, QueueEntry]


def heap_key(item: HeapItem) -> tuple[float, int]:
    """Return the sort key of a team's entries in the order of service."""
    return item[:2]


@dataclass(slots=True)
class TeamQueue:
    """A team's entries by lane.

    `finish_tag` is the virtual time at which its last started entry ends,
    and so the start tag of its next one.
    """

    name: str
    weight: int
    finish_tag: float = 0.0
    cost: int = 0
    count: int = 0
    short_cost: int = 0
    short_count: int = 0
    lanes: dict[Lane, list[HeapItem]] = field(default_factory=dict)

    def heads(self) -> list[HeapItem]:
        """Return the first entry of each lane in the order of service."""
        for heap in self.lanes.values():
            while heap and not heap[0][2].queued:
                heapq.heappop(heap)
        heads = [heap[0] for heap in self.lanes.values() if heap]
        return sorted(heads, key=heap_key)

    def work_before(self, lane: Lane) -> tuple[float, float]:
        """Return the tokens and entries that an entry of `lane` waits for."""
        if lane is not Lane.SHORT:
            return float(self.cost), float(self.count)
        return float(self.short_cost), float(self.short_count)

    def fraction_started_by(self, start: float) -> float:
        """Return the fraction of entries that start by virtual time `start`.

        The team must have entries.
        """
        if start < self.finish_tag:
            return 0.0
        mean = self.cost / self.count
        tokens = (start - self.finish_tag) * self.weight + mean
        return min(1.0, tokens / self.cost)

    def update_totals(self, entry: QueueEntry, sign: int) -> None:
        """Add an entry to the totals (`sign` 1) or subtract it (-1)."""
        self.cost += sign * entry.cost
        self.count += sign
        if entry.lane is Lane.SHORT:
            self.short_cost += sign * entry.cost
            self.short_count += sign

    def last_entry(self) -> QueueEntry:
        """Return the entry that would be served last."""
        items = [
            item
            for heap in self.lanes.values()
            for item in heap
            if item[2].queued
        ]
        return max(items, key=heap_key)[2]
