"""The parts common to every process: configuration, inner server, peers."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import logging
import random
import ssl
from typing import Any

from wigeonmill.addresses import split_address
from wigeonmill.clock import Clock
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import ConfigRecord
from wigeonmill.membership.member import Member
from wigeonmill.membership.membership import Membership
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.client import PeerClient
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.conn import Traffic
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.protocol.gen.inner.ttypes import Status
from wigeonmill.protocol.gen.inner.ttypes import StatusRequest
from wigeonmill.protocol.handshake import InnerKeys
from wigeonmill.protocol.server import InnerServer
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.providers.vm_list import HttpVmList
from wigeonmill.settings import Settings

logger = logging.getLogger(__name__)

VM_LIST_TIMEOUT_MS = 2_000.0
# How long a close waits for background tasks to end after it cancels them.
CLOSE_TIMEOUT_S = 5.0

Handler = Callable[[Conn, Envelope], bool]


class TlsContexts:
    """TLS contexts for accepting and for opening inner connections."""

    __slots__ = ('server', 'client')

    def __init__(
        self,
        server: ssl.SSLContext | None = None,
        client: ssl.SSLContext | None = None,
    ) -> None:
        self.server = server
        self.client = client


class Node:
    """One process of the system, independent of its roles."""

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
        self.traffic = Traffic()
        self.adopted_at_ms = 0
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
            self.traffic,
        )
        # Bind first, because the membership announces the bound address.
        host, port = split_address(settings.inner)
        self.address = self._server.bind_to(host, port)
        self._vm_list = self._make_vm_list()
        self.membership = self._make_membership()
        self._register_gauges()

    def start(self) -> str:
        """Accept connections from peers and start the membership."""
        self._server.accept()
        logger.info('serving peers at %s', self.address)
        self.membership.start()
        return self.address

    def spawn(self, coro: Coroutine[Any, Any, None]) -> 'asyncio.Task[None]':
        """Run `coro` in the background; closing the node cancels it."""
        task = asyncio.ensure_future(coro)
        self._tasks.add(task)
        task.add_done_callback(self._on_task_done)
        return task

    async def close(self) -> None:
        """Cancel all background tasks and close every connection."""
        tasks = list(self._tasks)
        for task in tasks:
            task.cancel()
        if tasks:
            await asyncio.wait(tasks, timeout=CLOSE_TIMEOUT_S)
        self._server.close_all()
        self.peers.close()
        self.membership.close()
        if self._vm_list is not None:
            self._vm_list.close()

    def _make_client(self, address: str) -> PeerClient:
        return PeerClient(
            address,
            self.settings.process,
            ','.join(self.settings.roles),
            self.keys,
            lambda: self.holder.serial,
            self._on_serial,
            self._tls.client,
            self.traffic,
        )

    def _make_vm_list(self) -> HttpVmList | None:
        if not self.settings.vm_list:
            return None
        return HttpVmList(
            self.settings.vm_list, VM_LIST_TIMEOUT_MS, self.clock
        )

    def _make_membership(self) -> Membership:
        settings = self.settings
        local_member = Member(
            settings.process,
            ','.join(settings.roles),
            settings.inner_advertised or self.address,
            settings.failure_domain,
            settings.region,
            settings.agent.target,
            self.incarnation,
        )
        # With a separate pool, control traffic does not wait behind answers.
        return Membership(
            local_member,
            settings.peers,
            PeerPool(self._make_client),
            self.key_value,
            self._vm_list,
            self.holder,
            self.clock,
            self.rng,
            self.metrics,
            self.spawn,
        )

    def _register_gauges(self) -> None:
        traffic = self.traffic
        gauge = self.metrics.gauge
        self.holder.subscribe(self._on_config)
        gauge('config_adopted_at_ms', lambda: float(self.adopted_at_ms))
        gauge('inner_sent_bytes', lambda: float(traffic.sent_bytes))
        gauge('inner_received_bytes', lambda: float(traffic.received_bytes))

    def _on_config(self, _record: ConfigRecord) -> None:
        self.adopted_at_ms = self.clock.wall_ms()

    def _on_envelope(self, conn: Conn, envelope: Envelope) -> None:
        self.membership.check_pause()
        if envelope.config_serial:
            self._on_serial(conn.peer, envelope.config_serial)
        if envelope.kind == Kind.STATUS_REQUEST:
            self._send_status(conn, envelope)
            return
        if self.membership.handle(conn, envelope):
            return
        for handler in self.handlers:
            if handler(conn, envelope):
                return
        self.metrics.count('inner_refusals', 'unknown_kind')
        refused = Refused(
            'unknown_kind',
            'no role of this process handles this kind',
            0,
            True,
        )
        reply = Envelope(Kind.REFUSED, envelope.stream, self.holder.serial)
        reply.refused = refused
        conn.send(reply)

    def _send_status(self, conn: Conn, envelope: Envelope) -> None:
        req = envelope.status_request or StatusRequest()
        reply = Envelope(Kind.STATUS, envelope.stream, self.holder.serial)
        reply.status = Status(
            self.settings.process,
            ','.join(self.settings.roles),
            self.holder.serial,
            self.membership.wire_members() if req.members else [],
            self.metrics.render() if req.metrics else '',
        )
        conn.send(reply)

    def _on_serial(self, peer: str, serial: int) -> None:
        if serial > self.holder.serial:
            self.membership.hint(peer, serial)

    def _on_task_done(self, task: 'asyncio.Task[Any]') -> None:
        self._tasks.discard(task)
        if task.cancelled() or task.exception() is None:
            return
        logger.critical(
            'unhandled error in a background task', exc_info=task.exception()
        )
        raise SystemExit(1)
