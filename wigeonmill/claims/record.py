"""The state of one idempotency key and the decisions made on it."""

import enum
import hashlib

import msgspec

from wigeonmill.claims.model import Claimed
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import StoredAnswer

# A holder's claim counts as in progress this long past its deadline.
EXPIRY_MARGIN_MS = 2_000
NAME_BYTES = 20


class ClaimState(enum.IntEnum):
    """What is known of a key."""

    CLAIMED = 1
    ANSWERED = 2
    # Nothing was sent; the key may be claimed anew.
    VOIDED = 3


class ClaimRecord(msgspec.Struct, frozen=True, array_like=True):
    """The last state of one key as stored."""

    state: ClaimState
    token: bytes
    digest: bytes
    holder: Holder
    expires_wall_ms: int
    answer: StoredAnswer | None = None

    def answered(self, answer: StoredAnswer) -> 'ClaimRecord':
        """Return the record once its call was answered."""
        return msgspec.structs.replace(
            self, state=ClaimState.ANSWERED, answer=answer
        )

    def voided(self) -> 'ClaimRecord':
        """Return the record that frees the key."""
        return msgspec.structs.replace(self, state=ClaimState.VOIDED)


class Standing(enum.Enum):
    """How a key's record stands to one attempt."""

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


def record_of(claim: Claimed, holder: Holder) -> ClaimRecord:
    """Return the record that a granted claim was stored as."""
    return make_record(
        claim.token, claim.digest, holder, claim.expires_wall_ms
    )


def standing(
    record: ClaimRecord | None,
    token: bytes,
    digest: bytes,
    asker: Holder,
    wall_ms: int,
) -> Standing:
    """Return how `record` stands to the attempt with `token`."""
    if record is None:
        return Standing.FREE
    if record.state is ClaimState.VOIDED:
        own = record.token == token
        return Standing.OWN_VOIDED if own else Standing.FREE
    if record.digest != digest:
        return Standing.REUSED
    if record.state is ClaimState.ANSWERED:
        return Standing.ANSWERED
    if record.token == token:
        return Standing.OWN
    if _holder_gone(record, asker, wall_ms):
        return Standing.UNKNOWN
    return Standing.IN_PROGRESS


def _holder_gone(record: ClaimRecord, asker: Holder, wall_ms: int) -> bool:
    # Only the wording of a refusal hangs on this: a claim is never passed
    # to another attempt, so clock skew cannot cause a second dispatch.
    same_name = record.holder.name == asker.name
    if same_name and record.holder.incarnation != asker.incarnation:
        return True
    return wall_ms > record.expires_wall_ms


def key_name(service: str, team: str, idempotency_key: str) -> str:
    """Return the key-value name part of one team's idempotency key."""
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
