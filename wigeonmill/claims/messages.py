"""What the stores of several processes ask of a shard's owner."""

import enum
from typing import Protocol

import msgspec
from result import Result

from wigeonmill.claims.record import ClaimRecord
from wigeonmill.claims.record import Standing


class OwnerAction(enum.IntEnum):
    """What the owner is to do with a key."""

    CLAIM = 1
    ANSWER = 2
    VOID = 3


class OwnerRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks the owner of `shard` to move the key `name` on.

    `record` is the state that the asker wants stored. Asking again with the
    same token does no harm.
    """

    action: OwnerAction
    shard: int
    name: str
    record: ClaimRecord


class OwnerStatus(enum.IntEnum):
    """How an owner dealt with a request."""

    # The wanted state is durable.
    DONE = 1
    # The key is in another state; see `standing` and `record`.
    OTHER = 2
    # Not durable yet; ask again.
    PENDING = 3
    # The shard has another owner.
    NOT_OWNER = 4
    # The shard holds as much as its bound allows.
    FULL = 5
    # The claim is not there (any more).
    GONE = 6


class OwnerReply(msgspec.Struct, frozen=True, array_like=True):
    """An owner's answer."""

    status: OwnerStatus
    standing: Standing = Standing.FREE
    record: ClaimRecord | None = None


class TransportError(msgspec.Struct, frozen=True):
    """No reply; `reached` if the owner may only be slow."""

    message: str
    reached: bool


class OwnerTransport(Protocol):
    """Carries requests to the process at an inner address (IP:port)."""

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
