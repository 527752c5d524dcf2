"""A bounded queue that shares a target among teams by weight.

Start-time fair queueing: each team's next entry carries a virtual start
time, and the team with the least goes first. The cost of an entry is its
prefill in tokens. Entries wait in lanes: one that may not start yet (a long
prompt while prefill drains) holds up its own lane only. It keeps its virtual
time, so it goes first once it may.
"""

from collections.abc import Callable
from dataclasses import dataclass
import heapq
import itertools

from result import Err
from result import Ok
from result import Result

from wigeonmill.agent.team_queue import Item
from wigeonmill.agent.team_queue import Lane
from wigeonmill.agent.team_queue import QueueEntry
from wigeonmill.agent.team_queue import TeamQueue

# One step of priority is worth this much waiting within a team.
PRIORITY_STEP_MS = 10_000.0


@dataclass(frozen=True, slots=True)
class QueueFull:
    """The queue holds as much as it may; `queued_cost` is in tokens."""

    queued_cost: int


@dataclass(frozen=True, slots=True)
class Ahead:
    """Work that goes before a new entry; `tokens` are of prefill."""

    tokens: int
    entries: int


class FairQueue:
    """Orders waiting entries across and within teams."""

    __slots__ = (
        '_max_entries',
        '_pass_tokens',
        '_teams',
        '_deadlines',
        '_virtual',
        '_sequence',
        '_count',
        '_cost',
    )

    def __init__(self, max_entries: int, pass_tokens: int) -> None:
        self._max_entries = max_entries
        self._pass_tokens = pass_tokens
        self._teams: dict[str, TeamQueue] = {}
        self._deadlines: list[Item] = []
        self._virtual = 0.0
        self._sequence = itertools.count()
        self._count = 0
        self._cost = 0

    def __len__(self) -> int:
        return self._count

    @property
    def cost(self) -> int:
        """Prefill tokens of all waiting entries."""
        return self._cost

    def push(self, entry: QueueEntry) -> Result[QueueEntry | None, QueueFull]:
        """Add an entry.

        A full queue gives up an entry of the team that is furthest over its
        share, if that isn't the new entry's own team; the caller refuses the
        returned entry.
        """
        displaced = None
        if self._count >= self._max_entries:
            displaced = self._displaced_by(entry)
            if displaced is None:
                return Err(QueueFull(self._cost))
            self.remove(displaced)
        self._add(entry)
        return Ok(displaced)

    def pop(
        self, may_start: Callable[[QueueEntry], bool]
    ) -> QueueEntry | None:
        """Remove and return the next entry that `may_start` allows.

        It is asked for at most one entry of each team and lane. Once a long
        entry may not start, only teams that are at most `pass_tokens` ahead
        of its team in virtual time may pass it.
        """
        waiting = [team for team in self._teams.values() if team.count]
        passed_until = float('inf')
        for team in sorted(waiting, key=_order):
            if team.finish > passed_until:
                return None
            for _key, _sequence, entry in team.heads():
                if may_start(entry):
                    self._start(team, entry)
                    return entry
                if entry.lane is Lane.LONG:
                    limit = team.finish + self._pass_tokens
                    passed_until = min(passed_until, limit)
        return None

    def remove(self, entry: QueueEntry) -> bool:
        """Take a waiting entry out; False when it doesn't wait any more."""
        if not entry.queued:
            return False
        entry.queued = False
        team = self._teams[entry.team]
        team.change(entry, -1)
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

    def ahead(self, team: str, weight: int, lane: Lane) -> Ahead:
        """Return what is likely to be served before a new entry.

        That is the team's own entries and those of other teams whose
        virtual time comes first; short entries don't wait for long ones.
        """
        own = self._teams.get(team)
        tokens, entries = own.load(lane) if own else (0.0, 0.0)
        start = self._start_of_next(team, weight)
        for other in self._teams.values():
            if other.name == team or not other.count:
                continue
            share = other.share_before(start)
            other_tokens, other_entries = other.load(lane)
            tokens += share * other_tokens
            entries += share * other_entries
        return Ahead(int(tokens), int(entries))

    def goes_first(self, other: str, team: str, weight: int) -> bool:
        """Return whether a new entry of `other` goes before one of `team`."""
        other_start = self._start_of_next(other, weight)
        return other_start <= self._start_of_next(team, weight)

    def _start_of_next(self, name: str, weight: int) -> float:
        team = self._teams.get(name)
        if team is None:
            return self._virtual
        start = max(team.finish, self._virtual)
        return start + team.cost / weight

    def _add(self, entry: QueueEntry) -> None:
        team = self._teams.get(entry.team)
        if team is None:
            self._drop_idle_teams()
            team = TeamQueue(entry.team, entry.weight, finish=self._virtual)
            self._teams[entry.team] = team
        team.weight = entry.weight
        if not team.count:
            team.finish = max(team.finish, self._virtual)
        entry.queued = True
        sequence = next(self._sequence)
        rank = entry.enqueued_ms - entry.priority * PRIORITY_STEP_MS
        heap = team.lanes.setdefault(entry.lane, [])
        heapq.heappush(heap, (rank, sequence, entry))
        heapq.heappush(self._deadlines, (entry.deadline_ms, sequence, entry))
        team.change(entry, 1)
        self._cost += entry.cost
        self._count += 1

    def _start(self, team: TeamQueue, entry: QueueEntry) -> None:
        self._virtual = max(self._virtual, team.finish)
        team.finish += entry.cost / team.weight
        self.remove(entry)

    def _displaced_by(self, entry: QueueEntry) -> QueueEntry | None:
        most = max(self._teams.values(), key=_share, default=None)
        if most is None or most.name == entry.team:
            return None
        own = self._teams.get(entry.team)
        own_count = (own.count if own else 0) + 1
        if own_count / entry.weight >= _share(most):
            return None
        return most.last()

    def _drop_idle_teams(self) -> None:
        idle = [
            team.name
            for team in self._teams.values()
            if not team.count and team.finish <= self._virtual
        ]
        for name in idle:
            del self._teams[name]

    def _end_busy_period(self) -> None:
        self._virtual = 0.0
        self._teams.clear()
        self._deadlines.clear()

    def _compact_deadlines(self) -> None:
        self._deadlines = [item for item in self._deadlines if item[2].queued]
        heapq.heapify(self._deadlines)


def _order(team: TeamQueue) -> tuple[float, str]:
    return team.finish, team.name


def _share(team: TeamQueue) -> float:
    return team.count / team.weight
