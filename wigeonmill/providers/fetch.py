"""Single HTTP calls on a transfer loop, with errors as values."""

import asyncio
from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

from wigeonmill.providers.transfers import ReplyHead
from wigeonmill.providers.transfers import TransferCall
from wigeonmill.providers.transfers import TransferEnd
from wigeonmill.providers.transfers import TransferLoop


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
    """A failed call; `sent` if the server may have received the request."""

    message: str
    sent: bool


class _Collector:
    """A sink that collects the complete reply."""

    __slots__ = ('head', 'body', 'ended', 'message', '_max_bytes')

    def __init__(
        self, loop: asyncio.AbstractEventLoop, max_bytes: int
    ) -> None:
        self._max_bytes = max_bytes
        self.head: ReplyHead | None = None
        self.body = bytearray()
        self.ended: asyncio.Future[TransferEnd] = loop.create_future()
        self.message = ''

    def on_head(self, head: ReplyHead) -> None:
        self.head = head

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
    loop: TransferLoop, call: TransferCall, timeout_ms: float
) -> Result[FetchedReply, FetchError]:
    """Make one call; raises nothing but CancelledError.

    A reply that is longer than the loop's limit is an error.
    """
    collector = _Collector(asyncio.get_running_loop(), loop.max_reply_bytes)
    transfer = loop.start(call, collector)
    try:
        end = await asyncio.wait_for(collector.ended, timeout_ms / 1000.0)
    except asyncio.TimeoutError:
        return Err(FetchError('no complete reply in time', sent=True))
    finally:
        transfer.cancel()
    if end is TransferEnd.NOT_SENT:
        return Err(FetchError(collector.message, sent=False))
    if end is TransferEnd.BROKEN or collector.head is None:
        return Err(FetchError(collector.message, sent=True))
    return Ok(FetchedReply(collector.head, bytes(collector.body)))
