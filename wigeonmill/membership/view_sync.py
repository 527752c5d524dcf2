"""Decides when to compare whole views, and keeps what then differs."""

from wigeonmill.clock import Clock
from wigeonmill.membership.member import Member
from wigeonmill.membership.view import View

# Exchanges with differing digests before a whole view is asked for, and
# the least time between two such requests.
DIFFERING_DIGESTS = 3
SYNC_PAUSE_MS = 5_000.0


class ViewSync:
    """Repairs what rumors missed, as after a partition."""

    __slots__ = ('_view', '_clock', '_differing', '_synced_ms', '_disputed')

    def __init__(self, view: View, clock: Clock) -> None:
        self._view = view
        self._clock = clock
        self._differing = 0
        self._synced_ms = float('-inf')
        self._disputed: dict[str, None] = {}

    def due(self, digest: int) -> bool:
        """Take a peer's digest; True if its whole view is to be asked for.

        While rumors are under way views differ, which means nothing.
        """
        if digest == self._view.digest or self._view.has_news:
            self._differing = 0
            return False
        self._differing += 1
        now_ms = self._clock.now_ms()
        if self._differing < DIFFERING_DIGESTS:
            return False
        if now_ms - self._synced_ms < SYNC_PAUSE_MS:
            return False
        self._synced_ms = now_ms
        self._differing = 0
        return True

    def take(self, accounts: list[Member]) -> None:
        """Merge a peer's whole view; pass on what it does not have."""
        named = {account.name for account in accounts}
        for account in accounts:
            if self._view.take_synced(account):
                self._disputed[account.name] = None
        alive = self._view.alive()
        self._view.queue(m.name for m in alive if m.name not in named)

    def take_disputed(self, limit: int) -> list[Member]:
        """Return up to `limit` members to be asked themselves."""
        names = list(self._disputed)[:limit]
        for name in names:
            del self._disputed[name]
        members = (self._view.members.get(name) for name in names)
        return [member for member in members if member is not None]
