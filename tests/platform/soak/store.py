"""The platform's store on loopback, over the key-value service in memory."""

import base64
import json

from result import Err
from tornado.web import RequestHandler

from wigeonmill.providers.key_value import KvErrorKind
from wigeonmill.standins.memory_key_value import MemoryKeyValue
from wigeonmill.standins.server import start_server

STATUS_OF = {
    KvErrorKind.CONFLICT: 412,
    KvErrorKind.UNAVAILABLE: 503,
}


class StoreState:
    """What the control port of the stand-in reads."""

    def __init__(self, keys: MemoryKeyValue) -> None:
        self.keys = keys
        self.faults = keys.faults

    def audit(self):
        """Return the calls so far."""
        return self.keys.calls

    def faults_changed(self) -> None:
        """Take new faults; they apply to the next call."""


def item(entry):
    return {
        'key': entry.key,
        'value': base64.b64encode(entry.value).decode(),
        'revision': entry.version,
        'lease': entry.lease,
    }


class StoreHandler(RequestHandler):
    """All calls of the store; `kind` names the one."""

    def initialize(self, keys):
        self.keys = keys

    def done(self, outcome, body=None, status_of_invalid=404):
        """Answer; a write whose effect is unknown gets no answer."""
        if isinstance(outcome, Err):
            kind = outcome.err_value.kind
            if kind is KvErrorKind.UNKNOWN:
                self.detach().close()
                return
            self.set_status(STATUS_OF.get(kind, status_of_invalid))
        self.finish(json.dumps({} if body is None else body))

    async def get(self, kind, _id=None):
        if kind == 'kv-key':
            found = await self.keys.get(self.get_argument('key'))
            if not isinstance(found, Err) and found.ok_value is None:
                self.set_status(404)
            entry = None if isinstance(found, Err) else found.ok_value
            self.done(found, item(entry) if entry else None)
        elif kind == 'kv-range':
            await self.list(self.get_argument('prefix', ''))
        else:
            await self.watch()

    async def list(self, prefix):
        revision = self.keys.revision
        found = await self.keys.list_prefix(prefix)
        body = None
        if not isinstance(found, Err):
            body = {
                'items': [item(entry) for entry in found.ok_value],
                'truncated': False,
                'storeRevision': revision,
            }
        self.done(found, body)

    async def watch(self):
        after = int(self.get_argument('after'))
        wait_ms = int(self.get_argument('waitMs'))
        found = await self.keys.watch(
            self.get_argument('prefix', ''), after + 1, wait_ms
        )
        if isinstance(found, Err):
            # The history that the watch asks for is gone.
            self.done(found, status_of_invalid=410)
            return
        batch = found.ok_value
        events = [
            item(event.entry)
            if event.entry
            else {
                'key': event.key,
                'revision': event.revision,
                'removed': True,
            }
            for event in batch.events
        ]
        revision = batch.next_revision - 1
        self.done(found, {'events': events, 'storeRevision': revision})

    async def post(self, kind, lease=None):
        if kind == 'kv-txn':
            await self.transact(json.loads(self.request.body))
        elif kind == 'kv-lease':
            ttl_ms = json.loads(self.request.body)['ttlMs']
            granted = await self.keys.grant_lease(ttl_ms)
            body = None
            if not isinstance(granted, Err):
                body = {'lease': granted.ok_value, 'ttlMs': ttl_ms}
            self.done(granted, body)
        else:
            self.done(await self.keys.keep_alive(int(lease)))

    async def transact(self, call):
        expected = call['expected'][0]
        if call['setKeys']:
            put = call['setKeys'][0]
            written = await self.keys.compare_and_swap(
                put['key'],
                expected['revision'],
                base64.b64decode(put['value']),
                put['lease'],
            )
        else:
            written = await self.keys.delete(
                expected['key'], expected['revision']
            )
        body = None
        if not isinstance(written, Err):
            body = {'revision': written.ok_value or self.keys.revision}
        self.done(written, body)

    async def delete(self, kind, lease=None):
        self.done(await self.keys.revoke_lease(int(lease)))


async def start_store(keys):
    """Serve `keys` on a free port of loopback."""
    routes = [
        (r'/wigeonmill/([a-z-]+)(?:/(\d+))?', StoreHandler, {'keys': keys})
    ]
    return await start_server(StoreState(keys), routes, '127.0.0.1', 0)
