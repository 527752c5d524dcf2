"""A key-value client for etcd's v3 JSON gateway."""

import base64
import math
from typing import Any
from typing import TypeVar

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.providers import etcd_messages as msg
from wigeonmill.providers.etcd_watch import watch_once
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
from wigeonmill.providers.http import HttpErrorKind
from wigeonmill.providers.key_value import KvEntry
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind
from wigeonmill.providers.key_value import KvWatchBatch

T = TypeVar('T')
MAX_CALLS = 64
MAX_WATCHES = 16
_UNAVAILABLE_STATUSES = frozenset((429, 503))


class EtcdKeyValue:
    """A client with one or more gateway addresses.

    `address` is an IP:port, or several separated by commas; the next one is
    tried if one is unavailable. The client must be used and closed inside a
    running event loop.
    """

    __slots__ = ('_addresses', '_http', '_timeout_ms', '_watches')

    def __init__(self, address: str, timeout_ms: int, clock: Clock) -> None:
        self._addresses = [part.strip() for part in address.split(',')]
        self._timeout_ms = timeout_ms
        self._http = HttpClient(clock, MAX_CALLS)
        self._watches = HttpClient(clock, MAX_WATCHES)

    def close(self) -> None:
        """Close every connection."""
        self._http.close()
        self._watches.close()

    async def get(self, key: str) -> Result[KvEntry | None, KvError]:
        req = msg.RangeRequest(msg.encode_key(key))
        reply = await self._call('kv/range', req, msg.RangeReply, False)
        if isinstance(reply, Err):
            return reply
        kvs = reply.ok_value.kvs
        return Ok(_decode_entry(kvs[0]) if kvs else None)

    async def list_prefix(
        self, prefix: str, limit: int = 0
    ) -> Result[list[KvEntry], KvError]:
        key = msg.range_key(prefix)
        req = msg.RangeRequest(key, msg.prefix_end(key), str(limit))
        reply = await self._call('kv/range', req, msg.RangeReply, False)
        if isinstance(reply, Err):
            return reply
        return Ok([_decode_entry(pair) for pair in reply.ok_value.kvs])

    async def compare_and_swap(
        self, key: str, expected_version: int, value: bytes, lease: int = 0
    ) -> Result[int, KvError]:
        wire_key = msg.encode_key(key)
        wire_value = base64.b64encode(value).decode()
        put = msg.PutRequest(wire_key, wire_value, str(lease))
        return await self._txn(
            wire_key, expected_version, msg.Operation(request_put=put)
        )

    async def delete(
        self, key: str, expected_version: int
    ) -> Result[None, KvError]:
        wire_key = msg.encode_key(key)
        delete = msg.DeleteRequest(wire_key)
        reply = await self._txn(
            wire_key,
            expected_version,
            msg.Operation(request_delete_range=delete),
        )
        return reply.map(lambda _revision: None)

    async def grant_lease(self, ttl_ms: int) -> Result[int, KvError]:
        """Return a new lease; its TTL is rounded up to whole seconds."""
        seconds = max(math.ceil(ttl_ms / 1000), 1)
        req = msg.LeaseGrantRequest(str(seconds))
        reply = await self._call('lease/grant', req, msg.LeaseReply, True)
        return reply.map(lambda granted: int(granted.ID))

    async def keep_alive(self, lease: int) -> Result[None, KvError]:
        req = msg.LeaseRequest(str(lease))
        reply = await self._call(
            'lease/keepalive', req, msg.LeaseStreamReply, True
        )
        if isinstance(reply, Err):
            return reply
        if int(reply.ok_value.result.TTL) <= 0:
            return Err(
                KvError(
                    KvErrorKind.INVALID,
                    f'lease {lease} does not exist or has expired',
                )
            )
        return Ok(None)

    async def revoke_lease(self, lease: int) -> Result[None, KvError]:
        req = msg.LeaseRequest(str(lease))
        reply = await self._call('lease/revoke', req, msg.LeaseReply, True)
        return reply.map(lambda _reply: None)

    async def watch(
        self, prefix: str, from_revision: int, wait_ms: int
    ) -> Result[KvWatchBatch, KvError]:
        key = msg.range_key(prefix)
        create = msg.WatchCreate(key, msg.prefix_end(key), str(from_revision))
        outcome: Result[KvWatchBatch, KvError] = _no_address()
        for address in self._addresses:
            outcome = await watch_once(
                self._watches,
                f'http://{address}/v3/watch',
                create,
                wait_ms,
                self._timeout_ms,
            )
            if not _should_try_next(outcome):
                return outcome
        return outcome

    async def _txn(
        self, key: str, version: int, operation: msg.Operation
    ) -> Result[int, KvError]:
        compare = msg.Compare(key, str(version))
        req = msg.TxnRequest([compare], [operation])
        reply = await self._call('kv/txn', req, msg.TxnReply, True)
        if isinstance(reply, Err):
            return reply
        if not reply.ok_value.succeeded:
            return Err(KvError(KvErrorKind.CONFLICT, 'the version differs'))
        return Ok(int(reply.ok_value.header.revision))

    async def _call(
        self, path: str, req: Any, reply_type: type[T], write: bool
    ) -> Result[T, KvError]:
        body = msgspec.json.encode(req)
        outcome: Result[T, KvError] = _no_address()
        for address in self._addresses:
            call = HttpCall(
                'POST',
                f'http://{address}/v3/{path}',
                self._timeout_ms,
                body,
                repeatable=not write,
            )
            outcome = await self._send(call, reply_type)
            if not _should_try_next(outcome):
                return outcome
        return outcome

    async def _send(
        self, call: HttpCall, reply_type: type[T]
    ) -> Result[T, KvError]:
        result = await self._http.send(call)
        if isinstance(result, Err):
            return Err(
                _call_error(
                    result.err_value.kind, result.err_value.message, call
                )
            )
        reply = result.ok_value
        if reply.status in _UNAVAILABLE_STATUSES:
            message = f'status {reply.status}'
            return Err(KvError(KvErrorKind.UNAVAILABLE, message))
        if 400 <= reply.status < 500:
            message = reply.body.decode('utf-8', 'replace')
            return Err(KvError(KvErrorKind.INVALID, message))
        if reply.status >= 500:
            message = f'status {reply.status}'
            return Err(_call_error(HttpErrorKind.BROKEN, message, call))
        try:
            return Ok(msgspec.json.decode(reply.body, type=reply_type))
        except msgspec.MsgspecError as exc:
            return Err(_call_error(HttpErrorKind.BROKEN, str(exc), call))


def _call_error(kind: HttpErrorKind, message: str, call: HttpCall) -> KvError:
    """Return UNAVAILABLE if the call had no effect, UNKNOWN if it may have."""
    if kind is HttpErrorKind.NOT_SENT or call.repeatable:
        return KvError(KvErrorKind.UNAVAILABLE, message)
    return KvError(KvErrorKind.UNKNOWN, message)


def _should_try_next(outcome: Result[Any, KvError]) -> bool:
    if isinstance(outcome, Ok):
        return False
    return outcome.err_value.kind is KvErrorKind.UNAVAILABLE


def _no_address() -> Err[KvError]:
    return Err(KvError(KvErrorKind.UNAVAILABLE, 'no gateway address'))


def _decode_entry(pair: msg.KeyValuePair) -> KvEntry:
    return KvEntry(
        msg.decode_key(pair.key),
        base64.b64decode(pair.value),
        int(pair.mod_revision),
        int(pair.lease),
    )
