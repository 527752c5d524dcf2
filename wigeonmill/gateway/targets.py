"""The directory of targets; each start of a target is a new lifetime."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import field
import logging
from math import inf

from wigeonmill.clock import Clock
from wigeonmill.gateway.allowances import ColdAllowance
from wigeonmill.gateway.allowances import Fleet
from wigeonmill.gateway.allowances import LimitAllowance
from wigeonmill.gateway.estimates import Estimates
from wigeonmill.gateway.target_limit import TargetLimit
from wigeonmill.gateway.target_load import TargetLoad

logger = logging.getLogger(__name__)

# Targets whose records expired during an outage of the key-value service
# register again within about two seconds of its recovery. Targets that are
# still missing then are gone.
RECOVERY_GRACE_MS = 2_000.0
# A target that is gone is kept for this time, so that stale records of it are
# recognized.
GONE_RETENTION_MS = 600_000.0
# Time after the end of its closed time in which a target is still opening.
OPENING_MS = 1_000.0


@dataclass(frozen=True, slots=True)
class TargetRecord:
    """The record of itself that a target publishes in the directory.

    `id` and `started_at_ms`, the wall time of its start, identify a lifetime.
    `heartbeat` orders the records of one lifetime. `weights` maps the models
    to their weight versions. `software_version` is empty if the target does
    not state that of its software.
    """

    id: str
    started_at_ms: int
    service: str
    address: str
    failure_domain: str
    slots: int
    draining: bool
    cold_remaining_ms: float
    heartbeat: int
    weights: dict[str, int] = field(default_factory=dict)
    software_version: str = ''


@dataclass(frozen=True, slots=True)
class Loading:
    """Weights that a target was ordered to load, by `until_ms` at most."""

    model: str
    version: int
    until_ms: float


class Target:
    """One lifetime of a target, with the state that this entry tracks."""

    __slots__ = (
        'id',
        'started_at_ms',
        'service',
        'address',
        'failure_domain',
        'software_version',
        'slots',
        'heartbeat',
        'draining',
        'gone',
        'gone_ms',
        'missing_since_ms',
        'cold_until_ms',
        'cold_allowance',
        'weights',
        'refusing_until_ms',
        'closed_until_ms',
        'closed_at_wall_ms',
        'limit',
        'limit_allowance',
        'limited_at_wall_ms',
        'loading',
        'load',
        'suspected',
    )

    def __init__(
        self,
        record: TargetRecord,
        clock: Clock,
        estimates: Estimates | None = None,
        fleet: Fleet = Fleet(),
    ) -> None:
        self.id = record.id
        self.started_at_ms = record.started_at_ms
        self.service = record.service
        self.address = record.address
        self.failure_domain = record.failure_domain
        self.software_version = record.software_version
        self.slots = record.slots
        self.heartbeat = record.heartbeat
        self.draining = record.draining
        self.gone = False
        self.gone_ms = 0.0
        self.missing_since_ms: float | None = None
        self.cold_until_ms = clock.now_ms() + record.cold_remaining_ms
        self.cold_allowance = ColdAllowance(clock)
        self.weights = dict(record.weights)
        # Until then the target is avoided if others remain.
        self.refusing_until_ms = 0.0
        # Until then the target must not get new requests.
        self.closed_until_ms = float('-inf')
        # Wall time at which it asked for that.
        self.closed_at_wall_ms = 0
        self.limit = TargetLimit(clock)
        self.limit_allowance = LimitAllowance(clock, fleet, record.id)
        # Wall time at which it named one.
        self.limited_at_wall_ms = 0
        self.loading: Loading | None = None
        self.load = TargetLoad(clock, estimates)
        # Whether it was suspected of silence at the last request.
        self.suspected = False

    @property
    def lifetime(self) -> str:
        """The id and the start, which no other lifetime has in common."""
        return f'{self.id}@{self.started_at_ms}'

    @property
    def leaving(self) -> bool:
        """Whether the target must not get new requests any more."""
        return self.draining or self.gone

    def is_cold(self, now_ms: float) -> bool:
        """Whether the target accepts only the rate of a cold target."""
        return now_ms < self.cold_until_ms

    def is_closed(self, now_ms: float) -> bool:
        """Whether the target asked for no requests until a later time."""
        return now_ms < self.closed_until_ms

    def is_opening(self, now_ms: float) -> bool:
        """Whether the target has only just been opened again.

        Callers that were refused meanwhile return at about the same time.
        """
        return 0.0 <= now_ms - self.closed_until_ms < OPENING_MS

    def limit_wait_ms(self, priority: int = 0) -> float:
        """Return the time until its limit allows a request (0: now).

        Less urgent requests, with a higher `priority`, may have to wait for
        others that were refused.
        """
        per_s = self.limit.accepted_per_s
        if per_s == inf:
            return 0.0
        return self.limit_allowance.wait_ms(
            per_s, self.limit.unconfirmed_ms, priority
        )

    def record_sent(self) -> None:
        """Record a request that is being sent now."""
        if self.limit.accepted_per_s < inf:
            self.limit_allowance.record()

    def close(self, until_ms: float, wall_ms: int) -> None:
        """Send nothing until then, as the target asked for at `wall_ms`."""
        self.closed_until_ms = max(self.closed_until_ms, until_ms)
        self.closed_at_wall_ms = max(self.closed_at_wall_ms, wall_ms)

    def is_loading(self, now_ms: float) -> bool:
        """Whether the target is loading weights that it does not have yet."""
        loading = self.loading
        if loading is None or now_ms >= loading.until_ms:
            return False
        return self.weights.get(loading.model, 0) < loading.version

    def update(self, record: TargetRecord, now_ms: float) -> None:
        """Apply a later record of the same lifetime."""
        self.heartbeat = record.heartbeat
        self.address = record.address
        self.slots = record.slots
        self.gone = False
        self.missing_since_ms = None
        if record.draining and not self.draining:
            logger.info('target draining', extra={'target': self.id})
        # A lifetime that has started to drain never accepts work again.
        self.draining = self.draining or record.draining
        if record.cold_remaining_ms > 0:
            cold_until_ms = now_ms + record.cold_remaining_ms
            self.cold_until_ms = max(self.cold_until_ms, cold_until_ms)
        for model, version in record.weights.items():
            self.weights[model] = max(version, self.weights.get(model, 0))


class Directory:
    """The latest lifetime of each target, by target id."""

    __slots__ = (
        '_clock',
        '_fleet',
        '_targets',
        '_key_value_down',
        '_recovered_ms',
        '_restored_ms',
        '_by_service',
        '_services',
        '_estimates',
        '_on_discovered',
    )

    def __init__(self, clock: Clock, fleet: Fleet = Fleet()) -> None:
        self._clock = clock
        self._fleet = fleet
        self._on_discovered: Callable[[Target], None] = lambda _target: None
        self._targets: dict[str, Target] = {}
        self._by_service: dict[str, list[Target]] = {}
        # The services that exist; None without a configuration.
        self._services: frozenset[str] | None = None
        # The estimates of each service as a whole.
        self._estimates: dict[str, Estimates] = {}
        self._key_value_down = False
        self._recovered_ms = float('-inf')
        self._restored_ms = float('-inf')

    def subscribe(self, on_discovered: Callable[[Target], None]) -> None:
        """Call `on_discovered` with each new lifetime of a target."""
        self._on_discovered = on_discovered

    def set_services(self, services: Collection[str]) -> None:
        """Use only targets of these services.

        A record of another service says nothing, also not about the target at
        its address.
        """
        if self._services != frozenset(services):
            self._services = frozenset(services)
            self._rebuild_index()

    def all(self) -> Iterable[Target]:
        """Return every known target that is not gone."""
        return [t for t in self._targets.values() if not t.gone]

    def get(self, target_id: str) -> Target | None:
        """Return the target with this id."""
        return self._targets.get(target_id)

    def service_of(self, lifetime: str) -> str:
        """Return the service of a lifetime; it is empty if not known."""
        target = self._targets.get(lifetime.rpartition('@')[0])
        return target.service if target is not None else ''

    def domain_of(self, lifetime: str) -> str:
        """Return the domain of a lifetime; it is empty if not known."""
        target = self._targets.get(lifetime.rpartition('@')[0])
        return target.failure_domain if target is not None else ''

    def of_service(self, service: str) -> list[Target]:
        """Return the targets of a service that accept new requests.

        If less than half of them are listed, the records of the others may
        have expired in an outage, and they are returned as well.
        """
        accepting = [
            target
            for target in self._by_service.get(service, ())
            if not target.leaving
        ]
        listed = [t for t in accepting if t.missing_since_ms is None]
        if 2 * len(listed) < len(accepting):
            return accepting
        return listed

    def states_pace(self, service: str) -> bool:
        """Whether a target of the service has stated how long work takes."""
        return any(
            target.load.pace.is_stated
            for target in self._by_service.get(service, ())
        )

    def apply(self, record: TargetRecord) -> None:
        """Apply a record that a target published."""
        known = self._targets.get(record.id)
        if known is None or record.started_at_ms > known.started_at_ms:
            self._add(record)
            return
        if record.started_at_ms < known.started_at_ms:
            return
        if record.heartbeat < known.heartbeat or self._is_from_copy(
            known, record
        ):
            logger.info(
                'stale heartbeat ignored',
                extra={'target': record.id, 'heartbeat': record.heartbeat},
            )
            return
        reindex = known.address != record.address or known.gone
        known.update(record, self._clock.now_ms())
        if reindex:
            self._rebuild_index()

    def remove(self, target_id: str) -> None:
        """Handle the removal of a target's record.

        During an outage of the key-value service and shortly after, the
        target is only marked as missing. It may be in use until it is gone,
        see `of_service`.
        """
        target = self._targets.get(target_id)
        if target is None or target.gone:
            return
        if self._is_recovering():
            if target.missing_since_ms is None:
                target.missing_since_ms = self._clock.now_ms()
            return
        self._mark_gone(target, 'not listed')

    def key_value_lost(self) -> None:
        """Record that the key-value service does not respond."""
        self._key_value_down = True

    def key_value_recovered(self) -> None:
        """Record that the key-value service responds again."""
        if self._key_value_down:
            self._key_value_down = False
            self._recovered_ms = self._clock.now_ms()

    def key_value_restored(self) -> None:
        """Record that the key-value service came back from a copy.

        What targets wrote after the copy was made, they write again.
        """
        self._restored_ms = self._recovered_ms = self._clock.now_ms()

    def _is_recovering(self) -> bool:
        """Whether targets that are not listed may register again."""
        return (
            self._key_value_down
            or self._clock.now_ms() < self._recovered_ms + RECOVERY_GRACE_MS
        )

    def _is_from_copy(self, known: Target, record: TargetRecord) -> bool:
        """Whether a record of a target that is gone was in the copy only."""
        return (
            known.gone
            and record.heartbeat <= known.heartbeat
            and self._clock.now_ms() < self._restored_ms + RECOVERY_GRACE_MS
        )

    def expire(self, on_gone: Callable[[Target], None] | None = None) -> None:
        """Mark targets as gone that are still missing after the grace time."""
        now_ms = self._clock.now_ms()
        self._evict_gone(now_ms)
        if self._is_recovering():
            return
        for target in list(self._targets.values()):
            if target.missing_since_ms is not None and not target.gone:
                self._mark_gone(
                    target, 'missing after the key-value service recovered'
                )
                if on_gone is not None:
                    on_gone(target)

    def _evict_gone(self, now_ms: float) -> None:
        """Evict targets that have been gone for longer than the retention.

        A closed one stays, so that it is not opened if its record returns.
        """
        oldest_ms = now_ms - GONE_RETENTION_MS
        for target in list(self._targets.values()):
            if (
                target.gone
                and target.gone_ms < oldest_ms
                and not target.is_closed(now_ms)
            ):
                del self._targets[target.id]

    def _add(self, record: TargetRecord) -> None:
        estimates = self._estimates.setdefault(record.service, Estimates())
        target = Target(record, self._clock, estimates, self._fleet)
        previous = self._targets.get(record.id)
        if (
            previous is not None
            and record.started_at_ms <= previous.closed_at_wall_ms
        ):
            # The process was already up when it asked for the time; only its
            # record is late.
            target.close(previous.closed_until_ms, previous.closed_at_wall_ms)
        if (
            previous is not None
            and record.started_at_ms <= previous.limited_at_wall_ms
        ):
            target.limit.inherit(previous.limit)
            target.limited_at_wall_ms = previous.limited_at_wall_ms
        self._targets[record.id] = target
        self._rebuild_index()
        logger.info(
            'target discovered',
            extra={
                'target': record.id,
                'born_ms': record.started_at_ms,
                'service': record.service,
                'address': record.address,
                'domain': record.failure_domain,
                'cold_left_ms': record.cold_remaining_ms,
                'draining': record.draining,
                'weights': record.weights,
            },
        )
        self._on_discovered(target)

    def _mark_gone(self, target: Target, reason: str) -> None:
        target.gone = True
        target.gone_ms = self._clock.now_ms()
        self._rebuild_index()
        logger.info(
            'target gone',
            extra={
                'target': target.id,
                'why': reason,
                'missing_since_ms': target.missing_since_ms,
            },
        )

    def _rebuild_index(self) -> None:
        """Group the targets by service.

        Of several targets at one address only the last one started is kept.
        The earlier ones have ended, even if their records are still listed.
        One that is gone says nothing of the others, as it may never have been
        a target.
        """
        by_address: dict[str, Target] = {}
        for target in self._targets.values():
            if target.gone or (
                self._services is not None
                and target.service not in self._services
            ):
                continue
            previous = by_address.get(target.address)
            if (
                previous is None
                or previous.started_at_ms <= target.started_at_ms
            ):
                by_address[target.address] = target
        self._by_service = {}
        for target in by_address.values():
            targets = self._by_service.setdefault(target.service, [])
            targets.append(target)
