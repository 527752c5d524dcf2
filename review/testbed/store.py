"""Stand-in for the platform's metadata store, as PROTOCOL.md describes it."""

import asyncio
import base64
from dataclasses import dataclass
import json
import time
from typing import Any

from testbed.wire import json_reply
from testbed.wire import port_of
from testbed.wire import Request
from testbed.wire import serve

FORBIDDEN = ('op/', 'servers/')
PAGE_ITEMS = 500


@dataclass
class Item:
    key: str
    value: bytes
    revision: int
    created: int
    lease: int = 0

    def shown(self) -> dict[str, Any]:
        return {
            'key': self.key,
            'value': base64.b64encode(self.value).decode(),
            'revision': self.revision,
            'createRevision': self.created,
            'lease': self.lease,
        }


class Store:
    """Keeps items with revisions, leases and a history for watches."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 1
        self.port = 0
        self._history: list[tuple[int, dict[str, Any]]] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._next_lease = 77_000
        self._changed = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._expiry: asyncio.Task[None] | None = None

    async def start(self) -> None:
        self._server = await serve(self._handle)
        self.port = port_of(self._server)
        self._expiry = asyncio.ensure_future(self._expire())

    def close(self) -> None:
        if self._expiry is not None:
            self._expiry.cancel()
        if self._server is not None:
            self._server.close()

    def put(self, key: str, value: Any) -> int:
        """Write as the operator or an engine does; return the revision."""
        self.revision += 1
        self._set(key, json.dumps(value).encode(), 0)
        self._notify()
        return self.revision

    def remove(self, key: str) -> None:
        if key in self.items:
            self.revision += 1
            self._remove(key)
            self._notify()

    def _set(self, key: str, value: bytes, lease: int) -> None:
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self._history.append((self.revision, item.shown()))

    def _remove(self, key: str) -> None:
        del self.items[key]
        event = {'key': key, 'revision': self.revision, 'removed': True}
        self._history.append((self.revision, event))

    def _notify(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _expire(self) -> None:
        while True:
            await asyncio.sleep(0.02)
            now = time.monotonic()
            for lease, (_ttl, until) in list(self._leases.items()):
                if now >= until:
                    self._end_lease(lease)

    def _end_lease(self, lease: int) -> None:
        del self._leases[lease]
        for key in [k for k, i in self.items.items() if i.lease == lease]:
            self.remove(key)

    async def _handle(
        self, req: Request, writer: asyncio.StreamWriter
    ) -> None:
        name = req.path.removeprefix('/wigeonmill/')
        if name == 'kv-key':
            writer.write(self._get(req.query['key']))
        elif name == 'kv-range':
            writer.write(self._range(req.query))
        elif name == 'kv-watch':
            writer.write(await self._watch(req.query))
        elif name == 'kv-txn':
            writer.write(self._txn(req.json()))
        elif name == 'kv-lease':
            writer.write(self._grant(req.json()['ttlMs']))
        elif name.startswith('kv-keep/'):
            writer.write(self._keep(int(name.partition('/')[2])))
        elif name.startswith('kv-lease-end/'):
            lease = int(name.partition('/')[2])
            if lease in self._leases:
                self._end_lease(lease)
            writer.write(json_reply(200, {}))
        else:
            writer.write(json_reply(404, {}))

    def _get(self, key: str) -> bytes:
        item = self.items.get(key)
        if item is None:
            return json_reply(404, {'storeRevision': self.revision})
        return json_reply(
            200, {**item.shown(), 'storeRevision': self.revision}
        )

    def _range(self, query: dict[str, str]) -> bytes:
        prefix, after = query.get('prefix', ''), query.get('after', '')
        keys = sorted(
            key for key in self.items if key.startswith(prefix) and key > after
        )
        page = keys[:PAGE_ITEMS]
        return json_reply(
            200,
            {
                'items': [self.items[key].shown() for key in page],
                'truncated': len(page) < len(keys),
                'storeRevision': self.revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> bytes:
        prefix, after = query.get('prefix', ''), int(query['after'])
        until = time.monotonic() + int(query.get('waitMs', 0)) / 1000.0
        while True:
            changed = self._changed
            events = [
                event
                for revision, event in self._history
                if revision > after and event['key'].startswith(prefix)
            ]
            wait = until - time.monotonic()
            if events or wait <= 0:
                found = {'events': events, 'storeRevision': self.revision}
                return json_reply(200, found)
            try:
                async with asyncio.timeout(wait):
                    await changed.wait()
            except TimeoutError:
                pass

    def _txn(self, txn: dict[str, Any]) -> bytes:
        puts, removals = txn.get('setKeys', []), txn.get('remove', [])
        keys = [put['key'] for put in puts] + removals
        if any(key.startswith(FORBIDDEN) for key in keys):
            return json_reply(403, {})
        for row in txn.get('expected', []):
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                return json_reply(412, {'items': []})
        leases = [put.get('lease', 0) for put in puts]
        if any(lease and lease not in self._leases for lease in leases):
            return json_reply(404, {})
        self.revision += 1
        for put, lease in zip(puts, leases):
            self._set(put['key'], base64.b64decode(put['value']), lease)
        for key in removals:
            if key in self.items:
                self._remove(key)
        revision = self.revision
        self._notify()
        return json_reply(200, {'revision': revision})

    def _grant(self, ttl_ms: float) -> bytes:
        self._next_lease += 1
        ttl = ttl_ms / 1000.0
        self._leases[self._next_lease] = ttl, time.monotonic() + ttl
        return json_reply(200, {'lease': self._next_lease, 'ttlMs': ttl_ms})

    def _keep(self, lease: int) -> bytes:
        if lease not in self._leases:
            return json_reply(404, {})
        ttl, _until = self._leases[lease]
        self._leases[lease] = ttl, time.monotonic() + ttl
        return json_reply(200, {'ttlMs': ttl * 1000.0})
