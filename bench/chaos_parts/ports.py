"""Reserves addresses that stay free while their process is down."""

import os
from pathlib import Path
import random
import socket

LOWEST_PORT = 12_000
PORTS_PER_PROCESS = 1024
RANGE_FILE = Path('/proc/sys/net/ipv4/ip_local_port_range')
# Used if the system does not report its ephemeral range.
DEFAULT_EPHEMERAL_START = 32_768


def reserve_address(taken: set[int]) -> str:
    """Return a loopback IP:port that no outgoing connection is given.

    The port is below the system's ephemeral range. `taken` holds the ports
    that are reserved already; the new one is added to it.
    """
    rng = random.SystemRandom()
    # Processes that run side by side reserve from different blocks.
    blocks = (_ephemeral_start() - LOWEST_PORT) // PORTS_PER_PROCESS
    first = LOWEST_PORT + os.getpid() % blocks * PORTS_PER_PROCESS
    while True:
        port = rng.randrange(first, first + PORTS_PER_PROCESS)
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
