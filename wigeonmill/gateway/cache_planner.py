"""Plans which cached prompt parts a request fetches and saves."""

from collections.abc import Callable
from collections.abc import Sequence
import uuid

from wigeonmill.gateway.cache_plan import CachePlan
from wigeonmill.gateway.cache_salt import cache_salt
from wigeonmill.gateway.desired import CacheStoreSpec
from wigeonmill.gateway.desired import Team
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.request import PromptPart
from wigeonmill.gateway.store_view import SaveDecision
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.gateway.store_watch import StoreWatch
from wigeonmill.gateway.targets import Target
from wigeonmill.metrics import Metrics
from wigeonmill.routing.rendezvous import rank
from wigeonmill.routing.rendezvous import WeightedTarget

# The engine processes shorter parts faster than it could fetch them.
MIN_STORED_TOKENS = 64
# Time limit of a fetch: a few times what processing the tokens would take. If
# a slow store exceeds it, the engine drops the fetch and processes the prompt.
FETCH_FIXED_MS = 80.0
FETCH_MS_PER_TOKEN = 0.04


class StorePlanner:
    """Assigns each shared part to one store by rendezvous hashing."""

    __slots__ = (
        '_watch',
        '_owner_of',
        '_metrics',
        '_candidates',
        '_candidates_for',
    )

    def __init__(
        self,
        watch: StoreWatch,
        owner_of: Callable[[Team | None], str],
        metrics: Metrics,
    ) -> None:
        """Create a planner; `owner_of` returns whose cache a team uses."""
        self._watch = watch
        self._owner_of = owner_of
        self._metrics = metrics
        self._candidates: list[WeightedTarget] = []
        self._candidates_for: dict[str, CacheStoreSpec] = {}

    def fetchable_tokens(
        self, req: CallerRequest, team: Team | None, version: int | None
    ) -> int:
        """Return the number of tokens in the fetchable leading parts."""
        salt = salt_for(req, self._owner_of(team), version)
        if salt is None or version is None or req.generation is None:
            return 0
        total = 0
        for part in req.generation.shared_parts:
            view = self._store_for(part)
            held = view.available_tokens(salt, part.id) if view else 0
            if not held:
                break
            total += held
        return total

    def plan(
        self,
        req: CallerRequest,
        team: Team | None,
        target: Target,
        version: int | None,
    ) -> CachePlan:
        """Return the plan for a request that is sent to `target` now."""
        salt = salt_for(req, self._owner_of(team), version)
        if salt is None or version is None or req.generation is None:
            return CachePlan(salt=salt)
        fetch_from: list[str | None] = []
        save_to: list[str | None] = []
        views: list[StoreView] = []
        fetched = 0
        saved = 0
        for part in req.generation.parts:
            view = (
                self._store_for(part) if self._is_shared(part, req) else None
            )
            if view is None:
                fetch_from.append(None)
                save_to.append(None)
                continue
            held = view.available_tokens(salt, part.id)
            if held:
                views.append(view)
            fetch_from.append(view.address if held else None)
            saves = not held and self._start_save(view, salt, part, req.id)
            save_to.append(view.address if saves else None)
            fetched += held
            saved += part.tokens if saves else 0
        if fetched:
            self._metrics.count('cache_tokens', 'fetched', by=fetched)
        return CachePlan(
            salt,
            tuple(fetch_from),
            tuple(save_to),
            _fetch_until_ms(views, fetched),
            fetched,
            saved,
        )

    def _start_save(
        self, view: StoreView, salt: str, part: PromptPart, request_id: str
    ) -> bool:
        decision = view.start_save(salt, part.id, request_id)
        self._metrics.count('cache_tokens', decision.value, by=part.tokens)
        return decision is SaveDecision.SAVE

    def _is_shared(self, part: PromptPart, req: CallerRequest) -> bool:
        generation = req.generation
        return generation is not None and part is not generation.parts[-1]

    def _store_for(self, part: PromptPart) -> StoreView | None:
        specs = self._watch.specs
        if not specs or part.tokens < MIN_STORED_TOKENS:
            return None
        if specs is not self._candidates_for:
            self._candidates_for = specs
            self._candidates = [
                WeightedTarget(
                    spec.address, spec.failure_domain, float(spec.cache_tokens)
                )
                for spec in specs.values()
            ]
        address = rank(part.id.encode(), self._candidates, 1)[0].name
        return self._watch.view(address)


def _fetch_until_ms(views: Sequence[StoreView], tokens: int) -> int | None:
    """Return the deadline of a fetch in ms on the stores' clock."""
    valid_until_ms = min((view.fetch_until_ms for view in views), default=None)
    if valid_until_ms is None:
        return None
    now_ms = max(view.store_now_ms for view in views)
    useful_until_ms = now_ms + FETCH_FIXED_MS + FETCH_MS_PER_TOKEN * tokens
    return min(valid_until_ms, int(useful_until_ms))


def salt_for(
    req: CallerRequest, owner: str, version: int | None
) -> str | None:
    """Return the cache salt for a model request, or None for any other.

    If the weight version is unknown, the salt is unique to the request, so
    that nothing is shared.
    """
    if req.generation is None:
        return None
    model = req.generation.model
    if version is None:
        return cache_salt(model, 0, owner, uuid.uuid4().hex)
    return cache_salt(model, version, owner)
