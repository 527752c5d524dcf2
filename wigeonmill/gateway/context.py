"""Holds the state that the parts of a gateway process share."""

from collections.abc import Callable
import random

from wigeonmill.clock import Clock
from wigeonmill.gateway.allowances import RetryAllowance
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.crash_guard import CrashGuard
from wigeonmill.gateway.desired import DesiredState
from wigeonmill.gateway.desired import RouteTable
from wigeonmill.gateway.freshness import Freshness
from wigeonmill.gateway.targets import Directory
from wigeonmill.metrics import Metrics
from wigeonmill.routing.circuit import CircuitBreakers

# A change that was learned within this time after the copy of the key-value
# service was confirmed counts as new. Otherwise it may be as old as the copy.
MAX_CONFIRMATION_GAP_MS = 500.0
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
        '_closed_domains',
        '_weight_versions',
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
        self._closed_domains: set[str] = set()
        self._weight_versions: dict[str, int] = {}
        self._weights_set_ms: dict[str, float] = {}
        self._weights_deadline_ms = weights_deadline_ms
        self._grace_ms = max(0.0, contact_ms - CONTACT_MARGIN_MS)
        self._started_ms = clock.boot_ms() - uptime_ms

    def adopt(self, state: DesiredState) -> bool:
        """Put a configuration in force, unless it or a later one is."""
        if self.state is not None and state.version <= self.state.version:
            return False
        self.state = state
        self.table = RouteTable(state.routes, state.teams)
        return True

    def set_domain_open(self, domain: str, is_open: bool) -> None:
        """Put a failure domain into service or take it out of service."""
        if is_open:
            self._closed_domains.discard(domain)
        else:
            self._closed_domains.add(domain)

    def is_domain_closed(self, domain: str) -> bool:
        """Whether a failure domain must not get new requests."""
        return domain in self._closed_domains

    def set_weight_version(self, model: str, version: int) -> bool:
        """Set a model's weight version, unless it or a later one was set."""
        if version <= self._weight_versions.get(model, 0):
            return False
        self._weight_versions[model] = version
        now_ms = self._clock.boot_ms()
        gap_ms = self._freshness.age_ms
        is_new = gap_ms <= MAX_CONFIRMATION_GAP_MS
        self._weights_set_ms[model] = now_ms if is_new else now_ms - gap_ms
        return True

    def weight_version(self, model: str) -> int | None:
        """Return the newest weight version set for a model, or None."""
        return self._weight_versions.get(model)

    def weight_version_age_ms(self, model: str) -> float:
        """Return how long ago the newest weight version was set, at most.

        The age is infinite if the process has just started.
        """
        return self._clock.boot_ms() - self._weights_set_ms.get(model, 0.0)

    @property
    def uptime_ms(self) -> float:
        """The time since the start of the process, at least."""
        return self._clock.boot_ms() - self._started_ms

    def old_weights_remaining_ms(self, model: str) -> float:
        """Return how long runs may still begin on older weights.

        The result is negative once the time for the newest version is over.
        The time does not end while the key-value service is out of reach,
        without which no engine can be ordered to load, and for the grace time
        after that. A process that has just started does not know how old a
        version is; it has the grace time from its start.
        """
        if model not in self._weight_versions or self._freshness.out_of_reach:
            return float('inf')
        now_ms = self._clock.boot_ms()
        return max(
            self._weights_set_ms[model] + self._weights_deadline_ms - now_ms,
            self._started_ms + self._grace_ms - now_ms,
            self._grace_ms - self._freshness.since_restored_ms,
        )

    @property
    def weight_versions(self) -> dict[str, int]:
        """The newest weight version set for each model that has one."""
        return dict(self._weight_versions)


class GatewayContext:
    """The clock, the shared state and the budgets of a gateway process."""

    __slots__ = (
        'clock',
        'rng',
        'metrics',
        'freshness',
        'desired',
        'directory',
        'circuits',
        'crash_guard',
        'entry_count',
        'entry_position',
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
    ) -> None:
        """Create the state of a process that has run for `uptime_ms`.

        `contact_ms` is the time after a start or an outage from which the
        platform's rules bind an entry.
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
        self.directory = Directory(clock)
        self.circuits = CircuitBreakers(clock, rng)
        self.crash_guard = CrashGuard(clock)
        # Returns the number of entries that may be alive.
        self.entry_count = entry_count
        # Returns the position of this entry among them, from 0 to 1.
        self.entry_position = entry_position
        self._retry_limits = retry_limits
        self._retries: dict[str, RetryAllowance] = {}

    def retries(self, service: str) -> RetryAllowance:
        """Return the retry allowance of a service."""
        allowance = self._retries.get(service)
        if allowance is None:
            allowance = RetryAllowance(self.clock, self._retry_limits)
            self._retries[service] = allowance
        return allowance
