"""Sends requests to targets and returns their answers part by part."""

import asyncio
import collections
from dataclasses import dataclass
from dataclasses import replace
import enum
from typing import Protocol

from wigeonmill.clock import Clock
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.request import HeaderFields
from wigeonmill.gateway.target_notices import Notice
from wigeonmill.gateway.target_notices import TargetNotices
from wigeonmill.gateway.targets import Target
from wigeonmill.providers.transfers import Framing
from wigeonmill.providers.transfers import ReplyHead
from wigeonmill.providers.transfers import Transfer
from wigeonmill.providers.transfers import TransferCall
from wigeonmill.providers.transfers import TransferEnd
from wigeonmill.providers.transfers import TransferLoop

# Allows two round trips between failure domains, but no lost packet. A target
# that has not accepted by then is considered unreachable.
CONNECT_TIMEOUT_MS = 350.0
# A request is over at its target if less than this time is left to it.
DEADLINE_MARGIN_MS = 100.0
# Time for the target's refusal to arrive after the deadline.
LATE_HEAD_MS = 200.0
# Maximum idle time of a connection that is reused, if the target does not
# state a keep-alive time, and the share of a stated time that is used.
DEFAULT_IDLE_S = 2
USED_IDLE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Instructions:
    """What the gateway adds to a request for one target.

    `fetch_from` and `save_to` hold one store address, or None, per part of
    the prompt. `fetch_until_ms` is a time on the clock that the stores and
    engines share.
    """

    target_id: str
    deadline_ms: float
    team: str | None = None
    priority: int | None = None
    weight_version: int | None = None
    cache_salt: str | None = None
    fetch_from: tuple[str | None, ...] = ()
    save_to: tuple[str | None, ...] = ()
    fetch_until_ms: int | None = None
    last_event_id: int | None = None


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """The numbers of requests of all callers at a target, and its slots.

    `pace` is the time that work takes there now, as a multiple of the usual.
    What is not stated, or malformed, is None.
    """

    running: int | None = None
    waiting: int | None = None
    slots: int | None = None
    pace: float | None = None

    @property
    def requests(self) -> int | None:
        """The running and waiting requests, as far as they are stated."""
        if self.running is None and self.waiting is None:
            return None
        return (self.running or 0) + (self.waiting or 0)


@dataclass(frozen=True, slots=True)
class TargetHead:
    """The head of a target's answer.

    `sealed` is set if the target confirms the answer by a seal, and `not_run`
    if it states that it has not run the request. `fields` are passed on to
    the caller. `notice` is what the target states about itself. `foreign` is
    set if it may be the head of another request's answer.
    """

    status: int
    request_id: str | None
    sealed: bool
    not_run: bool
    wrong_target: bool
    fields: HeaderFields
    load: ReportedLoad | None = None
    weight_version: int | None = None
    keep_alive_s: int | None = None
    encoded: bool = False
    notice: Notice = Notice()
    framing: Framing = Framing.LENGTH
    foreign: bool = False

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300


class TargetCodec(Protocol):
    """Encodes requests to targets and decodes the heads of their answers."""

    def request_fields(
        self, req: CallerRequest, instructions: Instructions
    ) -> HeaderFields:
        """Return the header fields to send."""

    def answer_head(self, head: ReplyHead) -> TargetHead:
        """Decode the head of a target's answer."""

    def is_answer_to(self, req: CallerRequest, head: ReplyHead) -> bool:
        """Whether a head may be that of the answer to a request."""


class ExchangeEnd(enum.Enum):
    """How the transfer of an answer ended."""

    COMPLETE = 'complete'
    NOT_SENT = 'not_sent'
    BROKEN = 'broken'
    # The target wrote something that is no answer, and may go on.
    MALFORMED = 'malformed'
    # An error of this process, which says nothing about the target.
    FAILED_HERE = 'failed_here'


_EXCHANGE_ENDS = {
    TransferEnd.COMPLETE: ExchangeEnd.COMPLETE,
    TransferEnd.NOT_SENT: ExchangeEnd.NOT_SENT,
    TransferEnd.BROKEN: ExchangeEnd.BROKEN,
    TransferEnd.MALFORMED: ExchangeEnd.MALFORMED,
    TransferEnd.FAILED_HERE: ExchangeEnd.FAILED_HERE,
}

AnswerPart = TargetHead | bytes | ExchangeEnd


class Exchange:
    """One request to one target and its answer, received part by part."""

    __slots__ = (
        '_codec',
        '_clock',
        '_notices',
        '_target',
        '_req',
        '_deadline_ms',
        '_has_head',
        '_is_foreign',
        '_abandoned',
        '_parts',
        '_waiter',
        '_transfer',
        'sent_ms',
        'message',
    )

    def __init__(
        self,
        codec: TargetCodec,
        clock: Clock,
        notices: TargetNotices,
        target: Target,
        req: CallerRequest,
        remaining_ms: float,
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._notices = notices
        self._target = target
        self._req = req
        self._parts: collections.deque[AnswerPart] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self._transfer: Transfer | None = None
        self.sent_ms = clock.now_ms()
        self._deadline_ms = self.sent_ms + remaining_ms
        self._has_head = False
        # Whether what has come may be another request's answer.
        self._is_foreign = False
        self._abandoned = False
        self.message = ''

    def start(self, loop: TransferLoop, call: TransferCall) -> None:
        """Start the transfer."""
        self._transfer = loop.start(call, self, acknowledges=True)

    async def next(self, until_ms: float) -> AnswerPart | None:
        """Return the next part, or None if none arrives by `until_ms`."""
        while not self._parts:
            wait_ms = until_ms - self._clock.now_ms()
            if wait_ms <= 0:
                return None
            await self._wait(wait_ms)
        part = self._parts.popleft()
        if isinstance(part, bytes) and self._transfer is not None:
            self._transfer.release(len(part))
        return part

    def pause(self) -> bool:
        """Read no more of the answer; return False if it has ended."""
        if self._transfer is None or self._transfer.done:
            return False
        self._transfer.pause()
        self._target.load.pause_reading()
        return True

    def resume(self) -> None:
        """Read on after a pause."""
        self._target.load.resume_reading()
        if self._transfer is not None:
            self._transfer.resume()

    def break_off(self) -> None:
        """End the answer as broken, after what has been read of it."""
        if self._transfer is not None and not self._transfer.done:
            self._transfer.cancel()
            self._add(ExchangeEnd.BROKEN)

    def cancel(self) -> None:
        """Stop the request at the target by closing its connection.

        At its deadline a target stops by itself, and may refuse the request
        with a notice. The connection then stays open for its head.
        """
        if self._transfer is None or self._transfer.done:
            return
        now_ms = self._clock.now_ms()
        if self._has_head or now_ms < self._deadline_ms - DEADLINE_MARGIN_MS:
            self._transfer.cancel()
            return
        self._abandoned = True
        loop = asyncio.get_running_loop()
        loop.call_later(LATE_HEAD_MS / 1000.0, self._transfer.cancel)

    def on_head(self, head: ReplyHead) -> None:
        decoded = self._codec.answer_head(head)
        self._has_head = True
        if not self._codec.is_answer_to(self._req, head):
            # None of it is news of this request, nor of the target now.
            self._is_foreign = True
            self._add(replace(decoded, foreign=True, load=None))
            return
        # Applied here because an answer may never be read: its caller may
        # have left, or its time may be over.
        self._notices.record(
            self._target,
            decoded.notice,
            'answer',
            self._req.id,
            self.sent_ms,
        )
        if self._abandoned:
            self.cancel()
            return
        if decoded.keep_alive_s is not None:
            self._target.load.keep_alive_s = decoded.keep_alive_s
        self._add(decoded)

    def on_data(self, data: bytes) -> None:
        self._add(data)

    def on_end(self, end: TransferEnd, message: str) -> None:
        self.message = message
        if self._is_foreign:
            # Its head tells why it is of no use; the target is not to blame.
            end = TransferEnd.COMPLETE
        self._add(_EXCHANGE_ENDS[end])

    def _add(self, part: AnswerPart) -> None:
        if not isinstance(part, ExchangeEnd):
            self._target.load.record_activity()
        self._parts.append(part)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    async def _wait(self, wait_ms: float) -> None:
        loop = asyncio.get_running_loop()
        waiter: asyncio.Future[None] = loop.create_future()
        self._waiter = waiter
        timer = loop.call_later(wait_ms / 1000.0, _wake, waiter)
        try:
            await waiter
        finally:
            timer.cancel()
            self._waiter = None


class TargetClient:
    """Sends requests to targets over persistent connections."""

    __slots__ = ('_loop', '_codec', '_clock', '_notices')

    def __init__(
        self,
        loop: TransferLoop,
        codec: TargetCodec,
        clock: Clock,
        notices: TargetNotices,
    ) -> None:
        self._loop = loop
        self._codec = codec
        self._clock = clock
        self._notices = notices

    def send(
        self,
        req: CallerRequest,
        target: Target,
        instructions: Instructions,
        idempotent: bool,
        again: bool = False,
    ) -> Exchange:
        """Send `req` to `target`; `Exchange.next` returns the answer.

        `again` is set if it was sent there before. Its earlier answer, which
        has the same id, can't come on a new connection.
        """
        self._notices.record_sent(target, req.id)
        call = TransferCall(
            address=target.address,
            method=req.method,
            target=req.target,
            fields=self._codec.request_fields(req, instructions),
            body=req.body,
            repeatable=False,
            connect_timeout_ms=min(
                CONNECT_TIMEOUT_MS, instructions.deadline_ms
            ),
            # A silent target does not accept a new connection, mostly, and
            # what was not sent may go elsewhere.
            max_idle_s=(
                0
                if target.suspected or again or not req.id
                else usable_idle_s(target.load.keep_alive_s, idempotent)
            ),
            is_reply=lambda head: self._codec.is_answer_to(req, head),
        )
        exchange = Exchange(
            self._codec,
            self._clock,
            self._notices,
            target,
            req,
            instructions.deadline_ms,
        )
        exchange.start(self._loop, call)
        return exchange


def usable_idle_s(keep_alive_s: int | None, idempotent: bool) -> int:
    """Return the maximum idle time of a connection that may be reused.

    A target with a very short keep-alive time gets a new connection for each
    request that must not run twice.
    """
    if keep_alive_s is None:
        return DEFAULT_IDLE_S
    usable = int(keep_alive_s * USED_IDLE_SHARE)
    if usable < 1 and idempotent:
        return 1
    return min(usable, 60)


def _wake(waiter: 'asyncio.Future[None]') -> None:
    if not waiter.done():
        waiter.set_result(None)
