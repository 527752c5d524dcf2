"""Listens for callers before the rest of the program is imported.

Most of the start is spent on imports. Callers that connect meanwhile wait for
the process instead of being refused, which would cost them one of their few
retries if all entries restart together. This module imports little.
"""

from collections.abc import Sequence
import json
import signal
import socket
import time

from wigeonmill.addresses import split_address

# Maximum number of connections that wait to be accepted.
BACKLOG = 1024
# What the kernel keeps of each connection that is not read. It limits the rate
# of a connection to this much in one round trip.
RECEIVE_BUFFER_BYTES = 64 * 1024
STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


def listen(address: str) -> socket.socket:
    """Return a socket that listens at an IP:port address.

    An OSError is raised if it can't.
    """
    host, port = split_address(address)
    family = socket.AF_INET6 if ':' in host else socket.AF_INET
    sock = socket.create_server((host, port), family=family, backlog=BACKLOG)
    # Connections inherit it.
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
    sock.setblocking(False)
    return sock


class StopRequest:
    """When the process was first told to stop before its loop handled it."""

    __slots__ = ('boot_ms',)

    def __init__(self) -> None:
        # On the clock that includes time spent suspended.
        self.boot_ms: float | None = None

    def hold_signals(self) -> None:
        """Note signals to stop, until the loop handles them."""
        for number in STOP_SIGNALS:
            signal.signal(number, self._note)

    def _note(self, _number: int, _frame: object) -> None:
        if self.boot_ms is None:
            self.boot_ms = time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0


# The process has one, as it has one set of signal handlers.
EARLY_STOP = StopRequest()


def listen_early(path: str, name: str, switch: str) -> socket.socket | None:
    """Listen at the address that the settings file at `path` has as `name`.

    Signals to stop are only noted from then on: their default action would
    close the connections of callers, which the process has not read yet.
    Return None if the setting `switch` is off or if that fails; the faults
    are reported once the settings are checked.
    """
    try:
        with open(path, encoding='utf-8') as file:
            settings = json.load(file)
        for policy in settings.get('policies', ()):
            settings |= settings.get('by_policy', {}).get(policy, {})
        if not settings.get(switch):
            return None
        EARLY_STOP.hold_signals()
        return listen(settings[name])
    except (OSError, ValueError, LookupError, TypeError, AttributeError):
        return None


def take(early: Sequence[socket.socket], address: str) -> socket.socket:
    """Return the socket of `early` at an address, or else a new one."""
    for sock in early:
        if sock.getsockname()[:2] == split_address(address):
            return sock
    return listen(address)
