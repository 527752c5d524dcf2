"""Single HTTP calls on a transfer loop, with errors as values."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from wigeonmill.providers.transfers import ReplyAccount
from wigeonmill.providers.transfers import ReplyHead
from wigeonmill.providers.transfers import TransferCall
from wigeonmill.providers.transfers import TransferEnd
from wigeonmill.providers.transfers import TransferLoop
from wigeonmill.waiting import wait_done

# The slowest transfer that goes on, on average.
MIN_BYTES_PER_S = 8 * 1024


@dataclass(frozen=True, slots=True)
class FetchedReply:
    """A complete reply of any status; `body_ms` passed since its head."""

    head: ReplyHead
    body: bytes
    body_ms: float = 0.0

    @property
    def status(self) -> int:
        """The HTTP status."""
        return self.head.status


@dataclass(frozen=True, slots=True)
class FetchError:
    """A failed call; `sent` if the server may have received the request.

    `received_bytes` of the body of the reply had arrived.
    """

    message: str
    sent: bool
    received_bytes: int = 0


class _Collector:
    """A sink that collects the complete reply."""

    __slots__ = (
        'head',
        'body',
        'ended',
        'message',
        'head_s',
        'data_s',
        '_loop',
        '_max_bytes',
        '_replies',
        '_on_head',
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_bytes: int,
        replies: ReplyAccount,
        on_head: Callable[[ReplyHead], None] | None,
    ) -> None:
        self._loop = loop
        self._max_bytes = max_bytes
        self._replies = replies
        self._on_head = on_head
        # When the head and the last bytes arrived.
        self.head_s = self.data_s = loop.time()
        self.head: ReplyHead | None = None
        self.body = bytearray()
        self.ended: asyncio.Future[TransferEnd] = loop.create_future()
        self.message = ''

    def on_head(self, head: ReplyHead) -> None:
        self.head = head
        self.head_s = self.data_s = self._loop.time()
        if self._on_head is not None:
            self._on_head(head)

    def on_data(self, data: bytes) -> None:
        if self.ended.done():
            return
        if len(self.body) + len(data) > self._max_bytes:
            message = f'the reply is longer than {self._max_bytes} bytes'
            self.on_end(TransferEnd.BROKEN, message)
            return
        self.body += data
        self.data_s = self._loop.time()
        self._replies.add(self.end_overlong, len(data))

    def end_overlong(self) -> None:
        """End a reply for which there is no room beside others."""
        self.body.clear()
        self.on_end(TransferEnd.BROKEN, 'too much is held of replies')

    def on_end(self, end: TransferEnd, message: str) -> None:
        if not self.ended.done():
            self.message = message
            self.ended.set_result(end)


async def fetch(
    loop: TransferLoop,
    call: TransferCall,
    timeout_ms: float,
    on_head: Callable[[ReplyHead], None] | None = None,
    silence_ms: float = 0.0,
) -> Result[FetchedReply, FetchError]:
    """Make one call; raises nothing but CancelledError.

    A reply that is longer than the loop's limit is an error. `on_head` gets
    the head as it arrives, also if the rest of the reply never does. A reply
    that has begun may take longer than the timeout while it is not silent for
    `silence_ms` and arrives with `MIN_BYTES_PER_S` on average.
    """
    collector = _Collector(
        asyncio.get_running_loop(),
        loop.max_reply_bytes,
        loop.replies,
        on_head,
    )
    transfer = loop.start(call, collector)
    try:
        in_time = await _wait_for_end(collector, timeout_ms, silence_ms)
    finally:
        transfer.cancel()
        loop.replies.remove(collector.end_overlong)
    if not in_time:
        return Err(
            FetchError(
                'no complete reply in time',
                sent=True,
                received_bytes=len(collector.body),
            )
        )
    end = collector.ended.result()
    if end is TransferEnd.NOT_SENT:
        return Err(FetchError(collector.message, sent=False))
    if end is not TransferEnd.COMPLETE or collector.head is None:
        return Err(
            FetchError(
                collector.message,
                sent=True,
                received_bytes=len(collector.body),
            )
        )
    body_ms = (asyncio.get_running_loop().time() - collector.head_s) * 1000.0
    return Ok(FetchedReply(collector.head, bytes(collector.body), body_ms))


async def _wait_for_end(
    collector: _Collector, timeout_ms: float, silence_ms: float
) -> bool:
    """Return whether the reply ended before its time was over."""
    time = asyncio.get_running_loop().time
    timeout_at_s = time() + timeout_ms / 1000.0
    until_s = timeout_at_s
    while not await wait_done(collector.ended, until_s - time()):
        if collector.head is None or not silence_ms:
            return False
        silent_at_s = collector.data_s + silence_ms / 1000.0
        slow_at_s = timeout_at_s + len(collector.body) / MIN_BYTES_PER_S
        until_s = max(timeout_at_s, min(silent_at_s, slow_at_s))
        if time() >= until_s:
            return False
    return True
