"""An in-memory key-value service with the API of etcd's JSON gateway."""

import asyncio
import base64
from typing import Any

import msgspec
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.providers import etcd_messages as msg
from wigeonmill.providers.key_value import KvEntry
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind
from wigeonmill.providers.key_value import KvEvent
from wigeonmill.standins.memory_key_value import KvFaults
from wigeonmill.standins.memory_key_value import MemoryKeyValue
from wigeonmill.standins.server import Route
from wigeonmill.standins.server import StandinHandler
from wigeonmill.standins.server import StandinServer
from wigeonmill.standins.server import start_server

WATCH_WAIT_MS = 3_600_000
# gRPC status codes, as in the error bodies of the gateway.
CODE_UNAVAILABLE = 14
CODE_INVALID = 3


class KeyValueOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options of the key-value stand-in.

    `lease_second_ms` is the actual duration of one second of a lease's TTL.
    """

    lease_second_ms: int = 1000
    faults: KvFaults = msgspec.field(default_factory=KvFaults)


class KeyValueAudit(msgspec.Struct):
    """Calls by kind and the current revision."""

    calls: dict[str, int]
    revision: int


class KeyValueState:
    """The service's store, faults and options."""

    __slots__ = ('memory', 'options')

    def __init__(self, options: KeyValueOptions) -> None:
        self.options = options
        self.memory = MemoryKeyValue(Clock(), options.faults)

    @property
    def faults(self) -> KvFaults:
        """The faults that are set."""
        return self.memory.faults

    def audit(self) -> KeyValueAudit:
        """Return the calls so far."""
        return KeyValueAudit(self.memory.calls, self.memory.revision)

    def faults_changed(self) -> None:
        """Do nothing: faults apply from the next call on."""


class _Handler(StandinHandler):
    @property
    def memory(self) -> MemoryKeyValue:
        return self.state.memory

    def make_header(self) -> msg.Header:
        return msg.Header(revision=str(self.memory.revision))

    def reply_kv_error(self, error: KvError) -> None:
        """Send an error as the gateway does; UNKNOWN drops the connection."""
        if error.kind is KvErrorKind.UNKNOWN:
            return self.drop()
        status = 400
        code = CODE_INVALID
        if error.kind is KvErrorKind.UNAVAILABLE:
            status = 429 if 'rate' in error.message else 503
            code = CODE_UNAVAILABLE
        return self.reply(
            msg.GatewayError(error.message, code, error.message), status
        )

    def reply_invalid(self, message: str) -> None:
        self.reply_kv_error(KvError(KvErrorKind.INVALID, message))


class _RangeHandler(_Handler):
    async def post(self) -> None:
        req = self.decode(msg.RangeRequest)
        if req is None:
            return None
        key = _decode_text(req.key)
        if req.range_end:
            key = key.lstrip('\0')
            if req.range_end != msg.prefix_end(req.key):
                return self.reply_invalid('only prefix ranges are served')
            listed = await self.memory.list_prefix(key, int(req.limit))
            if listed.is_err():
                return self.reply_kv_error(listed.unwrap_err())
            entries = listed.unwrap()
        else:
            found = await self.memory.get(key)
            if found.is_err():
                return self.reply_kv_error(found.unwrap_err())
            entry = found.unwrap()
            entries = [] if entry is None else [entry]
        kvs = [_encode_entry(entry) for entry in entries]
        return self.reply(
            msg.RangeReply(self.make_header(), kvs, count=str(len(kvs)))
        )


class _TxnHandler(_Handler):
    async def post(self) -> None:
        req = self.decode(msg.TxnRequest)
        if req is None:
            return None
        if len(req.compare) != 1 or len(req.success) != 1 or req.failure:
            return self.reply_invalid(
                'one compare and one operation are served'
            )
        compare = req.compare[0]
        if compare.target != 'MOD' or compare.result != 'EQUAL':
            return self.reply_invalid('only an equal mod_revision is served')
        outcome = await self._apply(compare, req.success[0])
        if outcome.is_err():
            error = outcome.unwrap_err()
            if error.kind is not KvErrorKind.CONFLICT:
                return self.reply_kv_error(error)
        return self.reply(msg.TxnReply(self.make_header(), outcome.is_ok()))

    async def _apply(
        self, compare: msg.Compare, operation: msg.Operation
    ) -> Result[Any, KvError]:
        expected = int(compare.mod_revision)
        if operation.request_put is not None:
            put = operation.request_put
            value = base64.b64decode(put.value)
            return await self.memory.compare_and_swap(
                _decode_text(put.key), expected, value, int(put.lease)
            )
        return await self.memory.delete(_decode_text(compare.key), expected)


class _GrantHandler(_Handler):
    async def post(self) -> None:
        req = self.decode(msg.LeaseGrantRequest)
        if req is None:
            return None
        ttl_ms = int(req.TTL) * self.state.options.lease_second_ms
        granted = await self.memory.grant_lease(ttl_ms)
        if granted.is_err():
            return self.reply_kv_error(granted.unwrap_err())
        lease = str(granted.unwrap())
        return self.reply(msg.LeaseReply(self.make_header(), lease, req.TTL))


class _KeepAliveHandler(_Handler):
    async def post(self) -> None:
        req = self.decode(msg.LeaseRequest)
        if req is None:
            return None
        renewed = await self.memory.keep_alive(int(req.ID))
        ttl = '1'
        if renewed.is_err():
            error = renewed.unwrap_err()
            if error.kind is not KvErrorKind.INVALID:
                return self.reply_kv_error(error)
            ttl = '0'
        reply = msg.LeaseReply(self.make_header(), req.ID, ttl)
        return self.reply(msg.LeaseStreamReply(reply))


class _RevokeHandler(_Handler):
    async def post(self) -> None:
        req = self.decode(msg.LeaseRequest)
        if req is None:
            return None
        revoked = await self.memory.revoke_lease(int(req.ID))
        if revoked.is_err():
            return self.reply_kv_error(revoked.unwrap_err())
        return self.reply(msg.LeaseReply(self.make_header()))


class _WatchHandler(_Handler):
    _task: asyncio.Task[None] | None = None

    async def post(self) -> None:
        req = self.decode(msg.WatchRequest)
        if req is None:
            return None
        create = req.create_request
        if create.range_end != msg.prefix_end(create.key):
            return self.reply_invalid('only prefix ranges are served')
        self._task = asyncio.ensure_future(self._stream(create))
        await asyncio.wait([self._task])
        return self.drop()

    async def _stream(self, create: msg.WatchCreate) -> None:
        memory = self.memory
        prefix = _decode_text(create.key).lstrip('\0')
        start = int(create.start_revision) or memory.revision + 1
        error = await memory.admit_watch()
        if error is not None:
            return self.reply_kv_error(error)
        self._send(msg.WatchReply(self.make_header(), created=True))
        while True:
            batch = await memory.wait_events(prefix, start, WATCH_WAIT_MS)
            if batch.is_err():
                return self._end_watch(batch.unwrap_err())
            events = batch.unwrap().events
            start = batch.unwrap().next_revision
            if events:
                event_messages = [_encode_event(event) for event in events]
                self._send(
                    msg.WatchReply(self.make_header(), events=event_messages)
                )

    def _end_watch(self, error: KvError) -> None:
        if error.kind is not KvErrorKind.INVALID:
            return self.drop()
        oldest = str(self.memory.oldest_revision)
        return self._send(
            msg.WatchReply(
                self.make_header(), canceled=True, compact_revision=oldest
            )
        )

    def _send(self, reply: msg.WatchReply) -> None:
        line = msgspec.json.encode(msg.WatchStreamReply(reply))
        self.write(line + b'\n')
        self.flush()

    def on_connection_close(self) -> None:
        if self._task is not None:
            self._task.cancel()


def _decode_text(encoded: str) -> str:
    return base64.b64decode(encoded).decode('utf-8')


def _encode_entry(entry: KvEntry) -> msg.KeyValuePair:
    return msg.KeyValuePair(
        key=msg.encode_key(entry.key),
        value=base64.b64encode(entry.value).decode(),
        mod_revision=str(entry.version),
        lease=str(entry.lease),
    )


def _encode_event(event: KvEvent) -> msg.WatchEvent:
    if event.entry is None:
        key = msg.encode_key(event.key)
        pair = msg.KeyValuePair(key=key, mod_revision=str(event.revision))
        return msg.WatchEvent(kv=pair, type='DELETE')
    return msg.WatchEvent(kv=_encode_entry(event.entry))


async def start_key_value(
    options: KeyValueOptions, host: str = '127.0.0.1', port: int = 0
) -> StandinServer[KeyValueState]:
    """Start a key-value service."""
    state = KeyValueState(options)
    handler_args = {'state': state}
    routes: list[Route] = [
        ('/v3/kv/range', _RangeHandler, handler_args),
        ('/v3/kv/txn', _TxnHandler, handler_args),
        ('/v3/lease/grant', _GrantHandler, handler_args),
        ('/v3/lease/keepalive', _KeepAliveHandler, handler_args),
        ('/v3/lease/revoke', _RevokeHandler, handler_args),
        ('/v3/watch', _WatchHandler, handler_args),
    ]
    return await start_server(state, routes, host, port)
