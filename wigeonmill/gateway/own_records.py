"""Records that the entries write to the key-value service."""

import logging
from typing import TypeVar

import msgspec

from wigeonmill.gateway.mirror import Record

logger = logging.getLogger(__name__)

T = TypeVar('T')

PREFIX = 'wigeonmill/'
ENTRY_PREFIX = 'wigeonmill/entries/'
LEADER_KEY = 'wigeonmill/leader'
ROLLOUT_KEY = 'wigeonmill/rollout'
INNER_KEY = 'wigeonmill/inner-key'
SOFTWARE_VERSIONS_KEY = 'wigeonmill/software-versions'
ORIGINS_PREFIX = 'wigeonmill/origins/'
PART_QUARANTINES_KEY = 'wigeonmill/part-quarantines'
SOFTWARE_ROLLOUT_PREFIX = 'wigeonmill/rollouts/'


class EntryRecord(msgspec.Struct, frozen=True):
    """An entry, its inner address (IP:port) and the rate of its link.

    The rate is 0 if it is not known, as in records of older builds.
    """

    address: str
    link_mbps: float = 0.0


class LeaderRecord(msgspec.Struct, frozen=True):
    """The leader, which orders weights; `nonce` distinguishes its terms."""

    entry: str
    nonce: str


class RolloutRecord(msgspec.Struct, frozen=True):
    """A weight rollout in progress.

    `loading` lists the targets that get no new work, `loaded` the versions
    that other targets have reported. `ordered` lists the targets that the
    leader with this `fence` ordered recently or is about to order.
    """

    model: str
    version: int
    loading: list[str]
    loaded: dict[str, int]
    ordered: list[str] = []
    fence: int = 0


class SoftwareVersionsRecord(msgspec.Struct, frozen=True):
    """The software versions that each service's targets had recently.

    A target that states no version is listed as an empty one.
    """

    versions: dict[str, list[str]]


class OriginsRecord(msgspec.Struct, frozen=True):
    """The requests that began streams, by service and software version."""

    origins: dict[str, dict[str, list[str]]]


class SoftwareRolloutRecord(msgspec.Struct, frozen=True):
    """The rollout of a software version at one service.

    `order` is the revision of the order, `from_versions` are those that the
    service had when the leader began, `left_out` those that earlier orders
    left without requests. `why` tells operators about `stage`.
    """

    order: int
    version: str
    stage: str
    started_unix_ms: int
    stage_unix_ms: int
    from_versions: list[str] = []
    left_out: list[str] = []
    why: str = ''


class PartQuarantineRecord(msgspec.Struct, frozen=True):
    """Parts of a quarantine, as hexadecimal keys, and its wall time.

    `probe_sent` is set once a request was sent in spite of it.
    """

    parts: list[str]
    since_unix_ms: int
    probe_sent: bool = False


class PartQuarantinesRecord(msgspec.Struct, frozen=True):
    """The quarantined prompt parts."""

    quarantines: list[PartQuarantineRecord]


def decode_own(record: Record, kind: type[T]) -> T | None:
    """Return a record's value, or None if it is removed or malformed."""
    if record.value is None:
        return None
    try:
        return msgspec.json.decode(record.value, type=kind)
    except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as exc:
        logger.warning(
            'malformed record',
            extra={'key': record.key, 'detail': str(exc)},
        )
        return None
