"""What is known of a target: cold or warm, how fast, and its limit."""

import logging

from wigeonmill.agent.admission_types import AdmissionSettings
from wigeonmill.agent.cold_start import ColdSign
from wigeonmill.agent.cold_start import ColdStartDetector
from wigeonmill.agent.estimator import Estimator
from wigeonmill.agent.in_flight import PrefillWork
from wigeonmill.agent.limiter import ConcurrencyLimiter
from wigeonmill.agent.limiter import make_limiter
from wigeonmill.clock import Clock

logger = logging.getLogger(__name__)


class TargetHealth:
    """Joins the cold-start detector, the limiter and the estimator.

    A target starts out cold and reachable.
    """

    __slots__ = (
        'estimator',
        'cold_signs',
        '_limiter',
        '_detector',
        '_settings',
        '_slow_while_cold',
        '_reported_cold',
        '_weight_version',
        '_answered_ms',
        '_unreachable_until_ms',
        '_clock',
    )

    def __init__(
        self,
        clock: Clock,
        settings: AdmissionSettings,
        limiter: ConcurrencyLimiter,
        detector: ColdStartDetector,
        estimator: Estimator,
    ) -> None:
        self.estimator = estimator
        self.cold_signs: dict[ColdSign, int] = {}
        self._limiter = limiter
        self._detector = detector
        self._settings = settings
        self._slow_while_cold = 0
        self._reported_cold = False
        self._weight_version = ''
        self._answered_ms = float('-inf')
        self._unreachable_until_ms = float('-inf')
        self._clock = clock

    @property
    def reachable(self) -> bool:
        """Whether to try the target.

        After a failed connection that is so once it answers a report or
        some time has passed.
        """
        return self._clock.now_ms() >= self._unreachable_until_ms

    @property
    def limit(self) -> int:
        """Runs that the target bears now, as far as known."""
        return self._limiter.limit

    def limit_with(self, streaming: bool) -> int:
        """Return the limit for a start now.

        An open stream would have shown a restart of the target. Without
        one, a target that hasn't answered lately may have turned cold.
        """
        age_ms = self._clock.now_ms() - self._answered_ms
        if streaming or age_ms <= self._settings.fresh_ms:
            return self._limiter.limit
        return self._limiter.cold_limit

    @property
    def cold(self) -> bool:
        """Whether the target is held to its cold limit."""
        return self._limiter.cold

    def set_bounds(self, cold: int, maximum: int) -> None:
        """Take the configuration's bounds of the concurrency limit."""
        self._limiter.set_bounds(cold, maximum)

    def on_report(
        self, incarnation: str, uptime_ms: float, cold: bool = False
    ) -> None:
        """Take a report of the target, which also shows that it answers.

        `cold` is set if the target itself says that it is cold.
        """
        self._unreachable_until_ms = float('-inf')
        self._answered_ms = self._clock.now_ms()
        sign = self._detector.on_report(incarnation, uptime_ms)
        if sign is None and cold:
            sign = ColdSign.REPORTED
        self._reported_cold = cold
        if sign is not None:
            self._turn_cold(sign)

    def on_weight_version(self, weight_version: str) -> None:
        """Take the version that the target serves ('' if none)."""
        if not weight_version:
            return
        if self._weight_version not in ('', weight_version):
            self._turn_cold(ColdSign.WEIGHT_VERSION)
        self._weight_version = weight_version

    def on_connection_failed(self) -> None:
        """Take a refused or reset connection."""
        now_ms = self._clock.now_ms()
        self._unreachable_until_ms = now_ms + self._settings.unreachable_ms
        self._turn_cold(self._detector.on_connection_failed())

    def on_first_token(self, work: PrefillWork, took_ms: float) -> bool:
        """Take a first token; returns whether its time was healthy.

        `work` is the prefill that the target did in that time. Only a time
        too long for computing the whole prompts is a sign of a cold start.
        """
        self._answered_ms = self._clock.now_ms()
        estimator = self.estimator
        if not estimator.confident:
            estimator.on_first_token(work.expected, took_ms)
            return True
        upper_bound_ms = estimator.first_token_ms(work.upper_bound)
        sign = self._detector.on_first_token(took_ms, upper_bound_ms)
        if sign is not None:
            self._turn_cold(sign)
        healthy = took_ms <= self._healthy_ms(upper_bound_ms)
        if self.cold:
            self._learn_while_cold(work.expected, took_ms, healthy)
        else:
            expected_ms = estimator.first_token_ms(work.expected)
            # An unseen eviction says nothing of the target's speed.
            learned_ms = min(took_ms, self._healthy_ms(expected_ms))
            estimator.on_first_token(work.expected, learned_ms)
        return healthy

    def on_completed(self, healthy: bool) -> None:
        """Take a completed run whose first token was healthy or not."""
        if not healthy or self._reported_cold:
            return
        was_cold = self.cold
        self._limiter.on_healthy()
        if was_cold and not self.cold:
            self.estimator.on_warm()
            logger.info('target is warm')

    def on_overloaded(self) -> None:
        """Take a refusal of the target for too much work."""
        self._limiter.on_overload()

    def _healthy_ms(self, expected_ms: float) -> float:
        factor = self._settings.healthy_factor
        return expected_ms * factor + self._settings.healthy_floor_ms

    def _learn_while_cold(
        self, tokens: int, took_ms: float, healthy: bool
    ) -> None:
        self.estimator.on_cold_first_token(tokens, took_ms)
        self._slow_while_cold = 0 if healthy else self._slow_while_cold + 1
        if self._slow_while_cold >= self._settings.relearn_after:
            # Slow for so long is the target's new normal speed.
            self._slow_while_cold = 0
            self.estimator.forget_first_tokens()
            logger.warning('target stays slow, learning its speed anew')

    def _turn_cold(self, sign: ColdSign) -> None:
        if not self.cold:
            logger.warning('target is cold: %s', sign.value)
        self.cold_signs[sign] = self.cold_signs.get(sign, 0) + 1
        self._limiter.on_cold()
        self.estimator.on_cold()


def make_target_health(
    clock: Clock, settings: AdmissionSettings
) -> TargetHealth:
    """Return the health of a target of which nothing is known yet."""
    limiter = make_limiter(settings.cold_concurrency, settings.max_concurrency)
    detector = ColdStartDetector()
    return TargetHealth(clock, settings, limiter, detector, Estimator())
