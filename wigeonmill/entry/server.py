"""The entry's HTTP server for callers."""

import logging
import ssl

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from wigeonmill.addresses import split_address
from wigeonmill.entry.base import UnknownPathHandler
from wigeonmill.entry.context import EntryContext
from wigeonmill.entry.models import ChatHandler
from wigeonmill.entry.models import ModelHandler
from wigeonmill.entry.models import ModelListHandler
from wigeonmill.entry.plain import PlainHandler
from wigeonmill.entry.requests import Api
from wigeonmill.entry.status import HealthHandler
from wigeonmill.entry.status import MetricsHandler
from wigeonmill.entry.status import ReadyHandler

logger = logging.getLogger(__name__)

# A body over the configured limit is refused while it arrives. If the caller
# continues to send, its connection is closed at this size.
MAX_READ_BYTES = 64 * 1024 * 1024
# Headers over the configured limit are refused with HTTP 431; headers over
# this multiple of the limit close the connection.
HEADER_SIZE_FACTOR = 4


def make_application(context: EntryContext) -> Application:
    """Return the web application that serves callers."""
    shared = {'context': context}
    return Application(
        [
            (Api.COMPLETIONS.value, ModelHandler, shared),
            (Api.CHAT.value, ChatHandler, shared),
            (r'/v1/models', ModelListHandler, shared),
            (r'/v1/services/([^/]+)/(.*)', PlainHandler, shared),
            (r'/healthz', HealthHandler, shared),
            (r'/readyz', ReadyHandler, shared),
            (r'/metrics', MetricsHandler, shared),
        ],
        default_handler_class=UnknownPathHandler,
        default_handler_args=shared,
    )


class EntryServer:
    """The HTTP server that callers connect to."""

    def __init__(
        self,
        context: EntryContext,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        settings = context.settings
        self._context = context
        self._server = HTTPServer(
            make_application(context),
            ssl_options=ssl_context,
            max_header_size=settings.max_header_bytes * HEADER_SIZE_FACTOR,
            max_body_size=MAX_READ_BYTES,
            body_timeout=settings.body_timeout_ms / 1000.0,
            idle_connection_timeout=settings.idle_timeout_ms / 1000.0,
        )
        self.address = ''

    def listen(self) -> str:
        """Listen at the settings' address; return the IP:port bound."""
        host, port = split_address(self._context.settings.http)
        sockets = bind_sockets(port, host)
        self._server.add_sockets(sockets)
        bound = sockets[0].getsockname()
        self.address = f'{bound[0]}:{bound[1]}'
        logger.info('listening for callers at %s', self.address)
        return self.address

    def stop_listening(self) -> None:
        """Accept no more connections; open requests continue."""
        self._server.stop()

    async def close(self) -> None:
        """Close every connection."""
        await self._server.close_all_connections()
