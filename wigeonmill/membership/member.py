"""The record of one process and how two records of it are merged."""

from dataclasses import dataclass
from dataclasses import replace
import enum

import xxhash

from wigeonmill.protocol.gen.inner.ttypes import MemberState

# Digests are sent as non-negative i64 values.
_DIGEST_MASK = (1 << 63) - 1


class State(enum.IntEnum):
    """A process's state; at equal versions, a merge keeps the higher one."""

    ALIVE = 0
    SUSPECT = 1
    DEAD = 2
    LEFT = 3

    @property
    def present(self) -> bool:
        """Whether the process may still be running."""
        return self in (State.ALIVE, State.SUSPECT)


@dataclass(frozen=True, slots=True)
class Member:
    """One process; `incarnation` is its start in ms since the Unix epoch.

    A process increments its own `heartbeat` to refute a false record.
    """

    name: str
    role: str
    address: str
    failure_domain: str
    region: str
    target: str
    incarnation: int
    heartbeat: int = 0
    state: State = State.ALIVE
    config_serial: int = 0

    @property
    def version_key(self) -> tuple[int, int]:
        """The version of the record, compared before the state."""
        return (self.incarnation, self.heartbeat)

    @property
    def digest(self) -> int:
        """A hash of the record, without the configuration's serial."""
        text = f'{self.name}|{self.incarnation}|{self.heartbeat}|{self.state}'
        return xxhash.xxh64_intdigest(text.encode()) & _DIGEST_MASK

    def with_state(self, state: State) -> 'Member':
        """Return the same record with another state."""
        return replace(self, state=state)

    def with_heartbeat(self, heartbeat: int) -> 'Member':
        """Return the record as alive with the given heartbeat."""
        return replace(self, heartbeat=heartbeat, state=State.ALIVE)

    def with_serial(self, serial: int) -> 'Member':
        """Return the same record with another configuration serial."""
        return replace(self, config_serial=serial)


def merge(one: Member, other: Member) -> Member:
    """Merge two records of one process.

    The merge is commutative, associative and idempotent.
    """
    newer = max(one, other, key=_sort_key)
    if one.incarnation != other.incarnation:
        return newer
    serial = max(one.config_serial, other.config_serial)
    if serial == newer.config_serial:
        return newer
    return newer.with_serial(serial)


def supersedes(new: Member, old: Member) -> bool:
    """Return whether `new` has a higher version than `old`.

    At equal versions, the state decides.
    """
    return _sort_key(new)[:3] > _sort_key(old)[:3]


def to_wire(member: Member) -> MemberState:
    """Return the wire form of a member."""
    return MemberState(
        member.name,
        member.role,
        member.address,
        member.failure_domain,
        member.incarnation,
        member.heartbeat,
        int(member.state),
        member.config_serial,
        member.region,
        member.target,
    )


def from_wire(wire: MemberState) -> Member | None:
    """Return the member of a wire form; None if it is malformed."""
    states = frozenset(int(state) for state in State)
    if not wire.name or not wire.address or wire.state not in states:
        return None
    return Member(
        wire.name,
        wire.role or '',
        wire.address,
        wire.failure_domain or '',
        wire.region or '',
        wire.target or '',
        wire.incarnation or 0,
        wire.heartbeat or 0,
        State(wire.state),
        wire.config_serial or 0,
    )


def _sort_key(member: Member) -> tuple[int, int, int, str, str, str, str, str]:
    # The remaining fields make the order total for any two records.
    return (
        member.incarnation,
        member.heartbeat,
        int(member.state),
        member.address,
        member.role,
        member.failure_domain,
        member.region,
        member.target,
    )
