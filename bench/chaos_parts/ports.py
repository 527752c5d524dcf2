"""Reserves addresses that stay free while their process is down."""

from pathlib import Path
import random
import socket

LOWEST_PORT = 12_000
RANGE_FILE = Path('/proc/sys/net/ipv4/ip_local_port_range')
# Used if the system does not report its ephemeral range.
DEFAULT_EPHEMERAL_START = 32_768


def reserve_address(taken: set[int]) -> str:
    """Return a loopback IP:port that no outgoing connection is given.

    The port is below the system's ephemeral range. `taken` holds the ports
    that are reserved already; the new one is added to it.
    """
    rng = random.SystemRandom()
    while True:
        port = rng.randrange(LOWEST_PORT, _ephemeral_start())
        if port not in taken and _is_free(port):
            taken.add(port)
            return f'127.0.0.1:{port}'


def _ephemeral_start() -> int:
    try:
        return int(RANGE_FILE.read_text().split()[0])
    except OSError:
        return DEFAULT_EPHEMERAL_START


def _is_free(port: int) -> bool:
    with socket.socket() as sock:
        try:
            sock.bind(('127.0.0.1', port))
        except OSError:
            return False
    return True
