"""Decides whether a target may admit a request, regardless of its load."""

from wigeonmill.agent.admission_types import RefusalReason
from wigeonmill.agent.admission_types import RunRequest
from wigeonmill.agent.admission_types import Ticket
from wigeonmill.agent.quarantine import Quarantine
from wigeonmill.agent.quarantine import Verdict
from wigeonmill.clock import Clock

_REASON_BY_VERDICT = {
    Verdict.RETRY_SPENT: RefusalReason.SUSPECT,
    Verdict.QUARANTINED: RefusalReason.QUARANTINED,
}


class ServiceState:
    """The configured state, weight version and quarantine of a target."""

    __slots__ = (
        'draining',
        'in_service',
        'weight_version',
        'quarantine',
        '_clock',
    )

    def __init__(self, clock: Clock, quarantine: Quarantine) -> None:
        self.draining = False
        self.in_service = True
        self.weight_version = ''
        self.quarantine = quarantine
        self._clock = clock

    def refusal_reason(self, request: RunRequest) -> RefusalReason | None:
        """Return why a new request is refused here; None if it is not."""
        if not self.in_service:
            return RefusalReason.NOT_IN_SERVICE
        if self.draining:
            return RefusalReason.DRAINING
        if not self.serves(request.weight_version):
            return RefusalReason.WEIGHT_VERSION
        return _REASON_BY_VERDICT.get(self._verdict(request))

    def start_refusal_reason(self, ticket: Ticket) -> RefusalReason | None:
        """Return why an admitted request must not start; None if it may.

        A request that became a suspect after its admission must be admitted
        again.
        """
        reason = self.refusal_reason(ticket.request)
        if ticket.alone and reason is RefusalReason.SUSPECT:
            # The suspect's one retry was consumed for this ticket.
            return None
        if not ticket.alone and self.must_run_alone(ticket.request):
            return RefusalReason.SUSPECT
        return reason

    def must_run_alone(self, request: RunRequest) -> bool:
        """Return whether the request is suspected of crashing targets."""
        return self._verdict(request) is Verdict.ALONE

    def serves(self, weight_version: str) -> bool:
        """Return whether new runs may start with this weight version."""
        return weight_version in ('', self.weight_version)

    def _verdict(self, request: RunRequest) -> Verdict:
        if not request.fingerprint:
            return Verdict.CLEAR
        now_ms = self._clock.wall_ms()
        return self.quarantine.verdict(request.fingerprint, now_ms)
