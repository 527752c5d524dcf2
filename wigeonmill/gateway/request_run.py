"""Runs one caller's request, with retries, up to its final answer."""

from collections.abc import Collection
from dataclasses import replace
import logging
from math import inf

from result import Err
from result import Result

from wigeonmill.gateway.admission_run import AdmissionRun
from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.answers import CallerChannel
from wigeonmill.gateway.answers import NOT_RUN_STATUSES
from wigeonmill.gateway.answers import Progress
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.answers import RequestState
from wigeonmill.gateway.answers import UNRESUMABLE_REASONS
from wigeonmill.gateway.attempt import Attempt
from wigeonmill.gateway.cache_plan import CachePlanner
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.crash_guard import request_fingerprint
from wigeonmill.gateway.desired import Route
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import Team
from wigeonmill.gateway.failover import Failover
from wigeonmill.gateway.failures import Failure
from wigeonmill.gateway.failures import stalled
from wigeonmill.gateway.part_guard import Quarantine
from wigeonmill.gateway.picker import Demand
from wigeonmill.gateway.picker import Pick
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.relay import Relay
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.run_log import RunLog
from wigeonmill.gateway.run_terms import LATE_PRIORITY
from wigeonmill.gateway.run_terms import RunTerms
from wigeonmill.gateway.slow_answers import Trial
from wigeonmill.gateway.software_rollout import Trial as VersionTrial
from wigeonmill.gateway.stream_origins import origin_of
from wigeonmill.gateway.target_client import TargetClient
from wigeonmill.gateway.targets import Target

logger = logging.getLogger(__name__)

# Maximum attempts of one request, including those that reached no target. One
# that was not run beside another one counts only against more beside it.
MAX_ATTEMPTS = 5
# Minimum remaining time for which another attempt is started.
MIN_ATTEMPT_MS = 60.0
# A target that does not accept connections may be restarting; it is treated
# as cold for this time.
SUSPECTED_START_MS = 3_000.0
DEFAULT_RETRY_AFTER_MS = 400.0
# Failures that say nothing about the health of their target.
REASONS_WITHOUT_BLAME = frozenset((Reason.OLD_WEIGHTS, Reason.CALLER_TOO_SLOW))


class RequestRun:
    """Sends a request to targets in turn until it has its final answer."""

    def __init__(
        self,
        ctx: GatewayContext,
        client: TargetClient,
        picker: Picker,
        planner: CachePlanner,
        req: CallerRequest,
        route: Route,
        team: Team | None,
        channel: CallerChannel,
    ) -> None:
        self._ctx = ctx
        self._client = client
        self._picker = picker
        self._req = req
        self._route = route
        self._channel = channel
        self._relay = Relay(channel, ctx.clock, req.last_event_id)
        self._terms = RunTerms(ctx, planner, self._relay, req, route, team)
        self._log = RunLog(ctx, self._terms, self._relay)
        self._admission = AdmissionRun(ctx, self._terms, channel)
        self._fingerprint = request_fingerprint(req, team.name if team else '')
        self._attempts = 0
        # Attempts that may have arrived at the service, and how many of them
        # the retry budget has been asked for.
        self._arrivals = 0
        self._retries_acquired = 0
        self._reached_ids: set[str] = set()
        # Targets that did not fail the request while another one had it: they
        # were left for one that wrote first, or did not run it.
        self._returnable_ids: set[str] = set()
        # Attempts beside another one that were not run.
        self._fruitless = 0
        self._began_at: Target | None = None
        # The attempt that was started beside another one, while both run.
        self._second: Attempt | None = None
        # Whether that one was started because its target was silent.
        self._left_silent = False
        self._trial: Trial | None = None
        self._second_denials: set[str] = set()
        # The attempts that count in a rollout of a software version.
        self._version_trials: dict[Attempt, VersionTrial] = {}
        self._may_have_run = False
        self._tried_ids: list[str] = []
        # The quarantine in spite of which the request was admitted.
        self._probe: Quarantine | None = None

    def progress(self) -> Progress:
        """Return how far the request has come."""
        state = RequestState.WAITING
        if self._relay.started:
            state = RequestState.STREAMING
        elif self._tried_ids:
            state = RequestState.SENT
        target_id = self._tried_ids[-1] if self._tried_ids else ''
        return Progress(state, target_id, self._terms.remaining_ms)

    @property
    def config_version(self) -> int | None:
        """The version of the configuration in force."""
        return self._terms.config_version

    def preview(self) -> tuple[Result[Pick, Refusal], float, Demand]:
        """Return what the first attempt would do now, and for which demand.

        The second value is the longest time in ms for which it is held first.
        """
        demand = self._terms.demand(())
        quarantine = self._ctx.part_guard.peek(self._terms.part_keys)
        if quarantine is not None:
            return Err(self._part_refusal(quarantine)), 0.0, demand
        picked, hold_ms = self._admission.preview(self._pick())
        return picked, hold_ms, demand

    async def run(self) -> None:
        """Run the request until its channel is answered or aborted."""
        if self._ctx.crash_guard.refuses(self._fingerprint):
            self._refuse(Reason.CRASHES_TARGETS, 'request crashed its targets')
            return
        if not await self._find_origin():
            self._refuse(
                Reason.ORIGIN_UNKNOWN, 'the software that began it is unknown'
            )
            return
        guard = self._ctx.part_guard
        quarantine = guard.admit(self._terms.part_keys)
        if quarantine is not None:
            blocked = self._part_refusal(quarantine)
            self._refuse(
                blocked.reason, blocked.message, blocked.retry_after_ms
            )
            return
        self._probe = guard.find(self._terms.part_keys)
        self._ctx.retries(self._terms.service).record_request()
        self._ctx.demand_shares.record_request(self._terms.service)
        self._admission.record_asked()
        if self._terms.origin is not None:
            # All entries may be lost once more before the stream ends.
            self._ctx.open_streams.begin(
                self._terms.stream_id, self._terms.origin
            )
        complete = False
        try:
            complete = await self._run_attempts()
        finally:
            self._ctx.open_streams.end(self._terms.stream_id, complete)
            if self._probe is not None and not self._tried_ids:
                guard.give_back(self._probe)
            for trial in self._version_trials.values():
                trial.close()

    async def _run_attempts(self) -> bool:
        """Attempt the request; return whether the caller has its answer."""
        while True:
            failure = await self._attempt_once()
            if failure is None:
                self._admission.record_served()
                self._log.log_end('answered', self._attempts)
                return True
            if not self._may_retry(failure):
                self._give_up(failure)
                return False

    async def _find_origin(self) -> bool:
        """Find what began a resumed stream; return False if it is unknown."""
        if (
            self._route.kind is not RouteKind.STREAMING
            or self._req.last_event_id is None
        ):
            return True
        services = self._terms.services
        # The stream may have begun at another service of the route.
        only_service = services[0] if len(services) == 1 else ''
        origin = await self._ctx.origins.find(
            self._req.resumed_id, only_service
        )
        if origin is None:
            return False
        self._terms.resume(origin)
        return True

    async def _attempt_once(self) -> Failure | None:
        self._attempts += 1
        picked = await self._admission.admit(self._pick, self._crash_refusal)
        if isinstance(picked, Err):
            return _not_sent(picked.err_value)
        return await self._send(picked.ok_value)

    def _pick(self) -> Result[Pick, Refusal]:
        """Return a target that can start in time.

        It is one that was not tried, or else one to return to.
        """
        demand = self._terms.demand(self._tried_ids)
        if not self._returnable():
            return self._pick_for(demand)
        if self._may_reach_another(running=0):
            picked = self._pick_for(demand)
            if not isinstance(picked, Err):
                return picked
        only = tuple(self._returnable())
        return self._pick_for(replace(demand, avoid=(), only=only))

    def _pick_beside(
        self, first: Attempt, only: Collection[str] = ()
    ) -> Result[Pick, Refusal]:
        """Return a target to try beside `first`.

        It has the same software as that of a stream if possible. Then the
        origin of the stream is the same whichever of them writes.
        """
        demand = replace(self._terms.demand(self._tried_ids), only=only)
        streaming = self._route.kind is RouteKind.STREAMING
        if streaming and demand.origin is None:
            same_software = replace(demand, origin=origin_of(first.target))
            picked = self._pick_for(same_software)
            if not isinstance(picked, Err):
                return picked
        return self._pick_for(demand)

    def _pick_for(self, demand: Demand) -> Result[Pick, Refusal]:
        picked = self._picker.pick(demand)
        versions = demand.versions
        if isinstance(picked, Err) and versions and versions.fallback:
            demand = replace(demand, versions=versions.fallback)
            picked = self._picker.pick(demand)
        if isinstance(picked, Err):
            return picked
        refusal = self._deadline_refusal(picked.ok_value)
        return picked if refusal is None else Err(refusal)

    def _crash_refusal(self) -> Refusal | None:
        """Return a refusal if the request was blamed while it was held."""
        if self._ctx.crash_guard.refuses(self._fingerprint):
            return Refusal(
                Reason.CRASHES_TARGETS, 'request crashed its targets'
            )
        quarantine = self._ctx.part_guard.find(self._terms.part_keys)
        if quarantine is None or quarantine is self._probe:
            return None
        return self._part_refusal(quarantine)

    def _part_refusal(self, quarantine: Quarantine) -> Refusal:
        """Return the refusal of a prompt with parts that crash targets."""
        parts = ', '.join(sorted(key.hex() for key in quarantine.parts))
        return Refusal(
            Reason.PART_CRASHES_TARGETS,
            f'prompt part crashes targets: {parts}',
            self._ctx.part_guard.remaining_ms(quarantine),
        )

    def _deadline_refusal(self, pick: Pick) -> Refusal | None:
        """Return a refusal if the target cannot start the request in time."""
        generation = self._req.generation
        if generation is None or self._relay.started:
            return None
        if not (self._terms.continues or self._terms.is_late(pick)):
            return None
        priority = self._terms.priority(pick)
        load = pick.target.load
        starts_ms = load.first_token_ms(
            pick.prefill_tokens, priority, pick.target.slots
        )
        starts_ms += load.memory_wait_ms(
            generation.tokens, priority, self._terms.cache_tokens
        )
        remaining_ms = self._terms.remaining_ms
        if starts_ms <= remaining_ms:
            return None
        return Refusal(
            Reason.TOO_LATE,
            f'would start in {starts_ms:.0f} ms, '
            f'deadline in {remaining_ms:.0f} ms',
            self._admission.retry_after_ms(starts_ms),
        )

    async def _send(self, pick: Pick) -> Failure | None:
        attempt = self._begin(pick)
        if self._can_fail_over():
            try:
                return await Failover(self).run(attempt)
            finally:
                self._end_trial(None)
        try:
            failure = await attempt.run()
        finally:
            attempt.close()
        self.on_end(attempt, failure)
        return failure

    def _begin(self, pick: Pick) -> Attempt:
        """Send the request to a target."""
        target = pick.target
        again = target.id in self._tried_ids
        self._tried_ids.append(target.id)
        self._returnable_ids.discard(target.id)
        if target.is_cold(self._ctx.clock.now_ms()):
            target.cold_allowance.record()
        self._ctx.circuits.record_dispatch(target.id)
        priority = self._terms.priority(pick)
        self._record_origin(target)
        generation = self._req.generation
        in_flight = target.load.open(
            generation.tokens if generation else 0,
            pick.prefill_tokens,
            priority,
            delayed=priority == LATE_PRIORITY or pick.waits,
            # The time was expected of a request that is not overtaken.
            expected_ms=(
                inf if priority == LATE_PRIORITY else pick.expected_ms
            ),
        )
        self._ctx.suspicions.record_sent(target, in_flight)
        if generation is not None:
            self._ctx.unseen_work.record_sent(
                target.service, generation.tokens
            )
        try:
            exchange = self._client.send(
                self._req,
                target,
                self._terms.instructions(target, priority),
                self._route.idempotent,
                again,
            )
        except BaseException:
            target.load.close(in_flight)
            raise
        self._arrivals += 1
        if self._probe is not None:
            self._ctx.part_guard.record_probe_sent(self._probe)
        trial = self._ctx.rollouts.begin(self._route.name, target, generation)
        attempt = Attempt(
            self._ctx,
            self._terms,
            self._channel,
            self._relay,
            target,
            exchange,
            in_flight,
            self._may_leave_silent(),
        )
        attempt.watch = self._ctx.extra.watch(self._route, pick)
        if self._attempts == 1:
            self._ctx.extra.record_work(pick, generation)
        if trial is not None:
            self._version_trials[attempt] = trial
        self._log.record_attempt(attempt, pick, priority)
        return attempt

    def _can_fail_over(self) -> bool:
        """Whether another target may be tried while one has the request."""
        return self._may_leave_silent() or self._ctx.extra.allows(self._route)

    def _may_leave_silent(self) -> bool:
        """Whether another target may be tried while one is silent."""
        return (
            self._route.kind is RouteKind.STREAMING
            and self._route.idempotent
            and self._terms.max_targets > 1
        )

    def start_second(self, first: Attempt) -> Attempt | None:
        """Start an attempt beside `first`, or return None if none may be."""
        denial = self._retry_denial(running=1)
        if denial:
            self._record_second_denial(first, denial)
            return None
        self._left_silent = first.is_silent
        if self._left_silent:
            picked = self._pick_beside(first).map_err(_reason)
        else:
            picked = self._pick_beside_slow(first)
        if isinstance(picked, Err):
            denial = picked.err_value
        elif not (self._left_silent or self._keeps_retries()):
            denial = 'budget'
        elif not self._acquire_retry():
            denial = 'budget'
        if denial:
            self._record_second_denial(first, denial)
            return None
        pick = picked.unwrap()
        self._attempts += 1
        self._second = self._begin(pick)
        self._second.is_second = True
        if not self._left_silent:
            self._ctx.extra.record_extra(pick, self._req.generation)
            self._trial = self._ctx.extra.begin_trial(
                self._route, self._terms.service
            )
        self._record_second(
            'started' if self._left_silent else 'started_slow',
            first,
            self._second,
        )
        return self._second

    def _end_trial(self, won: bool | None) -> None:
        trial, self._trial = self._trial, None
        if trial is not None:
            trial.end(won)

    def _pick_beside_slow(self, first: Attempt) -> Result[Pick, str]:
        """Return a target for extra work beside `first`, or why none."""
        extra = self._ctx.extra
        denial = extra.general_denial(self._route, self._terms.service)
        if denial or first.watch is None:
            return Err(denial or 'no_gain')
        targets = self._ctx.directory.of_service(self._terms.service)
        only = {t.id for t in extra.candidates(targets, self._route)}
        if not only - set(self._tried_ids):
            return Err('no_room')
        picked = self._pick_beside(first, only).map_err(_reason)
        if isinstance(picked, Err):
            return picked
        denial = extra.denial(
            first.watch, self._terms.demand(()), picked.ok_value
        )
        return Err(denial) if denial else picked

    def on_lead(self, attempt: Attempt, overtaken: Attempt | None) -> None:
        """Record where the stream goes on, before the caller gets more."""
        if overtaken is None:
            self._record_origin(attempt.target)
            return
        second, self._second = self._second, None
        self._track_failure(overtaken.target, stalled())
        self._end_version_trial(overtaken, stalled())
        self._returnable_ids.add(overtaken.target.id)
        self._record_origin(attempt.target)
        self._end_trial(won=overtaken is not second)
        if overtaken is second:
            overtaken.record_overtaken()
            self._record_second('first_went_on', attempt, overtaken)
        else:
            if self._left_silent or overtaken.was_silent:
                self._record_outcome(
                    overtaken.target, stalled(), overtaken.sent_ms
                )
            else:
                overtaken.record_overtaken()
            self._record_second('took_over', overtaken, attempt)

    def on_end(self, attempt: Attempt, failure: Failure | None) -> None:
        """Record how an attempt ended."""
        second, self._second = self._second, None
        if second is not None:
            # Only one that failed alone says nothing of the other one.
            is_second = attempt is second
            lost = False if is_second else None
            self._end_trial(is_second if failure is None else lost)
        self._end_version_trial(attempt, failure)
        if failure is not None:
            self._track_failure(attempt.target, failure)
            if second is not None and not failure.may_have_run:
                self._fruitless += 1
                self._returnable_ids.add(attempt.target.id)
        self._log.record_end(attempt)
        self._record_outcome(attempt.target, failure, attempt.sent_ms)
        if failure is None:
            if attempt.served:
                self._ctx.crash_guard.record_served(self._fingerprint)
            return
        if not attempt.served:
            self._record_lost_parts(attempt, failure)
        if second is not None:
            outcome = 'failed' if attempt is second else 'first_failed'
            self._record_second(outcome, attempt, second, failure)

    def _end_version_trial(
        self, attempt: Attempt, failure: Failure | None
    ) -> None:
        trial = self._version_trials.get(attempt)
        if trial is not None:
            trial.end(failure, attempt.first_event_ms)

    def _record_second(
        self,
        outcome: str,
        attempt: Attempt,
        second: Attempt,
        failure: Failure | None = None,
    ) -> None:
        """Record what became of an attempt beside another one.

        `attempt` is the other one, or the one that failed.
        """
        self._ctx.metrics.count('gateway_second_attempts', outcome)
        self._log.log_second(outcome, attempt, second, failure)

    def _record_second_denial(self, first: Attempt, denial: str) -> None:
        """Record once why no attempt may be started beside `first`."""
        if denial not in self._second_denials:
            self._second_denials.add(denial)
            self._ctx.metrics.count('gateway_second_attempts', denial)
            self._log.log_second(denial, first, None)

    def _record_origin(self, target: Target) -> None:
        """Record where the stream begins, before the caller can resume it."""
        if not self._route.resumable or self._terms.origin is not None:
            return
        if target is not self._began_at:
            self._began_at = target
            self._ctx.origins.record(self._req.id, target)

    def _record_outcome(
        self, target: Target, failure: Failure | None, sent_ms: float
    ) -> None:
        """Update the health of a target with the outcome of an attempt."""
        circuits = self._ctx.circuits
        if failure is None:
            circuits.record_success(target.id)
            target.load.record_outcome(failed=False)
            return
        if failure.internal or failure.reason in REASONS_WITHOUT_BLAME:
            return
        if failure.reason is Reason.TIMEOUT and not target.load.is_silent():
            return
        if not failure.arrived_at_service:
            circuits.record_failure(target.id)
            self._ctx.suspicions.record_unreached(target, sent_ms)
            # A target that refuses connections may be restarting.
            cold_until_ms = self._ctx.clock.now_ms() + SUSPECTED_START_MS
            target.cold_until_ms = max(target.cold_until_ms, cold_until_ms)
            return
        if failure.may_have_run:
            target.load.record_outcome(failed=True)
        if failure.target_lost or failure.malformed:
            circuits.record_failure(target.id)
        if failure.target_lost:
            self._record_loss(target, sent_ms)

    def _record_lost_parts(self, attempt: Attempt, failure: Failure) -> None:
        """Record the parts of the prompt if their target may have ended."""
        if failure.was_writing:
            return
        if failure.target_lost and failure.arrived_at_service:
            self._ctx.part_guard.record_lost(
                self._terms.part_keys,
                attempt.target.lifetime,
                self._ctx.clock.now_ms() - attempt.sent_ms,
            )

    def _record_loss(self, target: Target, sent_ms: float) -> None:
        ran_ms = self._ctx.clock.now_ms() - sent_ms
        if self._ctx.crash_guard.record(
            self._fingerprint, target.lifetime, ran_ms
        ):
            logger.info(
                'target failed while running a request',
                extra={'request_id': self._req.id, 'target': target.id},
            )

    def _track_failure(self, target: Target, failure: Failure) -> None:
        if not failure.arrived_at_service:
            self._arrivals -= 1
        if failure.reached:
            self._reached_ids.add(target.id)
        self._may_have_run = self._may_have_run or failure.may_have_run

    def _may_retry(self, failure: Failure) -> bool:
        denial = 'final' if failure.final else self._retry_denial(running=0)
        if not denial and not self._acquire_retry():
            denial = 'budget'
        if denial:
            self._ctx.metrics.count('gateway_retries_denied', denial)
            return False
        self._ctx.metrics.count('gateway_retries', failure.reason.value)
        self._log.log_retry(failure, self._attempts)
        return True

    def _retry_denial(self, running: int) -> str:
        """Return why no target may be tried besides the `running` ones.

        It is empty if one may be, as far as the retry budget allows it.
        """
        if self._may_have_run and not self._route.idempotent:
            return 'may_have_run'
        if self._channel.closed:
            return 'caller_left'
        if self._terms.remaining_ms <= MIN_ATTEMPT_MS:
            return 'deadline'
        fruitless = 0 if running else self._fruitless
        if self._attempts - fruitless >= MAX_ATTEMPTS:
            return 'attempts'
        if not self._may_reach_another(running) and (
            running or not self._returnable()
        ):
            return 'attempts'
        if self._ctx.crash_guard.refuses(self._fingerprint):
            return 'crashes_targets'
        if self._ctx.part_guard.find(self._terms.part_keys):
            return 'part_crashes_targets'
        return ''

    def _may_reach_another(self, running: int) -> bool:
        """Whether the route allows a target besides the `running` ones."""
        reached = len(self._reached_ids)
        return reached + running < self._terms.max_targets

    def _returnable(self) -> set[str]:
        """Return the targets to return to within the limit of the route.

        One that was tried and not reached counts as a further target.
        """
        if self._may_reach_another(running=0):
            return self._returnable_ids
        return self._returnable_ids & self._reached_ids

    def _keeps_retries(self) -> bool:
        """Whether extra work leaves retries to requests of lost targets."""
        allowance = self._ctx.retries(self._terms.service)
        return allowance.half_is_left(
            self._ctx.retry_sharers(self._terms.service)
        )

    def _acquire_retry(self) -> bool:
        """Use the retry budget for one more attempt, if it allows one.

        The budget counts arrivals at the service. An attempt that did not
        leave this process is not one.
        """
        if self._retries_acquired >= self._arrivals:
            return True
        allowance = self._ctx.retries(self._terms.service)
        sharers = self._ctx.retry_sharers(self._terms.service)
        if not allowance.try_acquire(sharers):
            return False
        self._retries_acquired += 1
        return True

    def _give_up(self, failure: Failure) -> None:
        if self._relay.started:
            self._channel.abort()
            self._count_refusal(Reason.BROKEN_OFF)
            self._log.log_end('broken off', self._attempts, failure)
            return
        if failure.answer is not None:
            answer = failure.answer
            head = AnswerHead(answer.head.status, answer.head.fields)
            self._channel.answer(head, answer.body)
            self._log.log_end('failed by its target', self._attempts, failure)
            return
        reason = failure.reason
        if (
            self._may_have_run
            and Refusal(reason, '').status in NOT_RUN_STATUSES
        ):
            reason = Reason.MAY_HAVE_RUN
        self._refuse(reason, failure.message, failure.retry_after_ms)

    def _refuse(
        self, reason: Reason, message: str, retry_after_ms: float | None = None
    ) -> None:
        refusal = Refusal(reason, message, retry_after_ms)
        if (
            refusal.status in NOT_RUN_STATUSES
            and reason not in UNRESUMABLE_REASONS
            and retry_after_ms is None
        ):
            retry_after_ms = max(
                DEFAULT_RETRY_AFTER_MS,
                self._picker.retry_after_ms(self._terms.demand(())),
            )
            refusal = Refusal(reason, message, retry_after_ms)
        self._count_refusal(reason)
        self._channel.refuse(refusal)
        self._log.log_refusal(refusal, self._attempts)

    def _count_refusal(self, reason: Reason) -> None:
        self._ctx.metrics.count('gateway_refusals', reason.value)


def _not_sent(refusal: Refusal) -> Failure:
    return Failure(
        refusal.reason,
        refusal.message,
        reached=False,
        may_have_run=False,
        arrived_at_service=False,
        retry_after_ms=refusal.retry_after_ms,
        final=True,
    )


def _reason(refusal: Refusal) -> str:
    return refusal.reason.value
