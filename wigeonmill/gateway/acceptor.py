"""Accepts callers' connections, also while descriptors run out."""

import asyncio
from collections.abc import Callable
import logging
import socket

from wigeonmill.metrics import Metrics

logger = logging.getLogger(__name__)

# Maximum number of connections that are accepted in one loop iteration.
BATCH = 64
# Pause after a connection could not be accepted for want of a resource.
PAUSE_MS = 100.0


class Acceptor:
    """Passes each connection of a listening socket to `on_conn`.

    `make_room` is called when the process has no descriptor for the next one.
    """

    __slots__ = (
        '_sock',
        '_on_conn',
        '_make_room',
        '_metrics',
        '_loop',
        '_timer',
    )

    def __init__(
        self,
        sock: socket.socket,
        on_conn: Callable[[socket.socket, object], None],
        make_room: Callable[[], bool],
        metrics: Metrics,
    ) -> None:
        self._sock = sock
        self._on_conn = on_conn
        self._make_room = make_room
        self._metrics = metrics
        self._loop = asyncio.get_running_loop()
        self._timer: asyncio.TimerHandle | None = None
        self._start()

    def close(self) -> None:
        """Stop accepting and close the socket."""
        if self._timer is not None:
            self._timer.cancel()
        if self._sock.fileno() >= 0:
            self._loop.remove_reader(self._sock.fileno())
            self._sock.close()

    def _start(self) -> None:
        self._timer = None
        self._loop.add_reader(self._sock.fileno(), self._accept)

    def _accept(self) -> None:
        for _conn in range(BATCH):
            try:
                conn, address = self._sock.accept()
            except (BlockingIOError, InterruptedError):
                return
            except ConnectionAbortedError:
                continue
            except OSError as exc:
                self._pause(exc)
                return
            self._on_conn(conn, address)

    def _pause(self, exc: OSError) -> None:
        """Make room instead of failing again in each loop iteration."""
        self._metrics.count('gateway_accept_failures')
        logger.warning('connection not accepted', extra={'error': repr(exc)})
        self._loop.remove_reader(self._sock.fileno())
        self._make_room()
        self._timer = self._loop.call_later(PAUSE_MS / 1000.0, self._start)
