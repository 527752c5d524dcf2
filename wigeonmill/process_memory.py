"""Reads and returns memory of this process."""

import os
import resource

_STATUS = '/proc/self/statm'


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    try:
        with open(_STATUS, encoding='ascii') as file:
            pages = int(file.read().split()[1])
    except (OSError, ValueError, IndexError):
        # In units of 1024 bytes, and the maximum so far.
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * 1024
    return pages * resource.getpagesize()


def machine_bytes() -> int:
    """Return the memory of this machine."""
    return os.sysconf('SC_PHYS_PAGES') * os.sysconf('SC_PAGE_SIZE')


def max_descriptors() -> int:
    """Return the number of descriptors that this process may open."""
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    return soft if soft != resource.RLIM_INFINITY else 2**31


def return_free_memory() -> None:
    """Return the memory that the allocator keeps free to the machine."""
    # Imported late, as it makes up a part of each start.
    import ctypes

    trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
    if trim is not None:
        trim(0)
