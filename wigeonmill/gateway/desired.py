"""The operators' desired state: routes, services, teams and limits."""

from collections.abc import Iterable
from dataclasses import dataclass
import enum


class RouteKind(enum.Enum):
    """Whether requests may be repeated, and how the response is sent."""

    # A single response; the request may run any number of times.
    SAFE = 'safe'
    # A single response; the request runs at most once.
    UNSAFE = 'unsafe'
    # A stream of events.
    STREAMING = 'streaming'


@dataclass(frozen=True, slots=True)
class ServiceShare:
    """A service of a route and its weight (0 or more) among its services."""

    service: str
    weight: float


@dataclass(frozen=True, slots=True)
class Route:
    """The routing of requests with one host and path prefix.

    `max_targets` limits the targets that one request is sent to. `priority`
    0 is the most urgent. `regions` is empty if all regions are allowed.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: float
    objective_ms: float
    gap_objective_ms: float = 0.0
    max_targets: int = 1
    priority: int = 5
    public: bool = False
    sticky: bool = False
    resumable: bool = False
    regions: tuple[str, ...] = ()

    @property
    def idempotent(self) -> bool:
        """Whether a request that may have run may be run again."""
        if self.kind is RouteKind.STREAMING:
            return self.resumable
        return self.kind is RouteKind.SAFE


@dataclass(frozen=True, slots=True)
class EngineSpec:
    """The common properties of the model engines of a service."""

    slots: int
    cache_tokens: int
    token_bytes: int
    max_event_polls: int
    managed_cache: bool


@dataclass(frozen=True, slots=True)
class ServiceSpec:
    """A service; a cold target gets at most `cold_per_s` requests/s."""

    name: str
    health_path: str = ''
    max_conns: int = 0
    cold_start_ms: float = 0.0
    cold_per_s: float = 0.0
    engine: EngineSpec | None = None


@dataclass(frozen=True, slots=True)
class CacheStoreSpec:
    """A VM that stores cached prompt parts; `address` is IP:port."""

    name: str
    address: str
    failure_domain: str
    cache_tokens: int
    link_mbps: float
    first_byte_ms: float
    max_event_polls: int
    managed: bool


@dataclass(frozen=True, slots=True)
class Team:
    """A team; its priority, if any, overrides that of the route.

    An `isolated` team shares its cache with no other team.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    regions: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size, duration and idle time of a caller's requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 4 * 1024 * 1024
    header_ms: float = 3_000.0
    idle_ms: float = 15_000.0


@dataclass(frozen=True, slots=True)
class DesiredState:
    """One version of the operators' document; versions only increase.

    Without `teams`, requests need no key.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, ServiceSpec]
    stores: tuple[CacheStoreSpec, ...] = ()
    teams: tuple[Team, ...] = ()
    limits: RequestLimits = RequestLimits()


class RouteTable:
    """Looks up routes by host and path, and teams by key."""

    __slots__ = ('_by_host', '_by_key', 'needs_key')

    def __init__(
        self, routes: Iterable[Route], teams: Iterable[Team] = ()
    ) -> None:
        self._by_host: dict[str, dict[str, Route]] = {}
        for route in routes:
            prefixes = self._by_host.setdefault(route.host.lower(), {})
            prefixes[route.prefix] = route
        self._by_key = {key: team for team in teams for key in team.keys}
        self.needs_key = any(True for _team in teams)

    def match(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix of `path`.

        `path` has no query; `host` may include a port.
        """
        prefixes = self._by_host.get(host.partition(':')[0].lower())
        if prefixes is None:
            return None
        end = path.rfind('/')
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return route
            end = path.rfind('/', 0, end)
        return None

    def team_of(self, key: str) -> Team | None:
        """Return the team that holds `key`."""
        return self._by_key.get(key)
