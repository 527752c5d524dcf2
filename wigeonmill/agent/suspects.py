"""Records the retries and crashes of a target's runs in the quarantine."""

from wigeonmill.agent.admission_types import Ticket
from wigeonmill.agent.admission_types import TicketState
from wigeonmill.agent.in_flight import InFlight
from wigeonmill.agent.quarantine import Quarantine
from wigeonmill.clock import Clock


class Suspects:
    """Consumes and restores retries, and blames runs for crashes."""

    __slots__ = ('_clock', '_quarantine', '_in_flight')

    def __init__(
        self, clock: Clock, quarantine: Quarantine, in_flight: InFlight
    ) -> None:
        self._clock = clock
        self._quarantine = quarantine
        self._in_flight = in_flight

    def consume_retry(self, ticket: Ticket) -> None:
        """Consume the one retry of a suspect for this ticket."""
        if ticket.alone:
            fingerprint = ticket.request.fingerprint
            self._quarantine.on_retry(fingerprint, self._clock.wall_ms())

    def restore_retry(self, ticket: Ticket) -> None:
        """Restore a suspect's retry if its ticket ended without a crash."""
        if ticket.alone:
            fingerprint = ticket.request.fingerprint
            wall_ms = self._clock.wall_ms()
            self._quarantine.on_retry_cancelled(fingerprint, wall_ms)

    def on_healthy(self, ticket: Ticket) -> None:
        """Clear the suspicion against a completed request."""
        fingerprint = ticket.request.fingerprint
        self._quarantine.on_healthy(fingerprint, self._clock.wall_ms())

    def on_crash(self) -> list[bytes]:
        """Blame the runs at the target for its crash, each run once.

        If a suspect has not settled, only that one is blamed. Returns the
        fingerprints that this crash has put in quarantine.
        """
        suspect = self._in_flight.unsettled_suspect(self._clock.now_ms())
        candidates = [t for t in self._in_flight if _may_be_blamed(t)]
        blamed = [suspect] if suspect in candidates else candidates
        for ticket in candidates:
            ticket.blamed = True
        fingerprints = [ticket.request.fingerprint for ticket in blamed]
        nonempty = [fingerprint for fingerprint in fingerprints if fingerprint]
        return self._quarantine.on_crash(nonempty, self._clock.wall_ms())


def _may_be_blamed(ticket: Ticket) -> bool:
    at_target = ticket.state is not TicketState.RUNNABLE
    return at_target and not ticket.blamed
