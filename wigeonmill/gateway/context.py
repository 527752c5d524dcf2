"""Holds the state that the parts of a gateway process share."""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf
import random

from wigeonmill.clock import Clock
from wigeonmill.gateway.allowances import Fleet
from wigeonmill.gateway.allowances import RetryAllowance
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.cache_salt import CacheOwners
from wigeonmill.gateway.crash_guard import CrashGuard
from wigeonmill.gateway.demand_shares import DemandShares
from wigeonmill.gateway.desired import DesiredState
from wigeonmill.gateway.desired import RouteTable
from wigeonmill.gateway.extra_attempts import ExtraAttempts
from wigeonmill.gateway.extra_work import ExtraWorkLimits
from wigeonmill.gateway.freshness import Freshness
from wigeonmill.gateway.held_bytes import HeldBytes
from wigeonmill.gateway.loss_events import LossWitness
from wigeonmill.gateway.loss_log import LossLog
from wigeonmill.gateway.memory_guard import UnseenWork
from wigeonmill.gateway.origin_records import OpenStreams
from wigeonmill.gateway.part_guard import PartGuard
from wigeonmill.gateway.restart_order import RestartOrder
from wigeonmill.gateway.service_profile import ServiceProfiles
from wigeonmill.gateway.service_rollout import RolloutLimits
from wigeonmill.gateway.software_rollout import SoftwareRollouts
from wigeonmill.gateway.start_hold import StartHold
from wigeonmill.gateway.stream_origins import LocalStreamOrigins
from wigeonmill.gateway.stream_origins import StreamOrigins
from wigeonmill.gateway.suspicions import Suspicions
from wigeonmill.gateway.target_notices import DEFAULT_MAX_CLOSED_MS
from wigeonmill.gateway.target_notices import TargetNotices
from wigeonmill.gateway.targets import Directory
from wigeonmill.gateway.targets import RECOVERY_GRACE_MS
from wigeonmill.gateway.team_shares import ServedSessions
from wigeonmill.gateway.team_shares import TeamShares
from wigeonmill.gateway.waiting_room import WaitingRoom
from wigeonmill.metrics import Metrics
from wigeonmill.routing.circuit import CircuitBreakers

DEFAULT_WEIGHTS_DEADLINE_MS = 15_000.0
DEFAULT_CONTACT_MS = 3_000.0
# Part of the contact time in which an entry does not yet know that it is over:
# the start of the process, or the delay until a lost connection is restored.
CONTACT_MARGIN_MS = 500.0


class DesiredConfig:
    """What operators have set last; versions never decrease.

    The age of a weight version includes time spent suspended.
    """

    __slots__ = (
        'state',
        'table',
        'caches',
        '_closed_domains',
        '_reopening_ms',
        '_rewritten_ms',
        '_weights_set_ms',
        '_weights_deadline_ms',
        '_grace_ms',
        '_started_ms',
        '_freshness',
        '_clock',
    )

    def __init__(
        self,
        clock: Clock,
        freshness: Freshness,
        weights_deadline_ms: float,
        contact_ms: float,
        uptime_ms: float,
    ) -> None:
        self._clock = clock
        self._freshness = freshness
        self.state: DesiredState | None = None
        self.table = RouteTable(())
        self.caches = CacheOwners()
        self._closed_domains: set[str] = set()
        # When domains open that were not listed after a restore.
        self._reopening_ms: dict[str, float] = {}
        # When operators have written again what a restore lost.
        self._rewritten_ms = -inf
        # By model, the versions that were set and when, in ascending order.
        self._weights_set_ms: dict[str, dict[int, float]] = {}
        self._weights_deadline_ms = weights_deadline_ms
        self._grace_ms = max(0.0, contact_ms - CONTACT_MARGIN_MS)
        self._started_ms = clock.boot_ms() - uptime_ms

    def adopt(self, state: DesiredState) -> bool:
        """Put a configuration in force, unless it or a later one is."""
        if self.state is not None and state.version <= self.state.version:
            return False
        self.state = state
        self.table = RouteTable(state.routes, state.teams)
        self.caches = CacheOwners(state.teams)
        return True

    def set_domain_open(self, domain: str, is_open: bool) -> None:
        """Put a failure domain into service or take it out of service."""
        self._reopening_ms.pop(domain, None)
        if not is_open:
            self._closed_domains.add(domain)
        elif self._clock.now_ms() < self._rewritten_ms:
            # Operators may only not have closed it again yet.
            self._reopening_ms[domain] = self._rewritten_ms
        else:
            self._closed_domains.discard(domain)

    def key_value_restored(self) -> None:
        """Record that the key-value service came back from a copy.

        What operators wrote after the copy was made, they write again.
        """
        self._rewritten_ms = self._clock.now_ms() + RECOVERY_GRACE_MS

    def is_domain_closed(self, domain: str) -> bool:
        """Whether a failure domain must not get new requests."""
        opens_ms = self._reopening_ms.get(domain, inf)
        return (
            domain in self._closed_domains and self._clock.now_ms() < opens_ms
        )

    def set_weight_version(self, model: str, version: int) -> bool:
        """Set a model's weight version, unless it or a later one was set."""
        if version <= (self.weight_version(model) or 0):
            return False
        set_ms = self._weights_set_ms.setdefault(model, {})
        # The version was not in the last copy that was known to be complete.
        set_ms[version] = self._clock.boot_ms() - self._freshness.age_ms
        self._drop_expired(set_ms)
        return True

    def _drop_expired(self, set_ms: dict[int, float]) -> None:
        """Drop versions after which a later one has expired, too."""
        oldest_ms = self._clock.boot_ms() - self._weights_deadline_ms
        versions = list(set_ms)
        for version, next_version in zip(versions, versions[1:], strict=False):
            if set_ms[next_version] < oldest_ms:
                del set_ms[version]

    def weight_version(self, model: str) -> int | None:
        """Return the newest weight version set for a model, or None."""
        return max(self._weights_set_ms.get(model, ()), default=None)

    def weight_version_age_ms(
        self, model: str, loaded: int | None = None
    ) -> float:
        """Return how long ago the newest weight version was set, at most.

        With `loaded`, the oldest of the versions after that one counts. The
        age is infinite if the process has just started.
        """
        set_ms = self._weights_set_ms.get(model, {})
        if loaded is None:
            loaded = (self.weight_version(model) or 0) - 1
        later_ms = [at for version, at in set_ms.items() if version > loaded]
        return self._clock.boot_ms() - min(later_ms, default=0.0)

    @property
    def uptime_ms(self) -> float:
        """The time since the start of the process, at least."""
        return self._clock.boot_ms() - self._started_ms

    def old_weights_remaining_ms(self, model: str, loaded: int) -> float:
        """Return how long runs may still begin on version `loaded`.

        It ends once the time for any later version is over, and is negative
        from then on.
        The time does not end while the key-value service is out of reach,
        without which no engine can be ordered to load, and for the grace time
        after that. A process that has just started does not know how old a
        version is; it has the grace time from its start.
        """
        newest_version = self.weight_version(model) or 0
        if loaded >= newest_version or self._freshness.out_of_reach:
            return float('inf')
        age_ms = self.weight_version_age_ms(model, loaded)
        return max(
            self._weights_deadline_ms - age_ms,
            self._grace_ms - self.uptime_ms,
            self._grace_ms - self._freshness.since_restored_ms,
        )

    @property
    def weight_versions(self) -> dict[str, int]:
        """The newest weight version set for each model that has one."""
        return {
            model: max(versions)
            for model, versions in self._weights_set_ms.items()
        }


@dataclass(frozen=True, slots=True)
class AnswerLimits:
    """Limits of what is held of one answer, in bytes.

    `body` applies to an answer that is read completely before it is passed
    on, `event` to one event of a stream, and `unsent` to what the caller of a
    stream has not read yet. `held` applies to all callers together (0: none).
    """

    body: int = 4 * 1024 * 1024
    event: int = 256 * 1024
    unsent: int = 1024 * 1024
    held: int = 0


class GatewayContext:
    """The clock, the shared state and the budgets of a gateway process."""

    __slots__ = (
        'clock',
        'rng',
        'metrics',
        'freshness',
        'desired',
        'directory',
        'suspicions',
        'circuits',
        'notices',
        'loss_log',
        'crash_guard',
        'part_guard',
        'fair_admission',
        'fair_admission_pace',
        'team_shares',
        'waiting_room',
        'start_hold',
        'restart_order',
        'sessions',
        'unseen_work',
        'profiles',
        'answer_limits',
        'held',
        'origins',
        'open_streams',
        'rollouts',
        'demand_shares',
        'entry_count',
        'entry_position',
        'extra',
        '_retry_limits',
        '_retries',
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        metrics: Metrics,
        retry_limits: RetryLimits,
        entry_count: Callable[[], int],
        weights_deadline_ms: float = DEFAULT_WEIGHTS_DEADLINE_MS,
        entry_position: Callable[[], float] = lambda: 0.0,
        contact_ms: float = DEFAULT_CONTACT_MS,
        uptime_ms: float = 0.0,
        max_closed_ms: float = DEFAULT_MAX_CLOSED_MS,
        answer_limits: AnswerLimits = AnswerLimits(),
        is_selected: Callable[[str, int], bool] = lambda _key, _count: True,
        extra_work: ExtraWorkLimits = ExtraWorkLimits(),
        rollout_limits: RolloutLimits = RolloutLimits(),
        restart_order_ms: float = 0.0,
        shares_by_demand: bool = False,
        is_counted: Callable[[str], bool] = lambda _entry: True,
    ) -> None:
        """Create the state of a process that has run for `uptime_ms`.

        `contact_ms` is the time after a start or an outage from which the
        platform's rules bind an entry. `is_selected` tells whether this entry
        is one of a number of them that are selected for a key. For
        `restart_order_ms` after the start, callers that are late already go
        after the others. `is_counted` tells whether `entry_count` includes an
        entry.
        """
        self.clock = clock
        self.rng = rng
        self.metrics = metrics
        self.freshness = Freshness(clock)
        self.desired = DesiredConfig(
            clock,
            self.freshness,
            weights_deadline_ms,
            contact_ms,
            uptime_ms,
        )
        fleet = Fleet(entry_count, is_selected)
        self.directory = Directory(clock, fleet)
        self.suspicions = Suspicions(clock, metrics, self.directory, fleet)
        self.circuits = CircuitBreakers(clock, rng)
        self.notices = TargetNotices(
            clock,
            metrics,
            entry_position,
            max_closed_ms,
            self.directory.get,
        )
        self.directory.subscribe(self.notices.apply_kept)
        self.loss_log = LossLog(clock)
        witness = LossWitness(clock, self.directory.domain_of)
        self.crash_guard = CrashGuard(clock, self.loss_log, witness)
        self.part_guard = PartGuard(
            clock,
            metrics,
            self.loss_log,
            entry_position,
            self.directory.service_of,
            witness,
        )
        # Whether operators want teams to compete for room by their shares.
        self.fair_admission = False
        self.fair_admission_pace = False
        self.team_shares = TeamShares(clock)
        self.waiting_room = WaitingRoom(clock)
        self.start_hold = StartHold(clock)
        self.restart_order = RestartOrder(clock, restart_order_ms, uptime_ms)
        self.sessions = ServedSessions()
        self.unseen_work = UnseenWork(clock, entry_count)
        self.profiles = ServiceProfiles()
        self.answer_limits = answer_limits
        self.held = HeldBytes(clock, answer_limits.held)
        self.origins: StreamOrigins = LocalStreamOrigins()
        self.open_streams = OpenStreams(clock)
        self.rollouts = SoftwareRollouts(
            clock,
            metrics,
            self.directory,
            self.freshness,
            entry_count,
            is_selected,
            rollout_limits,
        )
        self.demand_shares = DemandShares(
            clock, entry_count, is_counted, shares_by_demand
        )
        # Returns the number of entries that may be alive.
        self.entry_count = entry_count
        # Returns the position of this entry among them, from 0 to 1.
        self.entry_position = entry_position
        self.extra = ExtraAttempts(clock, metrics, self.circuits, extra_work)
        self._retry_limits = retry_limits
        self._retries: dict[str, RetryAllowance] = {}

    def retries(self, service: str) -> RetryAllowance:
        """Return the retry allowance of a service."""
        allowance = self._retries.get(service)
        if allowance is None:
            allowance = RetryAllowance(self.clock, self._retry_limits)
            self._retries[service] = allowance
        return allowance

    def retry_sharers(self, service: str) -> float:
        """Return among how many entries the retry slack is divided.

        If it is divided by demand, the result is the number that would have
        this entry's part each.
        """
        if not self.demand_shares.enabled:
            return self.entry_count()
        window_ms = self._retry_limits.window_ms
        return 1.0 / self.demand_shares.part(service, window_ms)
