"""Tells other entries of a bad version at once, and the leader the counts.

The updates between entries carry both, too. In a large fleet they take longer
than a bad version may get requests.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Iterable
import random
from typing import Protocol

from wigeonmill.clock import Clock
from wigeonmill.gateway.software_rollout import SoftwareRollouts
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import EntryNews
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind

# Interval of the counts that the leader gets.
REPORT_INTERVAL_MS = 300.0
# Number of entries that one which was told of a bad version tells in turn.
MAX_PASSED_ON = 8
# With fewer peers, the updates reach all of them as soon.
MIN_REPORTED_PEERS = 6


class PeerLinks(Protocol):
    """Connections to the other entries."""

    def addresses(self) -> Iterable[str]:
        """Return the inner addresses of the other entries."""

    async def connect(self, address: str) -> bool:
        """Connect if necessary; return whether there is a connection."""

    def notify(self, address: str, envelope: Envelope) -> bool:
        """Send a message without an answer; return False if it can't be."""


class RolloutExchange:
    """Sends what this entry knows of rollouts, and takes in the same."""

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        name: str,
        rollouts: SoftwareRollouts,
        links: PeerLinks,
        leader_address: Callable[[], str | None],
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._name = name
        self._rollouts = rollouts
        self._links = links
        self._leader_address = leader_address
        self._reported_ms = float('-inf')
        self._verdict_from_peer = False
        self._sends: set[asyncio.Task[None]] = set()
        rollouts.on_verdict = self._on_verdict

    def receive(self, envelope: Envelope) -> Envelope | None:
        """Take in what another entry sent."""
        news = envelope.entry_news
        if news is not None:
            self._verdict_from_peer = True
            try:
                self._rollouts.apply_reports(news.rollouts or ())
            finally:
                self._verdict_from_peer = False
        return None

    def step(self) -> None:
        """Judge the versions; send the counts to the leader if due."""
        self._rollouts.observe()
        now_ms = self._clock.now_ms()
        if now_ms - self._reported_ms < REPORT_INTERVAL_MS:
            return
        self._reported_ms = now_ms
        if all(rollout.is_over for rollout in self._rollouts.all()):
            return
        peers = list(self._links.addresses())
        address = self._leader_address()
        if address is not None and len(peers) >= MIN_REPORTED_PEERS:
            self._send([address])

    def _on_verdict(self, service: str) -> None:
        """Tell all others, or some of them if this entry was told."""
        peers = list(self._links.addresses())
        if self._verdict_from_peer and len(peers) > MAX_PASSED_ON:
            peers = self._rng.sample(peers, MAX_PASSED_ON)
        self._send(peers)

    def _send(self, addresses: Iterable[str]) -> None:
        news = EntryNews(
            self._name, -1, [], [], [], 0, rollouts=self._rollouts.reports()
        )
        envelope = Envelope(Kind.SOFTWARE_ROLLOUT, 0, 0, entry_news=news)
        for address in addresses:
            if not self._links.notify(address, envelope):
                task = asyncio.ensure_future(
                    self._connect_and_send(address, envelope)
                )
                self._sends.add(task)
                task.add_done_callback(self._sends.discard)

    async def _connect_and_send(
        self, address: str, envelope: Envelope
    ) -> None:
        await self._links.connect(address)
        if not self._links.notify(address, envelope):
            self._metrics.count('software_rollout_reports_not_sent')
