"""Reads one batch of changes from a watch stream of etcd's gateway."""

import asyncio
import base64

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.providers import etcd_messages as msg
from wigeonmill.providers.http import CancelHandle
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
from wigeonmill.providers.key_value import KvEntry
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind
from wigeonmill.providers.key_value import KvEvent
from wigeonmill.providers.key_value import KvWatchBatch


class _WatchReader:
    """Decodes the stream's messages and stops after the first batch."""

    __slots__ = (
        'cancel',
        'created_revision',
        'events',
        'error',
        '_buffer',
        '_wait_ms',
    )

    def __init__(self, cancel: CancelHandle, wait_ms: int) -> None:
        self.cancel = cancel
        self._wait_ms = wait_ms
        self._buffer = b''
        self.created_revision: int | None = None
        self.events: list[KvEvent] = []
        self.error: KvError | None = None

    def feed(self, data: bytes) -> None:
        """Process a chunk of the stream."""
        *lines, self._buffer = (self._buffer + data).split(b'\n')
        for line in lines:
            if line and not self.cancel.cancelled:
                self._process(line)

    def _process(self, line: bytes) -> None:
        try:
            reply = msgspec.json.decode(line, type=msg.WatchStreamReply).result
        except msgspec.MsgspecError as exc:
            self._fail(KvErrorKind.UNAVAILABLE, str(exc))
            return
        if reply.canceled:
            self._fail(KvErrorKind.INVALID, 'the start revision was compacted')
        elif reply.events:
            self.events = [_decode_event(event) for event in reply.events]
            self.cancel.cancel()
        elif reply.created:
            self.created_revision = int(reply.header.revision)
            loop = asyncio.get_running_loop()
            loop.call_later(self._wait_ms / 1000.0, self.cancel.cancel)

    def _fail(self, kind: KvErrorKind, message: str) -> None:
        self.error = KvError(kind, message)
        self.cancel.cancel()


async def watch_once(
    http: HttpClient,
    url: str,
    create: msg.WatchCreate,
    wait_ms: int,
    timeout_ms: int,
) -> Result[KvWatchBatch, KvError]:
    """Wait up to `wait_ms` for the first batch of changes.

    Opening the watch has to succeed within `timeout_ms`.
    """
    reader = _WatchReader(CancelHandle(), wait_ms)
    call = HttpCall(
        'POST',
        url,
        timeout_ms + wait_ms,
        msgspec.json.encode(msg.WatchRequest(create)),
        repeatable=True,
        cancel=reader.cancel,
        on_data=reader.feed,
    )
    result = await http.send(call)
    if reader.error is not None:
        return Err(reader.error)
    if reader.events:
        last = reader.events[-1].revision
        return Ok(KvWatchBatch(reader.events, last + 1))
    if reader.created_revision is not None and reader.cancel.cancelled:
        start = int(create.start_revision) or reader.created_revision + 1
        return Ok(KvWatchBatch([], start))
    return Err(KvError(KvErrorKind.UNAVAILABLE, _describe_failure(result)))


def _describe_failure(result: Result) -> str:
    if isinstance(result, Err):
        return str(result.err_value.message)
    return f'status {result.ok_value.status}'


def _decode_event(event: msg.WatchEvent) -> KvEvent:
    pair = event.kv
    key = msg.decode_key(pair.key)
    revision = int(pair.mod_revision)
    if event.type == 'DELETE':
        return KvEvent(key, revision, None)
    value = base64.b64decode(pair.value)
    return KvEvent(key, revision, KvEntry(key, value, revision))
