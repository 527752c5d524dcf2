"""Admitted requests that wait for imports or slots, and reservations."""

from collections.abc import Callable

from result import Err
from result import Ok
from result import Result

from wigeonmill.agent.admission_types import AdmissionSettings
from wigeonmill.agent.admission_types import RunRequest
from wigeonmill.agent.admission_types import Ticket
from wigeonmill.agent.admission_types import TicketState
from wigeonmill.agent.fair_queue import FairQueue
from wigeonmill.agent.fair_queue import QueueFull
from wigeonmill.agent.fair_queue import WorkAhead
from wigeonmill.agent.reservations import Reservations
from wigeonmill.agent.team_queue import Lane
from wigeonmill.agent.team_queue import QueueEntry


class WaitingList:
    """The fair queue of tickets, the importing tickets and reservations."""

    __slots__ = (
        'reservations',
        '_queue',
        '_queued',
        '_suspects',
        '_importing',
        '_settings',
    )

    def __init__(self, settings: AdmissionSettings) -> None:
        self.reservations = Reservations(settings.reservation_ms)
        self._queue = FairQueue(settings.max_queue, settings.overtake_tokens)
        self._settings = settings
        self._queued: dict[int, tuple[Ticket, QueueEntry]] = {}
        # Tickets that must run alone, in the order of their admission.
        self._suspects: dict[int, Ticket] = {}
        self._importing: dict[int, Ticket] = {}

    def __len__(self) -> int:
        return len(self._queued) + len(self._importing)

    def tickets(self) -> list[Ticket]:
        """Return all waiting tickets, queued or importing."""
        queued = [ticket for ticket, _entry in self._queued.values()]
        return queued + list(self._importing.values())

    def begin_import(self, ticket: Ticket) -> None:
        """Keep a ticket outside the queue until its import has ended."""
        ticket.state = TicketState.IMPORTING
        self._importing[ticket.id] = ticket

    def end_import(self, ticket_id: int) -> Ticket | None:
        """Return an importing ticket, to be pushed; None if it is unknown."""
        ticket = self._importing.pop(ticket_id, None)
        if ticket is not None:
            ticket.state = TicketState.QUEUED
        return ticket

    @property
    def suspect_count(self) -> int:
        """Number of queued tickets that must run alone."""
        return len(self._suspects)

    def suspect_tickets(self) -> list[Ticket]:
        """Return the queued tickets that must run alone."""
        return list(self._suspects.values())

    def overdue_suspect(self, now_ms: float) -> Ticket | None:
        """Return the suspect for which other starts are postponed, if any."""
        suspect = next(iter(self._suspects.values()), None)
        if suspect is None:
            return None
        waited_ms = now_ms - suspect.admitted_ms
        overdue = waited_ms >= self._settings.alone_wait_ms
        return suspect if overdue else None

    def has_capacity(self, request: RunRequest) -> bool:
        """Return whether there is a place for one more request of the team.

        When all places are taken, a team still gets one if its number of
        places divided by its weight is less than another team's number of
        places. When the request is admitted, it displaces an entry of the
        other team.
        """
        if (
            len(self._queue) + len(self.reservations)
            < self._settings.max_queue
        ):
            return True
        place_counts = self.reservations.team_counts()
        for ticket in self.tickets():
            team = ticket.request.team
            place_counts[team] = place_counts.get(team, 0) + 1
        own = place_counts.pop(request.team, 0) + 1
        return own / request.team_weight < max(
            place_counts.values(), default=0
        )

    def work_ahead(
        self, request: RunRequest, cost: int, alone: bool
    ) -> WorkAhead:
        """Estimate the work that is served before a new request.

        This includes the reservations and running imports of the same team
        and of teams that would be served first.
        """
        team, weight = request.team, request.team_weight
        queued = self._queue.work_ahead(
            team, weight, self._lane_of(cost, alone)
        )
        tokens, entries = queued.tokens, queued.entries
        pending_costs = self.reservations.team_costs()
        for ticket in self._importing.values():
            name = ticket.request.team
            pending_costs[name] = pending_costs.get(name, 0) + ticket.cost
        for name, pending_cost in pending_costs.items():
            if self._queue.precedes(name, team, weight):
                tokens += pending_cost
                entries += 1
        return WorkAhead(tokens, entries)

    def push(self, ticket: Ticket) -> Result[Ticket | None, QueueFull]:
        """Queue a ticket and return the one displaced by it, if any."""
        entry = self._entry_of(ticket)
        pushed = self._queue.push(entry)
        if pushed.is_err():
            return Err(pushed.unwrap_err())
        self._queued[ticket.id] = (ticket, entry)
        if ticket.alone:
            self._suspects[ticket.id] = ticket
        displaced = pushed.unwrap()
        if displaced is None:
            return Ok(None)
        return Ok(self._remove_queued(displaced))

    def pop(self, may_start: Callable[[Ticket], bool]) -> Ticket | None:
        """Remove and return the next ticket that `may_start` allows."""
        entry = self._queue.pop(
            lambda entry: may_start(self._queued[entry.id][0])
        )
        return None if entry is None else self._remove_queued(entry)

    def remove(self, ticket_id: int) -> Ticket | None:
        """Remove and return a ticket; None if it is not waiting."""
        found = self._queued.get(ticket_id)
        if found is None:
            return self._importing.pop(ticket_id, None)
        self._queue.remove(found[1])
        return self._remove_queued(found[1])

    def expire(self, now_ms: float) -> list[Ticket]:
        """Remove and return the tickets whose deadline has passed."""
        expired = [
            ticket
            for ticket in self._importing.values()
            if ticket.request.deadline_ms <= now_ms
        ]
        for ticket in expired:
            del self._importing[ticket.id]
        queued = self._queue.expire(now_ms)
        return expired + [self._remove_queued(entry) for entry in queued]

    def _remove_queued(self, entry: QueueEntry) -> Ticket:
        self._suspects.pop(entry.id, None)
        return self._queued.pop(entry.id)[0]

    def _entry_of(self, ticket: Ticket) -> QueueEntry:
        request = ticket.request
        return QueueEntry(
            ticket.id,
            request.team,
            request.team_weight,
            request.priority,
            ticket.cost,
            request.deadline_ms,
            ticket.admitted_ms,
            self._lane_of(ticket.cost, ticket.alone),
        )

    def _lane_of(self, cost: int, alone: bool) -> Lane:
        if alone:
            return Lane.ALONE
        short = cost <= self._settings.short_tokens
        return Lane.SHORT if short else Lane.LONG
