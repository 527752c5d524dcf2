"""Queue places reserved for offers until an entry uses them or they expire."""

from collections import deque
from dataclasses import dataclass


@dataclass(slots=True, eq=False)
class Reservation:
    """A reserved place; `cost` is the prefill of its request in tokens."""

    id: int
    team: str
    cost: int
    expires_ms: float


class Reservations:
    """All open reservations; each expires after the same time."""

    __slots__ = (
        '_ttl_ms',
        '_open',
        '_order',
        '_next_id',
        '_team_counts',
        '_cost',
    )

    def __init__(self, ttl_ms: float) -> None:
        self._ttl_ms = ttl_ms
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
        """Return the number of open reservations of each team."""
        return dict(self._team_counts)

    def team_costs(self) -> dict[str, int]:
        """Return the prefill tokens of each team's open reservations."""
        costs: dict[str, int] = {}
        for place in self._open.values():
            costs[place.team] = costs.get(place.team, 0) + place.cost
        return costs

    def reserve(self, team: str, cost: int, now_ms: float) -> Reservation:
        """Reserve a place for a request of the team."""
        expires_ms = now_ms + self._ttl_ms
        reservation = Reservation(self._next_id, team, cost, expires_ms)
        self._next_id += 1
        self._open[reservation.id] = reservation
        self._order.append(reservation)
        self._cost += cost
        self._team_counts[team] = self._team_counts.get(team, 0) + 1
        return reservation

    def close(self, reservation_id: int) -> Reservation | None:
        """Close a reservation; return None if it expired or is unknown."""
        reservation = self._open.pop(reservation_id, None)
        if reservation is None:
            return None
        self._cost -= reservation.cost
        remaining = self._team_counts[reservation.team] - 1
        if remaining:
            self._team_counts[reservation.team] = remaining
        else:
            del self._team_counts[reservation.team]
        return reservation

    def expire(self, now_ms: float) -> int:
        """Close the expired reservations and return their number."""
        expired = 0
        while self._order and self._order[0].expires_ms <= now_ms:
            if self.close(self._order.popleft().id) is not None:
                expired += 1
        return expired
