"""The runs that hold a slot at the target."""

from collections.abc import Iterator
from dataclasses import dataclass

from wigeonmill.agent.admission_types import AdmissionSettings
from wigeonmill.agent.admission_types import Ticket
from wigeonmill.agent.admission_types import TicketState


@dataclass(frozen=True, slots=True)
class PrefillWork:
    """Prefill done by a target, in tokens.

    `expected` leaves out the tokens that were expected in the cache;
    `upper_bound` counts whole prompts, because blocks may have been evicted
    without the agent's knowledge.
    """

    expected: int
    upper_bound: int


class InFlight:
    """The runs that hold a slot and their remaining prefill."""

    __slots__ = (
        '_tickets',
        '_short_tokens',
        '_settle_ms',
        '_prefill_tokens',
        '_long_prefill_tokens',
        '_computed_tokens',
        '_prompt_tokens',
    )

    def __init__(self, settings: AdmissionSettings) -> None:
        self._short_tokens = settings.short_tokens
        self._settle_ms = settings.suspect_settle_ms
        self._tickets: dict[int, Ticket] = {}
        self._prefill_tokens = 0
        self._long_prefill_tokens = 0
        self._computed_tokens = 0
        self._prompt_tokens = 0

    def __len__(self) -> int:
        return len(self._tickets)

    def __iter__(self) -> Iterator[Ticket]:
        return iter(self._tickets.values())

    @property
    def prefill_tokens(self) -> int:
        """Tokens of prefill in flight."""
        return self._prefill_tokens

    @property
    def short_prefill_tokens(self) -> int:
        """Tokens of prefill in flight in short runs."""
        return self._prefill_tokens - self._long_prefill_tokens

    @property
    def long_prefill_tokens(self) -> int:
        """Tokens of prefill in flight in runs that aren't short."""
        return self._long_prefill_tokens

    def prefill_since_start(self, ticket: Ticket) -> PrefillWork:
        """Return the prefill completed since the run was started."""
        return PrefillWork(
            self._computed_tokens - ticket.computed_tokens_at_start,
            self._prompt_tokens - ticket.prompt_tokens_at_start,
        )

    @property
    def only_suspects(self) -> bool:
        """Whether all runs in flight are suspects."""
        return all(ticket.alone for ticket in self._tickets.values())

    def unsettled_suspect(self, now_ms: float) -> Ticket | None:
        """Return the suspect that may still crash the target, if any."""
        for ticket in self._tickets.values():
            if ticket.alone and not self._is_settled(ticket, now_ms):
                return ticket
        return None

    @property
    def streaming(self) -> bool:
        """Whether the target is streaming an answer."""
        streaming = TicketState.STREAMING
        return any(t.state is streaming for t in self._tickets.values())

    def get(self, ticket_id: int) -> Ticket | None:
        """Return the run with this id; None if it holds no slot."""
        return self._tickets.get(ticket_id)

    def add(self, ticket: Ticket) -> None:
        """Give a slot to a run."""
        self._tickets[ticket.id] = ticket
        self._adjust_prefill(ticket, ticket.cost)

    def start(self, ticket: Ticket, now_ms: float) -> None:
        """Record that a run is sent to the target."""
        ticket.state = TicketState.STARTED
        ticket.started_ms = now_ms
        ticket.computed_tokens_at_start = self._computed_tokens
        ticket.prompt_tokens_at_start = self._prompt_tokens

    def record_prefill_end(self, ticket: Ticket) -> None:
        """Record that a run's prefill is no longer in flight."""
        if ticket.state is TicketState.STARTED:
            self._computed_tokens += ticket.cost
            self._prompt_tokens += ticket.request.prompt_tokens
        if ticket.state is not TicketState.STREAMING:
            ticket.state = TicketState.STREAMING
            self._adjust_prefill(ticket, -ticket.cost)

    def remove(self, ticket: Ticket) -> None:
        """Free a run's slot."""
        self.record_prefill_end(ticket)
        del self._tickets[ticket.id]

    def _is_settled(self, ticket: Ticket, now_ms: float) -> bool:
        if ticket.state is not TicketState.STREAMING:
            return False
        return now_ms - ticket.first_token_ms >= self._settle_ms

    def _adjust_prefill(self, ticket: Ticket, tokens: int) -> None:
        self._prefill_tokens += tokens
        if ticket.cost > self._short_tokens:
            self._long_prefill_tokens += tokens
