"""Reads the status of processes over the inner protocol."""

from collections.abc import Callable
import ssl

from result import Err
from result import Ok
from result import Result

from wigeonmill.membership.member import State
from wigeonmill.protocol.client import PeerClient
from wigeonmill.protocol.client import PeerErrorKind
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import StatusRequest
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.tools.fleet import ProcessStatus

STATUS_TIMEOUT_MS = 1000.0
OPERATOR_ROLE = 'operator'
_ERROR_TEXTS = {
    PeerErrorKind.UNREACHABLE: 'cannot connect, or the inner keys differ',
    PeerErrorKind.CLOSED: 'the connection was closed',
    PeerErrorKind.TIMEOUT: 'no reply in time',
}
_PRESENT_STATES = frozenset(state for state in State if state.present)


class InnerStatusReader:
    """Queries each process over a persistent connection."""

    __slots__ = ('_pool',)

    def __init__(
        self,
        name: str,
        keys: Callable[[], InnerKeys],
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        def make_client(address: str) -> PeerClient:
            return PeerClient(
                address,
                name,
                OPERATOR_ROLE,
                keys,
                lambda: 0,
                lambda _address, _serial: None,
                ssl_context,
            )

        self._pool = PeerPool(make_client)

    async def read_status(
        self, address: str, with_peers: bool
    ) -> Result[ProcessStatus, str]:
        """Return the status of the process at `address`."""
        status_req = StatusRequest(members=with_peers)
        req = Envelope(Kind.STATUS_REQUEST, status_request=status_req)
        reply = await self._pool.get(address).request(req, STATUS_TIMEOUT_MS)
        if isinstance(reply, Err):
            return Err(_ERROR_TEXTS[reply.err_value.kind])
        status = reply.ok_value.status
        if status is None:
            return Err('the reply contains no status')
        peers = [
            member.address
            for member in status.members or []
            if member.address and member.state in _PRESENT_STATES
        ]
        return Ok(
            ProcessStatus(
                status.process or '',
                status.role or '',
                status.config_serial or 0,
                peers,
            )
        )

    def close(self) -> None:
        """Close every connection."""
        self._pool.close()
