"""Reads and returns memory of this process."""

import os
import resource

_STATUS = '/proc/self/statm'
LARGE_BYTES = 128 * 1024
# From malloc.h.
_M_MMAP_THRESHOLD = -3


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


def separate_large_blocks() -> None:
    """Let the allocator return each block over `LARGE_BYTES` once it is free.

    It raises its own limit with the size of blocks that were freed, and keeps
    larger ones between others from then on.
    """
    import ctypes

    set_option = getattr(ctypes.CDLL(None), 'mallopt', None)
    if set_option is not None:
        set_option(_M_MMAP_THRESHOLD, LARGE_BYTES)


def return_free_memory() -> None:
    """Return the memory that the allocator keeps free to the machine."""
    # Imported late, as it makes up a part of each start.
    import ctypes

    trim = getattr(ctypes.CDLL(None), 'malloc_trim', None)
    if trim is not None:
        trim(0)
