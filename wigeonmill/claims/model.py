"""Requests, outcomes and errors of the claim store."""

from collections.abc import Callable
import enum
import hashlib
import secrets
from typing import Protocol

import msgspec
from result import Result

TOKEN_BYTES = 16
MAX_KEY_BYTES = 512
# A larger answer (headers and body) is stored without its content.
MAX_STORED_ANSWER_BYTES = 16 * 1024
# record() and void() continue in the background after this time.
COMPLETE_WAIT_MS = 1_000.0

# Counters that every implementation exposes.
OUTCOMES = 'claim_outcomes'
REFUSALS = 'claim_refusals'
RETRIES = 'claim_retries'

TokenFactory = Callable[[], bytes]


def make_token() -> bytes:
    """Return a random token that is unique to one attempt."""
    return secrets.token_bytes(TOKEN_BYTES)


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the SHA-256 digest of a call's method, path and body."""
    sha = hashlib.sha256()
    for part in (method.encode(), path.encode(), body):
        sha.update(len(part).to_bytes(8, 'big'))
        sha.update(part)
    return sha.digest()


class Holder(msgspec.Struct, frozen=True, array_like=True):
    """The process that made a claim."""

    name: str
    incarnation: int


class ClaimRequest(msgspec.Struct, frozen=True):
    """Requests the exclusive right to dispatch a call.

    `digest` covers method, path and body. `deadline_ms` is the remaining
    time, of which up to `wait_ms` may be spent waiting for the answer of
    another holder.
    """

    team: str
    service: str
    idempotency_key: str
    digest: bytes
    deadline_ms: float
    wait_ms: float = 0.0


class AnswerHeader(msgspec.Struct, frozen=True, array_like=True):
    """One header of a stored answer."""

    name: str
    value: str


class StoredAnswer(msgspec.Struct, frozen=True, array_like=True):
    """A target's answer, stored to be replayed when the call is repeated.

    If `body_kept` is false, only the status and the body's length and
    SHA-256 digest are stored, because the answer exceeded
    MAX_STORED_ANSWER_BYTES.
    """

    status: int
    headers: list[AnswerHeader]
    body: bytes
    body_length: int
    body_digest: bytes
    body_kept: bool = True


def make_answer(
    status: int, headers: list[AnswerHeader], body: bytes
) -> StoredAnswer:
    """Return the answer to store, without headers and body if too large."""
    digest = hashlib.sha256(body).digest()
    header_bytes = sum(len(h.name) + len(h.value) for h in headers)
    if len(body) + header_bytes > MAX_STORED_ANSWER_BYTES:
        return StoredAnswer(status, [], b'', len(body), digest, False)
    return StoredAnswer(status, headers, body, len(body), digest)


class Claimed(msgspec.Struct, frozen=True):
    """The exclusive, non-transferable right to dispatch a call once.

    `version` and `lease` locate the claim in the key-value service.
    """

    team: str
    service: str
    key: str
    token: bytes
    digest: bytes
    version: int = 0
    lease: int = 0
    expires_wall_ms: int = 0


class Answered(msgspec.Struct, frozen=True):
    """The call has already run; the caller gets the stored answer."""

    answer: StoredAnswer


class InProgress(msgspec.Struct, frozen=True):
    """Another attempt holds the claim, which has not expired yet."""

    retry_after_ms: float


class Unknown(msgspec.Struct, frozen=True):
    """The call was claimed but not answered, and its holder is gone.

    The call may have run, so it is never dispatched again.
    """

    holder: Holder


ClaimOutcome = Claimed | Answered | InProgress | Unknown


class RefusalReason(enum.Enum):
    """Why a claim was refused."""

    # The idempotency key was already used for a call with other content.
    KEY_REUSED = 'key_reused'
    KEY_TOO_LARGE = 'key_too_large'
    # The claim was not resolved in the key-value service by the deadline.
    STORE_OUTAGE = 'store_outage'
    # The stored claims use a different layout from this process's.
    OTHER_LAYOUT = 'other_layout'
    # The store has reached its limit of claims.
    STORE_FULL = 'store_full'


class ClaimRefusal(msgspec.Struct, frozen=True):
    """The attempt was refused.

    `not_run` means that this attempt has not reached a target and never
    will. It covers earlier attempts with the same key only if `key_checked`
    is set: the store then showed that the key had no claim.
    """

    reason: RefusalReason
    not_run: bool
    key_checked: bool = False


class ClaimErrorKind(enum.Enum):
    """Why an answer or a void could not be stored."""

    STORE_OUTAGE = 'store_outage'
    # Not durable yet; the store keeps retrying.
    PENDING = 'pending'
    # The claim no longer exists: its retention expired or it was voided.
    CLAIM_GONE = 'claim_gone'


class ClaimError(msgspec.Struct, frozen=True):
    """A claim that could not be completed or voided."""

    kind: ClaimErrorKind
    message: str


class ClaimStore(Protocol):
    """Grants the right to dispatch a call to at most one attempt."""

    async def claim(
        self, request: ClaimRequest
    ) -> Result[ClaimOutcome, ClaimRefusal]:
        """Request the right to dispatch; only Claimed grants it, once."""

    async def record(
        self, claim: Claimed, answer: StoredAnswer
    ) -> Result[None, ClaimError]:
        """Store the answer for repeated calls; Ok once it is durable.

        After COMPLETE_WAIT_MS the result is PENDING and the store continues
        in the background, so that an outage does not delay the caller's
        answer.
        """

    async def void(self, claim: Claimed) -> Result[None, ClaimError]:
        """Free the key; allowed only if no byte was sent to the target.

        The result may be PENDING as with record(); until the void is
        durable, a repeated call may get Unknown.
        """

    async def close(self) -> None:
        """Finish work in progress, hand over owned shards and stop."""
