"""The interface to the platform's key-value service."""

from dataclasses import dataclass
import enum
from typing import Protocol

from result import Result


class KvErrorKind(enum.Enum):
    """Why a key-value call failed and whether it took effect."""

    # The compared version differs; nothing was written.
    CONFLICT = 'conflict'
    # The service could not be reached or refused; nothing was written.
    UNAVAILABLE = 'unavailable'
    # The request was sent but no reply came; it may have taken effect.
    UNKNOWN = 'unknown'
    # The request is invalid (value too large, lease unknown).
    INVALID = 'invalid'


@dataclass(frozen=True, slots=True)
class KvError:
    """A failed key-value call.

    `received_bytes` of the body of its reply had arrived.
    """

    kind: KvErrorKind
    message: str
    received_bytes: int = 0


@dataclass(frozen=True, slots=True)
class KvEntry:
    """A stored value; `version` is its modification revision (1 or more)."""

    key: str
    value: bytes
    version: int
    lease: int = 0


@dataclass(frozen=True, slots=True)
class KvEvent:
    """A change of one key; `entry` is None if the key was deleted."""

    key: str
    revision: int
    entry: KvEntry | None


@dataclass(frozen=True, slots=True)
class KvWatchBatch:
    """Events in revision order; the next watch starts at `next_revision`."""

    events: list[KvEvent]
    next_revision: int


class LeasedKeys(Protocol):
    """Single keys with compare-and-swap, optionally bound to a lease.

    Methods return errors as values and raise nothing. A write reports
    UNKNOWN if it may or may not have taken effect; the caller has to read
    the key back. Values are limited to 1 MiB.
    """

    async def get(self, key: str) -> Result[KvEntry | None, KvError]:
        """Return the entry of `key`, or None if there is none."""

    async def compare_and_swap(
        self, key: str, expected_version: int, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        """Write `value` if the version matches (0: the key must not exist).

        Returns the new version. The key is deleted when its lease expires.
        """

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, KvError]:
        """Delete `key` if its version matches."""

    async def grant_lease(self, ttl_ms: int) -> Result[int, KvError]:
        """Return the id of a new lease with a TTL of `ttl_ms`."""

    async def keep_alive(self, lease: int) -> Result[None, KvError]:
        """Renew a lease for its full TTL; INVALID if it has expired."""

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        """Revoke a lease and delete its keys."""


class KeyValue(LeasedKeys, Protocol):
    """A key-value service with compare-and-swap, leases and watches."""

    async def list_prefix(
        self, prefix: str, limit: int = 0
    ) -> Result[list[KvEntry], KvError]:
        """Return the entries under `prefix` in key order (0: no limit)."""

    async def watch(
        self, prefix: str, from_revision: int, wait_ms: int
    ) -> Result[KvWatchBatch, KvError]:
        """Wait up to `wait_ms` for changes under `prefix`.

        `from_revision` 0 starts with the next change. An empty batch means
        that the wait timed out. INVALID if `from_revision` was compacted.
        """
