"""A bounded queue that shares a target among teams by weight.

It implements start-time fair queueing: each team's next entry has a virtual
start time, and the team with the lowest one is served first. The cost of an
entry is its prefill in tokens. Entries wait in lanes: an entry that may not
start yet, such as a long prompt while prefill is in progress, blocks only its
own lane. It keeps its virtual start time, so it is served first as soon as it
may start.
"""

from collections.abc import Callable
from dataclasses import dataclass
import heapq
import itertools

from result import Err
from result import Ok
from result import Result

from wigeonmill.agent.team_queue import HeapItem
from wigeonmill.agent.team_queue import Lane
from wigeonmill.agent.team_queue import QueueEntry
from wigeonmill.agent.team_queue import TeamQueue

# Within a team, one priority level counts as this much waiting time, so that
# a lower priority is not starved.
PRIORITY_STEP_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class QueueFull:
    """The queue has no free place; `queued_cost` is in prefill tokens."""

    queued_cost: int


@dataclass(frozen=True, slots=True)
class WorkAhead:
    """Work served before a new entry; `tokens` are of prefill."""

    tokens: int
    entries: int


class FairQueue:
    """Orders queued entries across and within teams."""

    __slots__ = (
        '_max_entries',
        '_overtake_tokens',
        '_teams',
        '_deadlines',
        '_virtual_time',
        '_sequence',
        '_count',
        '_cost',
    )

    def __init__(self, max_entries: int, overtake_tokens: int) -> None:
        self._max_entries = max_entries
        self._overtake_tokens = overtake_tokens
        self._teams: dict[str, TeamQueue] = {}
        self._deadlines: list[HeapItem] = []
        self._virtual_time = 0.0
        self._sequence = itertools.count()
        self._count = 0
        self._cost = 0

    def __len__(self) -> int:
        return self._count

    @property
    def cost(self) -> int:
        """Prefill tokens of all queued entries."""
        return self._cost

    def push(self, entry: QueueEntry) -> Result[QueueEntry | None, QueueFull]:
        """Add an entry and return the one displaced by it, if any.

        A full queue displaces an entry of the team that exceeds its share
        most, unless that is the new entry's own team. The caller refuses the
        displaced entry.
        """
        displaced = None
        if self._count >= self._max_entries:
            displaced = self._entry_to_displace(entry)
            if displaced is None:
                return Err(QueueFull(self._cost))
            self.remove(displaced)
        self._add(entry)
        return Ok(displaced)

    def pop(
        self, may_start: Callable[[QueueEntry], bool]
    ) -> QueueEntry | None:
        """Remove and return the next entry that `may_start` allows.

        `may_start` is called for at most one entry of each team and lane. If
        a long entry may not start, only teams that are at most
        `overtake_tokens` ahead of its team in virtual time may overtake it.
        """
        waiting = [team for team in self._teams.values() if team.count]
        overtake_limit = float('inf')
        for team in sorted(waiting, key=_by_finish_tag):
            if team.finish_tag > overtake_limit:
                return None
            for _key, _sequence, entry in team.heads():
                if may_start(entry):
                    self._start(team, entry)
                    return entry
                if entry.lane is Lane.LONG:
                    limit = team.finish_tag + self._overtake_tokens
                    overtake_limit = min(overtake_limit, limit)
        return None

    def remove(self, entry: QueueEntry) -> bool:
        """Remove a queued entry; return False if it is not queued."""
        if not entry.queued:
            return False
        entry.queued = False
        team = self._teams[entry.team]
        team.update_totals(entry, -1)
        self._cost -= entry.cost
        self._count -= 1
        if not self._count:
            self._end_busy_period()
        elif len(self._deadlines) > 2 * self._max_entries:
            self._compact_deadlines()
        return True

    def expire(self, now_ms: float) -> list[QueueEntry]:
        """Remove and return the entries whose deadline has passed."""
        expired = []
        while self._deadlines and self._deadlines[0][0] <= now_ms:
            entry = heapq.heappop(self._deadlines)[2]
            if self.remove(entry):
                expired.append(entry)
        return expired

    def work_ahead(self, team: str, weight: int, lane: Lane) -> WorkAhead:
        """Estimate the work that is served before a new entry.

        This counts the team's own entries and those of other teams that
        start at an earlier virtual time. Short entries don't wait for long
        ones.
        """
        own = self._teams.get(team)
        tokens, entries = own.work_before(lane) if own else (0.0, 0.0)
        start = self._next_start_time(team, weight)
        for other in self._teams.values():
            if other.name == team or not other.count:
                continue
            fraction = other.fraction_started_by(start)
            other_tokens, other_entries = other.work_before(lane)
            tokens += fraction * other_tokens
            entries += fraction * other_entries
        return WorkAhead(int(tokens), int(entries))

    def precedes(self, other: str, team: str, weight: int) -> bool:
        """Return whether a new entry of `other` precedes one of `team`."""
        other_start = self._next_start_time(other, weight)
        return other_start <= self._next_start_time(team, weight)

    def _next_start_time(self, name: str, weight: int) -> float:
        team = self._teams.get(name)
        if team is None:
            return self._virtual_time
        start = max(team.finish_tag, self._virtual_time)
        return start + team.cost / weight

    def _add(self, entry: QueueEntry) -> None:
        team = self._teams.get(entry.team)
        if team is None:
            self._drop_idle_teams()
            team = TeamQueue(
                entry.team, entry.weight, finish_tag=self._virtual_time
            )
            self._teams[entry.team] = team
        team.weight = entry.weight
        if not team.count:
            team.finish_tag = max(team.finish_tag, self._virtual_time)
        entry.queued = True
        sequence = next(self._sequence)
        rank = entry.enqueued_ms - entry.priority * PRIORITY_STEP_MS
        heap = team.lanes.setdefault(entry.lane, [])
        heapq.heappush(heap, (rank, sequence, entry))
        heapq.heappush(self._deadlines, (entry.deadline_ms, sequence, entry))
        team.update_totals(entry, 1)
        self._cost += entry.cost
        self._count += 1

    def _start(self, team: TeamQueue, entry: QueueEntry) -> None:
        self._virtual_time = max(self._virtual_time, team.finish_tag)
        team.finish_tag += entry.cost / team.weight
        self.remove(entry)

    def _entry_to_displace(self, entry: QueueEntry) -> QueueEntry | None:
        largest = max(self._teams.values(), key=_weighted_count, default=None)
        if largest is None or largest.name == entry.team:
            return None
        own = self._teams.get(entry.team)
        own_count = (own.count if own else 0) + 1
        if own_count / entry.weight >= _weighted_count(largest):
            return None
        return largest.last_entry()

    def _drop_idle_teams(self) -> None:
        idle = [
            team.name
            for team in self._teams.values()
            if not team.count and team.finish_tag <= self._virtual_time
        ]
        for name in idle:
            del self._teams[name]

    def _end_busy_period(self) -> None:
        self._virtual_time = 0.0
        self._teams.clear()
        self._deadlines.clear()

    def _compact_deadlines(self) -> None:
        self._deadlines = [item for item in self._deadlines if item[2].queued]
        heapq.heapify(self._deadlines)


def _by_finish_tag(team: TeamQueue) -> tuple[float, str]:
    return team.finish_tag, team.name


def _weighted_count(team: TeamQueue) -> float:
    return team.count / team.weight
