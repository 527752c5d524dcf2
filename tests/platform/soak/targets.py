"""Targets that register themselves and accept orders."""

import asyncio
import json
import secrets
import time

from result import Err
from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application

from tests.platform.soak.handlers import SilenceForm
from tests.platform.soak.handlers import TargetHandler
from tests.platform.soak.journal import Order
from tests.platform.soak.machines import SharedMachine
from wigeonmill.standins.fault_proxy import ProxyOptions
from wigeonmill.standins.fault_proxy import reset_stream
from wigeonmill.standins.fault_proxy import start_fault_proxy

HEARTBEAT_S = 0.4
# The lease of a target expires after three missed heartbeats; the target is
# then no longer listed.
LEASE_MS = 1_200
MODEL = 'soak-model'
LOAD_DURATION_S = 0.4
# The time that an order waits for open streams to end.
ORDER_WAIT_S = 0.5
SILENCE_POLL_S = 0.01


class Target:
    """One incarnation of a target, behind a proxy."""

    def __init__(
        self, key_value, journal, service, domain, streaming, rollout=None
    ):
        self.id = f'i-{secrets.token_hex(5)}'
        self.started_ms = int(time.time() * 1000)
        self.key_value = key_value
        self.journal = journal
        self.service = service
        self.domain = domain
        self.streaming = streaming
        self.slots = 16
        self.machine = SharedMachine(self.id)
        self.open_requests = 0
        self.state = 'ready'
        # Stated in the answers only, not in the record.
        self.leaving = False
        # What it tells entries of which it wants no requests.
        self.rest = None
        # The limit that its answers name; None: none.
        self.limit = None
        self.sequence = 0
        self.version = journal.version
        # Targets of two software versions serve side by side.
        self.software = f'v{1 + len(journal.software) % 2}'
        # The rollout that brought its software, if one did.
        self.rollout = rollout
        if rollout is not None:
            self.software = rollout.version
        journal.software[self.id] = self.software
        journal.services[self.id] = service
        # How some answers are written for a time; None: all as usual.
        self.answer_form = None
        self.raw_streams = set()
        # Where requests stand still; None: nowhere.
        self.silence = None
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
        self.proxy.state.on_cut = lambda: self.journal.record_break(self.id)
        self._register_task = asyncio.ensure_future(self._register())
        return self

    def is_silent(self, form):
        """Whether requests stand still at this point now."""
        return self.silence is form

    async def wait_for(self, form):
        """Stand still while the target is silent in this form."""
        while self.silence is form:
            await asyncio.sleep(SILENCE_POLL_S)

    def fall_silent(self, form):
        """Stand still in this form until `go_on`, closing nothing."""
        self.silence = form
        self.proxy.state.faults.hold = form is SilenceForm.FROZEN

    def go_on(self):
        """End the silence."""
        self.silence = None
        self.proxy.state.faults.hold = False

    def crash(self):
        """End under a request; the first one decides."""
        if self.state != 'gone':
            self.state = 'gone'
            self.journal.record_break(self.id)
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
        if self.open_requests:
            self.reset_connections()
        await asyncio.sleep(LOAD_DURATION_S)
        self.version = order['version']
        self.loading = False

    def reset_connections(self):
        self.journal.record_break(self.id)
        for stream in list(self.proxy.state.open_streams):
            reset_stream(stream)

    async def _register(self):
        lease = 0
        while True:
            await self.wait_for(SilenceForm.FROZEN)
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
        self.journal.record_break(self.id)
        self._register_task.cancel()
        await self.proxy.stop()
        for stream in list(self.raw_streams):
            reset_stream(stream)
        self._server.stop()
        await self._server.close_all_connections()
