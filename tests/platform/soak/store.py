"""The platform's store on loopback, on the in-memory key-value service."""

import base64
import json

from result import Err
from tornado.web import RequestHandler

from wigeonmill.providers.key_value import KvErrorKind
from wigeonmill.standins.memory_key_value import MemoryKeyValue
from wigeonmill.standins.server import start_server

STATUSES = {
    KvErrorKind.CONFLICT: 412,
    KvErrorKind.UNAVAILABLE: 503,
}


class StoreState:
    """The state of the store that its control port serves."""

    def __init__(self, key_value: MemoryKeyValue) -> None:
        self.key_value = key_value
        self.faults = key_value.faults

    def audit(self):
        """Return the calls so far."""
        return self.key_value.calls

    def faults_changed(self) -> None:
        """Do nothing: faults apply from the next call on."""


def encode_item(entry):
    return {
        'key': entry.key,
        'value': base64.b64encode(entry.value).decode(),
        'revision': entry.version,
        'lease': entry.lease,
    }


class StoreHandler(RequestHandler):
    """Handles all calls of the store; `kind` is the kind of call."""

    def initialize(self, key_value):
        self.key_value = key_value

    def finish_call(self, outcome, body=None, status_of_invalid=404):
        """Send the reply; a write with an unknown outcome gets none."""
        if isinstance(outcome, Err):
            kind = outcome.err_value.kind
            if kind is KvErrorKind.UNKNOWN:
                self.detach().close()
                return
            self.set_status(STATUSES.get(kind, status_of_invalid))
        self.finish(json.dumps({} if body is None else body))

    async def get(self, kind, _id=None):
        if kind == 'kv-key':
            found = await self.key_value.get(self.get_argument('key'))
            if not isinstance(found, Err) and found.ok_value is None:
                self.set_status(404)
            entry = None if isinstance(found, Err) else found.ok_value
            self.finish_call(found, encode_item(entry) if entry else None)
        elif kind == 'kv-range':
            await self.reply_range(self.get_argument('prefix', ''))
        else:
            await self.watch()

    async def reply_range(self, prefix):
        revision = self.key_value.revision
        found = await self.key_value.list_prefix(prefix)
        body = None
        if not isinstance(found, Err):
            body = {
                'items': [encode_item(entry) for entry in found.ok_value],
                'truncated': False,
                'storeRevision': revision,
            }
        self.finish_call(found, body)

    async def watch(self):
        after = int(self.get_argument('after'))
        wait_ms = int(self.get_argument('waitMs'))
        found = await self.key_value.watch(
            self.get_argument('prefix', ''), after + 1, wait_ms
        )
        if isinstance(found, Err):
            # The requested history was compacted.
            self.finish_call(found, status_of_invalid=410)
            return
        batch = found.ok_value
        events = [
            encode_item(event.entry)
            if event.entry
            else {
                'key': event.key,
                'revision': event.revision,
                'removed': True,
            }
            for event in batch.events
        ]
        revision = batch.next_revision - 1
        self.finish_call(found, {'events': events, 'storeRevision': revision})

    async def post(self, kind, lease=None):
        if kind == 'kv-txn':
            await self.transact(json.loads(self.request.body))
        elif kind == 'kv-lease':
            ttl_ms = json.loads(self.request.body)['ttlMs']
            granted = await self.key_value.grant_lease(ttl_ms)
            body = None
            if not isinstance(granted, Err):
                body = {'lease': granted.ok_value, 'ttlMs': ttl_ms}
            self.finish_call(granted, body)
        else:
            self.finish_call(await self.key_value.keep_alive(int(lease)))

    async def transact(self, call):
        expected = call['expected'][0]
        if call['setKeys']:
            put = call['setKeys'][0]
            written = await self.key_value.compare_and_swap(
                put['key'],
                expected['revision'],
                base64.b64decode(put['value']),
                put['lease'],
            )
        else:
            written = await self.key_value.delete(
                expected['key'], expected['revision']
            )
        body = None
        if not isinstance(written, Err):
            body = {'revision': written.ok_value or self.key_value.revision}
        self.finish_call(written, body)

    async def delete(self, kind, lease=None):
        self.finish_call(await self.key_value.revoke_lease(int(lease)))


async def start_store(key_value):
    """Serve `key_value` on a free port of the loopback interface."""
    routes = [
        (
            r'/wigeonmill/([a-z-]+)(?:/(\d+))?',
            StoreHandler,
            {'key_value': key_value},
        )
    ]
    return await start_server(StoreState(key_value), routes, '127.0.0.1', 0)
