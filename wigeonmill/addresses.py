"""IP:port addresses, as written in settings and documents."""

import ipaddress


def is_address(text: str) -> bool:
    """Return whether `text` is an IP address with a port."""
    host, _, port = text.rpartition(':')
    try:
        ipaddress.ip_address(host.strip('[]'))
    except ValueError:
        return False
    return port.isdecimal() and int(port) <= 65535


def split_address(address: str) -> tuple[str, int]:
    """Return the host and port of a valid IP:port address."""
    host, _, port = address.rpartition(':')
    return host.strip('[]'), int(port)
