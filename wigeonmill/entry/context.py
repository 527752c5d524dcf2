"""The shared state of an entry and its routing table."""

from collections.abc import Collection
import random

from wigeonmill.clock import Clock
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import ConfigRecord
from wigeonmill.config.model import Document
from wigeonmill.config.model import Service
from wigeonmill.config.model import ServiceKind
from wigeonmill.config.model import Target
from wigeonmill.entry.crash_memory import CrashRecords
from wigeonmill.entry.teams import TeamDirectory
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerClient
from wigeonmill.protocol.client import PeerPool
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.routing.candidates import CandidatePicker
from wigeonmill.routing.candidates import RoutableTarget
from wigeonmill.routing.circuit import CircuitBreakers
from wigeonmill.routing.retries import RetryBudget
from wigeonmill.settings import EntrySettings


class ServiceRoutes:
    """One service with its targets and the picker that selects them."""

    def __init__(self, service: Service, picker: CandidatePicker) -> None:
        self.service = service
        self.picker = picker
        self.targets = {target.name: target for target in service.targets}


class RouteTable:
    """Routes of every service, for one configuration and membership."""

    def __init__(
        self,
        document: Document,
        unavailable: Collection[str],
        rng: random.Random,
        candidates: int,
    ) -> None:
        self.document = document
        self.teams = TeamDirectory(document)
        self._rng = rng
        self._candidates = candidates
        self._domains_out_of_service = {
            domain.name
            for domain in document.failure_domains
            if not domain.in_service
        }
        self._unavailable = unavailable
        self._routes = {
            service.name: self._make_service_routes(service)
            for service in document.services
        }
        self._routes_by_model = {
            service.model: self._routes[service.name]
            for service in document.services
            if service.kind is ServiceKind.MODEL
        }

    def for_model(self, model: str) -> ServiceRoutes | None:
        """Return the routes of the service that serves `model`."""
        return self._routes_by_model.get(model)

    def for_plain(self, name: str) -> ServiceRoutes | None:
        """Return the routes of the plain service `name`."""
        routes = self._routes.get(name)
        if routes is None or routes.service.kind is not ServiceKind.PLAIN:
            return None
        return routes

    def find_target(self, name: str) -> Target | None:
        """Return the target `name` of any service."""
        for routes in self._routes.values():
            if name in routes.targets:
                return routes.targets[name]
        return None

    def _make_service_routes(self, service: Service) -> ServiceRoutes:
        targets = [
            self._make_routable_target(target) for target in service.targets
        ]
        picker = CandidatePicker(targets, self._rng, self._candidates)
        return ServiceRoutes(service, picker)

    def _make_routable_target(self, target: Target) -> RoutableTarget:
        domain_in_service = (
            target.failure_domain not in self._domains_out_of_service
        )
        return RoutableTarget(
            target.name,
            target.failure_domain,
            in_service=target.in_service and domain_in_service,
            suspect=target.name in self._unavailable,
        )


class EntryContext:
    """State shared by all requests of one entry process."""

    def __init__(
        self,
        settings: EntrySettings,
        holder: ConfigHolder,
        peers: PeerPool,
        key_value: KeyValue,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
    ) -> None:
        self.settings = settings
        self.holder = holder
        self.peers = peers
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.budget = RetryBudget()
        self.breakers = CircuitBreakers(clock, rng)
        self.crashes = CrashRecords(key_value, clock, metrics)
        self.routes: RouteTable | None = None
        # `leaving` reports the entry as not ready to the balancer;
        # `refusing_requests` makes it refuse new requests.
        self.leaving = False
        self.refusing_requests = False
        self.open_requests = 0
        self.open_by_team: dict[str, int] = {}
        self._unavailable: frozenset[str] = frozenset()
        holder.subscribe(self._rebuild_routes)
        if holder.record is not None:
            self._rebuild_routes(holder.record)
        metrics.gauge('open_requests', lambda: float(self.open_requests))

    def agent_client(self, target: Target) -> PeerClient:
        """Return the client of the agent beside `target`."""
        return self.peers.get(target.agent)

    def target_of_run(self, run_id: str) -> Target | None:
        """Return the target that `run_id` was started on, if it is known."""
        if self.routes is None:
            return None
        return self.routes.find_target(run_id.rsplit('.', 3)[0])

    def set_unavailable(self, targets: frozenset[str]) -> None:
        """Set the targets that membership excludes from new requests."""
        if targets == self._unavailable:
            return
        self._unavailable = targets
        if self.holder.record is not None:
            self._rebuild_routes(self.holder.record)

    def _rebuild_routes(self, record: ConfigRecord) -> None:
        self.routes = RouteTable(
            record.document,
            self._unavailable,
            self.rng,
            self.settings.candidates,
        )
