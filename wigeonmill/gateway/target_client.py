"""Sends requests to targets and hands their answers on in order."""

import asyncio
import collections
from dataclasses import dataclass
import enum
from typing import Protocol

from wigeonmill.clock import Clock
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.request import HeaderFields
from wigeonmill.gateway.targets import Target
from wigeonmill.providers.transfers import ReplyHead
from wigeonmill.providers.transfers import Transfer
from wigeonmill.providers.transfers import TransferCall
from wigeonmill.providers.transfers import TransferEnd
from wigeonmill.providers.transfers import TransferLoop

# Two round trips between failure domains with a lost packet excluded; a
# target that does not accept by then is taken to be out of reach.
CONNECT_TIMEOUT_MS = 350.0
# Idle time after which a connection is not used again, if the target does
# not state its own; and the share of the stated time that is used.
DEFAULT_IDLE_S = 2
USED_IDLE_SHARE = 0.5


@dataclass(frozen=True, slots=True)
class Instructions:
    """What the gateway adds to a request for one target.

    `fetch_from` and `save_to` name an address for each part of the prompt
    (None: no address); `fetch_until_ms` is on the targets' clock.
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
    """Requests of all callers at a target."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class TargetHead:
    """The head of a target's answer.

    `sealed` says that the target vouches for the answer; `not_run` that it
    has not run the request. `fields` are handed to the caller.
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

    @property
    def succeeded(self) -> bool:
        """Whether the status is a success."""
        return 200 <= self.status < 300


class TargetCodec(Protocol):
    """How requests and answers look on the targets' wire."""

    def request_fields(
        self, req: CallerRequest, instructions: Instructions
    ) -> HeaderFields:
        """Return the header fields to send."""

    def answer_head(self, head: ReplyHead) -> TargetHead:
        """Return what a target's head says."""


class ExchangeEnd(enum.Enum):
    """How the bytes of an answer ended."""

    COMPLETE = 'complete'
    NOT_SENT = 'not_sent'
    BROKEN = 'broken'


_EXCHANGE_ENDS = {
    TransferEnd.COMPLETE: ExchangeEnd.COMPLETE,
    TransferEnd.NOT_SENT: ExchangeEnd.NOT_SENT,
    TransferEnd.BROKEN: ExchangeEnd.BROKEN,
}

AnswerPart = TargetHead | bytes | ExchangeEnd


class Exchange:
    """One request at one target; its answer comes part by part."""

    __slots__ = (
        '_codec',
        '_clock',
        '_target',
        '_parts',
        '_waiter',
        '_transfer',
        'sent_ms',
        'message',
    )

    def __init__(
        self, codec: TargetCodec, clock: Clock, target: Target
    ) -> None:
        self._codec = codec
        self._clock = clock
        self._target = target
        self._parts: collections.deque[AnswerPart] = collections.deque()
        self._waiter: asyncio.Future[None] | None = None
        self._transfer: Transfer | None = None
        self.sent_ms = clock.now_ms()
        self.message = ''

    def start(self, loop: TransferLoop, call: TransferCall) -> None:
        """Begin the transfer."""
        self._transfer = loop.start(call, self)

    async def next(self, until_ms: float) -> AnswerPart | None:
        """Return the next part, or None if none came by `until_ms`."""
        while not self._parts:
            wait_ms = until_ms - self._clock.now_ms()
            if wait_ms <= 0:
                return None
            await self._wait(wait_ms)
        return self._parts.popleft()

    def cancel(self) -> None:
        """Stop the request at the target by closing its connection."""
        if self._transfer is not None:
            self._transfer.cancel()

    def on_head(self, head: ReplyHead) -> None:
        decoded = self._codec.answer_head(head)
        if decoded.keep_alive_s is not None:
            self._target.load.keep_alive_s = decoded.keep_alive_s
        self._add(decoded)

    def on_data(self, data: bytes) -> None:
        self._add(data)

    def on_end(self, end: TransferEnd, message: str) -> None:
        self.message = message
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
    """Sends requests to targets over kept connections."""

    __slots__ = ('_loop', '_codec', '_clock')

    def __init__(
        self, loop: TransferLoop, codec: TargetCodec, clock: Clock
    ) -> None:
        self._loop = loop
        self._codec = codec
        self._clock = clock

    def send(
        self,
        req: CallerRequest,
        target: Target,
        instructions: Instructions,
        idempotent: bool,
    ) -> Exchange:
        """Send `req` to `target`; the answer comes by `Send.next`."""
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
            max_idle_s=usable_idle_s(target.load.keep_alive_s, idempotent),
        )
        send = Exchange(self._codec, self._clock, target)
        send.start(self._loop, call)
        return send


def usable_idle_s(keep_alive_s: int | None, idempotent: bool) -> int:
    """Return how long a connection may have been idle to be used again.

    A target that keeps connections only for a moment gets a new one for each
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
