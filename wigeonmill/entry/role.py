"""The entry role of a process."""

import asyncio
import logging
import ssl

from wigeonmill.entry.context import EntryContext
from wigeonmill.entry.server import EntryServer
from wigeonmill.node import Node

logger = logging.getLogger(__name__)

DRAIN_POLL_MS = 20


class EntryRole:
    """Accepts callers' requests until it is drained."""

    def __init__(
        self, node: Node, ssl_context: ssl.SSLContext | None = None
    ) -> None:
        self.context = EntryContext(
            node.settings.entry,
            node.holder,
            node.peers,
            node.key_value,
            node.clock,
            node.rng,
            node.metrics,
        )
        self._server = EntryServer(self.context, ssl_context)
        self._membership = node.membership
        self._draining = False
        node.membership.subscribe(self._on_membership)

    @property
    def address(self) -> str:
        """The IP:port that callers connect to."""
        return self._server.address

    def start(self) -> None:
        """Listen for callers."""
        self._server.listen()

    async def drain(self) -> None:
        """Refuse new requests and wait until the open ones are finished.

        The entry first reports itself as leaving, so that the balancer stops
        sending requests to it before it refuses them.
        """
        self._draining = True
        self.context.leaving = True
        grace_ms = self.context.settings.leave_grace_ms
        await asyncio.sleep(grace_ms / 1000.0)
        self.context.refusing_requests = True
        self._server.stop_listening()
        while self.context.open_requests:
            await asyncio.sleep(DRAIN_POLL_MS / 1000.0)

    async def close(self) -> None:
        """Close every caller's connection."""
        await self._server.close()

    def _on_membership(self) -> None:
        self.context.set_unavailable(self._membership.unavailable)
        if not self._draining:
            self.context.leaving = self._membership.own_vm_leaving
