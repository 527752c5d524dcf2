"""The console's web server."""

from pathlib import Path
import secrets
import ssl

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from wigeonmill.addresses import split_address
from wigeonmill.console.base import ConsoleContext
from wigeonmill.console.base import MissingHandler
from wigeonmill.console.editing import DiscardHandler
from wigeonmill.console.editing import EditHandler
from wigeonmill.console.editing import RemoveHandler
from wigeonmill.console.editing import RollbackHandler
from wigeonmill.console.editing import SetInServiceHandler
from wigeonmill.console.login import LoginHandler
from wigeonmill.console.login import LogoutHandler
from wigeonmill.console.reading import DownloadHandler
from wigeonmill.console.reading import HistoryHandler
from wigeonmill.console.reading import ListHandler
from wigeonmill.console.reading import OverviewHandler
from wigeonmill.console.reading import StatusHandler
from wigeonmill.console.submitting import ConflictHandler
from wigeonmill.console.submitting import ReviewHandler
from wigeonmill.console.submitting import SubmitHandler

MAX_FORM_BYTES = 1 << 20
IDLE_TIMEOUT_S = 75.0
BODY_TIMEOUT_S = 20.0

_PACKAGE_DIR = Path(__file__).parent


def make_application(context: ConsoleContext) -> Application:
    """Return the web application with all pages."""
    handler_args = {'context': context}
    handlers = [
        (r'/', OverviewHandler, handler_args),
        (r'/login', LoginHandler, handler_args),
        (r'/logout', LogoutHandler, handler_args),
        (r'/list', ListHandler, handler_args),
        (r'/edit', EditHandler, handler_args),
        (r'/remove', RemoveHandler, handler_args),
        (r'/switch', SetInServiceHandler, handler_args),
        (r'/review', ReviewHandler, handler_args),
        (r'/submit', SubmitHandler, handler_args),
        (r'/conflict', ConflictHandler, handler_args),
        (r'/discard', DiscardHandler, handler_args),
        (r'/rollback', RollbackHandler, handler_args),
        (r'/status', StatusHandler, handler_args),
        (r'/history', HistoryHandler, handler_args),
        (r'/download', DownloadHandler, handler_args),
    ]
    return Application(
        handlers,
        default_handler_class=MissingHandler,
        default_handler_args=handler_args,
        template_path=str(_PACKAGE_DIR / 'templates'),
        static_path=str(_PACKAGE_DIR / 'static'),
        cookie_secret=secrets.token_hex(32),
        xsrf_cookies=True,
        xsrf_cookie_kwargs={
            'httponly': True,
            'samesite': 'Strict',
            'secure': context.secure,
        },
        log_function=_no_access_log,
    )


class ConsoleServer:
    """The HTTP server of the console."""

    __slots__ = ('_server',)

    def __init__(
        self,
        context: ConsoleContext,
        ssl_context: ssl.SSLContext | None = None,
    ) -> None:
        self._server = HTTPServer(
            make_application(context),
            ssl_options=ssl_context,
            max_body_size=MAX_FORM_BYTES,
            body_timeout=BODY_TIMEOUT_S,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def listen(self, address: str) -> str:
        """Listen at an IP:port and return the IP:port that was bound."""
        host, port = split_address(address)
        sockets = bind_sockets(port, host)
        self._server.add_sockets(sockets)
        bound = sockets[0].getsockname()
        return f'{bound[0]}:{bound[1]}'

    async def stop(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop()
        await self._server.close_all_connections()


def _no_access_log(handler: object) -> None:
    """Suppress the log line that tornado writes for each request."""
