"""Messages between claim stores and the owners of shards."""

import enum
from typing import Protocol

import msgspec
from result import Result

from wigeonmill.claims.record import ClaimRecord
from wigeonmill.claims.record import KeyStatus


class OwnerAction(enum.IntEnum):
    """The operation that a request applies to a key."""

    CLAIM = 1
    ANSWER = 2
    VOID = 3


class OwnerRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks the owner of `shard` to change the state of the key `name`.

    `record` is the state to be stored. The request is idempotent for one
    token.
    """

    action: OwnerAction
    shard: int
    name: str
    record: ClaimRecord


class OwnerStatus(enum.IntEnum):
    """The result of a request to an owner."""

    # The requested state is durable.
    DONE = 1
    # The key is in another state; see `standing` and `record`.
    OTHER = 2
    # Not durable yet; the request is to be retried.
    PENDING = 3
    # The replying process does not own the shard.
    NOT_OWNER = 4
    # The shard has reached one of its limits.
    FULL = 5
    # The claim does not exist or no longer exists.
    GONE = 6


class OwnerReply(msgspec.Struct, frozen=True, array_like=True):
    """An owner's reply; if OTHER, with the key's status and record."""

    status: OwnerStatus
    standing: KeyStatus = KeyStatus.FREE
    record: ClaimRecord | None = None


class TransportError(msgspec.Struct, frozen=True):
    """No reply; `reached` means that the owner may merely be slow."""

    message: str
    reached: bool


class OwnerTransport(Protocol):
    """Sends requests to the process at an inner address (IP:port)."""

    async def ask(
        self, address: str, request: OwnerRequest, timeout_ms: float
    ) -> Result[OwnerReply, TransportError]:
        """Return the owner's reply within `timeout_ms`."""


def encode_request(request: OwnerRequest) -> bytes:
    """Encode a request for the inner protocol."""
    return msgspec.msgpack.encode(request)


def decode_request(data: bytes) -> OwnerRequest:
    """Decode a request; raises msgspec.DecodeError when malformed."""
    return msgspec.msgpack.decode(data, type=OwnerRequest)


def encode_reply(reply: OwnerReply) -> bytes:
    """Encode a reply for the inner protocol."""
    return msgspec.msgpack.encode(reply)


def decode_reply(data: bytes) -> OwnerReply:
    """Decode a reply; raises msgspec.DecodeError when malformed."""
    return msgspec.msgpack.decode(data, type=OwnerReply)
