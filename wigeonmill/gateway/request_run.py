"""One caller's request from the first target to its final answer."""

import logging

from result import Err

from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.answers import CallerChannel
from wigeonmill.gateway.answers import PROMISES
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.attempt import Attempt
from wigeonmill.gateway.cache_plan import CachePlanner
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.crash_guard import request_print
from wigeonmill.gateway.desired import Route
from wigeonmill.gateway.desired import Team
from wigeonmill.gateway.failures import Failure
from wigeonmill.gateway.picker import Pick
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.relay import Relay
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.run_log import RunLog
from wigeonmill.gateway.run_terms import LATE_PRIORITY
from wigeonmill.gateway.run_terms import RunTerms
from wigeonmill.gateway.target_client import TargetClient
from wigeonmill.gateway.targets import Target

logger = logging.getLogger(__name__)

# Tries of one request, those included that never reached a target.
MAX_TRIES = 5
# Least time that a further try is worth starting with.
MIN_TRY_MS = 60.0
# Time for which a target whose connections fail may be starting anew.
COLD_DOUBT_MS = 3_000.0
DEFAULT_RETRY_AFTER_MS = 400.0


class RequestRun:
    """Tries targets until the request has its final answer."""

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
        self._print = request_print(req, team.name if team else '')
        self._tries = 0
        self._reached = 0
        self._may_have_run = False
        self._avoid: list[str] = []

    async def run(self) -> None:
        """Answer the caller, whatever happens."""
        if self._ctx.crash_guard.refuses(self._print):
            self._refuse(Reason.CRASHES_TARGETS, 'has crashed its targets')
            return
        self._ctx.retries(self._terms.service).record_request()
        while True:
            failure = await self._try_once()
            if failure is None:
                self._log.ended('answered', self._tries)
                return
            self._note(failure)
            if not self._may_try_again(failure):
                self._give_up(failure)
                return

    async def _try_once(self) -> Failure | None:
        self._tries += 1
        picked = self._picker.pick(self._terms.demand(self._avoid))
        if isinstance(picked, Err):
            return _not_sent(picked.err_value)
        pick = picked.ok_value
        too_late = self._too_late(pick)
        if too_late is not None:
            return _not_sent(too_late)
        return await self._send(pick)

    def _too_late(self, pick: Pick) -> Refusal | None:
        """Refuse at once what its target would not begin in time."""
        generation = self._req.generation
        if generation is None or not self._terms.is_late(pick):
            return None
        load = pick.target.load
        begins_ms = load.first_token_ms(pick.prefill_tokens, LATE_PRIORITY)
        begins_ms += load.memory_wait_ms(
            generation.tokens, LATE_PRIORITY, self._terms.cache_tokens
        )
        left_ms = self._terms.left_ms
        if begins_ms <= left_ms:
            return None
        return Refusal(
            Reason.TOO_LATE,
            f'would begin after {begins_ms:.0f} ms of {left_ms:.0f}',
            max(DEFAULT_RETRY_AFTER_MS, begins_ms - left_ms),
        )

    async def _send(self, pick: Pick) -> Failure | None:
        target = pick.target
        self._avoid.append(target.id)
        if target.is_cold(self._ctx.clock.now_ms()):
            target.cold_allowance.record()
        self._ctx.circuits.record_dispatch(target.id)
        priority = self._terms.priority(pick)
        self._log.sent(pick, priority)
        generation = self._req.generation
        opened = target.load.open(
            generation.tokens if generation else 0,
            pick.prefill_tokens,
            priority,
            delayed=priority == LATE_PRIORITY or pick.waits_for_memory,
        )
        send = self._client.send(
            self._req,
            target,
            self._terms.instructions(target, priority),
            self._route.idempotent,
        )
        attempt = Attempt(
            self._ctx,
            self._terms,
            self._channel,
            self._relay,
            target,
            send,
            opened,
            self._may_move(),
        )
        try:
            failure = await attempt.run()
        finally:
            send.cancel()
            target.load.close(opened)
        self._log.reported_load = attempt.reported_load
        self._record(target, failure)
        return failure

    def _may_move(self) -> bool:
        """Whether the request could go on at one more target."""
        if not self._route.idempotent or self._tries >= MAX_TRIES:
            return False
        return self._reached + 1 < self._terms.max_targets

    def _record(self, target: Target, failure: Failure | None) -> None:
        """Let what a try came to count for its target."""
        circuits = self._ctx.circuits
        if failure is None:
            circuits.record_success(target.id)
            target.load.record_outcome(failed=False)
            return
        if failure.reason is Reason.TIMEOUT and not target.load.is_silent():
            return
        if not failure.arrived:
            circuits.record_failure(target.id)
            # A target that refuses connections may be one that starts.
            cold_until_ms = self._ctx.clock.now_ms() + COLD_DOUBT_MS
            target.cold_until_ms = max(target.cold_until_ms, cold_until_ms)
            return
        if failure.may_have_run:
            target.load.record_outcome(failed=True)
        if failure.lost:
            circuits.record_failure(target.id)
            self._record_loss(target)

    def _record_loss(self, target: Target) -> None:
        loss = f'{self._req.id} {target.id}'
        if self._ctx.crash_guard.record(self._print, loss):
            logger.info(
                'target lost under a request',
                extra={'request_id': self._req.id, 'target': target.id},
            )

    def _note(self, failure: Failure) -> None:
        if failure.reached:
            self._reached += 1
        self._may_have_run = self._may_have_run or failure.may_have_run

    def _may_try_again(self, failure: Failure) -> bool:
        denial = self._denial(failure)
        if denial:
            self._ctx.metrics.count('gateway_retries_denied', denial)
            return False
        self._ctx.metrics.count('gateway_retries', failure.reason.value)
        self._log.retried(failure, self._tries)
        return True

    def _denial(self, failure: Failure) -> str:
        """Return why there is no further try, or nothing."""
        if failure.final:
            return 'final'
        if self._may_have_run and not self._route.idempotent:
            return 'may_have_run'
        if self._channel.closed:
            return 'caller_left'
        if self._terms.left_ms <= MIN_TRY_MS:
            return 'deadline'
        if (
            self._tries >= MAX_TRIES
            or self._reached >= self._terms.max_targets
        ):
            return 'attempts'
        if self._ctx.crash_guard.refuses(self._print):
            return 'crashes_targets'
        # What never left this process is no arrival at the service.
        if failure.arrived:
            allowance = self._ctx.retries(self._terms.service)
            if not allowance.take(self._ctx.entries()):
                return 'budget'
        return ''

    def _give_up(self, failure: Failure) -> None:
        if self._relay.started:
            self._channel.abort()
            self._count(Reason.BROKEN_OFF)
            self._log.ended('broken off', self._tries, failure)
            return
        if failure.answer is not None:
            answer = failure.answer
            head = AnswerHead(answer.head.status, answer.head.fields)
            self._channel.answer(head, answer.body)
            self._log.ended('failed by its target', self._tries, failure)
            return
        reason = failure.reason
        if self._may_have_run and Refusal(reason, '').status in PROMISES:
            reason = Reason.MAY_HAVE_RUN
        self._refuse(reason, failure.message, failure.retry_after_ms)

    def _refuse(
        self, reason: Reason, message: str, retry_after_ms: float | None = None
    ) -> None:
        refusal = Refusal(reason, message, retry_after_ms)
        if refusal.status in PROMISES and retry_after_ms is None:
            refusal = Refusal(reason, message, DEFAULT_RETRY_AFTER_MS)
        self._count(reason)
        self._channel.refuse(refusal)
        self._log.refused(refusal, self._tries)

    def _count(self, reason: Reason) -> None:
        self._ctx.metrics.count('gateway_refusals', reason.value)


def _not_sent(refusal: Refusal) -> Failure:
    return Failure(
        refusal.reason,
        refusal.message,
        reached=False,
        may_have_run=False,
        arrived=False,
        retry_after_ms=refusal.retry_after_ms,
        final=True,
    )
