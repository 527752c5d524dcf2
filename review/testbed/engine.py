"""Stand-in for an engine: answers requests, reports and orders."""

import asyncio
from collections.abc import Callable
import json
import time
from typing import Any

from testbed.store import Store
from testbed.wire import free_ports
from testbed.wire import json_reply
from testbed.wire import reply_bytes
from testbed.wire import Request
from testbed.wire import serve

HEARTBEAT_S = 1.2
# Reports show the state of this time ago.
REPORT_AGE_S = 0.2
SILENT_BEATS = 3
# What is sent in place of a number of one digit.
SPOILT_DIGIT = '9'

Note = Callable[..., None]


class Engine:
    """One engine with a fixed id and address; each start is a lifetime."""

    def __init__(
        self,
        store: Store,
        note: Note,
        id_: str,
        service: str,
        zone: str,
        work_s: float = 0.06,
        model: str = '',
    ) -> None:
        self.id = id_
        self.service = service
        self.zone = zone
        self.model = model
        self.work_s = work_s
        self.port = free_ports(1)[0]
        # How far the time of day of its machine is from the true one.
        self.clock_ms = 0.0
        self.version = 1
        self.load_s = 0.3
        self.state = 'ready'
        self.alive = False
        self.born = 0
        self.sequence = 0
        self.fence = 0
        self.loading = False
        # Returns how much later an order is carried out, or None.
        self.delay_order: Callable[[dict[str, Any]], float | None] = (
            lambda _order: None
        )
        # Whether the next answer is spoilt where its head tells the version.
        self.spoils: Callable[[], bool] = lambda: False
        # Whether the id of the next stream's first event is spoilt.
        self.spoils_id: Callable[[], bool] = lambda: False
        self._orders: list[tuple[float, int]] = []
        self._beat = 0
        self._store = store
        self._note = note
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._beats: asyncio.Task[None] | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> None:
        self._server = await serve(self._handle, self.port)
        self.born = int(time.time() * 1000 + self.clock_ms)
        self.alive = True
        self.state = 'ready'
        self.sequence = self._beat = self.fence = 0
        self.loading = False
        self._orders = []
        self._note('engine started', engine=self.id, born=self.born)
        self._beats = asyncio.ensure_future(self._send_beats())

    def stop(self, why: str) -> None:
        """End at once: the listener and all channels close."""
        if not self.alive:
            return
        self.alive = False
        # The platform removes the entry after some beats of silence.
        asyncio.get_running_loop().call_later(
            SILENT_BEATS * HEARTBEAT_S, self._forget, self.id
        )
        if self._beats is not None:
            self._beats.cancel()
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        for writer in list(self._writers):
            writer.close()
        self._writers.clear()
        self._note('engine ended', engine=self.id, why=why)

    def _forget(self, id_: str) -> None:
        if id_ != self.id or not self.alive:
            self._store.remove(f'servers/{id_}')

    def beat(self) -> int:
        """Write the entry; return the revision."""
        self._beat += 1
        entry = {
            'service': self.service,
            'address': f'127.0.0.1:{self.port}',
            'zone': self.zone,
            'version': 'v1',
            'capacity': 6,
            'state': self.state,
            'coldLeftMs': 0,
            'sequence': self._beat,
            'born': self.born,
        }
        if self.model:
            entry['stage'] = 'colocated'
            entry['models'] = [
                {'name': self.model, 'version': self.version, 'adapters': []}
            ]
        return self._store.put(f'servers/{self.id}', entry)

    async def _send_beats(self) -> None:
        while True:
            self.beat()
            await asyncio.sleep(HEARTBEAT_S)

    async def _handle(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.ensure_future(self._answer(req, writer))
        self._tasks.add(task)
        self._writers.add(writer)
        try:
            await task
        except asyncio.CancelledError:
            raise ConnectionError('the engine has ended') from None
        finally:
            self._tasks.discard(task)

    async def _answer(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> None:
        expected = req.headers.get('expect-instance', self.id)
        if expected != self.id:
            writer.write(reply_bytes(421, b'', {'Instance-Id': self.id}))
        elif req.path == '/health':
            writer.write(reply_bytes(200, b'', {'Instance-Id': self.id}))
        elif req.path == '/wigeonmill/report':
            writer.write(json_reply(200, self._report()))
        elif req.path == '/wigeonmill/order':
            await self._order(req.json(), writer)
        else:
            await self._run(req, writer)

    async def _run(self, req: Request, writer: asyncio.StreamWriter) -> None:
        id_ = req.headers.get('request-id', '')
        seen = {'request': id_, 'engine': self.id, 'state': self.state}
        wanted = req.headers.get('expect-version')
        if self.model and wanted not in (None, str(self.version)):
            self._note('not run', **seen, wanted=wanted, version=self.version)
            headers = {'Request-Id': id_, 'Instance-Id': self.id}
            writer.write(reply_bytes(421, b'', headers))
            return
        self._note('run begins', **seen, version=self.version, path=req.path)
        await asyncio.sleep(self.work_s)
        headers = {
            'Request-Id': id_,
            'Server-Seal': f'seal.{id_}',
            'Weight-Versions': str(self.version),
        }
        if self.spoils():
            headers['Weight-Versions'] = SPOILT_DIGIT
            self._note('head spoilt', **seen, version=self.version)
        if 'token-usage' not in req.headers:
            body = json.dumps({'request': id_}).encode()
            writer.write(reply_bytes(200, body, headers))
            self._note('run ends', **seen)
            return
        lines = ['HTTP/1.1 200 OK', 'Content-Type: text/event-stream']
        lines += [f'{name}: {value}' for name, value in headers.items()]
        lines += ['Transfer-Encoding: chunked', '', '']
        writer.write('\r\n'.join(lines).encode())
        first = int(req.headers.get('last-event-id', 0)) + 1
        spoilt = self.spoils_id()
        body = ''
        for number in range(first, 4):
            shown = SPOILT_DIGIT if spoilt and number == first else number
            event = f'id: {shown}\ndata: {id_} {number}\n\n'
            body += event
            writer.write(b'%x\r\n%s\r\n' % (len(event), event.encode()))
            await writer.drain()
            await asyncio.sleep(0.02)
        writer.write(b'0\r\n\r\n')
        self._note('run ends', **seen, body=body, spoilt=spoilt)

    def _report(self) -> dict[str, Any]:
        seen = time.monotonic() - REPORT_AGE_S
        accepted = [number for at, number in self._orders if at <= seen]
        return {
            'stage': 'colocated',
            'models': [
                {'name': self.model, 'version': self.version, 'adapters': []}
            ],
            'busy': self.loading,
            'sequence': max(accepted, default=0),
            'waiting': 0,
            'running': 0,
            'kvUsed': 0,
            'kvTotal': 80_000,
            'handles': 0,
            'born': self.born,
        }

    async def _order(
        self, order: dict[str, Any], writer: asyncio.StreamWriter
    ) -> None:
        delay_s = self.delay_order(order)
        self._note(
            'order arrives',
            engine=self.id,
            order=order,
            carried_out_s_later=delay_s,
        )
        if delay_s is None:
            writer.write(json_reply(self._carry_out(order, 'in time'), {}))
            return
        # Not a task of this lifetime: the order is still on its way.
        asyncio.get_running_loop().call_later(
            delay_s, self._carry_out, order, 'late'
        )
        await asyncio.sleep(30.0)

    def _carry_out(self, order: dict[str, Any], when: str) -> int:
        status = self._decide(order)
        self._note(
            'order decided',
            engine=self.id,
            order=order,
            when=when,
            sequence=self.sequence,
            status=status,
        )
        if status == 202:
            self.sequence += 1
            self.fence = order['fence']
            self._orders.append((time.monotonic(), self.sequence))
            self.loading = True
            load = self._load(order['version'])
            task = asyncio.ensure_future(load)
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        return status

    def _decide(self, order: dict[str, Any]) -> int:
        if not self.alive:
            return 0
        if order.get('holder') is None or order.get('fence') is None:
            return 400
        if order['fence'] < self.fence:
            return 412
        expected = order.get('expected', self.sequence)
        if self.loading or expected != self.sequence:
            return 409
        return 200 if order['version'] == self.version else 202

    async def _load(self, version: int) -> None:
        await asyncio.sleep(self.load_s)
        self.version = version
        self.loading = False
        self._note('weights loaded', engine=self.id, version=version)
        self.beat()
