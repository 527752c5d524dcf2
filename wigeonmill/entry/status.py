"""Handlers for the balancer and for monitoring."""

from wigeonmill.entry.base import ApiHandler


class HealthHandler(ApiHandler):
    """Says that the process runs."""

    def get(self) -> None:
        """Answer 200."""
        self.finish('ok\n')


class ReadyHandler(ApiHandler):
    """Says whether the balancer may send requests here."""

    def get(self) -> None:
        """Answer 200 when requests are taken, else 503 with the reason."""
        if self.context.leaving:
            self.set_status(503)
            self.finish('leaving\n')
        elif self.context.routes is None:
            self.set_status(503)
            self.finish('no configuration\n')
        else:
            self.finish('ready\n')


class MetricsHandler(ApiHandler):
    """Shows all metrics in the text exposition format."""

    def get(self) -> None:
        """Answer with the metrics of this process."""
        self.set_header('Content-Type', 'text/plain; version=0.0.4')
        self.finish(self.context.metrics.render())
