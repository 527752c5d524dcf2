"""Decides which waiting request gets the next free slot."""

from wigeonmill.agent.admission_types import AdmissionSettings
from wigeonmill.agent.admission_types import Ticket
from wigeonmill.agent.in_flight import InFlight
from wigeonmill.agent.waiting_list import WaitingList


class StartRules:
    """Applies the limits on starts to the fair order of the waiting list.

    A suspect starts only if all runs in flight are settled suspects, and no
    other run starts until it has settled.
    """

    __slots__ = ('_settings', '_waiting', '_in_flight')

    def __init__(
        self,
        settings: AdmissionSettings,
        waiting: WaitingList,
        in_flight: InFlight,
    ) -> None:
        self._settings = settings
        self._waiting = waiting
        self._in_flight = in_flight

    def next_ticket(self, limit: int, now_ms: float) -> Ticket | None:
        """Remove and return the ticket that may start now, if any."""
        if len(self._in_flight) >= limit:
            return None
        if self._in_flight.unsettled_suspect(now_ms) is not None:
            return None
        overdue = self._waiting.overdue_suspect(now_ms)
        if overdue is None:
            return self._waiting.pop(
                lambda ticket: self._may_start(ticket, limit)
            )
        if not self._in_flight.only_suspects:
            return None
        return self._waiting.remove(overdue.id)

    def _may_start(self, ticket: Ticket, limit: int) -> bool:
        if ticket.alone:
            return self._in_flight.only_suspects
        if ticket.cost <= self._settings.short_tokens:
            return self._fits(
                ticket,
                self._in_flight.short_prefill_tokens,
                self._settings.short_limit_tokens,
            )
        short_slots = limit // self._settings.slots_per_short_slot
        if len(self._in_flight) >= limit - short_slots:
            return False
        return self._fits(
            ticket,
            self._in_flight.long_prefill_tokens,
            self._settings.long_limit_tokens,
        )

    def _fits(self, ticket: Ticket, in_flight: int, allowed: int) -> bool:
        return not in_flight or in_flight + ticket.cost <= allowed
