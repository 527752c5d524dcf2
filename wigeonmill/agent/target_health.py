"""The observed state of a target: cold or warm, its speed and its limit."""

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
    """Combines the cold-start detector, the limiter and the estimator.

    A target is initially cold and reachable.
    """

    __slots__ = (
        'estimator',
        'cold_signs',
        '_limiter',
        '_detector',
        '_settings',
        '_slow_first_tokens',
        '_reported_cold',
        '_weight_version',
        '_last_response_ms',
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
        self._slow_first_tokens = 0
        self._reported_cold = False
        self._weight_version = ''
        self._last_response_ms = float('-inf')
        self._unreachable_until_ms = float('-inf')
        self._clock = clock

    @property
    def reachable(self) -> bool:
        """Whether requests may be sent to the target.

        After a failed connection it is unreachable until it answers a
        health request or `unreachable_retry_ms` have passed.
        """
        return self._clock.now_ms() >= self._unreachable_until_ms

    @property
    def limit(self) -> int:
        """Current limit on concurrent runs."""
        return self._limiter.limit

    def start_limit(self, streaming: bool) -> int:
        """Return the concurrency limit that applies to a start now.

        A restart of the target would have broken an open stream. Without a
        stream, a target that has not answered for `max_silence_ms` may have
        become cold, so its cold limit applies.
        """
        age_ms = self._clock.now_ms() - self._last_response_ms
        if streaming or age_ms <= self._settings.max_silence_ms:
            return self._limiter.limit
        return self._limiter.cold_limit

    @property
    def cold(self) -> bool:
        """Whether the target is restricted to its cold limit."""
        return self._limiter.cold

    def set_bounds(self, cold: int, maximum: int) -> None:
        """Apply the configured bounds of the concurrency limit."""
        self._limiter.set_bounds(cold, maximum)

    def on_report(
        self, incarnation: str, uptime_ms: float, cold: bool = False
    ) -> None:
        """Process a health report, which also shows that the target answers.

        `cold` is set if the target reports itself as cold.
        """
        self._unreachable_until_ms = float('-inf')
        self._last_response_ms = self._clock.now_ms()
        sign = self._detector.on_report(incarnation, uptime_ms)
        if sign is None and cold:
            sign = ColdSign.REPORTED
        self._reported_cold = cold
        if sign is not None:
            self._mark_cold(sign)

    def on_weight_version(self, weight_version: str) -> None:
        """Process the weight version that the target serves ('' if none)."""
        if not weight_version:
            return
        if self._weight_version not in ('', weight_version):
            self._mark_cold(ColdSign.WEIGHT_VERSION)
        self._weight_version = weight_version

    def on_connection_failed(self) -> None:
        """Process a refused or reset connection."""
        now_ms = self._clock.now_ms()
        self._unreachable_until_ms = (
            now_ms + self._settings.unreachable_retry_ms
        )
        self._mark_cold(self._detector.on_connection_failed())

    def on_first_token(self, work: PrefillWork, took_ms: float) -> bool:
        """Process a first token and return whether its latency was healthy.

        `work` is the prefill that the target did in that time. A latency is
        a sign of a cold start only if it is too long even for computing the
        whole prompts.
        """
        self._last_response_ms = self._clock.now_ms()
        estimator = self.estimator
        if not estimator.has_enough_samples:
            estimator.on_first_token(work.expected, took_ms)
            return True
        upper_bound_ms = estimator.first_token_ms(work.upper_bound)
        sign = self._detector.on_first_token(took_ms, upper_bound_ms)
        if sign is not None:
            self._mark_cold(sign)
        healthy = took_ms <= self._max_healthy_ms(upper_bound_ms)
        if self.cold:
            self._record_cold_first_token(work.expected, took_ms, healthy)
        else:
            expected_ms = estimator.first_token_ms(work.expected)
            # Unknown evictions add prefill, so a longer latency says nothing
            # about the target's speed.
            learned_ms = min(took_ms, self._max_healthy_ms(expected_ms))
            estimator.on_first_token(work.expected, learned_ms)
        return healthy

    def on_completed(self, healthy: bool) -> None:
        """Process a completed run; `healthy` refers to its first token."""
        if not healthy or self._reported_cold:
            return
        was_cold = self.cold
        self._limiter.on_healthy()
        if was_cold and not self.cold:
            self.estimator.on_warm()
            logger.info('target is warm')

    def on_overloaded(self) -> None:
        """Process a refusal by the overloaded target."""
        self._limiter.on_overload()

    def _max_healthy_ms(self, expected_ms: float) -> float:
        factor = self._settings.healthy_factor
        return expected_ms * factor + self._settings.healthy_floor_ms

    def _record_cold_first_token(
        self, tokens: int, took_ms: float, healthy: bool
    ) -> None:
        self.estimator.on_cold_first_token(tokens, took_ms)
        self._slow_first_tokens = 0 if healthy else self._slow_first_tokens + 1
        if self._slow_first_tokens >= self._settings.relearn_after_slow:
            # After so many slow first tokens, this is the new normal speed.
            self._slow_first_tokens = 0
            self.estimator.reset_first_token_fit()
            logger.warning('target remains slow, resetting its speed estimate')

    def _mark_cold(self, sign: ColdSign) -> None:
        if not self.cold:
            logger.warning('target is cold: %s', sign.value)
        self.cold_signs[sign] = self.cold_signs.get(sign, 0) + 1
        self._limiter.on_cold()
        self.estimator.on_cold()


def make_target_health(
    clock: Clock, settings: AdmissionSettings
) -> TargetHealth:
    """Return the health of a target that has not been observed yet."""
    limiter = make_limiter(settings.cold_concurrency, settings.max_concurrency)
    detector = ColdStartDetector()
    return TargetHealth(clock, settings, limiter, detector, Estimator())
