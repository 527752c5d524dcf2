"""Stand-ins of a model engine and of a plain engine, as in PROTOCOL.md."""

import asyncio
import json
import secrets
import time

from review.common.http11 import encode_reply
from review.common.http11 import Server

# `heartbeatMs` of the small deployments.
HEARTBEAT_S = 1.2


class Engine:
    """An engine that registers itself in the store and runs requests."""

    def __init__(self, store, service, zone, record, **options):
        self.id = options.get('id') or f'i-{secrets.token_hex(5)}'
        self.born = int(time.time() * 1000)
        self.store = store
        self.service = service
        self.zone = zone
        self.record = record
        self.model = options.get('model', '')
        self.version = options.get('version', 1)
        self.capacity = options.get('capacity', 8)
        self.load_s = options.get('load_s', 0.43)
        self.work_s = options.get('work_s', 0.05)
        self.state = 'ready'
        # The address in its entry, if that isn't its own.
        self.public_address = ''
        self.sequence = 0
        self.orders = 0
        self.busy = False
        self.running = 0
        # Called with each order.
        self.on_order = None
        # Called with each request that begins to run; may write the answer
        # itself and then returns True, or False to close the connection.
        self.on_run = None
        self._server = Server(self._handle)
        self._beating = None

    async def start(self):
        await self.listen()
        self.register()
        return self

    async def listen(self):
        """Accept connections; the engine is not registered yet."""
        await self._server.start()

    def register(self):
        """Write the entry now and from time to time."""
        self.beat()
        self._beating = asyncio.ensure_future(self._beats())

    @property
    def address(self):
        return self._server.address

    def close(self):
        if self._beating is not None:
            self._beating.cancel()
        self._server.close()

    def _models(self):
        if not self.model:
            return []
        return [{'name': self.model, 'version': self.version, 'adapters': []}]

    def beat(self):
        """Write the entry."""
        self.sequence += 1
        self.store.put(
            f'servers/{self.id}',
            {
                'service': self.service,
                'address': self.public_address or self.address,
                'zone': self.zone,
                'version': 'v1',
                'capacity': self.capacity,
                'state': self.state,
                'coldLeftMs': 0,
                'sequence': self.sequence,
                'born': self.born,
                'models': self._models(),
            },
        )

    async def _beats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_S)
            if not self.store.away:
                self.beat()

    async def _handle(self, req, writer):
        expected = req.get('Expect-Instance')
        if expected not in (None, self.id):
            reply = encode_reply(421, b'', self._fields(req))
        elif req.path == '/wigeonmill/report':
            reply = encode_reply(200, self._report())
        elif req.path == '/wigeonmill/order':
            reply = encode_reply(self._order(json.loads(req.body)))
        else:
            return await self._serve(req, writer)
        writer.write(reply)
        await writer.drain()
        return True

    def _fields(self, req, not_run=True):
        fields = [('Request-Id', req.get('Request-Id') or '')]
        fields.append(('Server-Load', f'{self.running},0,{self.capacity}'))
        if not_run:
            fields.append(('Not-Executed', '1'))
        return fields

    def _report(self):
        return {
            'stage': 'colocated',
            'models': self._models(),
            'busy': self.busy,
            'sequence': self.orders,
            'waiting': 0,
            'running': self.running,
            'kvUsed': 0,
            'kvTotal': 90000,
            'handles': 0,
            'born': self.born,
        }

    def _order(self, order):
        """Accept an order of new weights, or return why not."""
        if self.on_order is not None:
            self.on_order(self, order)
        if self.busy or order.get('expected') not in (None, self.orders):
            status = 409
        elif order['version'] == self.version:
            status = 200
        else:
            status = 202
            self.orders += 1
            self.busy = True
            asyncio.get_running_loop().call_later(
                self.load_s, self._loaded, order['version']
            )
        self.record(
            f'order at {self.id} by {order["holder"]} fence {order["fence"]} '
            f'version {order["version"]}: {status}'
        )
        return status

    def _loaded(self, version):
        self.version = version
        self.busy = False

    async def _serve(self, req, writer):
        version = req.get('Expect-Version')
        if self.model and version not in (None, str(self.version)):
            reply = encode_reply(421, b'', self._fields(req))
        elif self.busy or self.running >= self.capacity:
            reply = encode_reply(503, b'', self._fields(req))
        else:
            self.running += 1
            try:
                return await self._run(req, writer)
            finally:
                self.running -= 1
        writer.write(reply)
        await writer.drain()
        return True

    async def _run(self, req, writer):
        request_id = req.get('Request-Id')
        self.record(f'{self.id} runs {request_id} ({req.method} {req.path})')
        if self.on_run is not None:
            handled = await self.on_run(self, req, writer)
            if handled is not None:
                return handled
        await asyncio.sleep(self.work_s)
        fields = self._fields(req, not_run=False)
        fields.append(('Server-Seal', f'{self.id}.{request_id}'))
        if self.model:
            fields.append(('Weight-Versions', str(self.version)))
        body = json.dumps({'id': request_id, 'by': self.id}).encode()
        writer.write(encode_reply(200, body, fields))
        await writer.drain()
        return True
