"""One team's part of the fair queue."""

from dataclasses import dataclass
from dataclasses import field
import enum
import heapq


class Lane(enum.Enum):
    """Entries that may start under the same conditions."""

    SHORT = 'short'
    LONG = 'long'
    ALONE = 'alone'


@dataclass(slots=True, eq=False)
class QueueEntry:
    """Work that waits; `cost` is its prefill in tokens (at least 1).

    `deadline_ms` is on the clock's time. Among entries of one team, a
    higher `priority` goes first.
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


# Rank within the team, sequence number, entry.
Item = tuple[float, int, QueueEntry]


def rank(item: Item) -> tuple[float, int]:
    """Return what orders a team's entries, least first."""
    return item[:2]


@dataclass(slots=True)
class TeamQueue:
    """A team's entries by lane; `finish` is its virtual time."""

    name: str
    weight: int
    finish: float = 0.0
    cost: int = 0
    count: int = 0
    short_cost: int = 0
    short_count: int = 0
    lanes: dict[Lane, list[Item]] = field(default_factory=dict)

    def heads(self) -> list[Item]:
        """Return the first entry of each lane, best first."""
        for heap in self.lanes.values():
            while heap and not heap[0][2].queued:
                heapq.heappop(heap)
        heads = [heap[0] for heap in self.lanes.values() if heap]
        return sorted(heads, key=rank)

    def load(self, lane: Lane) -> tuple[float, float]:
        """Return tokens and entries that an entry of `lane` waits for."""
        if lane is not Lane.SHORT:
            return float(self.cost), float(self.count)
        return float(self.short_cost), float(self.short_count)

    def share_before(self, start: float) -> float:
        """Return the share of the team's entries that start by `start`."""
        if start < self.finish:
            return 0.0
        mean = self.cost / self.count
        tokens = (start - self.finish) * self.weight + mean
        return min(1.0, tokens / self.cost)

    def change(self, entry: QueueEntry, sign: int) -> None:
        """Count an entry that came (1) or left (-1)."""
        self.cost += sign * entry.cost
        self.count += sign
        if entry.lane is Lane.SHORT:
            self.short_cost += sign * entry.cost
            self.short_count += sign

    def last(self) -> QueueEntry:
        """Return the entry that would go last."""
        items = [
            item
            for heap in self.lanes.values()
            for item in heap
            if item[2].queued
        ]
        return max(items, key=rank)[2]
