"""Derives from the machine what callers may make a process hold.

Load: clients outside the limits of the configuration, each with as many
connections and as large bodies as it likes. A process that exceeds the memory
of its machine is ended, and one without descriptors reaches neither targets
nor the key-value service.
"""

# Shares of the memory that the process does not need itself. The rest is for
# copies, connections and memory that the allocator has not returned.
HELD_SHARE = 0.4
UNREAD_SHARE = 0.2
# A bound holds at least this much, so that callers with small requests are
# served in any case.
MIN_BYTES = 1024 * 1024
# Descriptors that are left to files, and the share of the others that is left
# to the process's own connections.
FILE_DESCRIPTORS = 200
OWN_CONNS_SHARE = 0.25
# Where fewer descriptors are allowed than are left to files.
MIN_CONNS = 8


def held_bytes_limit(memory_bytes: int, needed_bytes: int) -> int:
    """Return what may be held for all callers, in bytes."""
    return _share(memory_bytes, needed_bytes, HELD_SHARE)


def unread_bytes_limit(memory_bytes: int, needed_bytes: int) -> int:
    """Return what may lie unread on callers' connections, in bytes."""
    return _share(memory_bytes, needed_bytes, UNREAD_SHARE)


def caller_conns_limit(max_descriptors: int) -> int:
    """Return how many connections of callers may be open."""
    conns = max(0, max_descriptors - FILE_DESCRIPTORS)
    return max(MIN_CONNS, int(conns * (1.0 - OWN_CONNS_SHARE)))


def _share(memory_bytes: int, needed_bytes: int, share: float) -> int:
    return max(MIN_BYTES, int((memory_bytes - needed_bytes) * share))
