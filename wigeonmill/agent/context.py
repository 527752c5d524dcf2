"""The shared state of an agent and its place in the configuration."""

from wigeonmill.agent.admission import Admission
from wigeonmill.agent.run_ids import RunIdSigner
from wigeonmill.agent.runs import RunTable
from wigeonmill.clock import Clock
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.config.model import Service
from wigeonmill.config.model import Target
from wigeonmill.metrics import Metrics
from wigeonmill.settings import AgentSettings


class Placement:
    """The agent's target and its service in a configuration."""

    __slots__ = ('service', 'target', 'in_service')

    def __init__(
        self, service: Service, target: Target, in_service: bool
    ) -> None:
        self.service = service
        self.target = target
        self.in_service = in_service


def find_placement(document: Document, name: str) -> Placement | None:
    """Return the placement of the target `name`; None if there is none."""
    domains_in_service = {
        domain.name for domain in document.failure_domains if domain.in_service
    }
    for service in document.services:
        for target in service.targets:
            if target.name == name:
                domain_in_service = target.failure_domain in domains_in_service
                in_service = target.in_service and domain_in_service
                return Placement(service, target, in_service)
    return None


class AgentContext:
    """State shared by the components of one agent process."""

    def __init__(
        self,
        settings: AgentSettings,
        holder: ConfigHolder,
        admission: Admission,
        signer: RunIdSigner,
        clock: Clock,
        metrics: Metrics,
        incarnation: int,
    ) -> None:
        self.settings = settings
        self.holder = holder
        self.admission = admission
        self.signer = signer
        self.clock = clock
        self.metrics = metrics
        self.incarnation = incarnation
        self.runs = RunTable(
            clock, settings.detached_run_ms, settings.answer_kept_ms
        )
        self.placement: Placement | None = None
        self.leaving = False
        holder.subscribe(self._on_config)
        admission.set_in_service(False)
        if holder.record is not None:
            self._on_config(holder.record)

    def serial(self) -> int:
        """Return the serial of the configuration in force."""
        return self.holder.serial

    def _on_config(self, record: ConfigRecord) -> None:
        placement = find_placement(record.document, self.settings.target)
        self.placement = placement
        in_service = placement is not None and placement.in_service
        self.admission.set_in_service(in_service)
        if placement is not None:
            service = placement.service
            admission = self.admission
            admission.health.set_bounds(
                service.cold_concurrency, service.max_concurrency
            )
