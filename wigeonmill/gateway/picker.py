"""Chooses the target with the lowest expected cost for a request.

Costs are shares of the credit that the request is expected to lose.
"""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Iterator
from collections.abc import Mapping
from collections.abc import Sequence
from contextlib import contextmanager
from dataclasses import dataclass
from math import inf
import random

from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.credit import lateness_cost
from wigeonmill.gateway.credit import OLD_WEIGHTS_COST
from wigeonmill.gateway.domain_costs import DomainCosts
from wigeonmill.gateway.memory_guard import SHORT_SHARE
from wigeonmill.gateway.memory_guard import UnseenWork
from wigeonmill.gateway.request import Generation
from wigeonmill.gateway.service_rollout import VersionFilter
from wigeonmill.gateway.stream_origins import StreamOrigin
from wigeonmill.gateway.suspicions import MIN_HEARD_SHARE
from wigeonmill.gateway.suspicions import Suspicions
from wigeonmill.gateway.target_load import PRIORITIES
from wigeonmill.gateway.targets import Directory
from wigeonmill.gateway.targets import Target
from wigeonmill.routing.circuit import CircuitBreakers
from wigeonmill.routing.rendezvous import rank
from wigeonmill.routing.rendezvous import WeightedTarget

# Cost of a target whose recent requests all failed, and of one that has
# stopped sending anything.
FAILURE_COST = 1.0
SILENCE_COST = 1.5
# Cost per share of a target's memory that the request needs beyond the free
# memory, because the target would have to preempt other runs.
PREEMPTION_COST = 0.3
# Time to fetch cached prompt parts from a store, without the transfer of
# their tokens.
FETCH_FIXED_MS = 15.0
# With more entries than this, the load that entries report to each other is
# older than a short request lasts. If every entry chose the best of all
# targets, they would all choose the same one, so each entry compares a random
# sample instead.
FULL_SCAN_ENTRIES = 6
SAMPLED_TARGETS = 2
SAMPLED_ENGINES = 4
# If every sampled target costs more than this, all targets are evaluated.
FULL_SCAN_COST = 0.5
# A target of this cost is not picked for its room alone: it is silent or
# fails most of what it gets.
UNUSABLE_COST = 0.8
# Time after which a refused caller can expect a warm target or a free slot.
RETRY_AFTER_MS = 400.0
# Time after which a refused caller can expect a target with new weights.
WEIGHTS_RETRY_AFTER_MS = 1_000.0
# Margin for a request to reach a target with old weights and begin to run.
BEGIN_MARGIN_MS = 400.0
# Maximum number of open requests of a target that has just been opened, per
# slot: one that runs and one that waits.
OPENING_REQUESTS_PER_SLOT = 2
# Jitter of the retry time, as a share, so that refused callers do not all
# return at once, and the longest time of which it is a share.
RETRY_JITTER = 0.5
MAX_JITTERED_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class Demand:
    """The requirements of one request on a target.

    `entry_position` is that of this entry among `entry_count`, from 0 to 1.
    `avoid` names the targets that were already tried. If `only` is not empty,
    it names those that are allowed. If `regions` is empty, any region is
    allowed. `fetchable_tokens` of the prompt can be fetched from a cache
    store. `desired_version` is the newest weight version that operators have
    set for the model. No run may begin on an older version once the time that
    `old_weights_remaining_ms` returns for it has passed. A stream with an
    `origin` may go on only at the software that began it. One that is
    `repeatable` may be run twice. A target has room for the request if
    `spare_tokens` of its memory remain free besides it, as far as the memory
    is so large. If `needs_room` is set, all targets are compared before one
    without room is picked. `versions` limits the targets during a
    rollout of a software version.
    """

    service: str
    cold_per_s: float
    entry_count: int
    remaining_ms: float
    objective_ms: float
    objective_remaining_ms: float
    priority: int = 0
    regions: Collection[str] = ()
    avoid: Collection[str] = ()
    only: Collection[str] = ()
    generation: Generation | None = None
    cache_tokens: int = 0
    fetchable_tokens: int = 0
    body_bytes: int = 0
    desired_version: int | None = None
    penalize_old_weights: bool = False
    old_weights_remaining_ms: Callable[[int], float] = lambda _loaded: inf
    entry_position: float = 0.0
    origin: StreamOrigin | None = None
    versions: VersionFilter | None = None
    repeatable: bool = True
    spare_tokens: int = 0
    needs_room: bool = False

    @property
    def memory_priority(self) -> int:
        """The least urgent runs whose memory is not free for the request.

        A run that it preempted would lose its objective of pauses and read
        its prompt again.
        """
        return PRIORITIES - 1 if self.needs_room else self.priority

    @property
    def tokens(self) -> int:
        """The memory that the request occupies, in tokens."""
        return self.generation.tokens if self.generation else 0


@dataclass(frozen=True, slots=True)
class Pick:
    """A target with the expected time to its first token or whole answer.

    `cost` is the share of the credit that is expected to be lost, and
    `lateness_cost` the part of it that the expected time alone causes.
    `waits` is set if the request has to wait for memory or a slot.
    """

    target: Target
    expected_ms: float
    prefill_tokens: int
    cost: float
    lateness_cost: float
    waits: bool = False


class Picker:
    """Selects targets; closed failure domains get no new requests."""

    __slots__ = (
        '_clock',
        '_rng',
        '_directory',
        '_circuits',
        '_is_domain_closed',
        '_region_of',
        '_domain_costs',
        '_suspicions',
        '_reserves',
        '_unseen_work',
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        directory: Directory,
        circuits: CircuitBreakers,
        is_domain_closed: Callable[[str], bool],
        region_of: Mapping[str, str] | None = None,
        suspicions: Suspicions | None = None,
        domain_costs: DomainCosts = DomainCosts(),
        unseen_work: UnseenWork | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._circuits = circuits
        self._is_domain_closed = is_domain_closed
        self._region_of = region_of or {}
        self._domain_costs = domain_costs
        self._suspicions = suspicions
        self._reserves = True
        # Set if requests are kept from engines without memory for them.
        self._unseen_work = unseen_work

    @contextmanager
    def hypothetical(self) -> Iterator[None]:
        """Let picks change neither the random state nor any reservation."""
        state = self._rng.getstate()
        self._reserves = False
        try:
            yield
        finally:
            self._reserves = True
            self._rng.setstate(state)

    def evaluate_all(self, demand: Demand) -> list[Pick]:
        """Return what each target in service would cost."""
        home_id = self._home_id(demand)
        return [
            self._evaluate(target, demand, home_id)
            for target in self._same_software(demand)
        ]

    def pick(self, demand: Demand) -> Result[Pick, Refusal]:
        """Return the best target, or why there is none."""
        usable = self._usable(demand)
        if not usable:
            return Err(self._no_target(demand))
        current = self._without_expired_weights(usable, demand)
        if not current:
            message = 'the targets do not have the new weights yet'
            return Err(
                self._refusal(
                    Reason.OLD_WEIGHTS, message, WEIGHTS_RETRY_AFTER_MS
                )
            )
        admissible = self._within_cold_rate(current, demand)
        if not admissible:
            return Err(self._refusal(Reason.TARGETS_COLD, 'targets are cold'))
        unlimited = self._within_limits(admissible, demand)
        if not unlimited:
            return Err(self._limited(admissible, demand))
        admissible = self._within_opening_limit(unlimited)
        if not admissible:
            message = 'targets that have just opened are full'
            return Err(self._refusal(Reason.TARGETS_FULL, message))
        healthy = [
            target
            for target in admissible
            if not self._circuits.blocked(target.id)
        ]
        probed = self._to_probe(admissible, demand)
        if probed is not None:
            return Ok(probed)
        heard = self._without_suspected(healthy)
        best = self._best(heard or healthy or admissible, demand)
        return Ok(best)

    def retry_after_ms(self, demand: Demand) -> float:
        """Return the time after which a refused caller may return.

        The result is 0 unless no target in service accepts requests now.
        """
        waits_ms = [
            max(
                self._closed_ms(target),
                target.limit_wait_ms(demand.priority),
            )
            for target in self._same_software(demand)
        ]
        return self._with_jitter(min(waits_ms, default=0.0))

    def _opens_in_ms(self, demand: Demand) -> float:
        """Return the time until the first target opens (0: now)."""
        closed_ms = map(self._closed_ms, self._same_software(demand))
        return min(closed_ms, default=0.0)

    def _closed_ms(self, target: Target) -> float:
        return max(0.0, target.closed_until_ms - self._clock.now_ms())

    def _usable(self, demand: Demand) -> list[Target]:
        """Return the targets in service that are expected to accept work.

        Targets that are closed or were tried already are left out. So are
        those that are loading weights or refuse requests, unless no others
        remain.
        """
        now_ms = self._clock.now_ms()
        untried = [
            target
            for target in self._same_software(demand)
            if target.id not in demand.avoid
            and (not demand.only or target.id in demand.only)
            and not target.is_closed(now_ms)
        ]
        not_loading = [
            t for t in untried if not t.is_loading(now_ms)
        ] or untried
        return [
            t for t in not_loading if t.refusing_until_ms <= now_ms
        ] or not_loading

    def _in_service(self, demand: Demand) -> list[Target]:
        """Return the targets that operators allow for the request."""
        return [
            target
            for target in self._directory.of_service(demand.service)
            if not self._is_domain_closed(target.failure_domain)
            and (demand.versions is None or demand.versions.allows(target))
            and (
                not demand.regions
                or self._region_of.get(target.failure_domain) in demand.regions
            )
        ]

    def _same_software(self, demand: Demand) -> list[Target]:
        """Return the targets in service that may go on with a stream."""
        in_service = self._in_service(demand)
        origin = demand.origin
        if origin is None:
            return in_service
        return [t for t in in_service if origin.may_resume_at(t)]

    def _no_target(self, demand: Demand) -> Refusal:
        if self._in_service(demand) and not self._same_software(demand):
            return Refusal(
                Reason.OTHER_SOFTWARE,
                'no target runs the software that began the stream',
            )
        opens_in_ms = self._opens_in_ms(demand)
        if opens_in_ms > 0:
            return self._refusal(
                Reason.TARGETS_CLOSED, 'all targets are closed', opens_in_ms
            )
        return self._refusal(Reason.NO_TARGET, 'no target is available')

    def _without_expired_weights(
        self, usable: Sequence[Target], demand: Demand
    ) -> list[Target]:
        """Leave out old weights on which the run would begin too late."""
        generation = demand.generation
        if generation is None:
            return list(usable)
        return [
            target
            for target in usable
            if not self._has_old_weights(target, demand)
            or target.load.first_token_ms(
                generation.prompt_tokens, demand.priority, target.slots
            )
            <= demand.old_weights_remaining_ms(
                target.weights[generation.model]
            )
            - BEGIN_MARGIN_MS
        ]

    def _within_cold_rate(
        self, usable: Sequence[Target], demand: Demand
    ) -> list[Target]:
        now_ms = self._clock.now_ms()
        return [
            target
            for target in usable
            if demand.cold_per_s <= 0
            or not target.is_cold(now_ms)
            or target.cold_allowance.wait_ms(
                demand.cold_per_s,
                demand.entry_count,
                demand.entry_position,
                target.cold_until_ms,
            )
            <= 0
        ]

    def _within_limits(
        self, targets: Sequence[Target], demand: Demand
    ) -> list[Target]:
        return [t for t in targets if t.limit_wait_ms(demand.priority) <= 0]

    def _limited(self, targets: Sequence[Target], demand: Demand) -> Refusal:
        """Return the refusal of a request beyond the limits of all targets.

        The first one to accept another keeps it for such an urgent request.
        """
        first = min(targets, key=lambda t: t.limit_wait_ms(demand.priority))
        wait_ms = first.limit_wait_ms(demand.priority)
        if self._reserves:
            first.limit_allowance.reserve(demand.priority, wait_ms)
        return self._refusal(
            Reason.TARGETS_LIMITED,
            'targets accept no more requests a second',
            wait_ms,
        )

    def _to_probe(
        self, targets: Sequence[Target], demand: Demand
    ) -> Pick | None:
        """Return a silent target to which this request should be sent.

        It will most likely be tried elsewhere after that.
        """
        suspicions = self._suspicions
        if (
            suspicions is None
            or not len(suspicions)
            or len(targets) < 2
            or demand.avoid
            or demand.only
            or demand.origin is not None
        ):
            return None
        for target in targets:
            if suspicions.may_probe(
                target, demand.repeatable, demand.objective_remaining_ms
            ):
                pick = self._evaluate(target, demand, self._home_id(demand))
                if pick.expected_ms < demand.remaining_ms:
                    return pick
        return None

    def _without_suspected(self, targets: Sequence[Target]) -> list[Target]:
        suspicions = self._suspicions
        if suspicions is None or not len(suspicions):
            return list(targets)
        heard = [t for t in targets if not suspicions.is_suspected(t)]
        # The few that are left would get the work of all.
        if len(heard) < MIN_HEARD_SHARE * len(targets):
            return list(targets)
        return heard

    def _within_opening_limit(self, targets: Sequence[Target]) -> list[Target]:
        """Leave out opening targets that have enough open requests.

        With all callers that return at once, a target that is short of slots
        would ask for time again.
        """
        now_ms = self._clock.now_ms()
        return [
            target
            for target in targets
            if not target.is_opening(now_ms)
            or target.slots <= 0
            or target.load.occupied()
            < OPENING_REQUESTS_PER_SLOT * target.slots
        ]

    def _best(self, targets: Sequence[Target], demand: Demand) -> Pick:
        home_id = self._home_id(demand)
        sampled = self._sample(targets, demand, home_id)
        best = self._cheapest(sampled, demand, home_id)
        scan = best.cost > FULL_SCAN_COST or (demand.needs_room and best.waits)
        if scan and len(sampled) < len(targets):
            return self._cheapest(targets, demand, home_id)
        return best

    def _cheapest(
        self, targets: Sequence[Target], demand: Demand, home_id: str
    ) -> Pick:
        picks = [self._evaluate(target, demand, home_id) for target in targets]
        self._rng.shuffle(picks)
        best = min(picks, key=lambda pick: pick.cost)
        if demand.needs_room and best.waits:
            with_room = [
                pick
                for pick in picks
                if not pick.waits and pick.cost < UNUSABLE_COST
            ]
            return min(with_room, key=lambda pick: pick.cost, default=best)
        return best

    def _sample(
        self, targets: Sequence[Target], demand: Demand, home_id: str
    ) -> Sequence[Target]:
        """Return the targets to compare, always including the home target."""
        if demand.entry_count <= FULL_SCAN_ENTRIES:
            return targets
        is_model = demand.generation is not None
        count = SAMPLED_ENGINES if is_model else SAMPLED_TARGETS
        if len(targets) <= count:
            return targets
        chosen = self._chosen(targets, count)
        if all(target.id != home_id for target in chosen):
            chosen += [target for target in targets if target.id == home_id]
        return chosen

    def _chosen(self, targets: Sequence[Target], count: int) -> list[Target]:
        """Return a random sample; half of it, if it matters, of this domain.

        The rest is of all domains, so that a loaded domain gets help.
        """
        if not self._domain_costs.apply:
            return self._rng.sample(targets, count)
        own = [
            target
            for target in targets
            if self._domain_costs.is_own(target.failure_domain)
        ]
        chosen = self._rng.sample(own, min(len(own), (count + 1) // 2))
        others = [target for target in targets if target not in chosen]
        return chosen + self._rng.sample(others, count - len(chosen))

    def _home_id(self, demand: Demand) -> str:
        """Return the id of the home target, or '' if there is none.

        The home target is the one whose cache should hold the shared parts of
        the prompt. All targets in service are ranked, so that the home does
        not move while a target is loading weights or refuses requests.
        """
        if (
            demand.generation is None
            or demand.generation.last_shared_part is None
        ):
            return ''
        candidates = [
            WeightedTarget(target.id, target.failure_domain)
            for target in self._in_service(demand)
        ]
        if not candidates:
            return ''
        key = demand.generation.last_shared_part.id.encode()
        return rank(key, candidates, 1)[0].name

    def _evaluate(self, target: Target, demand: Demand, home_id: str) -> Pick:
        load = target.load
        prefill = 0
        waits = False
        if demand.generation is None:
            expected_ms = load.whole_answer_ms(target.slots)
        else:
            prefill, fetch_ms = self._prefill_and_fetch(
                target, demand, home_id
            )
            expected_ms = load.first_token_ms(
                prefill, demand.priority, target.slots
            )
            slot_ms = load.slot_wait_ms(demand.priority, target.slots)
            memory_ms = load.memory_wait_ms(
                demand.tokens, demand.memory_priority, demand.cache_tokens
            )
            expected_ms += fetch_ms + memory_ms
            waits = (
                memory_ms > 0
                or slot_ms > 0
                or self._lacks_spare(target, demand)
                or self._lacks_memory(target, demand)
            )
        lateness = lateness_cost(
            expected_ms, demand.objective_remaining_ms, demand.objective_ms
        )
        cost = lateness + self._extra_cost(target, demand)
        cost += self._domain_costs.cost(
            target.failure_domain, demand.body_bytes, demand.generation
        )
        return Pick(
            target,
            expected_ms,
            prefill,
            cost,
            lateness,
            waits,
        )

    def _lacks_spare(self, target: Target, demand: Demand) -> bool:
        """Whether too little memory would remain for urgent requests.

        The reserve of a large prompt is smaller, so that it has room on an
        empty engine.
        """
        fitting = demand.cache_tokens - demand.tokens
        spare = min(demand.spare_tokens, fitting)
        return spare > 0 and (
            target.load.memory_shortfall(
                demand.tokens + spare,
                demand.memory_priority,
                demand.cache_tokens,
            )
            > 0
        )

    def _lacks_memory(self, target: Target, demand: Demand) -> bool:
        """Whether the request would wait for memory or preempt others."""
        return self._expected_shortfall(target, demand, demand.tokens) > 0

    def _expected_shortfall(
        self, target: Target, demand: Demand, tokens: int
    ) -> int:
        if self._unseen_work is None:
            return 0
        if tokens < SHORT_SHARE * demand.cache_tokens:
            return target.load.memory_shortfall(
                tokens, PRIORITIES - 1, demand.cache_tokens
            )
        count = len(self._directory.of_service(demand.service))
        begun_tokens = self._unseen_work.begun_tokens(demand.service, count)
        return target.load.expected_shortfall(
            tokens, demand.cache_tokens, begun_tokens
        )

    def _extra_cost(self, target: Target, demand: Demand) -> float:
        load = target.load
        cost = load.failure_share() * FAILURE_COST
        if load.is_silent():
            cost += SILENCE_COST
        if demand.penalize_old_weights and self._has_old_weights(
            target, demand
        ):
            cost += OLD_WEIGHTS_COST
        if demand.cache_tokens > 0 and demand.generation is not None:
            shortfall = load.memory_shortfall(
                demand.tokens, PRIORITIES - 1, demand.cache_tokens
            )
            cost += PREEMPTION_COST * max(0, shortfall) / demand.cache_tokens
            if self._unseen_work is not None:
                cost += load.displaced_cost(
                    self._expected_shortfall(target, demand, demand.tokens),
                    demand.tokens,
                    demand.priority,
                )
        return cost

    def _prefill_and_fetch(
        self, target: Target, demand: Demand, home_id: str
    ) -> tuple[int, float]:
        """Return the tokens to prefill and the time to fetch the others."""
        generation = demand.generation
        assert generation is not None
        shared = sum(part.tokens for part in generation.shared_parts)
        own = generation.prompt_tokens - shared
        if target.id == home_id:
            return max(0, own), 0.0
        fetched = min(shared, demand.fetchable_tokens)
        fetch_ms = FETCH_FIXED_MS if fetched else 0.0
        return max(0, own + shared - fetched), fetch_ms

    def _has_old_weights(self, target: Target, demand: Demand) -> bool:
        if demand.desired_version is None or demand.generation is None:
            return False
        version = target.weights.get(demand.generation.model)
        return version is not None and version < demand.desired_version

    def _refusal(
        self,
        reason: Reason,
        message: str,
        retry_after_ms: float = RETRY_AFTER_MS,
    ) -> Refusal:
        return Refusal(reason, message, self._with_jitter(retry_after_ms))

    def _with_jitter(self, time_ms: float) -> float:
        jitter_ms = RETRY_JITTER * min(time_ms, MAX_JITTERED_MS)
        return time_ms + jitter_ms * self._rng.random()
