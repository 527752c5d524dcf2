"""Health and metrics over HTTP for processes that serve no callers."""

from tornado.httpserver import HTTPServer
from tornado.web import Application
from tornado.web import RequestHandler

from wigeonmill.addresses import split_address
from wigeonmill.metrics import Metrics

CONTENT_TYPE = 'text/plain; version=0.0.4'


class _HealthHandler(RequestHandler):
    def get(self) -> None:
        self.finish('ok\n')


class _MetricsHandler(RequestHandler):
    def initialize(self, metrics: Metrics) -> None:
        self._metrics = metrics

    def get(self) -> None:
        self.set_header('Content-Type', CONTENT_TYPE)
        self.finish(self._metrics.render())


class MonitoringServer:
    """Serves /healthz and /metrics for one process."""

    def __init__(self, metrics: Metrics) -> None:
        self._server = HTTPServer(
            Application(
                [
                    (r'/healthz', _HealthHandler),
                    (r'/metrics', _MetricsHandler, {'metrics': metrics}),
                ]
            )
        )

    def listen(self, address: str) -> None:
        """Listen at an IP:port address."""
        host, port = split_address(address)
        self._server.listen(port, host)

    async def close(self) -> None:
        """Stop listening and close every connection."""
        self._server.stop()
        await self._server.close_all_connections()
