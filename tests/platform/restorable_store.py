"""A stand-in for the platform's store that can be restored from a copy."""

import asyncio
import base64

from tests.platform.standin import Reply

# How long a watch with nothing to report waits at most.
MAX_WAIT_S = 0.05


class RestorableStore:
    """Keeps items with revisions and the history that a watch needs.

    With `names_era`, each answer carries the era.
    """

    def __init__(self, names_era):
        self.era = 1
        self.revision = 1
        self.away = False
        self.calls = []
        self._names_era = names_era
        self._items = {}
        self._events = []
        self._oldest = 0

    def put(self, key, value):
        """Write an item, as the operator or a target does."""
        self.revision += 1
        text = base64.b64encode(value).decode()
        item = {'key': key, 'revision': self.revision, 'value': text}
        self._items[key] = item
        self._events.append(item)

    def remove(self, key):
        """Remove an item."""
        self.revision += 1
        del self._items[key]
        self._events.append(
            {'key': key, 'revision': self.revision, 'removed': True}
        )

    def copy(self):
        """Return a copy that the store can be restored from."""
        return self.revision, dict(self._items)

    def restore(self, copy, keeps_history=False):
        """Lose all changes since the copy.

        A watch of lost history gets 410, or with `keeps_history` an answer
        with the lower revision.
        """
        self.revision, items = copy
        self._items = dict(items)
        self._events = []
        self._oldest = -1 if keeps_history else self.revision
        self.era += 1

    async def answer(self, call):
        """Return the reply to a call."""
        self.calls.append(call.path)
        if self.away:
            return Reply(503, {})
        if call.path.endswith('kv-watch'):
            reply = await self._watch(int(call.query['after']))
        elif call.path.endswith('kv-range'):
            body = {
                'items': list(self._items.values()),
                'storeRevision': self.revision,
            }
            reply = Reply(body=body)
        elif call.path.endswith('kv-lease'):
            reply = Reply(body={'lease': 1, 'ttlMs': call.body['ttlMs']})
        elif '/kv-keep/' in call.path:
            reply = Reply(body={})
        else:
            reply = self._transact(call.body)
        if self._names_era:
            reply.headers['Store-Era'] = str(self.era)
        return reply

    async def _watch(self, after):
        era = self.era
        deadline = asyncio.get_running_loop().time() + MAX_WAIT_S
        while True:
            beyond = after > self.revision and self._oldest >= 0
            if after < self._oldest or beyond:
                return Reply(410, {})
            events = [e for e in self._events if e['revision'] > after]
            waited = asyncio.get_running_loop().time() >= deadline
            if events or waited or era != self.era:
                body = {'events': events, 'storeRevision': self.revision}
                return Reply(body=body)
            await asyncio.sleep(0.005)

    def _transact(self, txn):
        for row in txn['expected']:
            known = self._items.get(row['key'])
            if (known['revision'] if known else 0) != row['revision']:
                return Reply(412, {'items': []})
        for put in txn['setKeys']:
            self.put(put['key'], base64.b64decode(put['value']))
        return Reply(body={'revision': self.revision})
