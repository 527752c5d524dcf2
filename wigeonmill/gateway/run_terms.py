"""Derives the demand and the instructions of one request."""

from collections.abc import Collection

from wigeonmill.gateway.admission import engine_level
from wigeonmill.gateway.admission import has_returned
from wigeonmill.gateway.admission import LATE_RESERVED_SHARE
from wigeonmill.gateway.admission import RESERVED_SHARE
from wigeonmill.gateway.admission import Size
from wigeonmill.gateway.admission import waited_ms
from wigeonmill.gateway.cache_plan import CachePlan
from wigeonmill.gateway.cache_plan import CachePlanner
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import Route
from wigeonmill.gateway.desired import ServiceSpec
from wigeonmill.gateway.desired import Team
from wigeonmill.gateway.part_guard import part_keys
from wigeonmill.gateway.picker import Demand
from wigeonmill.gateway.picker import Pick
from wigeonmill.gateway.relay import Relay
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.restart_order import used_before_ms
from wigeonmill.gateway.service_profile import ServiceProfile
from wigeonmill.gateway.stream_origins import StreamOrigin
from wigeonmill.gateway.target_client import Instructions
from wigeonmill.gateway.target_load import LATE_PRIORITY
from wigeonmill.gateway.targets import Target

# Age of a new weight version at which answers by older weights cost credit.
OLD_WEIGHTS_GRACE_MS = 1_500.0
# Margin for a cancellation to reach a target before a run begins there on
# weights that are no longer allowed.
CANCEL_MARGIN_MS = 250.0
# A request that is expected to lose this share of its credit gets a lower
# priority than those that may still be answered in time.
LATE_COST = 0.6
# A prompt that occupies more than this share of an engine's memory is long.
LONG_PROMPT_SHARE = 1.0 / 32.0
# One of a caller that returns after a refusal goes before the others of them.
RETURNED_PRIORITY = 7
STARTED_PRIORITY = 0
# Matches no region, as no region has an empty name.
_NO_REGION = ''


class RunTerms:
    """The demand and the instructions of one request at the current time."""

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
        'weight_version',
        'old_weights_remaining_ms',
        'origin',
        'part_keys',
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
        self.weight_version: int | None = None
        # Set while the last target has older weights than operators want.
        self.old_weights_remaining_ms: float | None = None
        # Set once the caller has an event of the stream.
        self.origin: StreamOrigin | None = None
        self.part_keys = part_keys(req.generation)

    @property
    def remaining_ms(self) -> float:
        """The time until the deadline of the caller or of the route."""
        return self.deadline_ms - self._ctx.clock.now_ms()

    @property
    def in_time_ms(self) -> float:
        """The time left of the objective, from the caller's first attempt."""
        waited = waited_ms(self.req.deadline_ms, self.route.timeout_ms)
        return self._objective()[1] - waited

    @property
    def max_targets(self) -> int:
        """The number of targets that the request may be sent to."""
        return max(1, self.route.max_targets)

    @property
    def cache_tokens(self) -> int:
        """The memory of one engine of the service, in tokens."""
        spec = self._service_spec()
        return spec.engine.cache_tokens if spec and spec.engine else 0

    @property
    def config_version(self) -> int | None:
        """The version of the configuration in force."""
        state = self._ctx.desired.state
        return state.version if state else None

    @property
    def services(self) -> list[str]:
        """The services that the route sends requests to."""
        return [s.service for s in self.route.shares if s.weight > 0]

    @property
    def stream_id(self) -> str:
        """The id of the request that began the stream."""
        if self.req.last_event_id is None:
            return self.req.id
        return self.req.resumed_id

    @property
    def continues(self) -> bool:
        """Whether the caller has a part of the stream already.

        It may have it from an earlier request.
        """
        return self._relay.started or self.origin is not None

    @property
    def competes(self) -> bool:
        """Whether room is shared among the teams that ask for it."""
        state = self._ctx.desired.state
        if not (state and state.teams):
            return False
        return self._ctx.fair_admission or (
            self._ctx.fair_admission_pace
            and self._ctx.directory.states_pace(self.service)
        )

    @property
    def has_returned(self) -> bool:
        """Whether the caller seems to have been refused before."""
        return self.competes and has_returned(
            self.req.deadline_ms, self.route.timeout_ms
        )

    @property
    def is_above_share(self) -> bool:
        """Whether the team is above its fair share of a service in need."""
        shares = self._ctx.team_shares
        return (
            self.competes
            and shares.is_short(self.service)
            and shares.is_above(
                self.service, self.team.name if self.team else ''
            )
        )

    def resume(self, origin: StreamOrigin) -> None:
        """Go on with a stream at the service that began it, if possible."""
        self.origin = origin
        if origin.service in self.services:
            self.service = origin.service

    def is_late(self, pick: Pick) -> bool:
        """Whether a model request is expected to miss its objective."""
        if self.req.generation is None or self.continues:
            return False
        return pick.lateness_cost >= LATE_COST

    def priority(self, pick: Pick) -> int:
        """Return the priority at the engine.

        Requests that will be late anyway are the least urgent. A stream that
        has started must continue without a pause.
        """
        if self._relay.started:
            return STARTED_PRIORITY
        # What has room keeps it: if it were preempted, its prompt would be
        # read again.
        if self.is_late(pick) and (pick.waits or not self.competes):
            return RETURNED_PRIORITY if self.has_returned else LATE_PRIORITY
        after = 0 if self.competes else self._goes_after()
        return min(LATE_PRIORITY - 1, self._base_priority() + after)

    def demand(self, avoid: Collection[str]) -> Demand:
        """Return the current requirements of the request."""
        generation = self.req.generation
        spec = self._service_spec()
        newest_version = None
        weights_due = False
        fetchable = 0
        if generation is not None:
            newest_version = self._ctx.desired.weight_version(generation.model)
            age_ms = self._ctx.desired.weight_version_age_ms(generation.model)
            weights_due = (
                newest_version is not None
                and age_ms >= OLD_WEIGHTS_GRACE_MS / 2
            )
            fetchable = self._planner.fetchable_tokens(
                self.req, self.team, newest_version
            )
        objective_ms, objective_remaining_ms = self._objective()
        return Demand(
            service=self.service,
            cold_per_s=spec.cold_per_s if spec else 0.0,
            entry_count=self._ctx.entry_count(),
            entry_position=self._ctx.entry_position(),
            remaining_ms=self.remaining_ms,
            objective_ms=objective_ms,
            objective_remaining_ms=objective_remaining_ms,
            priority=(
                STARTED_PRIORITY
                if self._relay.started
                else self._base_priority()
            ),
            regions=self._regions(),
            avoid=tuple(avoid),
            generation=generation,
            cache_tokens=self.cache_tokens,
            fetchable_tokens=fetchable,
            body_bytes=len(self.req.body),
            desired_version=newest_version,
            penalize_old_weights=weights_due,
            old_weights_remaining_ms=self._old_weights_remaining_ms,
            origin=self.origin,
            versions=self._ctx.rollouts.filter(
                self.service, self.route.name, bool(avoid), self.origin
            ),
            repeatable=self.route.idempotent,
            spare_tokens=self._spare_tokens(),
            needs_room=self.competes,
        )

    def begin_by_ms(self, target: Target) -> float:
        """Return the latest time at which a run may begin on `target`.

        It is infinite unless the target is known to have older weights.
        """
        if not self._has_old_weights(target):
            return float('inf')
        remaining_ms = self._target_remaining_ms(target)
        return self._ctx.clock.now_ms() + remaining_ms - CANCEL_MARGIN_MS

    def instructions(self, target: Target, priority: int) -> Instructions:
        """Return the instructions to send to `target` with the request."""
        generation = self.req.generation
        team = self.team.name if self.team else None
        if generation is None:
            return Instructions(target.id, self.remaining_ms, team)
        version = target.weights.get(generation.model)
        self.weight_version = version
        self.old_weights_remaining_ms = None
        if self._has_old_weights(target):
            self.old_weights_remaining_ms = self._target_remaining_ms(target)
        self.plan = self._planner.plan(self.req, self.team, target, version)
        return Instructions(
            target.id,
            self.remaining_ms,
            team,
            priority=priority,
            weight_version=version,
            cache_salt=self.plan.salt,
            fetch_from=self.plan.fetch_from,
            save_to=self.plan.save_to,
            fetch_until_ms=self.plan.fetch_until_ms,
            last_event_id=self._relay.last_event_id,
        )

    def _has_old_weights(self, target: Target) -> bool:
        """Whether `target` is known to have older weights than desired."""
        generation = self.req.generation
        if generation is None:
            return False
        newest_version = self._ctx.desired.weight_version(generation.model)
        version = target.weights.get(generation.model)
        return version is not None and version < (newest_version or 0)

    def _target_remaining_ms(self, target: Target) -> float:
        """Return how long the run may still begin on `target`'s weights."""
        generation = self.req.generation
        if generation is None:
            return float('inf')
        return self._old_weights_remaining_ms(target.weights[generation.model])

    def _old_weights_remaining_ms(self, loaded: int) -> float:
        generation = self.req.generation
        if generation is None:
            return float('inf')
        return self._ctx.desired.old_weights_remaining_ms(
            generation.model, loaded
        )

    def _objective(self) -> tuple[float, float]:
        """Return the objective and its remaining time, in ms.

        Once a stream has started, the objective bounds its longest pause.
        """
        if self.continues:
            gap_ms = self.route.gap_objective_ms
            return gap_ms, gap_ms
        elapsed_ms = self._ctx.clock.now_ms() - self.req.arrived_ms
        objective_ms = self.route.objective_ms
        return objective_ms, objective_ms - elapsed_ms

    def _goes_after(self) -> bool:
        """Whether those of its kind that can be in time go first.

        It is late by the earlier tries of its caller.
        """
        if not self._ctx.restart_order.applies or self.continues:
            return False
        used_ms = used_before_ms(self.req.deadline_ms, self.route.timeout_ms)
        return used_ms > self.route.objective_ms

    def _base_priority(self) -> int:
        """Return the priority of the request while it is not late.

        Among requests of the same configured priority, short prompts go
        first, because they need little of the memory that a long one waits
        for.
        """
        configured = self.route.priority
        if self.team is not None and self.team.priority is not None:
            configured = self.team.priority
        if self.competes:
            return engine_level(
                configured,
                self._profile().priorities,
                self._size(),
                self.is_above_share,
            )
        return max(0, min(LATE_PRIORITY - 1, 2 * configured + self._is_long()))

    def _is_long(self) -> bool:
        generation = self.req.generation
        if generation is None:
            return False
        return generation.tokens > LONG_PROMPT_SHARE * self.cache_tokens

    def _size(self) -> Size:
        """Return whether it is long, and then whether it can wait.

        The hurried kind of request can't: its largest prompts would stand
        behind all runs of the other kinds.
        """
        if not self._is_long():
            return Size.SHORT
        if self._profile().can_wait(self.route.objective_ms):
            return Size.CAN_WAIT
        return Size.LONG

    def _spare_tokens(self) -> int:
        """Return the memory to leave free for more urgent requests."""
        if not self.competes or self.continues or self.req.generation is None:
            return 0
        share = LATE_RESERVED_SHARE if self.in_time_ms <= 0 else 0.0
        if self._is_long() and self._profile().has_shorter(
            self.route.objective_ms
        ):
            share += RESERVED_SHARE
        return int(share * self.cache_tokens)

    def _profile(self) -> ServiceProfile:
        return self._ctx.profiles.get(self._ctx.desired.state, self.service)

    def _regions(self) -> tuple[str, ...]:
        """Return the regions that route and team allow (empty: any)."""
        route = self.route.regions
        team = self.team.regions if self.team else ()
        if not route or not team:
            return route or team
        common = tuple(region for region in route if region in team)
        return common or (_NO_REGION,)

    def _service_spec(self) -> ServiceSpec | None:
        state = self._ctx.desired.state
        return state.services.get(self.service) if state else None

    def _choose_service(self) -> str:
        shares = [s for s in self.route.shares if s.weight > 0]
        if not shares:
            # No target serves the empty name, so the request is refused.
            return ''
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self._ctx.rng.choices(shares, weights)[0].service
