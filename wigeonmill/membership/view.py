"""One process's view of all others, without I/O; the clock is passed in."""

from collections.abc import Iterable
from dataclasses import dataclass
from dataclasses import replace

from wigeonmill.clock import Clock
from wigeonmill.membership.member import Member
from wigeonmill.membership.member import merge
from wigeonmill.membership.member import State
from wigeonmill.membership.member import supersedes


@dataclass(frozen=True, slots=True)
class ViewLimits:
    """Limits of suspicion and removal, with times in ms.

    Removals stop while at least the share `frozen_share` of the members is
    suspect.
    Without any contact for `cut_off_ms`, the observer itself counts as cut
    off: it removes nobody, and it suspects members only if it has at most
    `few_neighbors` neighbors.
    """

    suspect_ms: float = 5_000.0
    cut_off_ms: float = 2_000.0
    forget_ms: float = 2 * 3_600_000.0
    frozen_share: float = 0.5
    few_neighbors: int = 2
    max_gone: int = 4096


class View:
    """Merges updates of members and decides on suspicion and removal.

    `version` increases with each change of a member, except of its
    configuration serial.
    """

    __slots__ = (
        'me',
        'version',
        'superseded',
        'members',
        'digest',
        '_clock',
        '_limits',
        '_not_alive_since',
        '_last_contact_ms',
        '_pending_updates',
    )

    def __init__(
        self, me: Member, clock: Clock, limits: ViewLimits | None = None
    ) -> None:
        self.me = me
        self.version = 0
        # True once a later process uses this process's name.
        self.superseded = False
        # Every other member by name.
        self.members: dict[str, Member] = {}
        self.digest = me.digest
        self._clock = clock
        self._limits = limits or ViewLimits()
        # When each member that is not alive entered its state.
        self._not_alive_since: dict[str, float] = {}
        self._last_contact_ms = clock.now_ms()
        self._pending_updates: dict[str, Member] = {me.name: me}

    def all_members(self) -> list[Member]:
        """Return every member, this process first."""
        return [self.me, *self.members.values()]

    def alive(self) -> list[Member]:
        """Return the other members that are alive."""
        return [m for m in self.members.values() if m.state is State.ALIVE]

    @property
    def alive_count(self) -> int:
        """Number of members that are alive, including this process."""
        return 1 + len(self.members) - len(self._not_alive_since)

    def suspects(self) -> list[Member]:
        """Return the other members that are suspect."""
        return [m for m in self._not_alive() if m.state is State.SUSPECT]

    def gone(self) -> list[Member]:
        """Return the members that are dead or have left."""
        return [m for m in self._not_alive() if not m.state.present]

    def merge_update(self, update: Member) -> bool:
        """Merge an update; return whether it was new and is to be sent on."""
        if update.name == self.me.name:
            return self._merge_own(update)
        old = self.members.get(update.name)
        if old is None:
            if not update.state.present and self._has_max_gone():
                return False
            self._store(update)
            return True
        merged = merge(old, update)
        if supersedes(update, old):
            self._store(merged)
            return True
        self.members[update.name] = merged
        return False

    def merge_synced(self, update: Member) -> bool:
        """Merge a record from a peer's whole view.

        A different state at the same version is a conflict: the record is
        left unchanged and True is returned, so that the caller probes the
        member itself.
        """
        if update.name == self.me.name:
            self._merge_own(update)
            return False
        old = self.members.get(update.name)
        if old is not None and old.version_key == update.version_key:
            return old.state is not update.state
        was_pending = update.name in self._pending_updates
        self.merge_update(update)
        if not was_pending:
            self._pending_updates.pop(update.name, None)
        return False

    def requeue(self, names: Iterable[str]) -> None:
        """Queue the current records of `names` to be sent again."""
        for name in names:
            known = self._find(name)
            if known is not None:
                self._pending_updates[name] = known

    def record_contact(self) -> None:
        """Record that a message from some peer has just arrived."""
        self._last_contact_ms = self._clock.now_ms()

    def suspect(self, name: str, neighbors: int) -> bool:
        """Mark a member as suspect; return whether its state has changed."""
        member = self.members.get(name)
        if member is None or member.state is not State.ALIVE:
            return False
        if self.cut_off and neighbors > self._limits.few_neighbors:
            return False
        return self.merge_update(member.with_state(State.SUSPECT))

    def tick(self) -> list[Member]:
        """Remove overdue suspects and drop members gone for too long.

        Returns the newly removed members.
        """
        now_ms = self._clock.now_ms()
        removed = []
        if not self.frozen:
            for member in self.suspects():
                elapsed_ms = now_ms - self._not_alive_since[member.name]
                if elapsed_ms >= self._limits.suspect_ms:
                    removed.append(member.with_state(State.DEAD))
        for member in removed:
            self.merge_update(member)
        self._drop_expired(now_ms)
        return removed

    def leave(self) -> None:
        """Mark this process as having left."""
        renewed = self.me.with_heartbeat(self.me.heartbeat + 1)
        self._set_me(renewed.with_state(State.LEFT))

    def set_serial(self, serial: int) -> None:
        """Set the serial in force here, which is not sent as an update."""
        self.me = self.me.with_serial(serial)

    def pop_updates(self, limit: int) -> list[Member]:
        """Remove and return up to `limit` pending updates."""
        names = list(self._pending_updates)[:limit]
        return [self._pending_updates.pop(name) for name in names]

    @property
    def has_pending_updates(self) -> bool:
        """Whether updates are waiting to be sent."""
        return bool(self._pending_updates)

    @property
    def cut_off(self) -> bool:
        """Whether there was no recent contact with any peer."""
        silent_ms = self._clock.now_ms() - self._last_contact_ms
        return silent_ms >= self._limits.cut_off_ms

    @property
    def frozen(self) -> bool:
        """Whether removals stop, as the observer itself may be at fault."""
        if self.cut_off:
            return True
        suspects = len(self.suspects())
        present = suspects + self.alive_count
        return suspects >= self._limits.frozen_share * present

    def _merge_own(self, update: Member) -> bool:
        if update.incarnation > self.me.incarnation:
            return self._merge_later_incarnation(update)
        if not supersedes(update, self.me) or self.me.state is State.LEFT:
            return False
        self._set_me(self.me.with_heartbeat(update.heartbeat + 1))
        return True

    def _merge_later_incarnation(self, update: Member) -> bool:
        if update.state.present:
            self.superseded = True
            self.version += 1
            return False
        # The other process is gone; its clock was ahead of this one's.
        incarnation = update.incarnation
        renewed = replace(self.me, incarnation=incarnation)
        self._set_me(renewed.with_heartbeat(update.heartbeat + 1))
        return True

    def _set_me(self, me: Member) -> None:
        self.digest ^= _digest_part(self.me) ^ _digest_part(me)
        self.me = me
        self.version += 1
        self._pending_updates[me.name] = me

    def _store(self, member: Member) -> None:
        old = self.members.get(member.name)
        if old is not None:
            self.digest ^= _digest_part(old)
        self.digest ^= _digest_part(member)
        self.members[member.name] = member
        self.version += 1
        self._pending_updates[member.name] = member
        self._not_alive_since.pop(member.name, None)
        if member.state is not State.ALIVE:
            self._not_alive_since[member.name] = self._clock.now_ms()

    def _drop_expired(self, now_ms: float) -> None:
        for member in self.gone():
            elapsed_ms = now_ms - self._not_alive_since[member.name]
            if elapsed_ms >= self._limits.forget_ms:
                self._drop(member)

    def _drop(self, member: Member) -> None:
        del self.members[member.name]
        self._not_alive_since.pop(member.name, None)
        self._pending_updates.pop(member.name, None)
        self.version += 1

    def _has_max_gone(self) -> bool:
        return len(self.gone()) >= self._limits.max_gone

    def _find(self, name: str) -> Member | None:
        return self.me if name == self.me.name else self.members.get(name)

    def _not_alive(self) -> list[Member]:
        return [self.members[name] for name in self._not_alive_since]


def _digest_part(member: Member) -> int:
    """Return a member's part of the view's digest, 0 for gone members."""
    return member.digest if member.state.present else 0
