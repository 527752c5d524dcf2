"""What every process has: configuration, inner server, peers."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
import random
import ssl
from typing import Any

from wigeonmill.clock import Clock
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.membership.config_feed import ConfigFeed
from wigeonmill.metrics import Metrics
from wigeonmill.platform.key_value import KeyValue
from wigeonmill.protocol.client import PeerClient
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.protocol.gen.inner.ttypes import Status
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.protocol.server import InnerServer
from wigeonmill.settings import Settings
from wigeonmill.settings import split_address

logger = logging.getLogger(__name__)

Handler = Callable[[Conn, Envelope], bool]


class TlsContexts:
    """TLS for accepting and for opening inner connections."""

    __slots__ = ('server', 'client')

    def __init__(
        self,
        server: ssl.SSLContext | None = None,
        client: ssl.SSLContext | None = None,
    ) -> None:
        self.server = server
        self.client = client


class Node:
    """One process among the others, whatever its roles."""

    def __init__(
        self,
        settings: Settings,
        key_value: KeyValue,
        keys: Callable[[], InnerKeys],
        tls: TlsContexts,
        clock: Clock,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.key_value = key_value
        self.keys = keys
        self.clock = clock
        self.rng = rng
        self.metrics = Metrics()
        self.incarnation = clock.wall_ms()
        self.holder = ConfigHolder(self.metrics)
        self.address = ''
        self.handlers: list[Handler] = []
        self.feed = ConfigFeed(key_value, self.holder, self.metrics)
        self._tls = tls
        self._tasks: set[asyncio.Task[Any]] = set()
        self.peers = PeerPool(self._make_client)
        self._server = InnerServer(
            settings.process,
            ','.join(settings.roles),
            self.incarnation,
            keys,
            self._on_envelope,
            self.metrics,
            tls.server,
        )

    def start(self) -> str:
        """Listen for peers and follow the configuration."""
        host, port = split_address(self.settings.inner)
        self.address = self._server.listen_on(host, port)
        logger.info('peers are served at %s', self.address)
        self.spawn(self.feed.run())
        self.spawn(self.feed.follow_hints())
        return self.address

    def spawn(self, work: Coroutine[Any, Any, None]) -> None:
        """Run `work` in the background until the node closes."""
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)

    async def close(self) -> None:
        """Stop all background work and close every connection."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._server.close_all()
        self.peers.close()

    def _make_client(self, address: str) -> PeerClient:
        return PeerClient(
            address,
            self.settings.process,
            ','.join(self.settings.roles),
            self.keys,
            lambda: self.holder.serial,
            self._on_serial,
            self._tls.client,
        )

    def _on_envelope(self, conn: Conn, envelope: Envelope) -> None:
        if envelope.config_serial:
            self._on_serial(conn.peer, envelope.config_serial)
        if envelope.kind == Kind.STATUS_REQUEST:
            self._send_status(conn, envelope.stream)
            return
        for handler in self.handlers:
            if handler(conn, envelope):
                return
        self.metrics.count('inner_refusals', 'unknown_kind')
        refused = Refused('unknown_kind', 'no role here serves this', 0, True)
        reply = Envelope(Kind.REFUSED, envelope.stream, self.holder.serial)
        reply.refused = refused
        conn.send(reply)

    def _send_status(self, conn: Conn, stream: int) -> None:
        reply = Envelope(Kind.STATUS, stream, self.holder.serial)
        reply.status = Status(
            self.settings.process,
            ','.join(self.settings.roles),
            self.holder.serial,
            [],
        )
        conn.send(reply)

    def _on_serial(self, _peer: str, serial: int) -> None:
        if serial > self.holder.serial:
            self.feed.hint(serial)

    def _on_task_done(self, task: 'asyncio.Task[Any]') -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logger.critical(
            'background work broke an invariant', exc_info=task.exception()
        )
        raise SystemExit(1)
