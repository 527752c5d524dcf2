"""The HTTP server shared by every stand-in."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
import http
from typing import Any
from typing import Generic
from typing import Protocol
from typing import TypeVar

import msgspec
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

S = TypeVar('S')
T = TypeVar('T')
MAX_BODY_BYTES = 64 * 1024 * 1024
Route = tuple[str, type[RequestHandler], dict[str, Any]]


class StandinState(Protocol):
    """The state of a stand-in: its faults and its audit."""

    faults: Any

    def audit(self) -> Any:
        """Return the audit as a value that msgspec can encode."""

    def faults_changed(self) -> None:
        """Apply faults that were just set."""


class StandinHttpServer(HTTPServer):
    """An HTTP server that can drop its connections while it listens."""

    async def close_open_connections(self) -> None:
        """Close the connections that are open now, but no later ones."""
        conns = list(self._connections)
        await asyncio.gather(*(conn.close() for conn in conns))


@dataclass(slots=True)
class StandinServer(Generic[S]):
    """A running stand-in; addresses are IP:port.

    `control_address` is set if /faults and /audit have an address of their
    own.
    """

    address: str
    state: S
    _http: StandinHttpServer
    _on_stop: Callable[[], Awaitable[None]] | None
    control_address: str = ''

    async def stop(self) -> None:
        """Close the listening socket and every connection."""
        self._http.stop()
        if self._on_stop is not None:
            await self._on_stop()
        await self._http.close_all_connections()

    async def drop_connections(self) -> None:
        """Close the connections that are open now and keep listening."""
        await self._http.close_open_connections()


class ErrorDetail(msgspec.Struct):
    """An error message and a stable machine-readable reason."""

    message: str
    reason: str


class ErrorReply(msgspec.Struct):
    """The body of every error reply of a stand-in."""

    error: ErrorDetail


class StandinHandler(RequestHandler):
    """Reads and writes JSON through msgspec types."""

    state: Any

    def initialize(self, state: Any) -> None:
        self.state = state

    def decode(self, kind: type[T]) -> T | None:
        """Return the body as `kind`, or answer 400 and return None."""
        try:
            return msgspec.json.decode(self.request.body or b'{}', type=kind)
        except msgspec.MsgspecError as exc:
            self.reply_error(http.HTTPStatus.BAD_REQUEST, 'invalid', str(exc))
            return None

    def reply(self, value: Any, status: int = 200) -> None:
        """Send `value` as JSON."""
        self.set_status(status)
        self.set_header('Content-Type', 'application/json')
        self.write(msgspec.json.encode(value))

    def reply_error(self, status: int, reason: str, message: str) -> None:
        """Send an error with a machine-readable reason."""
        self.reply(ErrorReply(ErrorDetail(message, reason)), status)

    def drop(self) -> None:
        """Close the connection without a reply."""
        if self.request.connection is not None and not self._finished:
            self.detach().close()


class FaultsHandler(StandinHandler):
    """Returns the faults and sets those that a body names."""

    def get(self) -> None:
        self.reply(self.state.faults)

    def post(self) -> None:
        faults = self.state.faults
        try:
            updates = msgspec.json.decode(self.request.body, type=dict)
            merged = {**msgspec.to_builtins(faults), **updates}
            new_faults = msgspec.convert(merged, type=type(faults))
            unknown = set(updates) - set(msgspec.to_builtins(faults))
        except msgspec.MsgspecError as exc:
            return self.reply_error(400, 'invalid', str(exc))
        if unknown:
            message = f'unknown faults: {", ".join(sorted(unknown))}'
            return self.reply_error(400, 'invalid', message)
        for name in updates:
            setattr(faults, name, getattr(new_faults, name))
        self.state.faults_changed()
        return self.reply(faults)


class AuditHandler(StandinHandler):
    """Returns the audit of the stand-in."""

    def get(self) -> None:
        self.reply(self.state.audit())


async def start_server(
    state: S,
    routes: Sequence[Route],
    host: str,
    port: int,
    on_stop: Callable[[], Awaitable[None]] | None = None,
) -> StandinServer[S]:
    """Serve `routes`, /faults and /audit; port 0 picks a free port."""
    shared: list[Route] = [
        ('/faults', FaultsHandler, {'state': state}),
        ('/audit', AuditHandler, {'state': state}),
    ]
    app = Application([*shared, *routes], log_function=_no_access_log)
    sockets = bind_sockets(port, host)
    server = StandinHttpServer(app, max_buffer_size=MAX_BODY_BYTES)
    server.add_sockets(sockets)
    bound = sockets[0].getsockname()
    return StandinServer(f'{bound[0]}:{bound[1]}', state, server, on_stop)


def _no_access_log(handler: RequestHandler) -> None:
    """Write no access log, which Tornado would do for each request."""


async def delay(delay_ms: float) -> None:
    """Wait for `delay_ms`; return at once if it is 0."""
    if delay_ms > 0:
        await asyncio.sleep(delay_ms / 1000.0)
