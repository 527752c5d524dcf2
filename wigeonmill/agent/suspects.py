"""Ties the runs of a target to the quarantine."""

from wigeonmill.agent.admission_types import Ticket
from wigeonmill.agent.admission_types import TicketState
from wigeonmill.agent.in_flight import InFlight
from wigeonmill.agent.quarantine import Quarantine
from wigeonmill.clock import Clock


class Suspects:
    """Takes and gives back retries, and blames runs for crashes."""

    __slots__ = ('_clock', '_quarantine', '_in_flight')

    def __init__(
        self, clock: Clock, quarantine: Quarantine, in_flight: InFlight
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._in_flight = in_flight

    def take_retry(self, ticket: Ticket) -> None:
        """Spend a suspect's one retry on this ticket."""
        if ticket.alone:
            fingerprint = ticket.request.fingerprint
            self._quarantine.on_retry(fingerprint, self._clock.wall_ms())

    def give_retry_back(self, ticket: Ticket) -> None:
        """Take the end of a suspect's ticket without a crash."""
        if ticket.alone:
            fingerprint = ticket.request.fingerprint
            wall_ms = self._clock.wall_ms()
            self._quarantine.on_retry_cancelled(fingerprint, wall_ms)

    def on_healthy(self, ticket: Ticket) -> None:
        """Clear what has completed."""
        fingerprint = ticket.request.fingerprint
        self._quarantine.on_healthy(fingerprint, self._clock.wall_ms())

    def on_crash(self) -> list[bytes]:
        """Blame what the target has; each run once.

        A suspect that hasn't settled takes all the blame. Returns the
        fingerprints that this crash has put in quarantine.
        """
        suspect = self._in_flight.unsettled_suspect(self._clock.now_ms())
        new = [t for t in self._in_flight if _may_be_blamed(t)]
        blamed = [suspect] if suspect in new else new
        for ticket in new:
            ticket.blamed = True
        prints = [ticket.request.fingerprint for ticket in blamed]
        known = [fingerprint for fingerprint in prints if fingerprint]
        return self._quarantine.on_crash(known, self._clock.wall_ms())


def _may_be_blamed(ticket: Ticket) -> bool:
    at_target = ticket.state is not TicketState.RUNNABLE
    return at_target and not ticket.blamed
