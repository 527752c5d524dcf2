"""Connections are accepted, also after descriptors have run out."""

import asyncio
import errno
import socket

from wigeonmill.early_listener import listen
from wigeonmill.gateway.acceptor import Acceptor
from wigeonmill.metrics import Metrics

TIMEOUT_S = 5.0


class Exhausted:
    """A listening socket that fails to accept for some times."""

    def __init__(self, sock, failures):
        self._sock = sock
        self.failures = failures
        self.calls = 0

    def accept(self):
        self.calls += 1
        if self.failures:
            self.failures -= 1
            raise OSError(errno.EMFILE, 'too many open files')
        return self._sock.accept()

    def fileno(self):
        return self._sock.fileno()

    def close(self):
        self._sock.close()


def accept_one(failures):
    """Connect while accepting fails; return what was done about it."""

    async def run():
        sock = listen('127.0.0.1:0')
        exhausted, metrics = Exhausted(sock, failures), Metrics()
        accepted = asyncio.get_running_loop().create_future()
        room = []
        acceptor = Acceptor(
            exhausted,
            lambda conn, address: accepted.set_result(conn),
            lambda: room.append(True) or True,
            metrics,
        )
        with socket.create_connection(sock.getsockname()):
            conn = await asyncio.wait_for(accepted, TIMEOUT_S)
            conn.close()
        acceptor.close()
        acceptor.close()
        return exhausted, len(room), metrics

    return asyncio.run(run())


def test_a_connection_is_accepted():
    _sock, room, metrics = accept_one(failures=0)
    assert room == 0
    assert metrics.value('gateway_accept_failures') == 0


def test_without_descriptors_it_makes_room_and_waits():
    """Failure: none. It tried again in each turn of the loop, and logged."""
    sock, room, metrics = accept_one(failures=2)
    assert room == 2
    assert metrics.value('gateway_accept_failures') == 2
    # Twice without a descriptor, once with one, and once with none waiting.
    assert sock.calls <= 4
