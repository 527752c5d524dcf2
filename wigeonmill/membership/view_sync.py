"""Decides when to fetch a peer's whole view and tracks conflicts."""

from wigeonmill.clock import Clock
from wigeonmill.membership.member import Member
from wigeonmill.membership.view import View

# Number of exchanges with differing digests before a whole view is fetched,
# and the minimum time between two such fetches.
DIFFERING_DIGESTS = 3
SYNC_PAUSE_MS = 5_000.0


class ViewSync:
    """Repairs differences that updates missed, as after a partition."""

    __slots__ = ('_view', '_clock', '_differing', '_synced_ms', '_conflicting')

    def __init__(self, view: View, clock: Clock) -> None:
        self._view = view
        self._clock = clock
        self._differing = 0
        self._synced_ms = float('-inf')
        self._conflicting: dict[str, None] = {}

    def is_due(self, digest: int) -> bool:
        """Return whether the view of a peer with `digest` has to be fetched.

        Differing digests are ignored while updates are pending, because
        views are expected to differ then.
        """
        if digest == self._view.digest or self._view.has_pending_updates:
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

    def merge_view(self, updates: list[Member]) -> None:
        """Merge a peer's whole view and requeue what the peer lacks."""
        named = {update.name for update in updates}
        for update in updates:
            if self._view.merge_synced(update):
                self._conflicting[update.name] = None
        alive = self._view.alive()
        self._view.requeue(m.name for m in alive if m.name not in named)

    def pop_conflicting(self, limit: int) -> list[Member]:
        """Remove and return up to `limit` members to be probed directly."""
        names = list(self._conflicting)[:limit]
        for name in names:
            del self._conflicting[name]
        members = (self._view.members.get(name) for name in names)
        return [member for member in members if member is not None]
