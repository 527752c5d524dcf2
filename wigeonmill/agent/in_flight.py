"""The runs that hold a slot at the target."""

from collections.abc import Iterator
from dataclasses import dataclass

from wigeonmill.agent.admission_types import AdmissionSettings
from wigeonmill.agent.admission_types import Ticket
from wigeonmill.agent.admission_types import TicketState


@dataclass(frozen=True, slots=True)
class PrefillWork:
    """Prefill of a target in tokens.

    `planned` leaves out what was expected in its cache; `most` counts whole
    prompts, as blocks may have been evicted unseen.
    """

    planned: int
    most: int


class InFlight:
    """Runs with a slot and the prefill that they still have to do."""

    __slots__ = (
        '_tickets',
        '_short_tokens',
        '_settle_ms',
        '_prefill',
        '_long_prefill',
        '_computed',
        '_prompted',
    )

    def __init__(self, settings: AdmissionSettings) -> None:
        self._short_tokens = settings.short_tokens
        self._settle_ms = settings.suspect_settle_ms
        self._tickets: dict[int, Ticket] = {}
        self._prefill = 0
        self._long_prefill = 0
        self._computed = 0
        self._prompted = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self) -> Iterator[Ticket]:
        return iter(self._tickets.values())

    @property
    def prefill(self) -> int:
        """Tokens of prefill in flight."""
        return self._prefill

    @property
    def short_prefill(self) -> int:
        """Tokens of prefill in flight by short runs."""
        return self._prefill - self._long_prefill

    @property
    def long_prefill(self) -> int:
        """Tokens of prefill in flight by runs that aren't short."""
        return self._long_prefill

    def work_since(self, ticket: Ticket) -> PrefillWork:
        """Return the prefill that ended since a run was started."""
        return PrefillWork(
            self._computed - ticket.computed_before,
            self._prompted - ticket.prompted_before,
        )

    @property
    def only_suspects(self) -> bool:
        """Whether no run is in flight that isn't a suspect."""
        return all(ticket.alone for ticket in self._tickets.values())

    def unsettled_suspect(self, now_ms: float) -> Ticket | None:
        """Return the suspect that may still crash the target by itself."""
        for ticket in self._tickets.values():
            if ticket.alone and not self._is_settled(ticket, now_ms):
                return ticket
        return None

    @property
    def streaming(self) -> bool:
        """Whether the target is sending an answer."""
        streaming = TicketState.STREAMING
        return any(t.state is streaming for t in self._tickets.values())

    def get(self, ticket_id: int) -> Ticket | None:
        """Return the run with this id."""
        return self._tickets.get(ticket_id)

    def add(self, ticket: Ticket) -> None:
        """Give a run a slot."""
        self._tickets[ticket.id] = ticket
        self._change_prefill(ticket, ticket.cost)

    def start(self, ticket: Ticket, now_ms: float) -> None:
        """Note that the target has a run from now on."""
        ticket.state = TicketState.STARTED
        ticket.started_ms = now_ms
        ticket.computed_before = self._computed
        ticket.prompted_before = self._prompted

    def end_prefill(self, ticket: Ticket) -> None:
        """Take a run's prefill as done."""
        if ticket.state is TicketState.STARTED:
            self._computed += ticket.cost
            self._prompted += ticket.request.prompt_tokens
        if ticket.state is not TicketState.STREAMING:
            ticket.state = TicketState.STREAMING
            self._change_prefill(ticket, -ticket.cost)

    def remove(self, ticket: Ticket) -> None:
        """Free a run's slot."""
        self.end_prefill(ticket)
        del self._tickets[ticket.id]

    def _is_settled(self, ticket: Ticket, now_ms: float) -> bool:
        if ticket.state is not TicketState.STREAMING:
            return False
        return now_ms - ticket.first_token_ms >= self._settle_ms

    def _change_prefill(self, ticket: Ticket, tokens: int) -> None:
        self._prefill += tokens
        if ticket.cost > self._short_tokens:
            self._long_prefill += tokens
