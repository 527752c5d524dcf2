"""A client of the platform's VM list, which may be out of date."""

import enum
from typing import Protocol

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
from wigeonmill.providers.transfer import error_from_http
from wigeonmill.providers.transfer import error_from_status
from wigeonmill.providers.transfer import TransferError
from wigeonmill.providers.transfer import TransferErrorKind


class VmState(enum.Enum):
    """Whether a VM is live or about to be shut down."""

    LIVE = 'live'
    LEAVING = 'leaving'


class Vm(msgspec.Struct, frozen=True):
    """One VM; `address` is its IP address."""

    name: str
    address: str
    failure_domain: str
    state: VmState = VmState.LIVE


class VmListing(msgspec.Struct, frozen=True):
    """Every VM at one revision of the list."""

    revision: int
    vms: list[Vm]


class VmList(Protocol):
    """Lists the VMs of the platform."""

    async def read(
        self, known_revision: int, wait_ms: int
    ) -> Result[VmListing, TransferError]:
        """Return the list, waiting up to `wait_ms` for a new revision.

        The wait ends when the revision differs from `known_revision`; with
        0 it returns at once.
        """


class HttpVmList:
    """The VM list at `address` (IP:port) over HTTP."""

    __slots__ = ('_address', '_http', '_timeout_ms')

    def __init__(self, address: str, timeout_ms: float, clock: Clock) -> None:
        self._address = address
        self._timeout_ms = timeout_ms
        self._http = HttpClient(clock, max_clients=4)

    def close(self) -> None:
        """Close every connection."""
        self._http.close()

    async def read(
        self, known_revision: int, wait_ms: int
    ) -> Result[VmListing, TransferError]:
        query = f'known={known_revision}&wait_ms={wait_ms}'
        url = f'http://{self._address}/vms?{query}'
        call = HttpCall(
            'GET', url, self._timeout_ms + wait_ms, repeatable=True
        )
        result = await self._http.send(call)
        if isinstance(result, Err):
            return Err(error_from_http(result.err_value))
        error = error_from_status(result.ok_value.status)
        if error is not None:
            return Err(error)
        try:
            return Ok(
                msgspec.json.decode(result.ok_value.body, type=VmListing)
            )
        except msgspec.MsgspecError as exc:
            return Err(TransferError(TransferErrorKind.BROKEN, str(exc)))
