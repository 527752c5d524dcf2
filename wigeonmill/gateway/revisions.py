"""The order of changes across restores of the key-value service.

A service that is restored from a copy gives revisions out again and begins a
new era. A position combines era and revision in one integer, so that every
change of an era follows all changes of earlier eras. Wherever the gateway
orders changes, it uses positions. Calls to the service and messages to other
entries carry revisions.
"""

REVISION_BITS = 40
MAX_REVISION = (1 << REVISION_BITS) - 1
# Positions are signed 64-bit numbers where they are sent as fencing tokens.
MAX_ERA = (1 << (63 - REVISION_BITS)) - 1


def position(era: int, revision: int) -> int:
    """Return the position of a revision in an era.

    Raises ValueError if one of them is out of range.
    """
    if not (0 <= era <= MAX_ERA and 0 <= revision <= MAX_REVISION):
        raise ValueError(f'no position: era {era}, revision {revision}')
    return era << REVISION_BITS | revision


def era_of(at: int) -> int:
    """Return the era of a position."""
    return at >> REVISION_BITS


def revision_of(at: int) -> int:
    """Return the revision of a position within its era."""
    return at & MAX_REVISION
