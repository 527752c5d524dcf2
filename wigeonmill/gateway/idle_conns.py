"""Connections of callers on which no request has started."""

from collections.abc import Iterator
import socket
import weakref

from tornado.http1connection import HTTP1Connection

from wigeonmill.clock import Clock

# Maximum number of checks by which a connection outlasts its time because
# bytes keep arriving.
MAX_OVERDUE_CHECKS = 12


class _Wait:
    """How long one connection waits, and may wait, in ms.

    `is_used` tells whether a request has arrived on it before, and
    `head_checks` how many checks in a row have found part of a head.
    """

    __slots__ = (
        'since_ms',
        'limit_ms',
        'is_used',
        'overdue_checks',
        'head_checks',
    )

    def __init__(
        self, since_ms: float, limit_ms: float, is_used: bool
    ) -> None:
        self.since_ms = since_ms
        self.limit_ms = limit_ms
        self.is_used = is_used
        self.overdue_checks = 0
        self.head_checks = 0


class IdleConns:
    """Finds the connections that have waited for a request too long.

    `limit_ms` can change while they wait. A longer limit holds for all of
    them, a shorter one only for those that begin to wait later, because the
    callers of the others reckon with the limit before. Tornado does not
    report when a connection closes, so they are held by weak references.
    """

    __slots__ = ('_clock', '_waits', 'limit_ms', 'max_head_checks')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._waits: weakref.WeakKeyDictionary[HTTP1Connection, _Wait] = (
            weakref.WeakKeyDictionary()
        )
        self.limit_ms = float('inf')
        # Checks that may find part of a head. They are counted, as time also
        # passes while the process stands still.
        self.max_head_checks = 2**31

    def __len__(self) -> int:
        return len(self._waits)

    def __iter__(self) -> Iterator[HTTP1Connection]:
        return iter(list(self._waits))

    def add(self, conn: HTTP1Connection, is_used: bool = False) -> None:
        """Add a connection that begins to wait for a request.

        `is_used` tells whether one has arrived on it before.
        """
        now_ms = self._clock.now_ms()
        self._waits[conn] = _Wait(now_ms, self.limit_ms, is_used)

    def remove(self, conn: HTTP1Connection) -> None:
        """Remove a connection that has a request or that was closed."""
        self._waits.pop(conn, None)

    def without_input(self) -> list[HTTP1Connection]:
        """Return the connections on which no part of a head has arrived."""
        return [conn for conn in self if has_no_input(conn)]

    def count_with_input(self) -> int:
        """Return the number of connections on which a head has begun."""
        return sum(not has_no_input(conn) for conn in self)

    def expired(self) -> list[HTTP1Connection]:
        """Return the connections whose time is over.

        One with input gets some more checks, so that a request is served
        that arrived while the process was busy or stopped.
        """
        found = []
        now_ms = self._clock.now_ms()
        for conn, wait in list(self._waits.items()):
            wait.limit_ms = max(wait.limit_ms, self.limit_ms)
            if now_ms - wait.since_ms < wait.limit_ms:
                continue
            wait.overdue_checks += 1
            if wait.overdue_checks > MAX_OVERDUE_CHECKS or has_no_input(conn):
                found.append(conn)
        return found

    def expired_heads(self) -> list[HTTP1Connection]:
        """Return the connections whose heads take too long."""
        found = []
        for conn, wait in list(self._waits.items()):
            if not conn.stream._read_buffer_size:
                wait.head_checks = 0
                continue
            wait.head_checks += 1
            if wait.head_checks > self.max_head_checks:
                found.append(conn)
        return found

    def longest(self) -> HTTP1Connection | None:
        """Return the connection that has waited for the longest time."""
        return next(iter(self._waits), None)

    def longest_unused(self, since_ms: float) -> HTTP1Connection | None:
        """Return the one of those that were not used, or None.

        Those that have waited since `since_ms` or later are not considered.
        """
        for conn, wait in self._waits.items():
            if wait.since_ms > since_ms:
                return None
            if not wait.is_used:
                return conn
        return None


def has_no_input(conn: HTTP1Connection) -> bool:
    """Whether no part of a request has arrived on a connection.

    Tornado delivers a request one loop iteration after it was read, and its
    stream is not reading in between. A part of a head waits in the buffer of
    the stream, for which tornado has no public name.
    """
    stream = conn.stream
    if stream.closed():
        return True
    if not stream.reading() or stream._read_buffer_size:
        return False
    try:
        flags = socket.MSG_PEEK | socket.MSG_DONTWAIT
        return not stream.socket.recv(1, flags)
    except OSError:
        # Nothing to read, or the connection is broken.
        return True
