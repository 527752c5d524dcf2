"""Targets that register themselves and record their runs and orders."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import enum
import itertools
import json
import math
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
# The lease of a target expires after three missed heartbeats; the target is
# then no longer listed.
LEASE_MS = 1_200
PLAIN_RUN_S = 0.04
EVENT_INTERVAL_S = 0.03
EVENT_COUNT = 8
MAX_OPEN_REQUESTS = 24
MODEL = 'soak-model'
LOAD_DURATION_S = 0.4
# The time that an order waits for open streams to end.
ORDER_WAIT_S = 0.5
# The share of plain requests that fail after they were run.
FAILED_SHARE = 0.03
# The share of answers that a target in trouble spoils.
SPOILED_SHARE = 0.3
ENDLESS_PART = b'z' * 65_536
# A prompt part under which targets crash when they begin to write.
CRASHING_PART = 'bad0'


class AnswerForm(enum.Enum):
    """How a target in trouble writes some of its answers."""

    # A whole answer that ends with its connection.
    WITHOUT_LENGTH = 'without length'
    # The same for a stream, but it ends inside an event.
    INSIDE_EVENT = 'inside an event'
    ENDLESS_HEAD = 'endless head'
    ENDLESS_BODY = 'endless body'


@dataclass
class Run:
    """A request that a target started to run."""

    request_id: str
    target: str
    started_at: float
    path: str
    team: str | None
    from_event: int = 0


@dataclass
class Order:
    """An order that an engine accepted."""

    target: str
    accepted_at: float
    holder: str
    fence: int
    version: int


@dataclass
class Closing:
    """A request that a target refused as it asked for none until later."""

    request_id: str
    target: str
    refused_at: float
    until: float


@dataclass
class Journal:
    """What all targets have seen, and the newest weight version."""

    runs: dict[str, list[Run]] = field(default_factory=dict)
    orders: list[Order] = field(default_factory=list)
    version: int = 1
    # The time at which a target was listed as draining, by its id.
    drained_at: dict[str, float] = field(default_factory=dict)
    closings: list[Closing] = field(default_factory=list)
    # Times of faults by the entry or target that they hit: start and end.
    faults: dict[str, list[list[float]]] = field(default_factory=dict)
    # The software versions of all targets, by their ids.
    software: dict[str, str] = field(default_factory=dict)
    # The times at which targets crashed under the crashing part.
    part_crashes: list[float] = field(default_factory=list)

    def add(self, run):
        self.runs.setdefault(run.request_id, []).append(run)

    def begin_fault(self, name):
        """Record a fault; the caller replaces its end when it is over."""
        span = [time.monotonic(), math.inf]
        self.faults.setdefault(name, []).append(span)
        return span


class TargetHandler(RequestHandler):
    def initialize(self, target):
        self.target = target

    async def _serve(self):
        target, headers = self.target, self.request.headers
        if target.leaving:
            self.set_header('Server-Leaving', '1')
        if self.request.path.startswith('/wigeonmill/'):
            self._serve_control()
            return
        request_id = headers.get('Request-Id', '')
        self.set_header('Request-Id', request_id)
        self.set_header(
            'Server-Load', f'{target.open_requests},0,{target.slots}'
        )
        version = headers.get('Expect-Version', str(target.version))
        if not self._is_addressed() or version != str(target.version):
            self.set_header('Not-Executed', '1')
            self.set_status(421)
            return
        now = time.monotonic()
        if now < target.closed_until:
            closing = Closing(request_id, target.id, now, target.closed_until)
            target.journal.closings.append(closing)
            self.set_header('Retry-After', f'{closing.until - now:.3f}')
            self.set_header('Not-Executed', '1')
            self.set_status(503)
            return
        if target.open_requests >= MAX_OPEN_REQUESTS or target.loading:
            self.set_header('Not-Executed', '1')
            self.set_status(503)
            return
        target.open_requests += 1
        try:
            await self._run(request_id)
        except StreamClosedError:
            return
        finally:
            target.open_requests -= 1

    def _is_addressed(self):
        expected = self.request.headers.get('Expect-Instance')
        return expected in (None, self.target.id)

    def _serve_control(self):
        target = self.target
        if not self._is_addressed():
            self.set_status(421)
        elif self.request.path == '/wigeonmill/order':
            self.set_status(target.accept_order(json.loads(self.request.body)))
        else:
            report = {
                'busy': target.loading,
                'sequence': target.orders,
                'born': target.started_ms,
                'waiting': 0,
                'models': target.models(),
            }
            self.write(json.dumps(report))

    async def _run(self, request_id):
        target, headers = self.target, self.request.headers
        last_event = int(headers.get('Last-Event-Id', '0'))
        target.journal.add(
            Run(
                request_id,
                target.id,
                time.monotonic(),
                self.request.path,
                headers.get('Tenant'),
                last_event,
            )
        )
        self.set_header('Server-Seal', f'{target.id}.{request_id}')
        self.set_header('Weight-Versions', str(target.version))
        if CRASHING_PART in headers.get('Prefix-Hash', ''):
            await asyncio.sleep(EVENT_INTERVAL_S)
            target.crash()
            reset_stream(self.detach())
            return
        form = target.answer_form
        if form and secrets.randbelow(1000) < SPOILED_SHARE * 1000:
            await self._write_raw(form, request_id, last_event)
            return
        if 'stream' in self.request.path:
            self.set_header('Content-Type', 'text/event-stream')
            for number in range(last_event + 1, EVENT_COUNT + 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                self.write(f'id: {number}\ndata: {request_id} {number}\n\n')
                await self.flush()
            return
        await asyncio.sleep(PLAIN_RUN_S)
        if secrets.randbelow(1000) < FAILED_SHARE * 1000:
            self.set_status(500)
        self.write(json.dumps({'id': request_id, 'by': target.id}))

    async def _write_raw(self, form, request_id, last_event):
        """Write an answer without a length, or one without end."""
        head = b'HTTP/1.1 200 OK\r\n' + b''.join(
            f'{name}: {value}\r\n'.encode()
            for name, value in self._headers.get_all()
            if name not in ('Content-Length', 'Transfer-Encoding')
        )
        stream = self.detach()
        self.target.raw_streams.add(stream)
        try:
            if form is AnswerForm.ENDLESS_HEAD:
                await stream.write(head)
                for number in itertools.count():
                    await stream.write(b'X-%d: y\r\n' % number * 100)
            await stream.write(head + b'\r\n')
            if form is AnswerForm.ENDLESS_BODY:
                while True:
                    await stream.write(ENDLESS_PART)
            if 'stream' not in self.request.path:
                await asyncio.sleep(PLAIN_RUN_S)
                body = {'id': request_id, 'by': self.target.id}
                await stream.write(json.dumps(body).encode())
                return
            for number in range(last_event + 1, EVENT_COUNT + 1):
                await asyncio.sleep(EVENT_INTERVAL_S)
                event = f'id: {number}\ndata: {request_id} {number}\n\n'
                if (
                    form is AnswerForm.INSIDE_EVENT
                    and secrets.randbelow(4) < 1
                ):
                    cut = 1 + secrets.randbelow(len(event) - 1)
                    await stream.write(event[:cut].encode())
                    return
                await stream.write(event.encode())
        finally:
            self.target.raw_streams.discard(stream)
            stream.close()

    get = post = _serve


class Target:
    """One incarnation of a target, behind a proxy."""

    def __init__(self, key_value, journal, service, domain, streaming):
        self.id = f'i-{secrets.token_hex(5)}'
        self.started_ms = int(time.time() * 1000)
        self.key_value = key_value
        self.journal = journal
        self.service = service
        self.domain = domain
        self.streaming = streaming
        self.slots = 16
        self.open_requests = 0
        self.state = 'ready'
        # Stated in the answers only, not in the record.
        self.leaving = False
        self.closed_until = 0.0
        self.sequence = 0
        self.version = journal.version
        # Targets of two software versions serve side by side.
        self.software = f'v{1 + len(journal.software) % 2}'
        journal.software[self.id] = self.software
        # How some answers are written for a time; None: all as usual.
        self.answer_form = None
        self.raw_streams = set()
        self.on_crash = lambda target: None
        self.loading = False
        self.orders = 0
        self.fence = 0
        self.proxy = None
        self._server = None
        self._register_task = None
        self._load_task = None

    async def start(self):
        sockets = bind_sockets(0, '127.0.0.1')
        port = sockets[0].getsockname()[1]
        app = Application([('/.*', TargetHandler, {'target': self})])
        app.settings['log_function'] = lambda handler: None
        self._server = HTTPServer(app)
        self._server.add_sockets(sockets)
        self.proxy = await start_fault_proxy(ProxyOptions(f'127.0.0.1:{port}'))
        self._register_task = asyncio.ensure_future(self._register())
        return self

    def crash(self):
        """End under a request; the first one decides."""
        if self.state != 'gone':
            self.state = 'gone'
            self.journal.part_crashes.append(time.monotonic())
            self.on_crash(self)

    def models(self):
        if not self.streaming:
            return []
        return [{'name': MODEL, 'version': self.version}]

    def accept_order(self, order):
        """Return the HTTP status of an order; start it if it is accepted."""
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
        self._load_task = asyncio.ensure_future(self._load(order))
        return 202

    async def _load(self, order):
        deadline = time.monotonic() + ORDER_WAIT_S
        while self.open_requests and time.monotonic() < deadline:
            await asyncio.sleep(0.01)
        # The connections of runs that are still open are reset.
        for stream in (
            list(self.proxy.state.open_streams) if self.open_requests else ()
        ):
            reset_stream(stream)
        await asyncio.sleep(LOAD_DURATION_S)
        self.version = order['version']
        self.loading = False

    async def _register(self):
        lease = 0
        while True:
            self.sequence += 1
            if lease:
                renewed = await self.key_value.keep_alive(lease)
                lease = 0 if isinstance(renewed, Err) else lease
            if not lease:
                granted = await self.key_value.grant_lease(LEASE_MS)
                lease = 0 if isinstance(granted, Err) else granted.ok_value
            if lease:
                await self._write_entry(lease)
            await asyncio.sleep(HEARTBEAT_S)

    async def _write_entry(self, lease):
        key = f'servers/{self.id}'
        entry = {
            'service': self.service,
            'address': self.proxy.address,
            'zone': self.domain,
            'version': self.software,
            'capacity': self.slots,
            'state': self.state,
            'coldLeftMs': 0,
            'sequence': self.sequence,
            'born': self.started_ms,
            'models': self.models(),
        }
        found = await self.key_value.get(key)
        if isinstance(found, Err):
            return
        version = found.ok_value.version if found.ok_value else 0
        value = json.dumps(entry).encode()
        written = await self.key_value.compare_and_swap(
            key, version, value, lease
        )
        if not isinstance(written, Err) and self.state == 'draining':
            self.journal.drained_at.setdefault(self.id, time.monotonic())

    async def stop(self):
        """Stop at once, as in a crash."""
        self._register_task.cancel()
        await self.proxy.stop()
        for stream in list(self.raw_streams):
            reset_stream(stream)
        self._server.stop()
        await self._server.close_all_connections()
