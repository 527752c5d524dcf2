"""What one request needs of a target, and what goes out with it."""

from collections.abc import Collection

from wigeonmill.gateway.cache_plan import CachePlan
from wigeonmill.gateway.cache_plan import CachePlanner
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import Route
from wigeonmill.gateway.desired import ServiceSpec
from wigeonmill.gateway.desired import Team
from wigeonmill.gateway.picker import Demand
from wigeonmill.gateway.picker import Pick
from wigeonmill.gateway.relay import Relay
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.target_client import Instructions
from wigeonmill.gateway.targets import Target

# Age of a new weight version from which older weights cost credit.
OLD_WEIGHTS_GRACE_MS = 1_500.0
# A request that is expected to lose this share of its credit yields to those
# that may still be in time.
LATE_LOSS = 0.6
LATE_PRIORITY = 8
BEGUN_PRIORITY = 0
# A prompt that takes more than this share of an engine's memory is long.
LONG_SHARE = 1.0 / 32.0
# Stands for no region at all; operators name none like this.
_NO_REGION = ''


class RunTerms:
    """The terms of one request; they follow its time and its stream."""

    __slots__ = (
        '_ctx',
        '_planner',
        '_relay',
        'req',
        'route',
        'team',
        'service',
        'deadline_ms',
        'plan',
        'weights',
    )

    def __init__(
        self,
        ctx: GatewayContext,
        planner: CachePlanner,
        relay: Relay,
        req: CallerRequest,
        route: Route,
        team: Team | None,
    ) -> None:
        self._ctx = ctx
        self._planner = planner
        self._relay = relay
        self.req = req
        self.route = route
        self.team = team
        self.service = self._choose_service()
        self.deadline_ms = req.arrived_ms + min(
            req.deadline_ms, route.timeout_ms
        )
        self.plan = CachePlan()
        self.weights: int | None = None

    @property
    def left_ms(self) -> float:
        """Time left to the caller's and the route's deadline."""
        return self.deadline_ms - self._ctx.clock.now_ms()

    @property
    def max_targets(self) -> int:
        """Targets that the request may be sent to."""
        return max(1, self.route.max_targets)

    @property
    def cache_tokens(self) -> int:
        """Memory of one engine of the service, in tokens."""
        spec = self._spec()
        return spec.engine.cache_tokens if spec and spec.engine else 0

    @property
    def config_version(self) -> int | None:
        """Version of the configuration in force."""
        state = self._ctx.wanted.state
        return state.version if state else None

    def is_late(self, pick: Pick) -> bool:
        """Whether a model request is expected to miss its objective."""
        if self.req.generation is None or self._relay.started:
            return False
        return pick.lateness_cost >= LATE_LOSS

    def priority(self, pick: Pick) -> int:
        """Return the rank at the engine; what comes late anyway is last.

        A stream that has begun must go on without a pause.
        """
        if self._relay.started:
            return BEGUN_PRIORITY
        return LATE_PRIORITY if self.is_late(pick) else self._rank()

    def demand(self, avoid: Collection[str]) -> Demand:
        """Return what the request needs now."""
        generation = self.req.generation
        spec = self._spec()
        wanted = None
        late = False
        fetchable = 0
        if generation is not None:
            wanted = self._ctx.wanted.weights_of(generation.model)
            age_ms = self._ctx.wanted.weights_age_ms(generation.model)
            late = wanted is not None and age_ms >= OLD_WEIGHTS_GRACE_MS / 2
            fetchable = self._planner.fetchable_tokens(
                self.req, self.team, wanted
            )
        objective_ms, objective_remaining_ms = self._objective()
        started = self._relay.started
        return Demand(
            service=self.service,
            cold_per_s=spec.cold_per_s if spec else 0.0,
            entries=self._ctx.entries(),
            remaining_ms=self.left_ms,
            objective_ms=objective_ms,
            objective_remaining_ms=objective_remaining_ms,
            priority=BEGUN_PRIORITY if started else self._rank(),
            regions=self._regions(),
            avoid=tuple(avoid),
            generation=generation,
            cache_tokens=self.cache_tokens,
            fetchable_tokens=fetchable,
            desired_version=wanted,
            penalize_old_weights=late,
        )

    def instructions(self, target: Target, priority: int) -> Instructions:
        """Return what goes out with the request to `target` now."""
        generation = self.req.generation
        team = self.team.name if self.team else None
        if generation is None:
            return Instructions(target.id, self.left_ms, team)
        version = target.weights.get(generation.model)
        self.weights = version
        self.plan = self._planner.plan(self.req, self.team, target, version)
        return Instructions(
            target.id,
            self.left_ms,
            team,
            priority=priority,
            weight_version=version,
            cache_salt=self.plan.salt,
            fetch_from=self.plan.fetch_from,
            save_to=self.plan.save_to,
            fetch_until_ms=self.plan.fetch_until_ms,
            last_event_id=self._relay.last_event_id,
        )

    def _objective(self) -> tuple[float, float]:
        """Return the objective and what is left of it, in ms.

        Once a stream has begun it is its longest pause.
        """
        if self._relay.started:
            gap_ms = self.route.gap_objective_ms
            return gap_ms, gap_ms
        passed_ms = self._ctx.clock.now_ms() - self.req.arrived_ms
        objective_ms = self.route.objective_ms
        return objective_ms, objective_ms - passed_ms

    def _rank(self) -> int:
        """Return the rank among the requests that are not late.

        Of requests that operators rank alike, short prompts go first: they
        take little of what a long one waits for.
        """
        rank = self.route.priority
        if self.team is not None and self.team.priority is not None:
            rank = self.team.priority
        return max(0, min(LATE_PRIORITY - 1, 2 * rank + self._is_long()))

    def _is_long(self) -> bool:
        generation = self.req.generation
        if generation is None:
            return False
        return generation.tokens > LONG_SHARE * self.cache_tokens

    def _regions(self) -> tuple[str, ...]:
        """Return the regions that route and team allow; none: any."""
        route = self.route.regions
        team = self.team.regions if self.team else ()
        if not route or not team:
            return route or team
        both = tuple(region for region in route if region in team)
        return both or (_NO_REGION,)

    def _spec(self) -> ServiceSpec | None:
        state = self._ctx.wanted.state
        return state.services.get(self.service) if state else None

    def _choose_service(self) -> str:
        shares = [s for s in self.route.shares if s.weight > 0]
        if not shares:
            # No target serves it; the request is refused as such.
            return ''
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self._ctx.rng.choices(shares, weights)[0].service
