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
# Answers with more bytes of headers and body are kept without them.
KEEP_ANSWER_BYTES = 16 * 1024
# How long record() and void() wait before they go on in the background.
COMPLETE_WAIT_MS = 1_000.0

# Names of the counters that every implementation keeps.
OUTCOMES = 'claim_outcomes'
REFUSALS = 'claim_refusals'
RETRIES = 'claim_retries'

TokenFactory = Callable[[], bytes]


def make_token() -> bytes:
    """Return a token that no other attempt has."""
    return secrets.token_bytes(TOKEN_BYTES)


def request_digest(method: str, path: str, body: bytes) -> bytes:
    """Return the SHA-256 digest that identifies a call's content."""
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
    """Asks for the one right to dispatch a call.

    `digest` covers method, path and body. `deadline_ms` is the time left.
    Up to `wait_ms` of it is spent waiting for another holder's answer.
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
    """A target's answer as kept for repeats of the call.

    Without `body_kept` only the status and the body's length and SHA-256
    digest are there, because the answer was larger than the store keeps.
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
    """Return the answer to store; a large one without its content."""
    digest = hashlib.sha256(body).digest()
    header_bytes = sum(len(h.name) + len(h.value) for h in headers)
    if len(body) + header_bytes > KEEP_ANSWER_BYTES:
        return StoredAnswer(status, [], b'', len(body), digest, False)
    return StoredAnswer(status, headers, body, len(body), digest)


class Claimed(msgspec.Struct, frozen=True):
    """The one right to dispatch a call once; it is never handed on.

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
    """The call ran before; its answer is to be repeated."""

    answer: StoredAnswer


class InProgress(msgspec.Struct, frozen=True):
    """Another attempt holds the claim and has time left to answer."""

    retry_after_ms: float


class Unknown(msgspec.Struct, frozen=True):
    """The call was claimed, has no answer and its holder is gone.

    It may have run and is never run again.
    """

    holder: Holder


ClaimOutcome = Claimed | Answered | InProgress | Unknown


class RefusalReason(enum.Enum):
    """Why a claim was refused."""

    # The idempotency key was used for a call with other content.
    KEY_REUSED = 'key_reused'
    KEY_TOO_LARGE = 'key_too_large'
    # The claim was not settled in the key-value service by the deadline.
    STORE_OUTAGE = 'store_outage'
    # Stored claims have another layout than this process knows.
    OTHER_LAYOUT = 'other_layout'
    # The store holds as many claims as its bound allows.
    STORE_FULL = 'store_full'


class ClaimRefusal(msgspec.Struct, frozen=True):
    """The attempt was refused.

    `not_run` says that this attempt never reached a target and never will.
    It says nothing of earlier attempts with the same key unless
    `key_checked` is set: then the store showed that the key had no claim.
    """

    reason: RefusalReason
    not_run: bool
    key_checked: bool = False


class ClaimErrorKind(enum.Enum):
    """Why an answer or a void could not be stored."""

    STORE_OUTAGE = 'store_outage'
    # Not durable yet; the store goes on trying.
    PENDING = 'pending'
    # The claim is no longer there: retention is over or it was voided.
    CLAIM_GONE = 'claim_gone'


class ClaimError(msgspec.Struct, frozen=True):
    """A claim that could not be completed or voided."""

    kind: ClaimErrorKind
    message: str


class ClaimStore(Protocol):
    """Gives the right to dispatch a call to at most one attempt."""

    async def claim(
        self, request: ClaimRequest
    ) -> Result[ClaimOutcome, ClaimRefusal]:
        """Ask for the right to dispatch; only Claimed grants it, once."""

    async def record(
        self, claim: Claimed, answer: StoredAnswer
    ) -> Result[None, ClaimError]:
        """Store the answer for repeats; Ok when it is durable.

        After COMPLETE_WAIT_MS the outcome is PENDING and the store goes on
        in the background, so an outage does not hold the caller's answer.
        """

    async def void(self, claim: Claimed) -> Result[None, ClaimError]:
        """Free the key; only when no byte was sent to the target.

        PENDING as with record(); a repeat may get Unknown until then.
        """

    async def close(self) -> None:
        """Finish voids under way, hand over what is owned and stop."""
