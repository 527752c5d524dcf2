"""Runs calls on the agent's plain service, some of them at most once."""

import asyncio

from wigeonmill.agent.admission_types import OutcomeKind
from wigeonmill.agent.admission_types import Refusal
from wigeonmill.agent.admission_types import RefusalReason
from wigeonmill.agent.admission_types import RunOutcome
from wigeonmill.agent.admission_types import RunRequest
from wigeonmill.agent.admission_types import Ticket
from wigeonmill.agent.calls import CallClient
from wigeonmill.agent.calls import CallEnd
from wigeonmill.agent.calls import CallEndKind
from wigeonmill.agent.calls import make_reply
from wigeonmill.agent.context import AgentContext
from wigeonmill.cache.tiers import full_recompute_plan
from wigeonmill.claims.model import Answered
from wigeonmill.claims.model import AnswerHeader
from wigeonmill.claims.model import Claimed
from wigeonmill.claims.model import ClaimOutcome
from wigeonmill.claims.model import ClaimRefusal
from wigeonmill.claims.model import ClaimRequest
from wigeonmill.claims.model import ClaimStore
from wigeonmill.claims.model import InProgress
from wigeonmill.claims.model import make_answer
from wigeonmill.claims.model import RefusalReason as ClaimReason
from wigeonmill.claims.model import request_digest
from wigeonmill.config.rules import runs_at_most_once
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.gen.inner.ttypes import Call
from wigeonmill.protocol.gen.inner.ttypes import CallReply
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Header
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Refused

REPLAYED_HEADER = 'Idempotent-Replayed'
# Time for which a repeated call waits for the answer of the first attempt.
REPEAT_WAIT_MS = 2_000.0
_CALL_COST = 1

CallResult = CallReply | Refused


class PlainService:
    """Admits and forwards calls, and claims those that run at most once."""

    def __init__(
        self, context: AgentContext, calls: CallClient, claims: ClaimStore
    ) -> None:
        self._context = context
        self._calls = calls
        self._claims = claims
        self._slot_waiters: dict[int, asyncio.Future[Refusal | None]] = {}
        self._open_calls = 0

    @property
    def busy(self) -> bool:
        """Whether a call is waiting or in progress."""
        return self._open_calls > 0

    def accept(self, conn: Conn, stream: int, call: Call) -> None:
        """Run one call and send its reply on the stream."""
        task = asyncio.ensure_future(self._answer(conn, stream, call))
        self._open_calls += 1
        task.add_done_callback(self._on_done)

    def start_runnable(self) -> None:
        """Give free slots to waiting calls, and fail the refused ones."""
        admission = self._context.admission
        while True:
            ticket = admission.next_runnable()
            if ticket is None:
                break
            self._resolve_slot(ticket, None)
        for refused in admission.take_refused():
            self._resolve_slot(refused.ticket, refused.refusal)

    async def _answer(self, conn: Conn, stream: int, call: Call) -> None:
        context = self._context
        result = await self._run(call)
        envelope = Envelope(Kind.CALL_REPLY, stream, context.serial())
        if isinstance(result, Refused):
            context.metrics.count('agent_refusals', result.reason)
            envelope.kind = Kind.REFUSED
            envelope.refused = result
        else:
            envelope.call_reply = result
        conn.send(envelope)

    async def _run(self, call: Call) -> CallResult:
        context = self._context
        placement = context.placement
        if context.leaving or placement is None:
            return _not_run(RefusalReason.DRAINING.value)
        at_most_once = runs_at_most_once(
            placement.service, call.method, call.path
        )
        if at_most_once and not call.claim:
            return _not_run('idempotency_key_required')
        request = self._run_request(call)
        plan = full_recompute_plan(_CALL_COST)
        offered = context.admission.offer(request, plan, reserve=False)
        if offered.is_err():
            return _refused(offered.unwrap_err())
        if not at_most_once:
            return await self._dispatch(call, request, None)
        return await self._run_claimed(call, request)

    async def _run_claimed(
        self, call: Call, request: RunRequest
    ) -> CallResult:
        remaining_ms = request.deadline_ms - self._context.clock.now_ms()
        digest = request_digest(call.method, call.path, call.body or b'')
        claimed = await self._claims.claim(
            ClaimRequest(
                call.team,
                call.service_name,
                call.claim,
                digest,
                remaining_ms,
                min(REPEAT_WAIT_MS, remaining_ms),
            )
        )
        if claimed.is_err():
            return _claim_refused(claimed.unwrap_err())
        outcome = claimed.unwrap()
        if isinstance(outcome, Claimed):
            return await self._dispatch(call, request, outcome)
        return _repeat_result(outcome)

    async def _dispatch(
        self, call: Call, request: RunRequest, claim: Claimed | None
    ) -> CallResult:
        """Send a call once a slot is free; void the claim if it isn't sent."""
        result = await self._take_slot(request)
        if isinstance(result, Refusal):
            if claim is not None:
                await self._claims.void(claim)
            return _refused(result)
        ticket = result
        admission = self._context.admission
        started = admission.started(ticket.id)
        if started.is_err():
            if claim is not None:
                await self._claims.void(claim)
            self.start_runnable()
            return _refused(started.unwrap_err())
        remaining_ms = request.deadline_ms - self._context.clock.now_ms()
        end = await self._calls.send(call, remaining_ms)
        admission.finished(ticket.id, RunOutcome(call_outcome(end)))
        self.start_runnable()
        return await self._finish_call(end, claim)

    async def _take_slot(self, request: RunRequest) -> Ticket | Refusal:
        context = self._context
        plan = full_recompute_plan(_CALL_COST)
        admitted = context.admission.admit(request, plan)
        if admitted.is_err():
            return admitted.unwrap_err()
        ticket = admitted.unwrap().ticket
        slot: asyncio.Future[Refusal | None]
        slot = asyncio.get_running_loop().create_future()
        self._slot_waiters[ticket.id] = slot
        self.start_runnable()
        refusal = await slot
        if refusal is not None:
            return refusal
        waited_ms = context.clock.now_ms() - ticket.admitted_ms
        context.metrics.histogram('queue_wait').record(waited_ms)
        return ticket

    async def _finish_call(
        self, end: CallEnd, claim: Claimed | None
    ) -> CallResult:
        if end.reply is not None:
            if claim is not None:
                await self._record_answer(claim, end.reply)
            return end.reply
        self._context.metrics.count('calls_failed', end.kind.value)
        if end.kind is CallEndKind.UNREACHABLE:
            if claim is not None:
                await self._claims.void(claim)
            return Refused('unreachable', end.message, 0, True)
        return Refused('outcome_unknown', end.message, 0, False)

    async def _record_answer(self, claim: Claimed, reply: CallReply) -> None:
        headers = [AnswerHeader(h.name, h.value) for h in reply.headers]
        answer = make_answer(reply.status, headers, reply.body or b'')
        recorded = await self._claims.record(claim, answer)
        if recorded.is_err():
            # The caller still gets this answer; the outcome of repeated
            # calls is "unknown".
            reason = recorded.unwrap_err().kind.value
            self._context.metrics.count('answers_not_recorded', reason)

    def _resolve_slot(self, ticket: Ticket, refusal: Refusal | None) -> None:
        slot = self._slot_waiters.pop(ticket.id, None)
        if slot is not None and not slot.done():
            slot.set_result(refusal)

    def _run_request(self, call: Call) -> RunRequest:
        now_ms = self._context.clock.now_ms()
        return RunRequest(
            call.team,
            '',
            _CALL_COST,
            now_ms + call.deadline_ms,
            call.team_weight or 1,
        )

    def _on_done(self, task: 'asyncio.Task[None]') -> None:
        self._open_calls -= 1
        if not task.cancelled() and task.exception() is not None:
            raise SystemExit(1) from task.exception()


def call_outcome(end: CallEnd) -> OutcomeKind:
    """Return the outcome of a call for the admission."""
    if end.kind is CallEndKind.ANSWERED:
        return OutcomeKind.COMPLETED
    if end.kind is CallEndKind.UNREACHABLE:
        return OutcomeKind.UNREACHABLE
    return OutcomeKind.FAILED


def _repeat_result(outcome: ClaimOutcome) -> CallResult:
    """Return the result of a call that was claimed before."""
    if isinstance(outcome, Answered):
        return _replayed(outcome)
    if isinstance(outcome, InProgress):
        message = 'the first request with this key is still in progress'
        retry_ms = int(outcome.retry_after_ms)
        return Refused('in_progress', message, retry_ms, False)
    message = 'a request with this key may have run; it is never run again'
    return Refused('outcome_unknown', message, 0, False)


def _replayed(outcome: Answered) -> CallResult:
    answer = outcome.answer
    if not answer.body_kept:
        message = (
            f'the call ran with status {answer.status}; its answer of '
            f'{answer.body_length} bytes was too large to keep'
        )
        return Refused('answer_not_kept', message, 0, False)
    headers = [Header(h.name, h.value) for h in answer.headers]
    headers.append(Header(REPLAYED_HEADER, 'true'))
    return make_reply(answer.status, headers, answer.body)


def _claim_refused(refusal: ClaimRefusal) -> Refused:
    if refusal.reason is ClaimReason.KEY_REUSED:
        message = 'the idempotency key was used for another call'
        return Refused(refusal.reason.value, message, 0, refusal.not_run)
    if refusal.not_run:
        message = f'not run: {refusal.reason.value}'
        return Refused('not_run', message, 1000, True)
    message = 'the outcome of this request could not be settled in time'
    return Refused('outcome_unknown', message, 0, False)


def _not_run(reason: str) -> Refused:
    return Refused(reason, '', 0, True)


def _refused(refusal: Refusal) -> Refused:
    return Refused(refusal.reason.value, '', refusal.retry_after_ms, True)
