"""The stored state of an idempotency key and what it means to attempts."""

import enum
import hashlib

import msgspec

from wigeonmill.claims.model import Claimed
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import StoredAnswer

# A claim still counts as in progress for this long after its deadline.
EXPIRY_MARGIN_MS = 2_000
NAME_BYTES = 20


class ClaimState(enum.IntEnum):
    """The state of a key."""

    CLAIMED = 1
    ANSWERED = 2
    # Nothing was sent; the key may be claimed again.
    VOIDED = 3


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """The latest stored state of one key."""

    state: ClaimState
    token: bytes
    digest: bytes
    holder: Holder
    expires_wall_ms: int
    answer: StoredAnswer | None = None

    def answered(self, answer: StoredAnswer) -> 'ClaimRecord':
        """Return the record with the answer of its call."""
        return msgspec.structs.replace(
            self, state=ClaimState.ANSWERED, answer=answer
        )

    def voided(self) -> 'ClaimRecord':
        """Return the record that frees the key."""
        return msgspec.structs.replace(self, state=ClaimState.VOIDED)


class KeyStatus(enum.Enum):
    """What a key's record means for one attempt."""

    FREE = 'free'
    OWN = 'own'
    OWN_VOIDED = 'own_voided'
    REUSED = 'reused'
    ANSWERED = 'answered'
    IN_PROGRESS = 'in_progress'
    UNKNOWN = 'unknown'


def make_record(
    token: bytes, digest: bytes, holder: Holder, expires_wall_ms: int
) -> ClaimRecord:
    """Return the record of a new claim."""
    state = ClaimState.CLAIMED
    return ClaimRecord(state, token, digest, holder, expires_wall_ms)


def record_for(claim: Claimed, holder: Holder) -> ClaimRecord:
    """Return the record under which a granted claim was stored."""
    return make_record(
        claim.token, claim.digest, holder, claim.expires_wall_ms
    )


def classify(
    record: ClaimRecord | None,
    token: bytes,
    digest: bytes,
    requester: Holder,
    wall_ms: int,
) -> KeyStatus:
    """Return what `record` means for the attempt with `token`."""
    if record is None:
        return KeyStatus.FREE
    if record.state is ClaimState.VOIDED:
        own = record.token == token
        return KeyStatus.OWN_VOIDED if own else KeyStatus.FREE
    if record.digest != digest:
        return KeyStatus.REUSED
    if record.state is ClaimState.ANSWERED:
        return KeyStatus.ANSWERED
    if record.token == token:
        return KeyStatus.OWN
    if _is_holder_gone(record, requester, wall_ms):
        return KeyStatus.UNKNOWN
    return KeyStatus.IN_PROGRESS


def _is_holder_gone(
    record: ClaimRecord, requester: Holder, wall_ms: int
) -> bool:
    # Clock skew cannot cause a second dispatch: a claim never passes to
    # another attempt, so this only decides between Unknown and InProgress.
    same_name = record.holder.name == requester.name
    if same_name and record.holder.incarnation != requester.incarnation:
        return True
    return wall_ms > record.expires_wall_ms


def key_name(service: str, team: str, idempotency_key: str) -> str:
    """Return the hex digest that names a team's key for one service."""
    digest = hashlib.blake2b(digest_size=NAME_BYTES)
    for part in (service, team, idempotency_key):
        data = part.encode()
        digest.update(len(data).to_bytes(8, 'big'))
        digest.update(data)
    return digest.hexdigest()


def encode_record(record: ClaimRecord) -> bytes:
    """Encode a record for the key-value service."""
    return msgspec.msgpack.encode(record)


def decode_record(data: bytes) -> ClaimRecord:
    """Decode a record; raises msgspec.DecodeError when malformed."""
    return msgspec.msgpack.decode(data, type=ClaimRecord)
