"""Runs prompts on the agent's model engine."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
from typing import Any

import msgspec

from wigeonmill.agent.admission_types import OutcomeKind
from wigeonmill.agent.admission_types import Refusal
from wigeonmill.agent.admission_types import RefusalReason
from wigeonmill.agent.admission_types import RunOutcome
from wigeonmill.agent.admission_types import RunRequest
from wigeonmill.agent.admission_types import Ticket
from wigeonmill.agent.cache_manager import Owner
from wigeonmill.agent.cache_planner import CachePlanner
from wigeonmill.agent.context import AgentContext
from wigeonmill.agent.engine import EngineClient
from wigeonmill.agent.engine import EngineEnd
from wigeonmill.agent.engine import EngineEndKind
from wigeonmill.agent.engine import EngineStream
from wigeonmill.agent.model_messages import offer_message
from wigeonmill.agent.model_messages import refusal_message
from wigeonmill.agent.model_messages import run_failure
from wigeonmill.agent.model_messages import run_outcome
from wigeonmill.agent.quarantine import decode_state
from wigeonmill.agent.quarantine import encode_state
from wigeonmill.agent.run_ids import RunId
from wigeonmill.agent.runs import Run
from wigeonmill.agent.runs import RunFailure
from wigeonmill.agent.runs import RunSummary
from wigeonmill.cache.keys import version_block_keys
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Offer
from wigeonmill.protocol.gen.inner.ttypes import OfferRequest
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.protocol.gen.inner.ttypes import Run as RunMessage
from wigeonmill.protocol.gen.inner.ttypes import RunAccepted

logger = logging.getLogger(__name__)

STARTING_RETRY_MS = 500


class PendingRun:
    """A run that is waiting for a slot or holds one."""

    __slots__ = ('run', 'message', 'ticket', 'stream')

    def __init__(self, run: Run, message: RunMessage, ticket: Ticket) -> None:
        self.run = run
        self.message = message
        self.ticket = ticket
        self.stream: EngineStream | None = None


class ModelService:
    """Offers, admits and runs prompts on one engine."""

    def __init__(
        self,
        context: AgentContext,
        engine: EngineClient,
        planner: CachePlanner,
        ready: Callable[[], bool],
    ) -> None:
        """Prompts are refused until `ready` returns True."""
        self._context = context
        self._engine = engine
        self._planner = planner
        self._is_ready = ready
        self._pending: dict[int, PendingRun] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._sequence = 0

    @property
    def busy(self) -> bool:
        """Whether a run is waiting or in progress."""
        return bool(self._pending)

    def offer(self, message: OfferRequest) -> Offer:
        """Return the target's current offer to a prompt, or its refusal."""
        context = self._context
        unavailable = self._unavailable_refusal()
        if unavailable is not None:
            context.metrics.count('agent_refusals', unavailable.reason.value)
            return refusal_message(unavailable)
        request = self._run_request(message)
        keys = self._versioned_keys(message.block_keys)
        plan = self._planner.plan(keys, request.prompt_tokens)
        offered = context.admission.offer(request, plan, bool(message.reserve))
        if offered.is_err():
            refusal = offered.unwrap_err()
            context.metrics.count('agent_refusals', refusal.reason.value)
            reply = refusal_message(refusal)
        else:
            reply = offer_message(offered.unwrap())
        reply.crash_record = self._crash_record(request.fingerprint)
        return reply

    def release(self, reservation: int) -> None:
        """Release a reservation that its entry does not use."""
        self._context.admission.release(reservation)
        self.start_runnable()

    def accept(self, conn: Conn, stream: int, message: RunMessage) -> None:
        """Admit a run and reply with its id, or refuse it."""
        context = self._context
        unavailable = self._unavailable_refusal()
        if unavailable is not None:
            self._refuse(conn, stream, unavailable)
            return
        request = self._run_request(message)
        self._merge_crash_records(message)
        keys = self._versioned_keys(message.block_keys)
        plan = self._planner.plan_search(keys, request.prompt_tokens)
        importing = plan.import_blocks > 0
        admitted = context.admission.admit(
            request, plan, message.reservation or 0, importing
        )
        if admitted.is_err():
            self._refuse(conn, stream, admitted.unwrap_err())
            return
        ticket = admitted.unwrap().ticket
        run = self._make_run(message)
        pending = PendingRun(run, message, ticket)
        self._pending[ticket.id] = pending
        run.cancel = lambda: self._cancel(pending)
        accepted = RunAccepted(
            run.run_id, ticket.weight_version, plan.cached_tokens
        )
        envelope = Envelope(Kind.RUN_ACCEPTED, stream, context.serial())
        envelope.run_accepted = accepted
        conn.send(envelope)
        run.attach(conn, stream)
        if importing:
            self._spawn(self._import(pending))
        self.start_runnable()

    def start_runnable(self) -> None:
        """Start all waiting runs that may start, and fail the refused ones."""
        admission = self._context.admission
        while True:
            ticket = admission.next_runnable()
            if ticket is None:
                break
            pending = self._pending[ticket.id]
            self._spawn(self._execute(pending))
        for refused in admission.take_refused():
            self._fail_refused(refused.ticket, refused.refusal)

    def _unavailable_refusal(self) -> Refusal | None:
        """Return why the agent refuses all prompts, if it does."""
        if self._context.leaving:
            return Refusal(RefusalReason.DRAINING)
        if not self._is_ready():
            return Refusal(RefusalReason.STARTING, STARTING_RETRY_MS)
        return None

    def _make_run(self, message: RunMessage) -> Run:
        context = self._context
        self._sequence += 1
        run_id = RunId(
            context.settings.target, context.incarnation, self._sequence
        )
        text = context.signer.issue(run_id, message.team)
        run = Run(text, message.team, context.clock, context.serial)
        context.runs.add(run)
        return run

    async def _import(self, pending: PendingRun) -> None:
        """Import blocks while the run waits outside the queue."""
        ticket = pending.ticket
        keys = self._versioned_keys(
            pending.message.block_keys, ticket.weight_version
        )
        plan = await self._planner.fetch(
            keys, ticket.plan, _block_owner(pending)
        )
        self._context.admission.imported(ticket.id, plan)
        self.start_runnable()

    async def _execute(self, pending: PendingRun) -> None:
        context = self._context
        message = pending.message
        keys = self._versioned_keys(
            message.block_keys, pending.ticket.weight_version
        )
        started = context.admission.started(pending.ticket.id)
        if started.is_err():
            self._fail_refused(pending.ticket, started.unwrap_err())
            return
        if pending.run.ended:
            # The run was cancelled before its start and is not sent.
            self._release_slot(pending, RunOutcome(OutcomeKind.CANCELLED))
            return
        waited_ms = context.clock.now_ms() - pending.ticket.admitted_ms
        context.metrics.histogram('queue_wait').record(waited_ms)
        end = await self._run_on_engine(pending, keys)
        self._record_end(pending, end)
        if end.kind is EngineEndKind.COMPLETED:
            self._planner.completed(keys, _block_owner(pending))

    async def _run_on_engine(
        self, pending: PendingRun, keys: list[bytes]
    ) -> EngineEnd:
        context = self._context
        first = True

        def on_text(text: bytes, tokens: int) -> None:
            nonlocal first
            if first:
                first = False
                context.admission.first_token(pending.ticket.id)
            pending.run.append(text, tokens)

        stream = EngineStream(on_text)
        pending.stream = stream
        path, body = self._engine_request(pending, keys)
        remaining_ms = (
            pending.ticket.request.deadline_ms - context.clock.now_ms()
        )
        return await self._engine.run(path, body, stream, remaining_ms)

    def _engine_request(
        self, pending: PendingRun, keys: list[bytes]
    ) -> tuple[str, bytes]:
        message = pending.message
        body: dict[str, Any] = msgspec.json.decode(message.body)
        body['request_id'] = pending.run.run_id
        body['weight_version'] = pending.ticket.weight_version
        body['kv_block_keys'] = [key.hex() for key in keys]
        body['prompt_tokens'] = message.prompt_tokens
        body['priority'] = message.priority
        body['stream'] = True
        body['stream_options'] = {'include_usage': True}
        path = '/v1/completions'
        if 'messages' in body:
            path = '/v1/chat/completions'
        return path, msgspec.json.encode(body)

    def _record_end(self, pending: PendingRun, end: EngineEnd) -> None:
        outcome = run_outcome(end)
        # This records a crash first, so that the failure includes it.
        self._release_slot(pending, RunOutcome(outcome, end.answer_tokens))
        run = pending.run
        if end.kind is EngineEndKind.COMPLETED:
            run.finish(
                RunSummary(
                    end.finish_reason,
                    end.prompt_tokens or pending.message.prompt_tokens,
                    end.answer_tokens,
                    end.cached_tokens,
                )
            )
        else:
            self._context.metrics.count('runs_failed', end.kind.value)
            failure = run_failure(end)
            fingerprint = pending.ticket.request.fingerprint
            failure.crash_record = self._crash_record(fingerprint)
            run.fail(failure)

    def _release_slot(self, pending: PendingRun, outcome: RunOutcome) -> None:
        self._pending.pop(pending.ticket.id, None)
        self._context.admission.finished(pending.ticket.id, outcome)
        self.start_runnable()

    def _fail_refused(self, ticket: Ticket, refusal: Refusal) -> None:
        self._context.metrics.count('agent_refusals', refusal.reason.value)
        pending = self._pending.pop(ticket.id, None)
        if pending is not None:
            failure = RunFailure(
                refusal.reason.value, '', True, refusal.retry_after_ms
            )
            pending.run.fail(failure)

    def _crash_record(self, fingerprint: bytes) -> bytes:
        quarantine = self._context.admission.quarantine
        wall_ms = self._context.clock.wall_ms()
        known = quarantine.state_for(fingerprint, wall_ms)
        return encode_state(known) if known.records else b''

    def _merge_crash_records(self, message: RunMessage) -> None:
        """Merge the records of other targets' crashes from the entry."""
        wall_ms = self._context.clock.wall_ms()
        for data in message.crash_records or []:
            try:
                known = decode_state(data)
            except msgspec.DecodeError:
                self._context.metrics.count('crash_records_malformed')
                continue
            self._context.admission.quarantine.merge(known, wall_ms)

    def _cancel(self, pending: PendingRun) -> None:
        """Cancel a run that its caller will not resume."""
        if pending.run.ended:
            return
        self._context.metrics.count('runs_cancelled')
        pending.run.fail(RunFailure('cancelled', 'cancelled', False))
        if self._context.admission.withdraw(pending.ticket.id):
            self._pending.pop(pending.ticket.id, None)
            return
        if pending.stream is not None:
            pending.stream.cancel()
            self._spawn(self._engine.cancel(pending.run.run_id))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    def _on_task_done(self, task: 'asyncio.Task[None]') -> None:
        self._tasks.discard(task)
        if not task.cancelled() and task.exception() is not None:
            logger.error(
                'unexpected error in a run', exc_info=task.exception()
            )
            raise SystemExit(1)

    def _refuse(self, conn: Conn, stream: int, refusal: Refusal) -> None:
        context = self._context
        context.metrics.count('agent_refusals', refusal.reason.value)
        refused = Refused(
            refusal.reason.value, '', refusal.retry_after_ms, True
        )
        envelope = Envelope(Kind.REFUSED, stream, context.serial())
        envelope.refused = refused
        conn.send(envelope)

    def _run_request(self, message: OfferRequest | RunMessage) -> RunRequest:
        now_ms = self._context.clock.now_ms()
        return RunRequest(
            message.team,
            message.weight_version or '',
            message.prompt_tokens,
            now_ms + message.deadline_ms,
            message.team_weight or 1,
            message.priority or 0,
            message.fingerprint or b'',
        )

    def _versioned_keys(
        self, keys: list[bytes] | None, version: str = ''
    ) -> list[bytes]:
        version = version or self._context.admission.weight_version
        return version_block_keys(keys or [], version)


def _block_owner(pending: PendingRun) -> Owner:
    return Owner(pending.run.team, pending.ticket.weight_version)
