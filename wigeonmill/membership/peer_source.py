"""Selects the peers from which the configuration is fetched."""

import asyncio
from collections.abc import Callable
import random

from wigeonmill.addresses import is_address
from wigeonmill.membership.gossip import Gossiper
from wigeonmill.membership.view import View


class PeerSource:
    """Fetches the configuration from a given peer or from several ones."""

    __slots__ = ('_view', '_gossiper', '_seeds', '_rng')

    def __init__(
        self,
        view: View,
        gossiper: Gossiper,
        seeds: Callable[[], list[str]],
        rng: random.Random,
    ) -> None:
        self._view = view
        self._gossiper = gossiper
        self._seeds = seeds
        self._rng = rng

    @property
    def cut_off(self) -> bool:
        """Whether this process has lost contact with all peers."""
        return self._view.cut_off

    @property
    def count(self) -> int:
        """Number of processes that are alive, including this one."""
        return self._view.alive_count

    async def pull(self, source: str) -> bool:
        """Fetch from `source`, a member's name or an IP:port address.

        An unknown name is replaced by a random neighbor.
        """
        address = self._resolve_address(source)
        return bool(address) and await self._gossiper.pull(address)

    async def pull_from_several(self, limit: int) -> None:
        """Fetch from up to `limit` peers; the highest serial wins."""
        alive = [member.address for member in self._view.alive()]
        known = list(dict.fromkeys(alive + self._seeds()))
        chosen = self._rng.sample(known, min(limit, len(known)))
        await asyncio.gather(*map(self._gossiper.pull, chosen))

    def _resolve_address(self, source: str) -> str:
        member = self._view.members.get(source)
        if member is not None:
            return member.address
        if is_address(source):
            return source
        candidates = self._gossiper.neighbors
        return self._rng.choice(candidates).address if candidates else ''
