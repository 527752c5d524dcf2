"""A client of the store VMs, which store cache blocks."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol
from urllib.parse import quote

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.providers.http import CancelHandle
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
from wigeonmill.providers.http import HttpReply
from wigeonmill.providers.transfer import error_from_http
from wigeonmill.providers.transfer import error_from_status
from wigeonmill.providers.transfer import Transfer
from wigeonmill.providers.transfer import TransferError
from wigeonmill.providers.transfer import TransferErrorKind

MAX_TRANSFERS = 32


@dataclass(frozen=True, slots=True)
class StoredBlock:
    """A block as read; its content has not been verified."""

    data: bytes
    transfer: Transfer


class StoreFill(msgspec.Struct, frozen=True):
    """How full a store VM is, in bytes."""

    memory_bytes: int
    memory_limit_bytes: int
    disk_bytes: int
    disk_limit_bytes: int
    blocks: int


class BlockStore(Protocol):
    """One store VM, which keeps blocks in memory and on disk.

    Each name is written only once. A stored block may be truncated or
    corrupted, so the reader has to verify it.
    """

    async def put(
        self,
        name: str,
        data: bytes,
        timeout_ms: float,
        cancel: CancelHandle | None = None,
    ) -> Result[Transfer, TransferError]:
        """Store `data` under `name`; FULL if there is no space left."""

    async def get(
        self,
        name: str,
        timeout_ms: float,
        cancel: CancelHandle | None = None,
        on_progress: Callable[[int], None] | None = None,
    ) -> Result[StoredBlock, TransferError]:
        """Read a block; `on_progress` gets the number of bytes so far."""

    async def delete(
        self, name: str, timeout_ms: float
    ) -> Result[None, TransferError]:
        """Delete a block; deleting a missing block succeeds."""

    async def fill(
        self, timeout_ms: float
    ) -> Result[StoreFill, TransferError]:
        """Return how full the store is."""


class HttpBlockStore:
    """The store VM at `address` (IP:port) over HTTP."""

    __slots__ = ('_address', '_http')

    def __init__(self, address: str, clock: Clock) -> None:
        self._address = address
        self._http = HttpClient(clock, MAX_TRANSFERS)

    def close(self) -> None:
        """Close every connection."""
        self._http.close()

    async def put(
        self,
        name: str,
        data: bytes,
        timeout_ms: float,
        cancel: CancelHandle | None = None,
    ) -> Result[Transfer, TransferError]:
        url = self._url(name)
        call = HttpCall('PUT', url, timeout_ms, data, cancel=cancel)
        result = await self._send(call)
        return result.map(lambda reply: Transfer(len(data), reply.elapsed_ms))

    async def get(
        self,
        name: str,
        timeout_ms: float,
        cancel: CancelHandle | None = None,
        on_progress: Callable[[int], None] | None = None,
    ) -> Result[StoredBlock, TransferError]:
        data = bytearray()

        def receive(chunk: bytes) -> None:
            data.extend(chunk)
            if on_progress is not None:
                on_progress(len(data))

        url = self._url(name)
        call = HttpCall(
            'GET',
            url,
            timeout_ms,
            repeatable=True,
            cancel=cancel,
            on_data=receive,
        )
        result = await self._send(call)
        if isinstance(result, Err):
            return result
        transfer = Transfer(len(data), result.ok_value.elapsed_ms)
        return Ok(StoredBlock(bytes(data), transfer))

    async def delete(
        self, name: str, timeout_ms: float
    ) -> Result[None, TransferError]:
        result = await self._send(
            HttpCall('DELETE', self._url(name), timeout_ms, repeatable=True)
        )
        if isinstance(result, Err):
            if result.err_value.kind is not TransferErrorKind.NOT_FOUND:
                return result
        return Ok(None)

    async def fill(
        self, timeout_ms: float
    ) -> Result[StoreFill, TransferError]:
        url = f'http://{self._address}/fill'
        result = await self._send(
            HttpCall('GET', url, timeout_ms, repeatable=True)
        )
        if isinstance(result, Err):
            return result
        try:
            return Ok(
                msgspec.json.decode(result.ok_value.body, type=StoreFill)
            )
        except msgspec.MsgspecError as exc:
            return Err(TransferError(TransferErrorKind.BROKEN, str(exc)))

    async def _send(self, call: HttpCall) -> Result[HttpReply, TransferError]:
        result = await self._http.send(call)
        if isinstance(result, Err):
            return Err(error_from_http(result.err_value))
        error = error_from_status(result.ok_value.status)
        return Err(error) if error is not None else Ok(result.ok_value)

    def _url(self, name: str) -> str:
        return f'http://{self._address}/blocks/{quote(name, safe="")}'
