"""Derives what the streaming routes of a service have in common."""

from dataclasses import dataclass
from math import inf

from wigeonmill.gateway.desired import DesiredState
from wigeonmill.gateway.desired import RouteKind


@dataclass(frozen=True, slots=True)
class ServiceProfile:
    """The priorities in use at a service, and the objectives of its routes."""

    priorities: frozenset[int]
    objectives_ms: frozenset[float]

    def has_shorter(self, objective_ms: float) -> bool:
        """Whether another route has less time."""
        return min(self.objectives_ms, default=inf) < objective_ms

    def can_wait(self, objective_ms: float) -> bool:
        """Whether another route has less time, or all have the same."""
        same = not self.objectives_ms - {objective_ms}
        return same or self.has_shorter(objective_ms)


class ServiceProfiles:
    """The profiles of the services in the configuration in force."""

    __slots__ = ('_state', '_profiles')

    def __init__(self) -> None:
        self._state: DesiredState | None = None
        self._profiles: dict[str, ServiceProfile] = {}

    def get(self, state: DesiredState | None, service: str) -> ServiceProfile:
        """Return the profile of a service in `state`."""
        if state is not self._state:
            self._state = state
            self._profiles = {}
        profile = self._profiles.get(service)
        if profile is None:
            profile = self._profiles[service] = _derive(state, service)
        return profile


def _derive(state: DesiredState | None, service: str) -> ServiceProfile:
    if state is None:
        return ServiceProfile(frozenset(), frozenset())
    routes = [
        route
        for route in state.routes
        if route.kind is RouteKind.STREAMING
        and any(
            share.service == service and share.weight > 0
            for share in route.shares
        )
    ]
    priorities = {t.priority for t in state.teams if t.priority is not None}
    # A team's priority overrides that of the route.
    if any(t.priority is None for t in state.teams):
        priorities |= {route.priority for route in routes}
    else:
        priorities |= {route.priority for route in routes if route.public}
    return ServiceProfile(
        frozenset(priorities), frozenset(r.objective_ms for r in routes)
    )
