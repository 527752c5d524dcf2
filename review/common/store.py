"""A stand-in of the platform's store, as PROTOCOL.md describes it."""

import asyncio
import base64
import collections
import json
import time

from review.common.http11 import encode_reply
from review.common.http11 import reset
from review.common.http11 import Server


class Store:
    """Linearizable items with revisions, leases and watches."""

    def __init__(self):
        self.items = {}
        self.revision = 1
        self.history = []
        self.leases = {}
        self.next_lease = 100
        self.changed = asyncio.Event()
        self.oldest = 0
        # Called with each call before it is carried out; may wait. If it
        # returns 'lost', the call is carried out and not answered; 'silent'
        # means that it is neither.
        self.on_call = None
        # Called with (key, value or None, revision) after each change.
        self.on_change = None
        # Rises when the store comes back from a copy.
        self.era = 1
        # Whether it is away: connections are reset.
        self.away = False
        # Copies of (time, items, revision), the oldest first.
        self._copies = collections.deque(maxlen=300)
        self._server = Server(self._handle)
        self._tasks = []

    async def start(self):
        await self._server.start()
        self._tasks = [
            asyncio.ensure_future(self._expire()),
            asyncio.ensure_future(self._copy()),
        ]
        return self

    @property
    def address(self):
        return self._server.address

    def close(self):
        for task in self._tasks:
            task.cancel()
        self._server.close()

    def put(self, key, value, lease=0):
        """Write an item, as the operator or an engine does."""
        if not isinstance(value, bytes):
            value = json.dumps(value).encode()
        self.revision += 1
        known = self.items.get(key)
        item = {
            'key': key,
            'value': base64.b64encode(value).decode(),
            'revision': self.revision,
            'createRevision': (
                known['createRevision'] if known else self.revision
            ),
            'lease': lease,
        }
        self.items[key] = item
        self._record(item)
        if self.on_change is not None:
            self.on_change(key, value, self.revision)

    def remove(self, key):
        if key not in self.items:
            return
        self.revision += 1
        del self.items[key]
        self._record({'key': key, 'revision': self.revision, 'removed': True})
        if self.on_change is not None:
            self.on_change(key, None, self.revision)

    async def _copy(self):
        while True:
            copy = (time.monotonic(), dict(self.items), self.revision)
            self._copies.append(copy)
            await asyncio.sleep(0.1)

    def leave(self):
        """Be away until `come_back`."""
        self.away = True
        self._server.reset_all()

    def come_back(self, age_s):
        """Come back from a copy that was made `age_s` ago.

        Leases are gone, with the keys that they had. Return the keys of the
        operator and the engines, with the lost values (None: removed).
        """
        at = time.monotonic() - age_s
        copies = [copy for copy in self._copies if copy[0] <= at]
        _at, items, revision = copies[-1]
        lost = {
            key: self.value(key)
            for key in {*self.items, *items}
            if key.startswith(('op/', 'servers/'))
            and self.items.get(key) != items.get(key)
        }
        self.items = {
            key: item for key, item in items.items() if not item['lease']
        }
        self.revision = revision
        self.history = []
        self.oldest = revision
        self.leases = {}
        self.era += 1
        self.away = False
        return lost

    def value(self, key):
        item = self.items.get(key)
        return base64.b64decode(item['value']) if item else None

    def _record(self, event):
        self.history.append(event)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _expire(self):
        while True:
            await asyncio.sleep(0.005)
            now = time.monotonic()
            for lease, (ends, _ttl) in list(self.leases.items()):
                if now >= ends:
                    self._end_lease(lease)

    def _end_lease(self, lease):
        self.leases.pop(lease, None)
        for key, item in list(self.items.items()):
            if item['lease'] == lease:
                self.remove(key)

    async def _handle(self, req, writer):
        verdict = None
        if self.away:
            reset(writer)
            return False
        if self.on_call is not None:
            verdict = await self.on_call(req)
        if verdict == 'silent':
            await asyncio.sleep(60.0)
            return False
        if isinstance(verdict, float):
            # A watch that is cut if it still waits after this time.
            try:
                async with asyncio.timeout(verdict):
                    status, body = await self._run(req)
            except TimeoutError:
                reset(writer)
                return False
            writer.write(encode_reply(status, body))
            return True
        status, body = await self._run(req)
        if self.away:
            reset(writer)
            return False
        if verdict == 'lost':
            await asyncio.sleep(60.0)
            return False
        writer.write(
            encode_reply(status, body, (('Content-Type', 'application/json'),))
        )
        await writer.drain()
        return True

    async def _run(self, req):
        name, _, rest = req.path.removeprefix('/wigeonmill/').partition('/')
        if name == 'kv-key':
            item = self.items.get(req.query['key'])
            if item is None:
                return 404, {'storeRevision': self.revision}
            return 200, item | {'storeRevision': self.revision}
        if name == 'kv-range':
            return 200, self._range(req.query)
        if name == 'kv-watch':
            return await self._watch(req.query)
        if name == 'kv-txn':
            return self._transact(json.loads(req.body))
        if name == 'kv-lease':
            ttl_ms = json.loads(req.body)['ttlMs']
            self.next_lease += 1
            ends = time.monotonic() + ttl_ms / 1000.0
            self.leases[self.next_lease] = (ends, ttl_ms)
            return 200, {'lease': self.next_lease, 'ttlMs': ttl_ms}
        if name == 'kv-keep':
            known = self.leases.get(int(rest))
            if known is None:
                return 404, {}
            ends = time.monotonic() + known[1] / 1000.0
            self.leases[int(rest)] = (ends, known[1])
            return 200, {'lease': int(rest), 'ttlMs': known[1]}
        if name == 'kv-lease-end':
            if int(rest) not in self.leases:
                return 404, {}
            self._end_lease(int(rest))
            return 200, {}
        return 404, {}

    def _range(self, query):
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        return {
            'items': [self.items[key] for key in keys[:500]],
            'truncated': len(keys) > 500,
            'storeRevision': self.revision,
        }

    async def _watch(self, query):
        prefix = query.get('prefix', '')
        after = int(query['after'])
        until = time.monotonic() + int(query['waitMs']) / 1000.0
        while True:
            if not self.oldest <= after <= self.revision:
                return 410, {}
            events = [
                event
                for event in self.history
                if event['revision'] > after
                and event['key'].startswith(prefix)
            ]
            left = until - time.monotonic()
            if events or left <= 0:
                return 200, {
                    'events': events,
                    'storeRevision': self.revision,
                }
            changed = self.changed
            try:
                async with asyncio.timeout(left):
                    await changed.wait()
            except TimeoutError:
                pass

    def _transact(self, txn):
        expected = txn.get('expected', [])
        for row in expected:
            item = self.items.get(row['key'])
            if (item['revision'] if item else 0) != row['revision']:
                found = [
                    self.items[row['key']]
                    for row in expected
                    if row['key'] in self.items
                ]
                return 412, {'items': found}
        puts = txn.get('setKeys', [])
        for put in puts:
            lease = put.get('lease', 0)
            if lease and lease not in self.leases:
                return 404, {}
            if put['key'].startswith(('op/', 'servers/')):
                return 403, {}
        for put in puts:
            value = base64.b64decode(put['value'])
            self.put(put['key'], value, put.get('lease', 0))
        for key in txn.get('remove', []):
            self.remove(key)
        return 200, {'revision': self.revision}
