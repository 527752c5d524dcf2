"""Chooses the target that is expected to answer a request first."""

from collections.abc import Callable
from collections.abc import Collection
from collections.abc import Mapping
from collections.abc import Sequence
from dataclasses import dataclass
import random

from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.credit import late_loss
from wigeonmill.gateway.credit import OLD_WEIGHTS_LOSS
from wigeonmill.gateway.request import Generation
from wigeonmill.gateway.target_load import PRIORITIES
from wigeonmill.gateway.targets import Directory
from wigeonmill.gateway.targets import Target
from wigeonmill.routing.circuit import CircuitBreakers
from wigeonmill.routing.rendezvous import rank
from wigeonmill.routing.rendezvous import WeightedTarget

# Loss, as a share of the credit, at a target all of whose late requests
# failed, and at one from which nothing comes.
FAILURE_LOSS = 1.0
SILENCE_LOSS = 1.5
# Loss per share of its memory that a target lacks, for the runs that it must
# interrupt then.
INTERRUPTION_LOSS = 0.3
# Time to fetch a cached part from elsewhere, without its tokens.
FETCH_FIXED_MS = 15.0
# With more entries than this, news of each other's work are older than a
# short request lasts. Entries that all took the target that looks best would
# take the same one; each compares a few by chance instead.
FRESH_ENTRIES = 6
COMPARED_TARGETS = 2
COMPARED_ENGINES = 4
# If all of these lose more, every target is looked at.
POOR_LOSS = 0.5
# A returned caller finds cold targets warm, or a place freed, after this.
RETRY_AFTER_MS = 400.0
# Spread of the times after which refused callers come back.
RETRY_SPREAD = 0.5


@dataclass(frozen=True, slots=True)
class Demand:
    """What one request needs of a target.

    `fetchable_tokens` of the prompt lie in a store; `avoid` names targets
    already tried. Without `regions` any will do. `wanted_version` is the
    newest named for the model.
    """

    service: str
    cold_per_s: float
    entries: int
    left_ms: float
    objective_ms: float
    objective_left_ms: float
    priority: int = 0
    regions: Collection[str] = ()
    avoid: Collection[str] = ()
    generation: Generation | None = None
    cache_tokens: int = 0
    fetchable_tokens: int = 0
    wanted_version: int | None = None
    old_weights_late: bool = False

    @property
    def tokens(self) -> int:
        """Memory that the request takes, in tokens."""
        return self.generation.tokens if self.generation else 0


@dataclass(frozen=True, slots=True)
class Pick:
    """A target with the time to its first token or whole answer.

    `loss` is the share of the credit that is expected to be lost, and
    `late_loss` what of it comes from the expected time alone.
    """

    target: Target
    expected_ms: float
    prefill_tokens: int
    loss: float
    late_loss: float
    waits_for_memory: bool = False


class Picker:
    """Decides on targets; `closed_domain` tells domains out of service."""

    __slots__ = (
        '_clock',
        '_rng',
        '_directory',
        '_circuits',
        '_closed_domain',
        '_region_of',
    )

    def __init__(
        self,
        clock: Clock,
        rng: random.Random,
        directory: Directory,
        circuits: CircuitBreakers,
        closed_domain: Callable[[str], bool],
        region_of: Mapping[str, str] | None = None,
    ) -> None:
        self._clock = clock
        self._rng = rng
        self._directory = directory
        self._circuits = circuits
        self._closed_domain = closed_domain
        self._region_of = region_of or {}

    def pick(self, demand: Demand) -> Result[Pick, Refusal]:
        """Return the best target, or why there is none."""
        usable = self._usable(demand)
        if not usable:
            return Err(self._refusal(Reason.NO_TARGET, 'no target serves'))
        open_now = self._below_cold_rate(usable, demand)
        if not open_now:
            return Err(self._refusal(Reason.TARGETS_COLD, 'targets are cold'))
        sound = [
            target
            for target in open_now
            if not self._circuits.blocked(target.id)
        ]
        best = self._best(sound or open_now, demand)
        return Ok(best)

    def _usable(self, demand: Demand) -> list[Target]:
        now_ms = self._clock.now_ms()
        usable = self._in_service(demand)
        fresh = [t for t in usable if t.id not in demand.avoid]
        idle = [t for t in fresh if not t.is_loading(now_ms)] or fresh
        return [t for t in idle if t.refusing_until_ms <= now_ms] or idle

    def _in_service(self, demand: Demand) -> list[Target]:
        """Return the targets that operators let the request go to."""
        return [
            target
            for target in self._directory.of_service(demand.service)
            if not self._closed_domain(target.failure_domain)
            and (
                not demand.regions
                or self._region_of.get(target.failure_domain) in demand.regions
            )
        ]

    def _below_cold_rate(
        self, usable: Sequence[Target], demand: Demand
    ) -> list[Target]:
        now_ms = self._clock.now_ms()
        return [
            target
            for target in usable
            if demand.cold_per_s <= 0
            or not target.is_cold(now_ms)
            or target.cold.wait_ms(demand.cold_per_s, demand.entries) <= 0
        ]

    def _best(self, targets: Sequence[Target], demand: Demand) -> Pick:
        home = self._home(demand)
        compared = self._compared(targets, demand, home)
        best = self._cheapest(compared, demand, home)
        if best.loss > POOR_LOSS and len(compared) < len(targets):
            return self._cheapest(targets, demand, home)
        return best

    def _cheapest(
        self, targets: Sequence[Target], demand: Demand, home: str
    ) -> Pick:
        picks = [self._price(target, demand, home) for target in targets]
        self._rng.shuffle(picks)
        return min(picks, key=lambda pick: pick.loss)

    def _compared(
        self, targets: Sequence[Target], demand: Demand, home: str
    ) -> Sequence[Target]:
        """Return the targets to choose from, the home always among them."""
        if demand.entries <= FRESH_ENTRIES:
            return targets
        is_model = demand.generation is not None
        count = COMPARED_ENGINES if is_model else COMPARED_TARGETS
        if len(targets) <= count:
            return targets
        chosen = self._rng.sample(targets, count)
        if all(target.id != home for target in chosen):
            chosen += [target for target in targets if target.id == home]
        return chosen

    def _home(self, demand: Demand) -> str:
        """Return the target whose cache should hold the prompt's subject."""
        if (
            demand.generation is None
            or demand.generation.last_shared_part is None
        ):
            return ''
        everywhere = [
            WeightedTarget(target.id, target.failure_domain)
            for target in self._in_service(demand)
        ]
        if not everywhere:
            return ''
        key = demand.generation.last_shared_part.id.encode()
        return rank(key, everywhere, 1)[0].name

    def _price(self, target: Target, demand: Demand, home: str) -> Pick:
        load = target.load
        prefill = 0
        memory_ms = 0.0
        if demand.generation is None:
            expected_ms = load.whole_answer_ms(target.slots)
        else:
            prefill, fetch_ms = self._missing(target, demand, home)
            expected_ms = load.first_token_ms(prefill, demand.priority)
            memory_ms = load.memory_wait_ms(
                demand.tokens, demand.priority, demand.cache_tokens
            )
            expected_ms += fetch_ms + memory_ms
        late = late_loss(
            expected_ms, demand.objective_left_ms, demand.objective_ms
        )
        loss = late + self._extra_loss(target, demand)
        return Pick(target, expected_ms, prefill, loss, late, memory_ms > 0)

    def _extra_loss(self, target: Target, demand: Demand) -> float:
        load = target.load
        loss = load.failure_share() * FAILURE_LOSS
        if load.is_silent():
            loss += SILENCE_LOSS
        if demand.old_weights_late and self._is_old(target, demand):
            loss += OLD_WEIGHTS_LOSS
        if demand.cache_tokens > 0 and demand.generation is not None:
            shortfall = load.memory_shortfall(
                demand.tokens, PRIORITIES - 1, demand.cache_tokens
            )
            loss += INTERRUPTION_LOSS * max(0, shortfall) / demand.cache_tokens
        return loss

    def _missing(
        self, target: Target, demand: Demand, home: str
    ) -> tuple[int, float]:
        """Return the tokens to read and the time to fetch others."""
        generation = demand.generation
        assert generation is not None
        shared = sum(part.tokens for part in generation.shared_parts)
        own = generation.prompt_tokens - shared
        if target.id == home:
            return max(0, own), 0.0
        fetched = min(shared, demand.fetchable_tokens)
        fetch_ms = FETCH_FIXED_MS if fetched else 0.0
        return max(0, own + shared - fetched), fetch_ms

    def _is_old(self, target: Target, demand: Demand) -> bool:
        if demand.wanted_version is None or demand.generation is None:
            return False
        version = target.weights.get(demand.generation.model)
        return version is not None and version < demand.wanted_version

    def _refusal(self, reason: Reason, message: str) -> Refusal:
        spread = 1.0 + RETRY_SPREAD * self._rng.random()
        return Refusal(reason, message, RETRY_AFTER_MS * spread)
