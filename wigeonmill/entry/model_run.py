"""One model request on its way: routed, run, checked and resumed."""

import asyncio
from dataclasses import dataclass
import hashlib

from result import Err
from result import Ok
from result import Result

from wigeonmill.cache.keys import chain_block_keys
from wigeonmill.cache.keys import count_tokens
from wigeonmill.config.model import Target
from wigeonmill.config.model import Team
from wigeonmill.entry.context import EntryContext
from wigeonmill.entry.context import ServiceRoutes
from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import Reason
from wigeonmill.entry.offer_round import ask_for_offers
from wigeonmill.entry.offer_round import OfferRound
from wigeonmill.entry.offer_round import release_others
from wigeonmill.entry.refusals import agent_refusal
from wigeonmill.entry.refusals import combined_refusal
from wigeonmill.entry.refusals import quarantine_refusal
from wigeonmill.entry.refusals import QUARANTINED
from wigeonmill.entry.requests import ModelRequest
from wigeonmill.protocol.client import PeerErrorKind
from wigeonmill.protocol.client import PeerStream
from wigeonmill.protocol.gen.inner.ttypes import Ack
from wigeonmill.protocol.gen.inner.ttypes import Cancel
from wigeonmill.protocol.gen.inner.ttypes import Chunk
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import OfferRequest
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.protocol.gen.inner.ttypes import Resume
from wigeonmill.protocol.gen.inner.ttypes import Run
from wigeonmill.protocol.gen.inner.ttypes import RunEnd
from wigeonmill.routing.offers import choose_offer
from wigeonmill.routing.offers import TargetOffer
from wigeonmill.routing.retries import Attempts
from wigeonmill.routing.retries import may_retry
from wigeonmill.routing.retries import RetryReason

RESUME_PAUSE_MS = 100.0
RESUME_TRIES = 30
# A first token is stalled after this many times the offer's time, and not
# before the floor.
STALL_FACTOR = 3.0
STALL_FLOOR_MS = 2_000.0


@dataclass(frozen=True, slots=True)
class Part:
    """A piece of the answer; `offset` counts the bytes up to its end."""

    text: str
    offset: int


@dataclass(frozen=True, slots=True)
class Finished:
    """The answer is whole and its digest is right."""

    finish_reason: str
    prompt_tokens: int
    answer_tokens: int
    cached_tokens: int


Step = Part | Finished | ApiError


class ModelRun:
    """Routes one request and reads its answer until it is whole.

    Before its first part a run that fails is tried on another target;
    after it, only the same run is resumed.
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
        self._routes = routes
        self._team = team
        self._request = request
        self._request_id = request_id
        self._stream: PeerStream | None = None
        self._offset = 0
        # Where this process began to see the answer.
        self._digest_from = 0
        self._digest = hashlib.sha256()
        self._keys = chain_block_keys(
            team.name, '', request.prompt, routes.service.block_tokens
        )
        self._prompt_tokens = count_tokens(request.prompt)
        self._fingerprint = hashlib.blake2b(
            team.name.encode() + b'\0' + request.body, digest_size=16
        ).digest()
        started_ms = context.clock.now_ms()
        self._attempts = Attempts(started_ms + request.deadline_ms, True)
        self._excluded: set[str] = set()
        # What the targets asked so far said, once none is left to ask.
        self._refusal: ApiError | None = None
        self._crash_records: list[bytes] = []
        # How long a first token may take before another target is tried.
        self._stall_ms = 0.0

    async def start(self) -> ApiError | None:
        """Find a target that accepts the run; returns a refusal if none."""
        while True:
            started = await self._attempt()
            if started.is_ok():
                return None
            retry = started.unwrap_err()
            if retry.reason is None or not self._retry(retry.reason):
                return retry.error
            self._attempts.attempts += 1

    async def resume(self, run_id: str, offset: int) -> ApiError | None:
        """Go on with a run that another connection or entry began."""
        target = self._context.find_run_target(run_id)
        if target is None:
            return ApiError(Reason.UNKNOWN_RUN, 'no such run for this team')
        self.run_id = run_id
        self.target = target
        self._offset = offset
        self._digest_from = offset
        return await self._resume()

    async def next(self) -> Step:
        """Return the next part of the answer, its end, or its failure."""
        while True:
            stream = self._stream
            if stream is None:
                return _interrupted('the run has no connection')
            received = await stream.receive(self._patience_ms())
            if received.is_err():
                if self._stream is not stream:
                    return _interrupted('the caller has gone')
                if received.unwrap_err().kind is PeerErrorKind.TIMEOUT:
                    failure = await self._on_timeout()
                else:
                    failure = await self._recover()
                if failure is not None:
                    return failure
                continue
            step = await self._read(received.unwrap())
            if step is not None:
                return step

    def cancel(self) -> None:
        """Stop the run at its target, as its caller has gone."""
        if self._stream is None:
            return
        cancel = Envelope(Kind.CANCEL, cancel=Cancel(self.run_id))
        self._stream.send(cancel)
        self._stream.close()
        self._stream = None

    def caller_left(self) -> None:
        """Leave the run to its agent for a while, so it can be resumed."""
        if self._stream is None:
            return
        detach = Envelope(Kind.DETACH, cancel=Cancel(self.run_id))
        self._stream.send(detach)
        self._stream.close()
        self._stream = None

    def acknowledge(self) -> None:
        """Tell the agent that the caller has the whole answer."""
        if self._stream is None:
            return
        ack = Envelope(Kind.ACK, ack=Ack(self.run_id, self._offset))
        self._stream.send(ack)
        self._stream.close()
        self._stream = None

    async def _attempt(self) -> 'Result[None, _Failed]':
        context = self._context
        # A short prompt is routed by its fingerprint, so that those who saw
        # it crash a target are asked again.
        names = self._routes.picker.pick(
            self._keys or [self._fingerprint],
            self._excluded,
            context.breakers.blocked,
        )
        targets = [self._routes.targets[name] for name in names]
        if not targets:
            return Err(_Failed(self._refusal or _no_target(), None))
        request = self._offer_request()
        timeout_ms = min(
            context.settings.offer_timeout_ms, max(self._left_ms(), 1.0)
        )
        found = await ask_for_offers(context, targets, request, timeout_ms)
        self._crash_records += found.crash_records
        if any(r.reason == QUARANTINED for r in found.refusals):
            return Err(_Failed(quarantine_refusal(), None))
        chosen = choose_offer(found.offers, found.refusals)
        if chosen.is_err():
            self._exclude(names, found)
            error = combined_refusal(chosen.unwrap_err())
            reason = RetryReason.REFUSED
            if found.silent:
                reason = RetryReason.UNREACHABLE
            self._refusal = error
            return Err(_Failed(error, reason))
        offer = chosen.unwrap()
        expected_ms = offer.expected_first_token_ms
        self._stall_ms = max(STALL_FLOOR_MS, expected_ms * STALL_FACTOR)
        release_others(context, targets, found.offers, offer)
        return await self._dispatch(offer)

    async def _dispatch(self, offer: TargetOffer) -> 'Result[None, _Failed]':
        context = self._context
        target = self._routes.targets[offer.target]
        context.breakers.record_dispatch(target.name)
        self._excluded.add(target.name)
        envelope = Envelope(Kind.RUN, run=self._run_message(offer))
        opened = await context.peer(target).open(envelope)
        if opened.is_err():
            context.breakers.record_failure(target.name)
            error = _interrupted(opened.unwrap_err().message)
            return Err(_Failed(error, RetryReason.UNREACHABLE))
        stream = opened.unwrap()
        received = await stream.receive(self._left_ms())
        if received.is_err():
            stream.close()
            context.breakers.record_failure(target.name)
            error = _interrupted(received.unwrap_err().message)
            return Err(_Failed(error, RetryReason.CONNECTION_LOST))
        answer = received.unwrap()
        if answer.run_accepted is None:
            stream.close()
            return Err(self._refused(answer.refused))
        self._stream = stream
        self.target = target
        self.run_id = answer.run_accepted.run_id
        return Ok(None)

    def _refused(self, refused: Refused | None) -> '_Failed':
        error = agent_refusal(refused)
        if error.reason in (Reason.QUARANTINED, Reason.DEADLINE):
            return _Failed(error, None)
        return _Failed(error, RetryReason.REFUSED)

    async def _read(self, envelope: Envelope) -> Step | None:
        if envelope.kind == Kind.CHUNK and envelope.chunk is not None:
            return self._read_chunk(envelope.chunk)
        if envelope.kind == Kind.RUN_END and envelope.run_end is not None:
            return self._read_end(envelope.run_end)
        if envelope.kind == Kind.REFUSED:
            return await self._read_failure(envelope.refused)
        return None

    def _read_chunk(self, chunk: Chunk) -> Step | None:
        if chunk.run_id != self.run_id or chunk.offset != self._offset:
            self._context.metrics.count('answers_damaged', 'offset')
            return _interrupted('a part of the answer is not the next one')
        self._offset += len(chunk.text)
        self._digest.update(chunk.text)
        self._attempts.may_have_started = True
        return Part(chunk.text.decode('utf-8', 'replace'), self._offset)

    def _read_end(self, end: RunEnd) -> Step:
        whole = end.length == self._offset
        if not whole or end.digest != self._digest.digest():
            self._context.metrics.count('answers_damaged', 'digest')
            return _interrupted('the answer is not whole')
        self._context.budget.record_success()
        if self.target is not None:
            self._context.breakers.record_success(self.target.name)
        return Finished(
            end.finish_reason,
            end.prompt_tokens,
            end.answer_tokens,
            end.cached_tokens,
        )

    async def _read_failure(self, refused: Refused | None) -> Step | None:
        error = agent_refusal(refused)
        if refused is not None and refused.crash_record:
            self._crash_records.append(refused.crash_record)
        self._close_stream()
        if self._offset or error.reason is Reason.QUARANTINED:
            return error
        reason = RetryReason.TARGET_CRASHED
        if error.not_run:
            reason = RetryReason.REFUSED
        elif refused is not None and refused.reason == 'crashed':
            self._attempts.crashes += 1
        if not self._retry(reason):
            return error
        self._attempts.attempts += 1
        return await self.start()

    def _patience_ms(self) -> float:
        """Return how long to wait for the next part of the answer."""
        left_ms = self._left_ms()
        if self._offset or self._stall_ms <= 0.0:
            return left_ms
        return min(left_ms, self._stall_ms)

    async def _on_timeout(self) -> ApiError | None:
        """Try another target for a stalled first token, or give up."""
        if self._left_ms() <= 0.0:
            self.cancel()
            message = 'no whole answer in time'
            return ApiError(Reason.DEADLINE, message, 0, False)
        # One that may not be tried again is waited for to its deadline.
        self._stall_ms = 0.0
        if not self._retry(RetryReason.STALLED_FIRST_TOKEN):
            return None
        self.cancel()
        self._attempts.attempts += 1
        return await self.start()

    def _exclude(self, names: list[str], found: OfferRound) -> None:
        """Keep those that can't help from being asked again.

        When nobody answered in time, it is likelier that this process is
        slow than that all of them are; they may be asked again.
        """
        if found.refusals or len(found.silent) < len(names):
            self._excluded.update(names)
        else:
            self._excluded.update(found.unreachable)

    async def _recover(self) -> ApiError | None:
        """Resume the run after its connection was lost."""
        self._close_stream()
        self._context.metrics.count('retries', 'resume')
        for _try in range(RESUME_TRIES):
            resumed = await self._resume()
            if resumed is None or resumed.reason is Reason.UNKNOWN_RUN:
                break
            if self._left_ms() <= RESUME_PAUSE_MS:
                break
            if not self._offset:
                break
            await asyncio.sleep(RESUME_PAUSE_MS / 1000.0)
        if resumed is None:
            return None
        if self._offset or not self._retry(RetryReason.CONNECTION_LOST):
            return resumed
        self._attempts.attempts += 1
        return await self.start()

    async def _resume(self) -> ApiError | None:
        if self.target is None:
            return _interrupted('the run has no target')
        resume = Resume(
            self.run_id, self._team.name, self._offset, self._digest_from
        )
        envelope = Envelope(Kind.RESUME, resume=resume)
        opened = await self._context.peer(self.target).open(envelope)
        if opened.is_err():
            return _interrupted(opened.unwrap_err().message)
        stream = opened.unwrap()
        received = await stream.receive(min(self._left_ms(), 2000.0))
        if received.is_err():
            stream.close()
            return _interrupted(received.unwrap_err().message)
        answer = received.unwrap()
        if answer.run_accepted is None:
            stream.close()
            return agent_refusal(answer.refused)
        self._stream = stream
        return None

    def _retry(self, reason: RetryReason) -> bool:
        context = self._context
        allowed = may_retry(
            reason, self._attempts, context.budget, context.clock
        )
        if allowed.is_ok():
            context.metrics.count('retries', reason.value)
            return True
        context.metrics.count('retries_denied', allowed.unwrap_err().value)
        return False

    def _close_stream(self) -> None:
        if self._stream is not None:
            self._stream.close()
            self._stream = None

    def _left_ms(self) -> float:
        return self._attempts.deadline_ms - self._context.clock.now_ms()

    def _offer_request(self) -> OfferRequest:
        request = self._request
        return OfferRequest(
            self._routes.service.name,
            self._team.name,
            '',
            self._keys,
            self._prompt_tokens,
            request.max_tokens,
            request.priority,
            int(self._left_ms()),
            self._fingerprint,
            True,
            self._team.weight,
        )

    def _run_message(self, offer: TargetOffer) -> Run:
        request = self._request
        return Run(
            offer.reservation,
            self._routes.service.name,
            self._team.name,
            '',
            self._keys,
            self._prompt_tokens,
            request.max_tokens,
            request.priority,
            int(self._left_ms()),
            self._fingerprint,
            request.body,
            self._request_id,
            self._team.weight,
            self._crash_records,
        )


@dataclass(slots=True)
class _Failed:
    """A failed attempt; without a retry reason it is final."""

    error: ApiError
    reason: RetryReason | None


def _interrupted(message: str) -> ApiError:
    return ApiError(Reason.INTERRUPTED, message, 0, False)


def _no_target() -> ApiError:
    return ApiError(
        Reason.NO_TARGET, 'no target of the service is available', 1000
    )
