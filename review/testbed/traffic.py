"""Clients that send requests at a steady rate to the gateways in turn."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import itertools
import secrets

from testbed.deployment import Deployment
from testbed.wire import call
from testbed.wire import Reply


@dataclass
class Kind:
    """One kind of request; `headers` returns those of one of them."""

    method: str
    path: str
    host: str
    deadline_ms: int
    body: bytes = b''
    headers: Callable[[], dict[str, str]] = dict


@dataclass
class Traffic:
    """The requests that were sent, with the answers."""

    deployment: Deployment
    statuses: dict[str, int] = field(default_factory=dict)
    sent_s: dict[str, float] = field(default_factory=dict)
    bodies: dict[str, str | None] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self._turns = itertools.cycle(self.deployment.gateways)
        self._tasks: set[asyncio.Task[Reply]] = set()

    async def run(self, kind: Kind, per_s: float, for_s: float) -> None:
        """Send at a steady rate, and wait for the answers."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        for number in range(int(per_s * for_s)):
            await asyncio.sleep(started + number / per_s - loop.time())
            task = asyncio.ensure_future(self.send(kind))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        await asyncio.gather(*list(self._tasks))

    async def send(self, kind: Kind) -> Reply:
        """Send one request and return its answer."""
        gateway = next(self._turns)
        id_ = secrets.token_hex(8)
        record = self.deployment.record
        self.sent_s[id_] = record.now_s
        record.note('sent', request=id_, gateway=gateway.name, path=kind.path)
        headers = {
            'Host': kind.host,
            'Request-Id': id_,
            'Deadline-Ms': str(kind.deadline_ms),
            **kind.headers(),
        }
        reply = await call(
            gateway.port,
            kind.method,
            kind.path,
            headers,
            kind.body,
            kind.deadline_ms / 1000.0,
        )
        status = reply.status if reply.body is not None else 0
        self.statuses[id_] = status
        body = None if reply.body is None else reply.body.decode('latin-1')
        self.bodies[id_] = body
        record.note('answered', request=id_, status=status, body=body)
        return reply
