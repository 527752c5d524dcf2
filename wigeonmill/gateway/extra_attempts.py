"""Decides whether a request gets an attempt beside a slow one."""

from collections.abc import Iterable
from math import inf

from wigeonmill.clock import Clock
from wigeonmill.gateway.desired import Route
from wigeonmill.gateway.extra_work import attempt_work
from wigeonmill.gateway.extra_work import ExtraWork
from wigeonmill.gateway.extra_work import ExtraWorkLimits
from wigeonmill.gateway.picker import Demand
from wigeonmill.gateway.picker import Pick
from wigeonmill.gateway.request import Generation
from wigeonmill.gateway.slow_answers import AnswerKind
from wigeonmill.gateway.slow_answers import AnswerWatch
from wigeonmill.gateway.slow_answers import SlowAnswers
from wigeonmill.gateway.slow_answers import Trial
from wigeonmill.gateway.targets import Target
from wigeonmill.metrics import Metrics
from wigeonmill.routing.circuit import CircuitBreakers

# The least gain for which extra work is done, as a share of the objective.
MIN_GAIN_SHARE = 0.1


class ExtraAttempts:
    """The state of an entry on which extra attempts depend."""

    __slots__ = (
        '_clock',
        '_metrics',
        '_circuits',
        '_limits',
        '_answers',
        '_work',
    )

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        circuits: CircuitBreakers,
        limits: ExtraWorkLimits,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._circuits = circuits
        self._limits = limits
        self._answers = SlowAnswers(clock)
        self._work: dict[str, ExtraWork] = {}

    def allows(self, route: Route) -> bool:
        """Whether requests of a route may get attempts beside slow ones."""
        return (
            self._limits.share > 0.0
            and route.idempotent
            and route.max_targets > 1
        )

    def watch(self, route: Route, pick: Pick) -> AnswerWatch | None:
        """Return what follows an attempt that is being sent, if anything.

        Answers that may not be repeated show how long the others take.
        """
        if self._limits.share <= 0.0:
            return None
        return AnswerWatch(
            self._clock,
            self._kind(route, pick.target.service),
            pick.target.id,
            pick.expected_ms,
            self.allows(route),
        )

    def record_work(self, pick: Pick, generation: Generation | None) -> None:
        """Record the first attempt of any request."""
        if self._limits.share > 0.0:
            work = _work_of(pick, generation)
            self._service(pick.target.service).record_work(work)

    def record_extra(self, pick: Pick, generation: Generation | None) -> None:
        """Record an attempt beside a slow one.

        All of it counts, as either of the two may turn out to be in vain.
        """
        if self._limits.share > 0.0:
            work = _work_of(pick, generation)
            self._service(pick.target.service).record_extra(work)
            unit = 'ms' if generation is None else 'tokens'
            self._metrics.count('gateway_extra_work', unit, round(work))

    def general_denial(self, route: Route, service: str) -> str:
        """Return why no target may do extra work now ('': one may)."""
        if self._service(service).available <= 0.0:
            return 'extra_work_spent'
        kind = self._kind(route, service)
        if kind.targets.most_are_slow():
            return 'all_slow'
        return 'trials' if kind.trials.full else ''

    def begin_trial(self, route: Route, service: str) -> Trial:
        """Begin an attempt beside a slow one."""
        return self._kind(route, service).trials.begin()

    def candidates(
        self, targets: Iterable[Target], route: Route
    ) -> list[Target]:
        """Return the targets that may do extra work.

        They have room, answer in time and are under no restriction.
        """
        return [
            target
            for target in targets
            if self._is_unrestricted(target)
            and not target.load.is_silent()
            and not self._circuits.blocked(target.id)
            and (target.slots <= 0 or target.load.occupied() < target.slots)
            and not self._kind(route, target.service).targets.is_slow(
                target.id
            )
        ]

    def _is_unrestricted(self, target: Target) -> bool:
        now_ms = self._clock.now_ms()
        return not (
            target.is_cold(now_ms)
            or target.is_closed(now_ms)
            or target.is_opening(now_ms)
            or target.is_loading(now_ms)
            or target.refusing_until_ms > now_ms
            or target.limit.accepted_per_s < inf
        )

    def denial(self, watch: AnswerWatch, demand: Demand, pick: Pick) -> str:
        """Return why `pick` is not sent beside a slow attempt ('': it is)."""
        if pick.waits:
            return 'no_room'
        usual_ms = watch.usual_ms(pick.expected_ms)
        gain_ms = watch.remaining_ms - usual_ms
        if (
            gain_ms < MIN_GAIN_SHARE * demand.objective_ms
            or usual_ms > demand.remaining_ms
        ):
            return 'no_gain'
        service = self._service(demand.service)
        if _work_of(pick, demand.generation) > service.available:
            return 'extra_work_spent'
        return ''

    def _kind(self, route: Route, service: str) -> AnswerKind:
        return self._answers.kind(service, route.name)

    def _service(self, service: str) -> ExtraWork:
        found = self._work.get(service)
        if found is None:
            found = self._work[service] = ExtraWork(self._clock, self._limits)
        return found


def _work_of(pick: Pick, generation: Generation | None) -> float:
    return attempt_work(
        generation, pick.prefill_tokens, pick.target.load.mean_answer_ms
    )
