"""JSON logs on standard output, rate-limited and non-blocking.

A line is logged for each decision that affects a request or changes the
process's view of the system. Lines over the rate limit, and lines that the
reader does not consume in time, are dropped; a line with their count follows.
WARNING and above have a limit of their own, so that other lines do not
displace them.
"""

import json
import logging
import math
import os
import sys
import time
from typing import TextIO

from pythonjsonlogger.json import JsonFormatter

_FIELDS = '%(asctime)s %(levelname)s %(name)s %(message)s'
# Token bucket of the log: average rate and burst size. An entry under the
# heaviest load seen writes about 100 lines per second; formatting and writing
# one line takes about 40 microseconds.
LINES_PER_S = 500.0
BURST_LINES = 2_000.0
WARNINGS_PER_S = 100.0
BURST_WARNINGS = 2_000.0
# Buffer limit in bytes while the reader does not read.
MAX_UNWRITTEN_BYTES = 256 * 1024


class _TokenBucket:
    """Admits lines at an average rate, and some more at once."""

    __slots__ = ('_rate', '_burst', '_tokens', '_refilled_s')

    def __init__(self, lines_per_s: float, burst_lines: float) -> None:
        self._rate = lines_per_s
        self._burst = burst_lines
        self._tokens = burst_lines
        self._refilled_s = time.monotonic()

    def take(self) -> bool:
        """Whether one more line is within the limit."""
        now_s = time.monotonic()
        elapsed_s = now_s - self._refilled_s
        self._refilled_s = now_s
        self._tokens = min(self._burst, self._tokens + elapsed_s * self._rate)
        if self._tokens < 1.0:
            return False
        self._tokens -= 1.0
        return True


class BoundedHandler(logging.Handler):
    """Writes lines to a non-blocking file descriptor, or drops them."""

    def __init__(
        self,
        fd: int,
        lines_per_s: float = LINES_PER_S,
        burst_lines: float = BURST_LINES,
        warnings_per_s: float = WARNINGS_PER_S,
        burst_warnings: float = BURST_WARNINGS,
    ) -> None:
        super().__init__()
        self._fd = fd
        self._lines = _TokenBucket(lines_per_s, burst_lines)
        self._warnings = _TokenBucket(warnings_per_s, burst_warnings)
        self._unwritten = bytearray()
        self.dropped = 0
        os.set_blocking(fd, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        if not self._admit(record):
            self.dropped += 1
            return
        try:
            line = self.format(record)
        except (TypeError, ValueError):
            self.handleError(record)
            return
        if self.dropped:
            self._append(
                json.dumps({'message': 'lines dropped', 'count': self.dropped})
            )
            self.dropped = 0
        self._append(line)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as the reader accepts now."""
        while self._unwritten:
            try:
                written = os.write(self._fd, self._unwritten)
            except BlockingIOError:
                return
            except OSError:
                # The reader has closed its end, so the error cannot be logged.
                self._unwritten.clear()
                return
            del self._unwritten[:written]

    def _admit(self, record: logging.LogRecord) -> bool:
        if len(self._unwritten) > MAX_UNWRITTEN_BYTES:
            return False
        if record.levelno >= logging.WARNING:
            return self._warnings.take()
        return self._lines.take()

    def _append(self, line: str) -> None:
        self._unwritten += line.encode('utf-8', 'replace') + b'\n'


def configure_logs(
    process: str, level: str, stream: TextIO | None = None
) -> None:
    """Write this process's log lines as JSON to standard output.

    Programs that print their results there pass another `stream`.
    """
    handler = BoundedHandler((stream or sys.stdout).fileno())
    formatter = JsonFormatter(_FIELDS, static_fields={'process': process})
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    # The gateway logs callers' requests itself.
    logging.getLogger('tornado.access').setLevel(logging.CRITICAL)


def loggable_ms(duration_ms: float) -> int | None:
    """Return a time in whole ms, or None if it is infinite, as in JSON."""
    return round(duration_ms) if math.isfinite(duration_ms) else None
