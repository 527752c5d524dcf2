"""Targets that remember what they ran and were ordered, and register."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import json
import secrets
import time

from result import Err
from tornado.httpserver import HTTPServer
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets
from tornado.web import Application
from tornado.web import RequestHandler

from wigeonmill.standins.fault_proxy import ProxyOptions
from wigeonmill.standins.fault_proxy import reset_stream
from wigeonmill.standins.fault_proxy import start_fault_proxy

HEARTBEAT_S = 0.4
# A target that is silent for three heartbeats is listed no more.
LEASE_MS = 1_200
WORK_S = 0.04
EVENT_S = 0.03
EVENTS = 8
QUEUE = 24
MODEL = 'soak-model'
LOAD_S = 0.4
# How long an order waits for streams to end.
QUEUE_S = 0.5
# Share of plain requests that fail after they ran.
FAILED_SHARE = 0.03


@dataclass
class Run:
    """A request that a target began to work on."""

    request_id: str
    target: str
    at: float
    path: str
    team: str | None
    from_event: int = 0


@dataclass
class Order:
    """An order that an engine accepted."""

    target: str
    at: float
    holder: str
    fence: int
    version: int


@dataclass
class Journal:
    """What all targets ran and were ordered; the weights named last."""

    runs: dict[str, list[Run]] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    version: int = 1
    # When a target was told to leave, by its id.
    left: dict[str, float] = field(default_factory=dict)

    def add(self, run):
        self.runs.setdefault(run.request_id, []).append(run)


class TargetHandler(RequestHandler):
    def initialize(self, target):
        self.target = target

    async def _serve(self):
        target, headers = self.target, self.request.headers
        if self.request.path.startswith('/wigeonmill/'):
            self._control()
            return
        request_id = headers.get('Request-Id', '')
        self.set_header('Request-Id', request_id)
        self.set_header('Server-Load', f'{target.open},0,{target.slots}')
        version = headers.get('Expect-Version', str(target.version))
        if not self._is_meant() or version != str(target.version):
            self.set_header('Not-Executed', '1')
            self.set_status(421)
            return
        if target.open >= QUEUE or target.loading:
            self.set_header('Not-Executed', '1')
            self.set_status(503)
            return
        target.open += 1
        try:
            await self._run(request_id)
        except StreamClosedError:
            return
        finally:
            target.open -= 1

    def _is_meant(self):
        expected = self.request.headers.get('Expect-Instance')
        return expected in (None, self.target.id)

    def _control(self):
        target = self.target
        if not self._is_meant():
            self.set_status(421)
        elif self.request.path == '/wigeonmill/order':
            self.set_status(target.take(json.loads(self.request.body)))
        else:
            report = {
                'busy': target.loading,
                'sequence': target.orders,
                'born': target.born_ms,
                'waiting': 0,
                'models': target.models(),
            }
            self.write(json.dumps(report))

    async def _run(self, request_id):
        target, headers = self.target, self.request.headers
        begins = int(headers.get('Last-Event-Id', '0'))
        target.journal.add(
            Run(
                request_id,
                target.id,
                time.monotonic(),
                self.request.path,
                headers.get('Tenant'),
                begins,
            )
        )
        self.set_header('Server-Seal', f'{target.id}.{request_id}')
        self.set_header('Weight-Versions', str(target.version))
        if 'stream' in self.request.path:
            self.set_header('Content-Type', 'text/event-stream')
            for number in range(begins + 1, EVENTS + 1):
                await asyncio.sleep(EVENT_S)
                self.write(f'id: {number}\ndata: {request_id} {number}\n\n')
                await self.flush()
            return
        await asyncio.sleep(WORK_S)
        if secrets.randbelow(1000) < FAILED_SHARE * 1000:
            self.set_status(500)
        self.write(json.dumps({'id': request_id, 'by': target.id}))

    get = post = _serve


class Target:
    """One lifetime of a target behind a proxy."""

    def __init__(self, keys, journal, service, domain, streaming):
        self.id = f'i-{secrets.token_hex(5)}'
        self.born_ms = int(time.time() * 1000)
        self.keys = keys
        self.journal = journal
        self.service = service
        self.domain = domain
        self.streaming = streaming
        self.slots = 16
        self.open = 0
        self.state = 'ready'
        self.sequence = 0
        self.version = journal.version
        self.loading = False
        self.orders = 0
        self.fence = 0
        self.proxy = None
        self._server = None
        self._task = None
        self._loads = None

    async def start(self):
        sockets = bind_sockets(0, '127.0.0.1')
        port = sockets[0].getsockname()[1]
        app = Application([('/.*', TargetHandler, {'target': self})])
        app.settings['log_function'] = lambda handler: None
        self._server = HTTPServer(app)
        self._server.add_sockets(sockets)
        self.proxy = await start_fault_proxy(ProxyOptions(f'127.0.0.1:{port}'))
        self._task = asyncio.ensure_future(self._register())
        return self

    def models(self):
        if not self.streaming:
            return []
        return [{'name': MODEL, 'version': self.version}]

    def take(self, order):
        """Return the status of an order; an accepted one begins."""
        if order['fence'] < self.fence:
            return 412
        if order['version'] == self.version:
            return 200
        if self.loading or order['expected'] != self.orders:
            return 409
        self.fence = order['fence']
        self.orders += 1
        self.loading = True
        self.journal.orders.append(
            Order(
                self.id,
                time.monotonic(),
                order['holder'],
                order['fence'],
                order['version'],
            )
        )
        self._loads = asyncio.ensure_future(self._load(order))
        return 202

    async def _load(self, order):
        until = time.monotonic() + QUEUE_S
        while self.open and time.monotonic() < until:
            await asyncio.sleep(0.01)
        # What still runs is cut.
        for stream in list(self.proxy.state.open_streams) if self.open else ():
            reset_stream(stream)
        await asyncio.sleep(LOAD_S)
        self.version = order['version']
        self.loading = False

    async def _register(self):
        lease = 0
        while True:
            self.sequence += 1
            if lease:
                kept = await self.keys.keep_alive(lease)
                lease = 0 if isinstance(kept, Err) else lease
            if not lease:
                granted = await self.keys.grant_lease(LEASE_MS)
                lease = 0 if isinstance(granted, Err) else granted.ok_value
            if lease:
                await self._write(lease)
            await asyncio.sleep(HEARTBEAT_S)

    async def _write(self, lease):
        key = f'servers/{self.id}'
        entry = {
            'service': self.service,
            'address': self.proxy.address,
            'zone': self.domain,
            'version': 1,
            'capacity': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'sequence': self.sequence,
            'born': self.born_ms,
            'models': self.models(),
        }
        found = await self.keys.get(key)
        if isinstance(found, Err):
            return
        version = found.ok_value.version if found.ok_value else 0
        value = json.dumps(entry).encode()
        written = await self.keys.compare_and_swap(key, version, value, lease)
        if not isinstance(written, Err) and self.state == 'draining':
            self.journal.left.setdefault(self.id, time.monotonic())

    async def stop(self):
        """End at once, like a crash."""
        self._task.cancel()
        await self.proxy.stop()
        self._server.stop()
        await self._server.close_all_connections()
