"""JSON logs on standard error; lines only for changes of state."""

import logging
import sys

from pythonjsonlogger.json import JsonFormatter

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'


def configure_logs(process: str, level: str) -> None:
    """Send all log lines of this process as JSON to standard error."""
    handler = logging.StreamHandler(sys.stderr)
    formatter = JsonFormatter(_FIELDS, static_fields={'process': process})
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # Callers' requests are counted, not logged.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)
