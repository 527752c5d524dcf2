"""Request handlers for the balancer and for monitoring."""

from wigeonmill.entry.base import ApiHandler


class HealthHandler(ApiHandler):
    """Liveness check: answers as long as the process runs."""

    def get(self) -> None:
        """Answer 200."""
        self.finish('ok\n')


class ReadyHandler(ApiHandler):
    """Readiness check: whether the balancer may send requests here."""

    def get(self) -> None:
        """Answer 200 if requests are accepted, else 503 with the reason."""
        if self.context.leaving:
            self.set_status(503)
            self.finish('leaving\n')
        elif self.context.routes is None:
            self.set_status(503)
            self.finish('no configuration\n')
        else:
            self.finish('ready\n')


class MetricsHandler(ApiHandler):
    """Returns all metrics in the Prometheus text format."""

    def get(self) -> None:
        """Return the metrics of this process."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.context.metrics.render())
