"""Sends gossip to peers and keeps connections to neighbors only."""

from collections.abc import Iterable
from dataclasses import dataclass

from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Gossip
from wigeonmill.protocol.gen.inner.ttypes import Kind


@dataclass(frozen=True, slots=True)
class Answer:
    """A peer's reply and its configuration serial."""

    gossip: Gossip
    serial: int


class PeerLink:
    """The connections to peers, with counters of failures."""

    __slots__ = ('_pool', '_metrics', '_kept')

    def __init__(self, pool: PeerPool, metrics: Metrics) -> None:
        self._pool = pool
        self._metrics = metrics
        self._kept: frozenset[str] = frozenset()

    async def request(
        self, address: str, message: Gossip, timeout_ms: float
    ) -> Answer | None:
        """Return the answer of the peer at `address`, None on a failure."""
        envelope = Envelope(Kind.GOSSIP, gossip=message)
        reply = await self._pool.get(address).request(envelope, timeout_ms)
        if reply.is_err():
            kind = reply.unwrap_err().kind.value
            self._metrics.count('gossip_failures', kind)
            return None
        received = reply.unwrap()
        if received.gossip is None:
            self._metrics.count('gossip_failures', 'refused')
            return None
        return Answer(received.gossip, received.config_serial or 0)

    def keep_only(self, addresses: Iterable[str]) -> None:
        """Keep connections to `addresses` and close the others kept before."""
        kept = frozenset(addresses)
        for address in self._kept - kept:
            self._pool.drop(address)
        self._kept = kept

    def release(self, address: str) -> None:
        """Close the connection to `address` unless it is kept."""
        if address not in self._kept:
            self._pool.drop(address)
