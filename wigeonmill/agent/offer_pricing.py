"""Computes a target's offer to a request from its exact load."""

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
    """Estimates the latency of a request and checks for a free place."""

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

    def check_capacity(self, request: RunRequest) -> Refusal | None:
        """Return a refusal if there is no place for one more request."""
        waiting = len(self._waiting) + len(self._waiting.reservations)
        places = len(self._in_flight) + waiting
        cold_places = self._health.limit + self._settings.cold_queue
        if self._health.cold and places >= cold_places:
            return self.capacity_refusal(RefusalReason.COLD)
        if not self._waiting.has_capacity(request):
            return self.capacity_refusal(RefusalReason.QUEUE_FULL)
        return None

    def capacity_refusal(self, reason: RefusalReason) -> Refusal:
        """Return a refusal with a retry at the expected end of a run."""
        wait_ms = self._health.estimator.slot_hold_ms / self._health.limit
        return Refusal(reason, int(wait_ms))

    def estimate(
        self, request: RunRequest, plan: TierPlan, alone: bool, now_ms: float
    ) -> Estimate:
        """Return the expected wait and first token of a request now."""
        missing = plan.recompute_tokens
        work_ahead = self._waiting.work_ahead(request, max(1, missing), alone)
        limit = self._health.limit
        workload = Workload(
            prefill_ahead=self._in_flight.prefill_tokens,
            queued_ahead=work_ahead.tokens,
            slots_ahead=work_ahead.entries,
            slots_free=max(0, limit - len(self._in_flight)),
            limit=limit,
        )
        estimator = self._health.estimator
        expected = estimator.estimate(workload, missing, plan.import_ms)
        suspect_delay_ms = self._suspect_delay_ms(missing, alone, now_ms)
        return Estimate(
            expected.wait_ms + suspect_delay_ms,
            expected.first_token_ms + suspect_delay_ms,
        )

    def _suspect_delay_ms(
        self, missing: int, alone: bool, now_ms: float
    ) -> float:
        estimator = self._health.estimator
        per_suspect_ms = estimator.first_token_ms(missing)
        per_suspect_ms += self._settings.suspect_settle_ms
        suspect_running = self._in_flight.unsettled_suspect(now_ms) is not None
        starts_postponed = self._waiting.overdue_suspect(now_ms) is not None
        if not alone and not starts_postponed:
            return per_suspect_ms if suspect_running else 0.0
        wait_ms = (
            self._waiting.suspect_count + suspect_running
        ) * per_suspect_ms
        if self._in_flight.only_suspects:
            return wait_ms
        if not starts_postponed:
            wait_ms += self._settings.alone_wait_ms
        return wait_ms + estimator.slot_hold_ms

    def make_offer(
        self,
        request: RunRequest,
        plan: TierPlan,
        expected: Estimate,
        reserve: bool,
        now_ms: float,
    ) -> Offer:
        """Return an offer; reserve a place for it if `reserve` is set."""
        reservation, expires_ms = 0, now_ms
        if reserve:
            cost = max(1, plan.recompute_tokens)
            reservations = self._waiting.reservations
            reserved = reservations.reserve(request.team, cost, now_ms)
            reservation, expires_ms = (
                reserved.id,
                reserved.expires_ms,
            )
        return Offer(
            reservation,
            expires_ms,
            plan.cached_tokens,
            plan.import_tokens,
            expected.wait_ms,
            expected.first_token_ms,
        )
