"""Reads the answer to one model request, verifies it and resumes it."""

import asyncio
from dataclasses import dataclass
import hashlib

from result import Err

from wigeonmill.config.model import Target
from wigeonmill.config.model import Team
from wigeonmill.entry.context import EntryContext
from wigeonmill.entry.context import ServiceRoutes
from wigeonmill.entry.dispatch import Dispatcher
from wigeonmill.entry.dispatch import interrupted_error
from wigeonmill.entry.dispatch import StartedRun
from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import Reason
from wigeonmill.entry.refusals import agent_refusal
from wigeonmill.entry.requests import ModelRequest
from wigeonmill.protocol.client import PeerErrorKind
from wigeonmill.protocol.client import PeerStream
from wigeonmill.protocol.gen.inner.ttypes import Ack
from wigeonmill.protocol.gen.inner.ttypes import Cancel
from wigeonmill.protocol.gen.inner.ttypes import Chunk
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.protocol.gen.inner.ttypes import Resume
from wigeonmill.protocol.gen.inner.ttypes import RunEnd
from wigeonmill.routing.retries import RetryReason

RESUME_RETRY_PAUSE_MS = 100.0
MAX_RESUME_ATTEMPTS = 80
RESUME_TIMEOUT_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class Part:
    """A part of the answer's text; `offset` is the byte offset of its end."""

    text: str
    offset: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The end of an answer that is complete and matches its digest."""

    finish_reason: str
    prompt_tokens: int
    answer_tokens: int
    cached_tokens: int


RunEvent = Part | Finished | ApiError


class ModelRun:
    """Reads the answer to one request until it is complete.

    A run that fails before the first part of its answer is retried on
    another target. After the first part only the same run is resumed.
    """

    def __init__(
        self,
        context: EntryContext,
        routes: ServiceRoutes,
        team: Team,
        request: ModelRequest,
        request_id: str,
    ) -> None:
        self.run_id = ''
        self.target: Target | None = None
        self._context = context
        self._team = team
        self._dispatcher = Dispatcher(
            context, routes, team, request, request_id
        )
        self._stream: PeerStream | None = None
        # Time to wait for the first token before another target is tried;
        # 0 means to wait until the deadline.
        self._stall_ms = 0.0
        self._offset = 0
        # The byte offset from which this process has read the answer; the
        # digest covers the text from there on.
        self._digest_start = 0
        self._digest = hashlib.sha256()

    async def start(self) -> ApiError | None:
        """Start the run on a target; return a refusal if none accepts it."""
        started = await self._dispatcher.start()
        if isinstance(started, Err):
            return started.err_value
        self._use_run(started.ok_value)
        return None

    async def resume(self, run_id: str, offset: int) -> ApiError | None:
        """Resume a run that was started by another connection or entry."""
        target = self._context.target_of_run(run_id)
        if target is None:
            return ApiError(Reason.UNKNOWN_RUN, 'no such run for this team')
        self.run_id = run_id
        self.target = target
        self._offset = offset
        self._digest_start = offset
        return await self._resume()

    async def next(self) -> RunEvent:
        """Return the next part of the answer, its end or an error."""
        event = await self._next()
        if isinstance(event, ApiError):
            return self._dispatcher.adjust_not_run(event)
        return event

    def cancel(self) -> None:
        """Cancel the run, for example because its caller disconnected."""
        self._send_last(Envelope(Kind.CANCEL, cancel=Cancel(self.run_id)))

    def detach(self) -> None:
        """Let the agent keep the run for a while, so it can be resumed."""
        self._send_last(Envelope(Kind.DETACH, cancel=Cancel(self.run_id)))

    def acknowledge(self) -> None:
        """Acknowledge to the agent that the caller has the whole answer."""
        self._send_last(Envelope(Kind.ACK, ack=Ack(self.run_id, self._offset)))

    def _use_run(self, run: StartedRun) -> None:
        self.run_id = run.run_id
        self.target = run.target
        self._stream = run.stream
        self._stall_ms = run.stall_ms

    def _send_last(self, last: Envelope) -> None:
        if self._stream is not None:
            self._stream.send(last)
        self._close_stream()

    def _close_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    async def _next(self) -> RunEvent:
        while True:
            stream = self._stream
            if stream is None:
                return interrupted_error(
                    'the run has no connection to its agent'
                )
            received = await stream.receive(self._receive_timeout_ms())
            if isinstance(received, Err):
                if self._stream is not stream:
                    return interrupted_error('the caller has disconnected')
                if received.err_value.kind is PeerErrorKind.TIMEOUT:
                    failure = await self._on_timeout()
                else:
                    failure = await self._recover_connection()
                if failure is not None:
                    return failure
                continue
            event = await self._read(received.ok_value)
            if event is not None:
                return event

    async def _read(self, envelope: Envelope) -> RunEvent | None:
        if envelope.kind == Kind.CHUNK and envelope.chunk is not None:
            return self._read_chunk(envelope.chunk)
        if envelope.kind == Kind.RUN_END and envelope.run_end is not None:
            return self._read_end(envelope.run_end)
        if envelope.kind == Kind.REFUSED:
            return await self._read_failure(envelope.refused)
        return None

    def _read_chunk(self, chunk: Chunk) -> RunEvent:
        if chunk.run_id != self.run_id or chunk.offset != self._offset:
            self._context.metrics.count('answers_damaged', 'offset')
            return interrupted_error(
                'a part of the answer arrived out of order'
            )
        self._offset += len(chunk.text)
        self._digest.update(chunk.text)
        return Part(chunk.text.decode('utf-8', 'replace'), self._offset)

    def _read_end(self, end: RunEnd) -> RunEvent:
        whole = end.length == self._offset
        if not whole or end.digest != self._digest.digest():
            self._context.metrics.count('answers_damaged', 'digest')
            return interrupted_error('the answer is incomplete or corrupted')
        self._context.budget.record_success()
        self._dispatcher.record_completion()
        if self.target is not None:
            self._context.breakers.record_success(self.target.name)
        return Finished(
            end.finish_reason,
            end.prompt_tokens,
            end.answer_tokens,
            end.cached_tokens,
        )

    async def _read_failure(self, refused: Refused | None) -> RunEvent | None:
        """Try another target, unless part of the answer has been returned."""
        error = agent_refusal(refused)
        self._dispatcher.record_run_failure(refused)
        self._close_stream()
        if self._offset or error.reason is Reason.QUARANTINED:
            return error
        reason = RetryReason.TARGET_CRASHED
        if error.not_run:
            reason = RetryReason.REFUSED
        if not self._dispatcher.take_retry(reason):
            return error
        return await self.start()

    def _receive_timeout_ms(self) -> float:
        """Return the time to wait for the next part of the answer."""
        remaining_ms = self._dispatcher.remaining_ms
        if self._offset or self._stall_ms <= 0.0:
            return remaining_ms
        return min(remaining_ms, self._stall_ms)

    async def _on_timeout(self) -> ApiError | None:
        """Give up at the deadline, or retry a stalled first token."""
        if self._dispatcher.remaining_ms <= 0.0:
            self.cancel()
            message = 'no complete answer before the deadline'
            return ApiError(Reason.DEADLINE, message, 0, False)
        # If no other target accepts the run, keep waiting for this one
        # until the deadline.
        self._stall_ms = 0.0
        if not self._dispatcher.take_retry(RetryReason.STALLED_FIRST_TOKEN):
            return None
        self._dispatcher.record_possible_start()
        stream = self._stream
        started = await self._dispatcher.start(wait_for_starting=False)
        if isinstance(started, Err):
            return None
        if self._stream is not stream:
            # The caller disconnected meanwhile, so the new run is cancelled.
            self._use_run(started.ok_value)
            self.cancel()
            return interrupted_error('the caller has disconnected')
        self.cancel()
        self._use_run(started.ok_value)
        return None

    async def _recover_connection(self) -> ApiError | None:
        """Resume the run after its connection was lost.

        If that fails before the first part of the answer, another target
        may be tried instead.
        """
        self._close_stream()
        self._dispatcher.record_possible_start()
        self._context.metrics.count('retries', 'resume')
        failure = await self._resume()
        if self._offset:
            return await self._retry_resume(failure)
        if failure is None:
            return None
        if not self._dispatcher.take_retry(RetryReason.CONNECTION_LOST):
            return failure
        return await self.start()

    async def _retry_resume(self, failure: ApiError | None) -> ApiError | None:
        for _attempt in range(MAX_RESUME_ATTEMPTS):
            if failure is None or failure.reason is Reason.UNKNOWN_RUN:
                break
            if self._dispatcher.remaining_ms <= RESUME_RETRY_PAUSE_MS:
                break
            await asyncio.sleep(RESUME_RETRY_PAUSE_MS / 1000.0)
            failure = await self._resume()
        return failure

    async def _resume(self) -> ApiError | None:
        if self.target is None:
            return interrupted_error('the run has no target')
        resume = Resume(
            self.run_id, self._team.name, self._offset, self._digest_start
        )
        envelope = Envelope(Kind.RESUME, resume=resume)
        opened = await self._context.agent_client(self.target).open(envelope)
        if isinstance(opened, Err):
            return interrupted_error(opened.err_value.message)
        stream = opened.ok_value
        timeout_ms = min(self._dispatcher.remaining_ms, RESUME_TIMEOUT_MS)
        received = await stream.receive(timeout_ms)
        if isinstance(received, Err):
            stream.close()
            return interrupted_error(received.err_value.message)
        answer = received.ok_value
        if answer.run_accepted is None:
            stream.close()
            return agent_refusal(answer.refused)
        self._stream = stream
        return None
