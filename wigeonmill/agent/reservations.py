"""Places held for offers until the entry takes them or they lapse."""

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Reservation:
    """A place; `cost` is the prefill in tokens it stands for."""

    id: int
    team: str
    cost: int
    expires_ms: float


class Reservations:
    """All open reservations, which last equally long."""

    __slots__ = (
        '_term_ms',
        '_open',
        '_order',
        '_next_id',
        '_team_counts',
        '_cost',
    )

    def __init__(self, term_ms: float) -> None:
        self._term_ms = term_ms
        self._open: dict[int, Reservation] = {}
        self._order: deque[Reservation] = deque()
        self._next_id = 1
        self._team_counts: dict[str, int] = {}
        self._cost = 0

    def __len__(self) -> int:
        return len(self._open)

    @property
    def cost(self) -> int:
        """Prefill tokens of all open reservations."""
        return self._cost

    def team_counts(self) -> dict[str, int]:
        """Return the number of open reservations by team."""
        return dict(self._team_counts)

    def team_costs(self) -> dict[str, int]:
        """Return the prefill tokens of open reservations by team."""
        costs: dict[str, int] = {}
        for held in self._open.values():
            costs[held.team] = costs.get(held.team, 0) + held.cost
        return costs

    def reserve(self, team: str, cost: int, now_ms: float) -> Reservation:
        """Hold a place for the usual term."""
        expires_ms = now_ms + self._term_ms
        held = Reservation(self._next_id, team, cost, expires_ms)
        self._next_id += 1
        self._open[held.id] = held
        self._order.append(held)
        self._cost += cost
        self._team_counts[team] = self._team_counts.get(team, 0) + 1
        return held

    def take(self, reservation: int) -> Reservation | None:
        """Close a reservation; None when it has lapsed or is unknown."""
        held = self._open.pop(reservation, None)
        if held is None:
            return None
        self._cost -= held.cost
        left = self._team_counts[held.team] - 1
        if left:
            self._team_counts[held.team] = left
        else:
            del self._team_counts[held.team]
        return held

    def expire(self, now_ms: float) -> int:
        """Close what has lapsed and return how many that were."""
        lapsed = 0
        while self._order and self._order[0].expires_ms <= now_ms:
            if self.take(self._order.popleft().id) is not None:
                lapsed += 1
        return lapsed
