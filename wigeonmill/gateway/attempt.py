"""One send of a request to one target, up to its answer or failure."""

from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.answers import CallerChannel
from wigeonmill.gateway.answers import PROMISES
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.event_stream import EventSplitter
from wigeonmill.gateway.failures import cut_off
from wigeonmill.gateway.failures import Failure
from wigeonmill.gateway.failures import may_have_run
from wigeonmill.gateway.failures import not_run
from wigeonmill.gateway.failures import timed_out
from wigeonmill.gateway.failures import WholeAnswer
from wigeonmill.gateway.relay import Relay
from wigeonmill.gateway.run_terms import RunTerms
from wigeonmill.gateway.target_client import Send
from wigeonmill.gateway.target_client import SendEnd
from wigeonmill.gateway.target_client import TargetHead
from wigeonmill.gateway.target_load import InFlightRequest
from wigeonmill.gateway.targets import Target

# How often a quiet stream's target is looked at.
STALL_CHECK_MS = 200.0
# Quiet time after which a stream that may be resumed goes on elsewhere, if
# nothing at all comes from its target.
STALL_MS = 1_000.0
# Time without new requests after a target said that it is full.
FULL_PAUSE_MS = 150.0
# Time without new requests after another process answered at the address.
WRONG_TARGET_PAUSE_MS = 1_000.0


class Attempt:
    """Takes the answer of one target and hands it on if it is sound.

    `may_move` says that the request could go on at one more target.
    """

    __slots__ = (
        '_ctx',
        '_terms',
        '_channel',
        '_relay',
        '_target',
        '_send',
        '_opened',
        '_may_move',
        'reported_load',
    )

    def __init__(
        self,
        ctx: GatewayContext,
        terms: RunTerms,
        channel: CallerChannel,
        relay: Relay,
        target: Target,
        send: Send,
        opened: InFlightRequest,
        may_move: bool,
    ) -> None:
        self._ctx = ctx
        self._terms = terms
        self._channel = channel
        self._relay = relay
        self._target = target
        self._send = send
        self._opened = opened
        self._may_move = may_move
        self.reported_load = ''

    async def run(self) -> Failure | None:
        """Return why there was no answer to hand on, if there was none."""
        if self._terms.route.kind is RouteKind.STREAMING:
            return await self._stream()
        return await self._whole()

    async def _whole(self) -> Failure | None:
        head: TargetHead | None = None
        body = bytearray()
        while True:
            part = await self._send.next(self._terms.deadline_ms)
            if part is None:
                return timed_out()
            if isinstance(part, TargetHead):
                head = part
                self._learn(head)
            elif isinstance(part, bytes):
                body += part
            elif part is SendEnd.COMPLETE and head is not None:
                self._opened.answered = True
                self._target.load.record_whole_answer(
                    self._opened, self._target.slots
                )
                return self._judge(head, bytes(body))
            else:
                return cut_off(part, self._send.message)

    async def _stream(self) -> Failure | None:
        head: TargetHead | None = None
        body = bytearray()
        splitter = EventSplitter()
        streaming = False
        while True:
            part = await self._next_of_stream()
            if isinstance(part, Failure):
                return part
            if isinstance(part, TargetHead):
                head = part
                self._learn(head)
                streaming = self._vouched(head)
            elif isinstance(part, bytes) and streaming:
                assert head is not None
                events = splitter.feed(part)
                if events:
                    self._target.load.record_first_token(self._opened)
                self._relay.forward(head, events)
            elif isinstance(part, bytes):
                body += part
            elif part is SendEnd.COMPLETE and head is not None:
                if not streaming:
                    return self._judge(head, bytes(body))
                self._relay.finish(head, splitter.remainder)
                self._target.load.record_run_end(self._opened)
                return None
            else:
                return cut_off(part, self._send.message)

    async def _next_of_stream(
        self,
    ) -> TargetHead | bytes | SendEnd | Failure:
        quiet_since_ms = self._ctx.clock.now_ms()
        while True:
            now_ms = self._ctx.clock.now_ms()
            until_ms = self._terms.deadline_ms
            if now_ms >= until_ms:
                return timed_out()
            if self._may_move:
                until_ms = min(until_ms, now_ms + STALL_CHECK_MS)
            part = await self._send.next(until_ms)
            if part is not None:
                return part
            if self._may_move and self._stalled(quiet_since_ms):
                return may_have_run(
                    Reason.BROKEN_OFF, 'nothing comes from the target'
                )

    def _stalled(self, quiet_since_ms: float) -> bool:
        now_ms = self._ctx.clock.now_ms()
        if now_ms - quiet_since_ms < STALL_MS:
            return False
        return now_ms - self._target.load.last_activity_ms >= STALL_MS

    def _judge(self, head: TargetHead, body: bytes) -> Failure | None:
        """Hand a whole answer on, or say why it is none."""
        now_ms = self._ctx.clock.now_ms()
        if head.wrong_target:
            self._target.refusing_until_ms = now_ms + WRONG_TARGET_PAUSE_MS
            return not_run('another target or other weights', reached=False)
        if head.not_run:
            self._target.refusing_until_ms = now_ms + FULL_PAUSE_MS
            return not_run(f'refused with status {head.status}')
        if head.succeeded and not self._vouched(head):
            return may_have_run(
                Reason.MAY_HAVE_RUN, 'the answer is not vouched for'
            )
        if head.request_id not in (None, self._terms.req.id):
            return may_have_run(
                Reason.MAY_HAVE_RUN, 'answer to another request'
            )
        if head.status in PROMISES:
            return may_have_run(Reason.MAY_HAVE_RUN, f'status {head.status}')
        if head.status >= 500:
            message = f'failed with status {head.status}'
            answer = WholeAnswer(head, body)
            return may_have_run(Reason.MAY_HAVE_RUN, message, answer)
        self._channel.answer(AnswerHead(head.status, head.fields), body)
        return None

    def _vouched(self, head: TargetHead) -> bool:
        return (
            head.succeeded
            and head.sealed
            and not head.encoded
            and head.request_id == self._terms.req.id
        )

    def _learn(self, head: TargetHead) -> None:
        if head.load is not None:
            self.reported_load = f'{head.load.running},{head.load.waiting}'
        generation = self._terms.req.generation
        if generation is not None and head.weight_version is not None:
            weights = self._target.weights
            known = weights.get(generation.model, 0)
            weights[generation.model] = max(known, head.weight_version)
