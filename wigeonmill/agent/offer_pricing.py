"""What a target can offer a request, from its exact load."""

from wigeonmill.agent.admission_types import AdmissionSettings
from wigeonmill.agent.admission_types import Offer
from wigeonmill.agent.admission_types import Refusal
from wigeonmill.agent.admission_types import RefusalReason
from wigeonmill.agent.admission_types import RunRequest
from wigeonmill.agent.estimator import Estimate
from wigeonmill.agent.estimator import Workload
from wigeonmill.agent.in_flight import InFlight
from wigeonmill.agent.target_health import TargetHealth
from wigeonmill.agent.waiting_list import WaitingList
from wigeonmill.cache.tiers import TierPlan


class OfferPricing:
    """Works out expected times and whether there is a place."""

    __slots__ = ('_settings', '_health', '_waiting', '_in_flight')

    def __init__(
        self,
        settings: AdmissionSettings,
        health: TargetHealth,
        waiting: WaitingList,
        in_flight: InFlight,
    ) -> None:
        self._settings = settings
        self._health = health
        self._waiting = waiting
        self._in_flight = in_flight

    def refusal_of_place(self, request: RunRequest) -> Refusal | None:
        """Return why there is no place for one more request."""
        waiting = len(self._waiting) + len(self._waiting.reservations)
        places = len(self._in_flight) + waiting
        cold_places = self._health.limit + self._settings.cold_queue
        if self._health.cold and places >= cold_places:
            return self.no_place(RefusalReason.COLD)
        if not self._waiting.has_capacity(request):
            return self.no_place(RefusalReason.QUEUE_FULL)
        return None

    def no_place(self, reason: RefusalReason) -> Refusal:
        """Return a refusal until about the next end of a run."""
        wait_ms = self._health.estimator.held_ms / self._health.limit
        return Refusal(reason, int(wait_ms))

    def estimate(
        self, request: RunRequest, plan: TierPlan, alone: bool, now_ms: float
    ) -> Estimate:
        """Return the expected times of a request admitted now."""
        missing = plan.recompute_tokens
        ahead = self._waiting.work_ahead(request, max(1, missing), alone)
        limit = self._health.limit
        workload = Workload(
            prefill_ahead=self._in_flight.prefill_tokens,
            queued_ahead=ahead.tokens,
            slots_ahead=ahead.entries,
            slots_free=max(0, limit - len(self._in_flight)),
            limit=limit,
        )
        estimator = self._health.estimator
        expected = estimator.estimate(workload, missing, plan.import_ms)
        suspects_ms = self._suspects_ms(missing, alone, now_ms)
        return Estimate(
            expected.wait_ms + suspects_ms,
            expected.first_token_ms + suspects_ms,
        )

    def _suspects_ms(self, missing: int, alone: bool, now_ms: float) -> float:
        estimator = self._health.estimator
        each_ms = estimator.first_token_ms(missing)
        each_ms += self._settings.suspect_settle_ms
        running = self._in_flight.unsettled_suspect(now_ms) is not None
        held_back = self._waiting.overdue_suspect(now_ms) is not None
        if not alone and not held_back:
            return each_ms if running else 0.0
        wait_ms = (self._waiting.suspect_count + running) * each_ms
        if self._in_flight.only_suspects:
            return wait_ms
        if not held_back:
            wait_ms += self._settings.alone_wait_ms
        return wait_ms + estimator.held_ms

    def make_offer(
        self,
        request: RunRequest,
        plan: TierPlan,
        expected: Estimate,
        reserve: bool,
        now_ms: float,
    ) -> Offer:
        """Return the offer and hold a place for it if `reserve` is set."""
        reservation, expires_ms = 0, now_ms
        if reserve:
            cost = max(1, plan.recompute_tokens)
            reservations = self._waiting.reservations
            held = reservations.reserve(request.team, cost, now_ms)
            reservation, expires_ms = held.id, held.expires_ms
        return Offer(
            reservation,
            expires_ms,
            plan.cached_tokens,
            plan.import_tokens,
            expected.wait_ms,
            expected.first_token_ms,
        )
