"""A stand-in of the engines of a plain service."""

import asyncio
from collections.abc import Awaitable
from collections.abc import Callable
from dataclasses import dataclass
import itertools
import time

from review.fleet.http11 import Reply
from review.fleet.http11 import Request
from review.fleet.http11 import Server
from review.fleet.store import Store

HEARTBEAT_S = 1.2
MISSED_BEATS = 3


@dataclass
class Run:
    """A request that an engine began to run."""

    request_id: str
    engine: str
    at_s: float
    path: str


class Engine:
    """One engine, which may start again with a new id."""

    _ids = itertools.count(1)

    def __init__(
        self,
        store: Store,
        service: str,
        zone: str,
        runs: list[Run],
        work_s: float,
        capacity: int = 6,
    ) -> None:
        self._store = store
        self._service = service
        self.zone = zone
        self._runs = runs
        self._work_s = work_s
        self._capacity = capacity
        self._slots = asyncio.Semaphore(capacity)
        self._server = Server(self._handle)
        self._beats: asyncio.Task[None] | None = None
        self._running = 0
        self.id = ''
        self.host = ''
        self.port = 0
        # Until when it is cold, on the loop's clock.
        self._cold_until_s = 0.0
        # Called as a request begins to run; it may crash the engine.
        self.on_run: Callable[[Engine, Request], Awaitable[None]] = _ignore

    @property
    def running(self) -> int:
        """The number of requests that run."""
        return self._running

    async def start(self, host: str, cold_s: float = 0.0) -> None:
        """Listen and register; a later start keeps the address."""
        self.host = host
        now_s = asyncio.get_running_loop().time()
        self._cold_until_s = now_s + cold_s
        self.id = f'i-{next(self._ids):04d}'
        self._slots = asyncio.Semaphore(self._capacity)
        self._running = 0
        self._server = Server(self._handle)
        await self._server.start(host, self.port)
        self.port = self._server.port
        self._beats = asyncio.ensure_future(self._beat(self.id))

    def crash(self) -> None:
        """End as a killed process does; its entry expires by itself."""
        self._server.crash()
        if self._beats is not None:
            self._beats.cancel()
        asyncio.ensure_future(self._forget(self.id))

    def entry(self) -> dict[str, object]:
        """Return what it says of itself besides its address."""
        return {}

    def work_s(self, req: Request) -> float:
        """Return how long a request runs."""
        return self._work_s

    async def _forget(self, id_: str) -> None:
        await asyncio.sleep(HEARTBEAT_S * MISSED_BEATS)
        await self._store.remove(f'servers/{id_}')

    async def _beat(self, id_: str) -> None:
        born = int(time.time() * 1000)
        for sequence in itertools.count(1):
            entry = {
                'service': self._service,
                'address': f'{self.host}:{self.port}',
                'zone': self.zone,
                'version': 'v1',
                'capacity': self._capacity,
                'state': 'ready',
                'coldLeftMs': self._cold_left_ms(),
                'sequence': sequence,
                'born': born,
                **self.entry(),
            }
            await self._store.put(f'servers/{id_}', entry)
            await asyncio.sleep(HEARTBEAT_S)

    def _cold_left_ms(self) -> int:
        left_s = self._cold_until_s - asyncio.get_running_loop().time()
        return max(0, round(left_s * 1000.0))

    async def _handle(self, req: Request) -> Reply:
        id_ = self.id
        headers = {
            'Instance-Id': id_,
            'Server-Load': f'{self._running},0,{self._capacity}',
        }
        if 'request-id' in req.headers:
            headers['Request-Id'] = req.headers['request-id']
        if req.headers.get('expect-instance', id_) != id_:
            return Reply(421, headers)
        if req.target == '/health':
            return Reply(200, headers)
        async with self._slots:
            self._running += 1
            try:
                return await self._run(req, headers)
            finally:
                self._running -= 1

    async def _run(self, req: Request, headers: dict[str, str]) -> Reply:
        now_s = asyncio.get_running_loop().time()
        request_id = req.headers.get('request-id', '')
        self._runs.append(Run(request_id, self.id, now_s, req.target))
        await self.on_run(self, req)
        await asyncio.sleep(self.work_s(req))
        headers['Server-Seal'] = f'seal.{request_id}.{self.id}'
        return Reply(200, headers, b'x' * 800)


async def _ignore(engine: Engine, req: Request) -> None:
    pass
