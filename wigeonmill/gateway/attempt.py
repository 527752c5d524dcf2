"""One attempt of a request at one target, up to its answer or failure."""

from collections.abc import Callable
from dataclasses import dataclass

from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.answers import CallerChannel
from wigeonmill.gateway.answers import NOT_RUN_STATUSES
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.event_stream import EventSplitter
from wigeonmill.gateway.event_stream import StreamEvent
from wigeonmill.gateway.failures import caller_too_slow
from wigeonmill.gateway.failures import ErrorAnswer
from wigeonmill.gateway.failures import Failure
from wigeonmill.gateway.failures import may_have_run
from wigeonmill.gateway.failures import not_run
from wigeonmill.gateway.failures import overlong
from wigeonmill.gateway.failures import timed_out
from wigeonmill.gateway.failures import transfer_failed
from wigeonmill.gateway.relay import Relay
from wigeonmill.gateway.run_terms import RunTerms
from wigeonmill.gateway.slow_answers import AnswerWatch
from wigeonmill.gateway.stream_origins import origin_of
from wigeonmill.gateway.target_client import Exchange
from wigeonmill.gateway.target_client import ExchangeEnd
from wigeonmill.gateway.target_client import TargetHead
from wigeonmill.gateway.target_load import InFlightRequest
from wigeonmill.gateway.targets import Target
from wigeonmill.providers.transfers import Framing

# Interval of the stall check on a stream that sends nothing.
STALL_CHECK_MS = 200.0
# Interval at which a run that has not begun is checked for expired weights.
BEGIN_CHECK_MS = 500.0
# A target is silent if it has sent nothing for a stream for this time, nor
# for any other request.
STALL_MS = 1_000.0
# Time until it is looked again what may be done about a slow answer, and the
# share of the time that it has taken which may be added to that.
SLOW_CHECK_MS = 50.0
SLOW_CHECK_SHARE = 0.25
# A target that has written a stream for this time does not crash under it.
SERVED_MS = 1_000.0
# A target that reported itself full gets no new requests for this time.
FULL_PAUSE_MS = 150.0
# A target gets no new requests for this time after another process answered
# at its address.
WRONG_TARGET_PAUSE_MS = 1_000.0


@dataclass(slots=True)
class AnswerReceipt:
    """How much of an answer was received, for the log.

    `trailing_bytes` are those after the last complete event of a stream.
    """

    framing: Framing | None = None
    events: int = 0
    trailing_bytes: int = 0


class Attempt:
    """Reads the answer of one target and passes it on if it is valid.

    `on_lead` is called before anything new is written to the caller, and
    `on_stall` at intervals while the target is silent, or while the answer is
    slow as `watch` says. If nothing may be done about a silent target,
    `watches_stalls` is not set, and if nothing may be done about a slow
    answer, there is no `watch`. While `has_rival` returns true, another
    attempt of the same request is under way.
    """

    __slots__ = (
        '_ctx',
        '_terms',
        '_channel',
        '_relay',
        '_exchange',
        '_in_flight',
        '_watches_stalls',
        'target',
        'on_lead',
        'on_stall',
        'has_rival',
        'reported_load',
        'receipt',
        'served',
        'watch',
        'is_second',
        'was_silent',
        '_was_late',
        'first_event_ms',
        '_quiet_since_ms',
        '_collection',
        '_broken_off',
        '_repeated_bytes',
        '_paused',
    )

    def __init__(
        self,
        ctx: GatewayContext,
        terms: RunTerms,
        channel: CallerChannel,
        relay: Relay,
        target: Target,
        exchange: Exchange,
        in_flight: InFlightRequest,
        watches_stalls: bool,
    ) -> None:
        self._ctx = ctx
        self._terms = terms
        self._channel = channel
        self._relay = relay
        self.target = target
        self._exchange = exchange
        self._in_flight = in_flight
        self._watches_stalls = watches_stalls
        self.on_lead: Callable[[Attempt], None] = _ignore
        self.on_stall: Callable[[Attempt], None] = _ignore
        self.has_rival: Callable[[], bool] = _has_none
        self.reported_load = ''
        self.receipt = AnswerReceipt()
        # Whether the target lived on while it wrote the answer.
        self.served = False
        self.watch: AnswerWatch | None = None
        # Whether it was started beside another one.
        self.is_second = False
        # What the target was when the attempt was closed.
        self.was_silent = False
        self._was_late = False
        # When the first event of a stream came, if any did.
        self.first_event_ms: float | None = None
        self._quiet_since_ms = ctx.clock.now_ms()
        # The bytes that it holds, and whether they wait for the caller.
        self._collection = ctx.held.collect(channel.holding, self._break_off)
        self._paused = False
        # Whether it was ended to make room for others.
        self._broken_off = False
        # The size of the events that the caller had already.
        self._repeated_bytes = 0

    async def run(self) -> Failure | None:
        """Pass the answer on, or return why there is none to pass on."""
        if self._terms.route.kind is RouteKind.STREAMING:
            return await self._receive_stream()
        return await self._receive_whole()

    def close(self) -> None:
        """Cancel the request at the target, unless it is complete."""
        self.was_silent = self.is_silent
        self._was_late = self.watch is not None and self.watch.is_late
        self._hold(0)
        try:
            self._exchange.cancel()
        finally:
            self.target.load.close(self._in_flight)
            if self.watch is not None:
                self.watch.record_cut()

    @property
    def sent_ms(self) -> float:
        """When the request was sent."""
        return self._in_flight.sent_ms

    @property
    def silent_ms(self) -> float:
        """The time for which the target has sent nothing at all."""
        now_ms = self._ctx.clock.now_ms()
        since_ms = max(self._quiet_since_ms, self.target.load.last_activity_ms)
        return now_ms - since_ms

    @property
    def is_silent(self) -> bool:
        """Whether another target may be asked because this one is silent."""
        return (
            self._watches_stalls
            and not self._paused
            and self.silent_ms >= STALL_MS
        )

    def record_overtaken(self) -> None:
        """Record that another attempt has answered before this closed one.

        What is known of the target's times doesn't change, as an answer
        would have taken longer still. Its standing does, for seconds.
        """
        if self._was_late:
            self.target.load.record_outcome(failed=True)

    async def _receive_whole(self) -> Failure | None:
        head: TargetHead | None = None
        body = bytearray()
        while True:
            part = await self._next_whole_part()
            if part is None:
                return timed_out()
            if isinstance(part, TargetHead):
                head = part
                self._record_head(head)
            elif isinstance(part, bytes):
                body += part
                if len(body) > self._ctx.answer_limits.body:
                    return self._overlong('body')
                await self._wait_for_caller(len(body))
            elif part is ExchangeEnd.COMPLETE and head is not None:
                if not head.foreign:
                    self._in_flight.answered = True
                    self.target.load.record_whole_answer(
                        self._in_flight, self.target.slots
                    )
                return self._process_answer(head, bytes(body))
            else:
                return self._transfer_failure(part)

    async def _receive_stream(self) -> Failure | None:
        head: TargetHead | None = None
        body = bytearray()
        splitter = EventSplitter()
        # Comments and the like, which are no reason to leave a rival.
        held: list[StreamEvent] = []
        streaming = False
        while True:
            part = await self._next_stream_part()
            if isinstance(part, Failure):
                return part
            if isinstance(part, TargetHead):
                head = part
                self._record_head(head)
                streaming = self._is_verified(head)
            elif isinstance(part, bytes) and streaming:
                assert head is not None
                events = splitter.feed(part)
                self.receipt.events += len(events)
                self.receipt.trailing_bytes = len(splitter.remainder)
                if events:
                    self.target.load.record_first_token(self._in_flight)
                    self._record_answer_time()
                    self._record_progress()
                held += events
                if self._relay.has_next(held) or not self.has_rival():
                    self._pass_on(head, held)
                    held = []
                if self._repeated_bytes > self._ctx.answer_limits.body:
                    return self._overlong('repeat')
                held_bytes = sum(len(event.data) for event in held)
                held_bytes += len(splitter.remainder)
                if held_bytes > self._ctx.answer_limits.event:
                    return self._overlong('event')
                if self._channel.unsent_bytes > self._ctx.answer_limits.unsent:
                    return self._unread()
                await self._wait_for_caller(held_bytes)
            elif isinstance(part, bytes):
                body += part
                if len(body) > self._ctx.answer_limits.body:
                    return self._overlong('body')
                await self._wait_for_caller(len(body))
            elif part is ExchangeEnd.COMPLETE and head is not None:
                if not streaming:
                    return self._process_answer(head, bytes(body))
                return self._end_stream(head, splitter, held)
            else:
                return self._transfer_failure(part)

    def _hold(self, collected: int) -> None:
        """Set the bytes that are held and not written to the caller."""
        self._ctx.held.set_collected(self._collection, collected)

    def _break_off(self) -> None:
        self._broken_off = True
        self._exchange.break_off()

    async def _wait_for_caller(self, collected: int) -> None:
        """Stop reading from the target while the caller is behind.

        The target would close a connection that is not read for long.
        """
        self._hold(collected)
        held, holding = self._ctx.held, self._channel.holding
        if not held.is_behind(holding) or not self._exchange.pause():
            return
        self._ctx.metrics.count('gateway_slow_callers', 'paused')
        self._paused = True
        try:
            await held.wait(holding, self._terms.deadline_ms)
        finally:
            self._paused = False
            self._exchange.resume()

    def _pass_on(self, head: TargetHead, events: list[StreamEvent]) -> None:
        if not self._relay.has_new(events):
            self._repeated_bytes += sum(len(event.data) for event in events)
            return
        # A head that can't be sent must not end the other attempt.
        self._relay.start(head)
        self.on_lead(self)
        self._relay.forward(head, events)
        self._record_origin()

    def _transfer_failure(self, end: ExchangeEnd) -> Failure:
        if self._broken_off:
            self._ctx.metrics.count('gateway_answers_broken', 'memory')
            return overlong('too much is held of answers')
        if end is ExchangeEnd.FAILED_HERE:
            self._ctx.metrics.count('gateway_answers_broken', 'internal')
        elif end is ExchangeEnd.MALFORMED:
            self._ctx.metrics.count('gateway_answers_broken', 'malformed')
        elif end is not ExchangeEnd.NOT_SENT:
            self._ctx.metrics.count('gateway_answers_broken', 'connection')
        return transfer_failed(end, self._exchange.message)

    def _overlong(self, what: str) -> Failure:
        """Return the failure of an answer with a body or event over a limit.

        The target may send bytes without end, which must not fill the memory.
        """
        self._ctx.metrics.count('gateway_answers_broken', f'{what}_too_long')
        return overlong(f'the {what} of the answer is too long')

    def _unread(self) -> Failure:
        """Return the failure of a stream whose caller does not read it."""
        self._ctx.metrics.count('gateway_answers_broken', 'caller_too_slow')
        return caller_too_slow()

    def _end_stream(
        self,
        head: TargetHead,
        splitter: EventSplitter,
        held: list[StreamEvent],
    ) -> Failure | None:
        """Finish a stream that ended in an orderly way, if it is complete.

        `held` are events that were not passed on yet.

        The end of the connection looks the same whether the target was done
        or had broken off.
        """
        cut = ''
        if splitter.inside_event:
            cut = 'inside_event'
        elif (
            head.framing is Framing.CLOSE
            and not self.receipt.events
            # The reply to HEAD is whole without a body.
            and self._terms.req.method != 'HEAD'
        ):
            cut = 'before_first_event'
        if cut:
            self._ctx.metrics.count('gateway_answers_broken', cut)
            message = f'the stream ended {cut.replace("_", " ")}'
            return transfer_failed(ExchangeEnd.BROKEN, message)
        if self.receipt.events:
            self._record_served()
        self._relay.start(head)
        self.on_lead(self)
        self._relay.forward(head, held)
        self._relay.finish(head, splitter.remainder)
        self.target.load.record_run_end(self._in_flight)
        return None

    def _record_progress(self) -> None:
        """Clear the prompt's parts once the target has written long enough.

        A part that crashes targets does so when they begin to write.
        """
        now_ms = self._ctx.clock.now_ms()
        if self.first_event_ms is None:
            self.first_event_ms = now_ms
        if now_ms >= self.first_event_ms + SERVED_MS:
            self._record_served()

    def _record_served(self) -> None:
        if not self.served:
            self.served = True
            self._ctx.part_guard.record_served(
                self._terms.part_keys,
                self.target.service,
                self.target.failure_domain,
            )

    def _record_origin(self) -> None:
        if self._relay.started and self._terms.origin is None:
            self._terms.origin = origin_of(self.target)
            if self._terms.route.resumable:
                self._ctx.open_streams.begin(
                    self._terms.stream_id, self._terms.origin
                )

    def _record_answer_time(self) -> None:
        if self.watch is not None:
            self.watch.record_answer()

    async def _next_whole_part(
        self,
    ) -> TargetHead | bytes | ExchangeEnd | None:
        """Wait for the next part of a whole answer until the deadline."""
        deadline_ms = self._terms.deadline_ms
        while True:
            until_ms = min(deadline_ms, self._slow_check_ms())
            part = await self._exchange.next(until_ms)
            if part is not None or self._ctx.clock.now_ms() >= deadline_ms:
                return part
            self._check_slow()

    def _slow_check_ms(self) -> float:
        """Return when to look next whether the answer is slow."""
        if self.watch is None or self._in_flight.answered:
            return float('inf')
        now_ms = self._ctx.clock.now_ms()
        if now_ms < self.watch.late_at_ms:
            return self.watch.late_at_ms
        elapsed_ms = now_ms - self._in_flight.sent_ms
        return now_ms + max(SLOW_CHECK_MS, SLOW_CHECK_SHARE * elapsed_ms)

    def _check_slow(self) -> None:
        """Ask for another attempt if the answer is slow."""
        if self.watch is not None and self.watch.is_late:
            self.watch.record_late()
            self.on_stall(self)

    async def _next_stream_part(
        self,
    ) -> TargetHead | bytes | ExchangeEnd | Failure:
        """Wait for the next part of a stream, or return why it has no time.

        Time that is over ends the wait only. Parts that have arrived by then
        are returned first.
        """
        self._quiet_since_ms = self._ctx.clock.now_ms()
        while True:
            part = await self._exchange.next(self._wait_until_ms())
            if part is not None:
                return part
            failure = self._time_over()
            if failure is not None:
                return failure
            if self.is_silent:
                self.on_stall(self)
            else:
                self._check_slow()

    def _wait_until_ms(self) -> float:
        """Return when to look again what may be done about a silent target."""
        now_ms = self._ctx.clock.now_ms()
        until_ms = min(self._terms.deadline_ms, self._slow_check_ms())
        if self._watches_stalls:
            until_ms = min(until_ms, now_ms + STALL_CHECK_MS)
        if not self._in_flight.answered:
            begin_by_ms = self._terms.begin_by_ms(self.target)
            until_ms = min(until_ms, begin_by_ms, now_ms + BEGIN_CHECK_MS)
        return until_ms

    def _time_over(self) -> Failure | None:
        """Return the failure of an attempt that has no time left."""
        now_ms = self._ctx.clock.now_ms()
        if now_ms >= self._terms.deadline_ms:
            return timed_out()
        if self._in_flight.answered:
            return None
        if now_ms >= self._terms.begin_by_ms(self.target):
            return may_have_run(
                Reason.OLD_WEIGHTS,
                'not begun on old weights within their time',
            )
        return None

    def _process_answer(self, head: TargetHead, body: bytes) -> Failure | None:
        """Pass a complete answer on, or return why it is not valid."""
        now_ms = self._ctx.clock.now_ms()
        if head.foreign:
            # Not even a refusal in it concerns this request.
            self._ctx.metrics.count('gateway_answers_broken', 'other_request')
            return may_have_run(
                Reason.MAY_HAVE_RUN, 'answer to another request'
            )
        if head.wrong_target:
            self.target.refusing_until_ms = now_ms + WRONG_TARGET_PAUSE_MS
            return not_run('wrong target or weight version', reached=False)
        if head.not_run:
            self.target.refusing_until_ms = now_ms + FULL_PAUSE_MS
            return not_run(f'refused with status {head.status}')
        if head.succeeded and not self._is_verified(head):
            return may_have_run(
                Reason.MAY_HAVE_RUN, 'the answer is not verified'
            )
        if head.status in NOT_RUN_STATUSES:
            return may_have_run(Reason.MAY_HAVE_RUN, f'status {head.status}')
        if head.status >= 500:
            message = f'failed with status {head.status}'
            answer = ErrorAnswer(head, body)
            return may_have_run(Reason.MAY_HAVE_RUN, message, answer)
        if self._relay.started:
            # Only a stream can go on with a stream.
            return may_have_run(
                Reason.MAY_HAVE_RUN, f'status {head.status} to a resumption'
            )
        streaming = self._terms.route.kind is RouteKind.STREAMING
        if (
            not head.succeeded
            and (streaming or self.is_second)
            and self.has_rival()
        ):
            # The target of the other attempt may still give a better answer.
            return may_have_run(
                Reason.MAY_HAVE_RUN,
                f'status {head.status}',
                ErrorAnswer(head, body),
            )
        if head.succeeded:
            self._record_served()
            self._record_answer_time()
        self.on_lead(self)
        self._hold(0)
        self._channel.answer(AnswerHead(head.status, head.fields), body)
        return None

    def _is_verified(self, head: TargetHead) -> bool:
        """Whether the head is a sealed success of this very request."""
        return (
            head.succeeded
            and not head.foreign
            and head.sealed
            and not head.encoded
            and head.request_id == self._terms.req.id
        )

    def _record_head(self, head: TargetHead) -> None:
        self.receipt.framing = head.framing
        if head.foreign:
            return
        if head.load is not None:
            self.target.load.record_report(head.load.requests, head.load.pace)
            self.reported_load = (
                f'{head.load.running or 0},{head.load.waiting or 0}'
            )
        generation = self._terms.req.generation
        if generation is not None and head.weight_version is not None:
            weights = self.target.weights
            known = weights.get(generation.model, 0)
            weights[generation.model] = max(known, head.weight_version)


def _ignore(attempt: Attempt) -> None:
    pass


def _has_none() -> bool:
    return False
