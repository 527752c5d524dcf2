"""Derives from the machine what callers may make a process hold.

Load: clients outside the limits of the configuration, each with as many
connections as it likes. A process without descriptors reaches neither targets
nor the key-value service.
"""

# Descriptors that are left to files, and the share of the others that is left
# to the process's own connections.
FILE_DESCRIPTORS = 200
OWN_CONNS_SHARE = 0.25
# Where fewer descriptors are allowed than are left to files.
MIN_CONNS = 8


def caller_conns_limit(max_descriptors: int) -> int:
    """Return how many connections of callers may be open."""
    conns = max(0, max_descriptors - FILE_DESCRIPTORS)
    return max(MIN_CONNS, int(conns * (1.0 - OWN_CONNS_SHARE)))
