"""A stand-in of the platform's store: items, watches and leases."""

import asyncio
import base64
from collections.abc import Callable
from dataclasses import dataclass
import itertools
import json
from urllib.parse import parse_qsl
from urllib.parse import urlsplit

from review.fleet.http11 import Reply
from review.fleet.http11 import Request
from review.fleet.http11 import Server

# Time that the store takes for an answer.
ANSWER_S = 0.004
PAGE_ITEMS = 500


@dataclass
class Item:
    """One key with its last value; `value` is None once it was removed."""

    key: str
    value: bytes | None
    revision: int
    created: int
    lease: int = 0


class Store:
    """Keeps everything in memory; its answers are linearizable."""

    def __init__(self) -> None:
        self.items: dict[str, Item] = {}
        self.revision = 10
        self._history: list[Item] = []
        self._leases: dict[int, tuple[float, float]] = {}
        self._lease_ids = itertools.count(1000)
        self._changed = asyncio.Condition()
        self._server = Server(self._handle)
        self._expiry: asyncio.Task[None] | None = None
        # Called with the leader's item whenever it is written.
        self.on_write: Callable[[Item], None] = lambda _item: None

    async def start(self, host: str) -> str:
        """Listen at a free port; return the address."""
        await self._server.start(host)
        self._expiry = asyncio.ensure_future(self._expire())
        return f'{host}:{self._server.port}'

    async def put(self, key: str, value: object) -> int:
        """Write a JSON value, as the operator and the engines do."""
        self._write(key, json.dumps(value).encode(), 0)
        await self._notify()
        return self.revision

    async def remove(self, key: str) -> None:
        """Remove a key, if it exists."""
        self._remove(key)
        await self._notify()

    def _write(self, key: str, value: bytes, lease: int) -> None:
        self.revision += 1
        known = self.items.get(key)
        created = known.created if known else self.revision
        item = Item(key, value, self.revision, created, lease)
        self.items[key] = item
        self._history.append(item)
        self.on_write(item)

    def _remove(self, key: str) -> None:
        if self.items.pop(key, None) is not None:
            self.revision += 1
            self._history.append(Item(key, None, self.revision, 0))

    async def _notify(self) -> None:
        async with self._changed:
            self._changed.notify_all()

    async def _expire(self) -> None:
        """End the leases whose time is over."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(0.02)
            for lease, (until_s, _ttl_s) in list(self._leases.items()):
                if loop.time() >= until_s:
                    await self._end(lease)

    async def _end(self, lease: int) -> None:
        del self._leases[lease]
        for item in list(self.items.values()):
            if item.lease == lease:
                self._remove(item.key)
        await self._notify()

    async def _handle(self, req: Request) -> Reply:
        await asyncio.sleep(ANSWER_S)
        url = urlsplit(req.target)
        query = dict(parse_qsl(url.query, keep_blank_values=True))
        name = url.path.removeprefix('/wigeonmill/')
        body = json.loads(req.body) if req.body else {}
        verb, _, argument = name.partition('/')
        if verb == 'kv-range':
            return self._range(query)
        if verb == 'kv-watch':
            return await self._watch(query)
        if verb == 'kv-key':
            return self._key(query['key'])
        if verb == 'kv-txn':
            return await self._txn(body)
        return await self._lease_call(verb, argument, body)

    def _range(self, query: dict[str, str]) -> Reply:
        after = query.get('after', '')
        keys = sorted(
            key
            for key in self.items
            if key.startswith(query.get('prefix', '')) and key > after
        )
        page = keys[:PAGE_ITEMS]
        return _json(
            200,
            {
                'items': [_encode(self.items[key]) for key in page],
                'truncated': len(page) < len(keys),
                'storeRevision': self.revision,
            },
        )

    async def _watch(self, query: dict[str, str]) -> Reply:
        after = int(query['after'])
        prefix = query.get('prefix', '')

        def found() -> list[Item]:
            return [
                item
                for item in self._history
                if item.revision > after and item.key.startswith(prefix)
            ]

        try:
            async with asyncio.timeout(int(query['waitMs']) / 1000.0):
                async with self._changed:
                    await self._changed.wait_for(lambda: bool(found()))
        except TimeoutError:
            pass
        events = [_encode(item) for item in found()]
        return _json(200, {'events': events, 'storeRevision': self.revision})

    def _key(self, key: str) -> Reply:
        item = self.items.get(key)
        if item is None:
            return _json(404, {})
        return _json(200, _encode(item) | {'storeRevision': self.revision})

    async def _txn(self, body: dict) -> Reply:
        for row in body.get('expected', []):
            item = self.items.get(row['key'])
            if (item.revision if item else 0) != row['revision']:
                rows = [_encode(item)] if item else []
                return _json(412, {'items': rows})
        puts = body.get('setKeys', [])
        if any(
            put.get('lease') not in (0, None, *self._leases) for put in puts
        ):
            return _json(404, {})
        for put in puts:
            value = base64.b64decode(put['value'])
            self._write(put['key'], value, put.get('lease') or 0)
        for key in body.get('remove', []):
            self._remove(key)
        await self._notify()
        return _json(200, {'revision': self.revision})

    async def _lease_call(self, verb: str, argument: str, body: dict) -> Reply:
        now_s = asyncio.get_running_loop().time()
        if verb == 'kv-lease':
            lease, ttl_s = next(self._lease_ids), body['ttlMs'] / 1000.0
            self._leases[lease] = (now_s + ttl_s, ttl_s)
            return _json(200, {'lease': lease, 'ttlMs': body['ttlMs']})
        lease = int(argument)
        if lease not in self._leases:
            return _json(404, {})
        if verb == 'kv-keep':
            ttl_s = self._leases[lease][1]
            self._leases[lease] = (now_s + ttl_s, ttl_s)
            return _json(200, {'ttlMs': round(ttl_s * 1000.0)})
        await self._end(lease)
        return _json(200, {})


def _encode(item: Item) -> dict[str, object]:
    if item.value is None:
        return {'key': item.key, 'revision': item.revision, 'removed': True}
    return {
        'key': item.key,
        'value': base64.b64encode(item.value).decode(),
        'revision': item.revision,
        'createRevision': item.created,
        'lease': item.lease,
    }


def _json(status: int, body: object) -> Reply:
    return Reply(
        status,
        {'Content-Type': 'application/json'},
        json.dumps(body).encode(),
    )
