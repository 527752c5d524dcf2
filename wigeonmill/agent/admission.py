"""Admission control: decides what a target runs and when, and what it refuses.

All requests of a target pass through one `Admission`, so that its state is
exact. The calls for a request are `offer` (optional), `admit`,
`next_runnable`, `started`, `first_token` and `finished`. Nothing here does
I/O.
"""

from result import Err
from result import Ok
from result import Result

from wigeonmill.agent.admission_types import AdmissionCounts
from wigeonmill.agent.admission_types import AdmissionSettings
from wigeonmill.agent.admission_types import Admitted
from wigeonmill.agent.admission_types import Offer
from wigeonmill.agent.admission_types import OutcomeKind
from wigeonmill.agent.admission_types import Refusal
from wigeonmill.agent.admission_types import RefusalReason
from wigeonmill.agent.admission_types import RefusedTicket
from wigeonmill.agent.admission_types import RunOutcome
from wigeonmill.agent.admission_types import RunRequest
from wigeonmill.agent.admission_types import Ticket
from wigeonmill.agent.admission_types import TicketState
from wigeonmill.agent.in_flight import InFlight
from wigeonmill.agent.offer_pricing import OfferPricing
from wigeonmill.agent.quarantine import Quarantine
from wigeonmill.agent.service_state import ServiceState
from wigeonmill.agent.start_rules import StartRules
from wigeonmill.agent.suspects import Suspects
from wigeonmill.agent.target_health import make_target_health
from wigeonmill.agent.target_health import TargetHealth
from wigeonmill.agent.waiting_list import WaitingList
from wigeonmill.cache.tiers import TierPlan
from wigeonmill.clock import Clock


class Admission:
    """Admits, orders and limits the requests of one target.

    Health reports go to `health.on_report`; everything else goes through
    the methods of this class.
    """

    __slots__ = (
        'health',
        'counts',
        '_clock',
        '_pricing',
        '_start_rules',
        '_suspects',
        '_state',
        '_waiting',
        '_in_flight',
        '_refused',
        '_next_id',
    )

    def __init__(
        self,
        clock: Clock,
        settings: AdmissionSettings,
        health: TargetHealth,
        quarantine: Quarantine,
    ) -> None:
        self.health = health
        self.counts = AdmissionCounts()
        self._clock = clock
        self._state = ServiceState(clock, quarantine)
        self._waiting = WaitingList(settings)
        self._in_flight = InFlight(settings)
        self._pricing = OfferPricing(
            settings, health, self._waiting, self._in_flight
        )
        self._start_rules = StartRules(
            settings, self._waiting, self._in_flight
        )
        self._suspects = Suspects(clock, quarantine, self._in_flight)
        self._refused: list[RefusedTicket] = []
        self._next_id = 1

    @property
    def quarantine(self) -> Quarantine:
        """The requests that are suspected or known to crash targets."""
        return self._state.quarantine

    @property
    def weight_version(self) -> str:
        """The weight version of new runs."""
        return self._state.weight_version

    @property
    def limit(self) -> int:
        """Number of runs that may hold a slot now."""
        return self.health.limit

    @property
    def in_flight(self) -> list[Ticket]:
        """The tickets that hold a slot."""
        return list(self._in_flight)

    @property
    def running(self) -> int:
        """Number of runs that hold a slot."""
        return len(self._in_flight)

    @property
    def queued(self) -> int:
        """Number of admitted requests that wait for a slot or an import."""
        return len(self._waiting)

    @property
    def reserved(self) -> int:
        """Number of open reservations."""
        return len(self._waiting.reservations)

    def set_weight_version(self, weight_version: str) -> None:
        """Set the version that the target reports ('' if none).

        Runs in flight keep their version; waiting requests for another
        version are refused.
        """
        self._state.weight_version = weight_version
        self.health.on_weight_version(weight_version)
        for ticket in self._waiting.tickets():
            if not self._state.serves(ticket.request.weight_version):
                self._refuse_waiting(ticket, RefusalReason.WEIGHT_VERSION)

    def set_draining(self, draining: bool) -> None:
        """Start or stop draining.

        While the target drains, new and waiting requests are refused and
        runs in flight continue.
        """
        self._state.draining = draining
        if draining:
            self._refuse_all_waiting(RefusalReason.DRAINING)

    def set_in_service(self, in_service: bool) -> None:
        """Apply whether the configuration has the target in service."""
        self._state.in_service = in_service
        if not in_service:
            self._refuse_all_waiting(RefusalReason.NOT_IN_SERVICE)

    def offer(
        self, request: RunRequest, plan: TierPlan, reserve: bool = True
    ) -> Result[Offer, Refusal]:
        """Return the target's offer to a request and reserve a place."""
        now_ms = self._clock.now_ms()
        self._expire(now_ms)
        refusal = self._check_request(request)
        if refusal is not None:
            return self._refuse_now(refusal)
        alone = self._state.must_run_alone(request)
        expected = self._pricing.estimate(request, plan, alone, now_ms)
        late_ms = now_ms + expected.first_token_ms - request.deadline_ms
        if late_ms > 0.0:
            wait_ms = int(min(late_ms, expected.wait_ms))
            deadline_refusal = Refusal(RefusalReason.DEADLINE, wait_ms)
            return self._refuse_now(deadline_refusal)
        self.counts.offers += 1
        return Ok(
            self._pricing.make_offer(request, plan, expected, reserve, now_ms)
        )

    def release(self, reservation: int) -> None:
        """Release a reservation before it expires."""
        self._waiting.reservations.close(reservation)

    def admit(
        self,
        request: RunRequest,
        plan: TierPlan,
        reservation: int = 0,
        importing: bool = False,
    ) -> Result[Admitted, Refusal]:
        """Admit a request, with or without the reservation of an offer.

        With `importing` it waits outside the queue until `imported`, so
        that its import delays no other request and holds no slot.
        """
        now_ms = self._clock.now_ms()
        self._expire(now_ms)
        reservation_used = self._waiting.reservations.close(reservation)
        refusal = self._check_request(
            request, has_place=reservation_used is not None
        )
        if refusal is not None:
            return self._refuse_now(refusal)
        ticket = self._make_ticket(request, plan, now_ms)
        if importing:
            self._waiting.begin_import(ticket)
        elif not self._push(ticket):
            queue_full = self._pricing.capacity_refusal(
                RefusalReason.QUEUE_FULL
            )
            return self._refuse_now(queue_full)
        self._suspects.consume_retry(ticket)
        self.counts.admitted += 1
        return Ok(Admitted(ticket))

    def imported(self, ticket_id: int, plan: TierPlan) -> bool:
        """Queue a ticket whose import was completed or cut off.

        `plan` reflects what was imported. Returns False if the ticket is
        refused, or was refused or withdrawn during the import.
        """
        ticket = self._waiting.end_import(ticket_id)
        if ticket is None:
            return False
        ticket.plan = plan
        if self._push(ticket):
            return True
        self._add_refused(ticket, RefusalReason.QUEUE_FULL)
        return False

    def next_runnable(self) -> Ticket | None:
        """Give a slot to the next waiting request that may start, if any."""
        now_ms = self._clock.now_ms()
        self._expire(now_ms)
        if not self.health.reachable:
            return None
        limit = self.health.start_limit(self._in_flight.streaming)
        ticket = self._start_rules.next_ticket(limit, now_ms)
        if ticket is None:
            return None
        ticket.state = TicketState.RUNNABLE
        self._in_flight.add(ticket)
        return ticket

    def started(self, ticket_id: int) -> Result[Ticket, Refusal]:
        """Check a runnable ticket once more and record its start.

        This must be called right before the request is sent to the target.
        On an error the ticket's slot is free again and it was not run.
        """
        ticket = self._in_flight.get(ticket_id)
        if ticket is None or ticket.state is not TicketState.RUNNABLE:
            raise ValueError(f'ticket {ticket_id} is not runnable')
        reason = self._start_refusal_reason(ticket)
        if reason is not None:
            self._in_flight.remove(ticket)
            self._suspects.restore_retry(ticket)
            return self._refuse_now(Refusal(reason))
        self._in_flight.start(ticket, self._clock.now_ms())
        self.counts.started += 1
        return Ok(ticket)

    def first_token(self, ticket_id: int) -> None:
        """Process the first token of a started run."""
        ticket = self._in_flight.get(ticket_id)
        if ticket is None or ticket.state is not TicketState.STARTED:
            raise ValueError(f'ticket {ticket_id} is not in prefill')
        ticket.first_token_ms = self._clock.now_ms()
        self._in_flight.record_prefill_end(ticket)
        took_ms = ticket.first_token_ms - ticket.started_ms
        # The target may have computed more urgent runs first, whether they
        # started before or after this one.
        work = self._in_flight.prefill_since_start(ticket)
        ticket.first_token_healthy = self.health.on_first_token(work, took_ms)

    def finished(self, ticket_id: int, outcome: RunOutcome) -> None:
        """Process the end of a run that holds a slot."""
        ticket = self._in_flight.get(ticket_id)
        if ticket is None:
            raise ValueError(f'ticket {ticket_id} holds no slot')
        if outcome.kind is OutcomeKind.CRASHED and not ticket.blamed:
            self.on_target_crashed()
        elif outcome.kind is OutcomeKind.UNREACHABLE:
            self.on_connection_failed()
        state = ticket.state
        self._in_flight.remove(ticket)
        self._record_outcome(ticket, state, outcome)
        self.counts.finished += 1
        outcomes = self.counts.outcomes
        outcomes[outcome.kind] = outcomes.get(outcome.kind, 0) + 1

    def withdraw(self, ticket_id: int) -> bool:
        """Remove a waiting request of a disconnected caller.

        Returns False if the request is not waiting.
        """
        ticket = self._waiting.remove(ticket_id)
        if ticket is not None:
            self._suspects.restore_retry(ticket)
        return ticket is not None

    def take_refused(self) -> list[RefusedTicket]:
        """Return and clear the tickets that were refused while waiting."""
        refused = self._refused
        self._refused = []
        return refused

    def on_connection_failed(self) -> None:
        """Process a connection that the target refused or reset."""
        self.health.on_connection_failed()
        self._refuse_all_waiting(RefusalReason.UNREACHABLE)

    def on_target_crashed(self) -> list[bytes]:
        """Blame the runs at the target for its crash, each run once.

        If a suspect has not settled, only that one is blamed. Returns the
        fingerprints that this crash has put in quarantine.
        """
        blamed = self._suspects.on_crash()
        self.on_connection_failed()
        return blamed

    def _check_request(
        self, request: RunRequest, has_place: bool = False
    ) -> Refusal | None:
        reason = self._state.refusal_reason(request)
        if reason is not None:
            return Refusal(reason)
        if not self.health.reachable:
            return Refusal(RefusalReason.UNREACHABLE)
        if has_place:
            return None
        return self._pricing.check_capacity(request)

    def _push(self, ticket: Ticket) -> bool:
        pushed = self._waiting.push(ticket)
        if pushed.is_err():
            return False
        displaced = pushed.unwrap()
        if displaced is not None:
            self._add_refused(displaced, RefusalReason.QUEUE_FULL)
        return True

    def _make_ticket(
        self, request: RunRequest, plan: TierPlan, now_ms: float
    ) -> Ticket:
        ticket = Ticket(
            self._next_id,
            request,
            plan,
            request.weight_version or self._state.weight_version,
            self._state.must_run_alone(request),
            now_ms,
        )
        self._next_id += 1
        return ticket

    def _start_refusal_reason(self, ticket: Ticket) -> RefusalReason | None:
        if not self.health.reachable:
            return RefusalReason.UNREACHABLE
        return self._state.start_refusal_reason(ticket)

    def _record_outcome(
        self, ticket: Ticket, state: TicketState, outcome: RunOutcome
    ) -> None:
        now_ms = self._clock.now_ms()
        if outcome.kind is OutcomeKind.OVERLOADED:
            self.health.on_overloaded()
        elif outcome.kind is OutcomeKind.COMPLETED:
            self._suspects.on_healthy(ticket)
            self.health.on_completed(ticket.first_token_healthy)
            streamed = state is TicketState.STREAMING
            self.health.estimator.on_finished(
                now_ms - ticket.started_ms,
                outcome.answer_tokens if streamed else 0,
                now_ms - ticket.first_token_ms,
            )
        elif outcome.kind is not OutcomeKind.CRASHED:
            self._suspects.restore_retry(ticket)

    def _expire(self, now_ms: float) -> None:
        expired = self._waiting.reservations.expire(now_ms)
        self.counts.expired_reservations += expired
        for ticket in self._waiting.expire(now_ms):
            self._add_refused(ticket, RefusalReason.DEADLINE)
        for ticket in self._waiting.suspect_tickets():
            reason = self._state.refusal_reason(ticket.request)
            if reason is RefusalReason.QUARANTINED:
                # Another copy of the request has crashed a target since.
                self._refuse_waiting(ticket, reason)

    def _refuse_all_waiting(self, reason: RefusalReason) -> None:
        for ticket in self._waiting.tickets():
            self._refuse_waiting(ticket, reason)

    def _refuse_waiting(self, ticket: Ticket, reason: RefusalReason) -> None:
        self._waiting.remove(ticket.id)
        self._add_refused(ticket, reason)

    def _add_refused(self, ticket: Ticket, reason: RefusalReason) -> None:
        self._suspects.restore_retry(ticket)
        self._count_refusal(reason)
        self._refused.append(RefusedTicket(ticket, Refusal(reason)))

    def _refuse_now(self, refusal: Refusal) -> Err[Refusal]:
        self._count_refusal(refusal.reason)
        return Err(refusal)

    def _count_refusal(self, reason: RefusalReason) -> None:
        refusals = self.counts.refusals
        refusals[reason] = refusals.get(reason, 0) + 1


def make_admission(
    clock: Clock,
    settings: AdmissionSettings,
    quarantine: Quarantine | None = None,
) -> Admission:
    """Return the admission of a target that has not been observed yet."""
    health = make_target_health(clock, settings)
    return Admission(clock, settings, health, quarantine or Quarantine())
