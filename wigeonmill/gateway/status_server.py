"""Serves readiness checks, metrics and the question where requests go."""

from collections.abc import Callable

from tornado.httpserver import HTTPServer
from tornado.web import Application
from tornado.web import RequestHandler

from wigeonmill.addresses import split_address
from wigeonmill.gateway.explanation import Explainer
from wigeonmill.gateway.explanation import parse_question
from wigeonmill.metrics import Metrics
from wigeonmill.monitoring import CONTENT_TYPE

# Requests here have no body, and only a few known callers send them.
MAX_HEADER_BYTES = 16 * 1024
MAX_BODY_BYTES = 0
IDLE_S = 60.0
BODY_S = 5.0


class _ReadyHandler(RequestHandler):
    def initialize(self, ready: Callable[[], bool]) -> None:
        self._ready = ready

    def get(self) -> None:
        self.set_status(200 if self._ready() else 503)
        self.finish()


class _MetricsHandler(RequestHandler):
    def initialize(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def get(self) -> None:
        self.set_header('Content-Type', CONTENT_TYPE)
        self.finish(self._metrics.render())


class _WhereHandler(RequestHandler):
    def initialize(self, explainer: Explainer) -> None:
        self._explainer = explainer

    def get(self) -> None:
        fields = {
            name: self.get_arguments(name)
            for name in self.request.query_arguments
        }
        question = parse_question(fields)
        if isinstance(question, str):
            self.set_status(400)
            self.finish({'problem': question})
            return
        self.finish(self._explainer.explain(question))


class StatusServer:
    """An HTTP server with the readiness path, /metrics and /where."""

    __slots__ = ('_server',)

    def __init__(
        self,
        ready_path: str,
        ready: Callable[[], bool],
        metrics: Metrics,
        explainer: Explainer,
    ) -> None:
        self._server = HTTPServer(
            Application(
                [
                    (ready_path, _ReadyHandler, {'ready': ready}),
                    ('/metrics', _MetricsHandler, {'metrics': metrics}),
                    ('/where', _WhereHandler, {'explainer': explainer}),
                ]
            ),
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_S,
            body_timeout=BODY_S,
        )

    def listen(self, address: str) -> None:
        """Listen at one more IP:port address."""
        host, port = split_address(address)
        self._server.listen(port, host)

    def close(self) -> None:
        """Stop listening."""
        self._server.stop()
