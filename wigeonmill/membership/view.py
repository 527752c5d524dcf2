"""One process's view of all the others; no I/O, the clock is passed in."""

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
    """Times in ms; `frozen_share` of silent members stops removals.

    Without any contact for `cut_off_ms` the observer itself counts as cut
    off: with `few_neighbors` or fewer it may still suspect, never remove.
    """

    suspect_ms: float = 5_000.0
    cut_off_ms: float = 2_000.0
    forget_ms: float = 2 * 3_600_000.0
    frozen_share: float = 0.5
    few_neighbors: int = 2
    max_gone: int = 4096


class View:
    """Merges accounts of members and decides on suspicion and removal.

    `version` rises with each change of any member's account.
    """

    __slots__ = (
        'me',
        'version',
        'superseded',
        'members',
        'digest',
        '_clock',
        '_limits',
        '_since',
        '_last_contact_ms',
        '_news',
    )

    def __init__(
        self, me: Member, clock: Clock, limits: ViewLimits | None = None
    ) -> None:
        self.me = me
        self.version = 0
        # True once a later process bears this process's name.
        self.superseded = False
        # Every other member by name.
        self.members: dict[str, Member] = {}
        self.digest = me.digest
        self._clock = clock
        self._limits = limits or ViewLimits()
        # When each member that is not alive came into its state.
        self._since: dict[str, float] = {}
        self._last_contact_ms = clock.now_ms()
        self._news: dict[str, Member] = {me.name: me}

    def all_members(self) -> list[Member]:
        """Return every member, this process first."""
        return [self.me, *self.members.values()]

    def alive(self) -> list[Member]:
        """Return the other members that are alive."""
        return [m for m in self.members.values() if m.state is State.ALIVE]

    @property
    def alive_count(self) -> int:
        """Number of members that are alive, this process included."""
        return 1 + len(self.members) - len(self._since)

    def suspects(self) -> list[Member]:
        """Return the other members that are suspect."""
        return [m for m in self._not_alive() if m.state is State.SUSPECT]

    def gone(self) -> list[Member]:
        """Return the members that are dead or have left."""
        return [m for m in self._not_alive() if not m.state.present]

    def merge_update(self, account: Member) -> bool:
        """Merge a rumor; returns whether it was news, to be passed on."""
        if account.name == self.me.name:
            return self._take_own(account)
        old = self.members.get(account.name)
        if old is None:
            if not account.state.present and self._is_full_of_gone():
                return False
            self._put(account)
            return True
        merged = merge(old, account)
        if supersedes(account, old):
            self._put(merged)
            return True
        self.members[account.name] = merged
        return False

    def take_synced(self, account: Member) -> bool:
        """Merge an account of a whole view that a peer sent.

        A different state at the same age is left as it is: returns True,
        so that the caller asks the member itself.
        """
        if account.name == self.me.name:
            self._take_own(account)
            return False
        old = self.members.get(account.name)
        if old is not None and old.age_key == account.age_key:
            return old.state is not account.state
        was_news = account.name in self._news
        self.merge_update(account)
        if not was_news:
            self._news.pop(account.name, None)
        return False

    def queue(self, names: Iterable[str]) -> None:
        """Pass on the present accounts of `names` once more."""
        for name in names:
            held = self._held(name)
            if held is not None:
                self._news[name] = held

    def record_contact(self) -> None:
        """Note that some peer answered or asked just now."""
        self._last_contact_ms = self._clock.now_ms()

    def suspect(self, name: str, neighbors: int) -> bool:
        """Take failed probes of a member; returns whether it is news."""
        member = self.members.get(name)
        if member is None or member.state is not State.ALIVE:
            return False
        if self.cut_off and neighbors > self._limits.few_neighbors:
            return False
        return self.merge_update(member.with_state(State.SUSPECT))

    def tick(self) -> list[Member]:
        """Remove overdue suspects, forget the long gone.

        Returns the members removed just now.
        """
        now_ms = self._clock.now_ms()
        removed = []
        if not self.frozen:
            for member in self.suspects():
                waited_ms = now_ms - self._since[member.name]
                if waited_ms >= self._limits.suspect_ms:
                    removed.append(member.with_state(State.DEAD))
        for member in removed:
            self.merge_update(member)
        self._forget(now_ms)
        return removed

    def leave(self) -> None:
        """Say goodbye: this process takes no more part."""
        later = self.me.with_heartbeat(self.me.heartbeat + 1)
        self._set_me(later.with_state(State.LEFT))

    def set_serial(self, serial: int) -> None:
        """Note the serial in force here; it is no news to pass on."""
        self.me = self.me.with_serial(serial)

    def pop_updates(self, limit: int) -> list[Member]:
        """Return up to `limit` accounts to pass on, each once."""
        names = list(self._news)[:limit]
        return [self._news.pop(name) for name in names]

    @property
    def has_news(self) -> bool:
        """Whether accounts wait to be passed on."""
        return bool(self._news)

    @property
    def cut_off(self) -> bool:
        """Whether no peer at all has been heard of late."""
        silent_ms = self._clock.now_ms() - self._last_contact_ms
        return silent_ms >= self._limits.cut_off_ms

    @property
    def frozen(self) -> bool:
        """Whether removals wait, as the fault may be the observer's."""
        if self.cut_off:
            return True
        suspects = len(self.suspects())
        present = suspects + self.alive_count
        return suspects >= self._limits.frozen_share * present

    def _take_own(self, account: Member) -> bool:
        if account.incarnation > self.me.incarnation:
            return self._take_later_namesake(account)
        if not supersedes(account, self.me) or self.me.state is State.LEFT:
            return False
        self._set_me(self.me.with_heartbeat(account.heartbeat + 1))
        return True

    def _take_later_namesake(self, account: Member) -> bool:
        if account.state.present:
            self.superseded = True
            self.version += 1
            return False
        # The other one is gone; only its clock was ahead of this one's.
        incarnation = account.incarnation
        renewed = replace(self.me, incarnation=incarnation)
        self._set_me(renewed.with_heartbeat(account.heartbeat + 1))
        return True

    def _set_me(self, me: Member) -> None:
        self.digest ^= _weight(self.me) ^ _weight(me)
        self.me = me
        self.version += 1
        self._news[me.name] = me

    def _put(self, member: Member) -> None:
        old = self.members.get(member.name)
        if old is not None:
            self.digest ^= _weight(old)
        self.digest ^= _weight(member)
        self.members[member.name] = member
        self.version += 1
        self._news[member.name] = member
        self._since.pop(member.name, None)
        if member.state is not State.ALIVE:
            self._since[member.name] = self._clock.now_ms()

    def _forget(self, now_ms: float) -> None:
        for member in self.gone():
            waited_ms = now_ms - self._since[member.name]
            if waited_ms >= self._limits.forget_ms:
                self._drop(member)

    def _drop(self, member: Member) -> None:
        del self.members[member.name]
        self._since.pop(member.name, None)
        self._news.pop(member.name, None)
        self.version += 1

    def _is_full_of_gone(self) -> bool:
        return len(self.gone()) >= self._limits.max_gone

    def _held(self, name: str) -> Member | None:
        return self.me if name == self.me.name else self.members.get(name)

    def _not_alive(self) -> list[Member]:
        return [self.members[name] for name in self._since]


def _weight(member: Member) -> int:
    """Return a member's part of the digest; the gone have none."""
    return member.digest if member.state.present else 0
