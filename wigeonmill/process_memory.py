"""Reads limits of this process."""

import resource


def max_descriptors() -> int:
    """Return the number of descriptors that this process may open."""
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft != resource.RLIM_INFINITY else 2**31
