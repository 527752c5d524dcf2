"""A client of the platform's weight store, which limits download rates."""

from typing import Protocol
from urllib.parse import quote

from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.providers.http import CancelHandle
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
from wigeonmill.providers.transfer import error_from_http
from wigeonmill.providers.transfer import error_from_status
from wigeonmill.providers.transfer import Transfer
from wigeonmill.providers.transfer import TransferError


class WeightStore(Protocol):
    """Stores the weights of each model version."""

    async def download(
        self, model: str, version: str, cancel: CancelHandle | None = None
    ) -> Result[Transfer, TransferError]:
        """Download all the weights and discard them."""


class HttpWeightStore:
    """The weight store at `address` (IP:port) over HTTP."""

    __slots__ = ('_address', '_http', '_timeout_ms')

    def __init__(self, address: str, timeout_ms: float, clock: Clock) -> None:
        self._address = address
        self._timeout_ms = timeout_ms
        self._http = HttpClient(clock, max_clients=4)

    def close(self) -> None:
        """Close every connection."""
        self._http.close()

    async def download(
        self, model: str, version: str, cancel: CancelHandle | None = None
    ) -> Result[Transfer, TransferError]:
        size = 0

        def count(data: bytes) -> None:
            nonlocal size
            size += len(data)

        path = f'{quote(model, safe="")}/{quote(version, safe="")}'
        call = HttpCall(
            'GET',
            f'http://{self._address}/weights/{path}',
            self._timeout_ms,
            repeatable=True,
            cancel=cancel,
            on_data=count,
        )
        result = await self._http.send(call)
        if isinstance(result, Err):
            return Err(error_from_http(result.err_value))
        error = error_from_status(result.ok_value.status)
        if error is not None:
            return Err(error)
        return Ok(Transfer(size, result.ok_value.elapsed_ms))
