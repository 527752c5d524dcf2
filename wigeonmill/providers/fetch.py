"""Single HTTP calls on a transfer loop, with errors as values."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from wigeonmill.providers.transfers import ReplyHead
from wigeonmill.providers.transfers import TransferCall
from wigeonmill.providers.transfers import TransferEnd
from wigeonmill.providers.transfers import TransferLoop
from wigeonmill.waiting import wait_done


@dataclass(frozen=True, slots=True)
class FetchedReply:
    """A complete reply of any status."""

    head: ReplyHead
    body: bytes

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
        '_max_bytes',
        '_on_head',
    )

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        max_bytes: int,
        on_head: Callable[[ReplyHead], None] | None,
    ) -> None:
        self._max_bytes = max_bytes
        self._on_head = on_head
        self.head: ReplyHead | None = None
        self.body = bytearray()
        self.ended: asyncio.Future[TransferEnd] = loop.create_future()
        self.message = ''

    def on_head(self, head: ReplyHead) -> None:
        self.head = head
        if self._on_head is not None:
            self._on_head(head)

    def on_data(self, data: bytes) -> None:
        if len(self.body) + len(data) > self._max_bytes:
            message = f'the reply is longer than {self._max_bytes} bytes'
            self.on_end(TransferEnd.BROKEN, message)
            return
        self.body += data

    def on_end(self, end: TransferEnd, message: str) -> None:
        if not self.ended.done():
            self.message = message
            self.ended.set_result(end)


async def fetch(
    loop: TransferLoop,
    call: TransferCall,
    timeout_ms: float,
    on_head: Callable[[ReplyHead], None] | None = None,
) -> Result[FetchedReply, FetchError]:
    """Make one call; raises nothing but CancelledError.

    A reply that is longer than the loop's limit is an error. `on_head` gets
    the head as it arrives, also if the rest of the reply never does.
    """
    collector = _Collector(
        asyncio.get_running_loop(), loop.max_reply_bytes, on_head
    )
    transfer = loop.start(call, collector)
    try:
        in_time = await wait_done(collector.ended, timeout_ms / 1000.0)
    finally:
        transfer.cancel()
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
    return Ok(FetchedReply(collector.head, bytes(collector.body)))
