"""Transports requests between claim stores over the inner protocol."""

import asyncio
from collections.abc import Callable
import logging

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.claims.grouped import GroupedClaimStore
from wigeonmill.claims.messages import decode_reply
from wigeonmill.claims.messages import decode_request
from wigeonmill.claims.messages import encode_reply
from wigeonmill.claims.messages import encode_request
from wigeonmill.claims.messages import OwnerReply
from wigeonmill.claims.messages import OwnerRequest
from wigeonmill.claims.messages import TransportError
from wigeonmill.protocol.client import PeerErrorKind
from wigeonmill.protocol.client import PeerPool
from wigeonmill.protocol.conn import Conn
from wigeonmill.protocol.gen.inner.ttypes import ClaimCall
from wigeonmill.protocol.gen.inner.ttypes import ClaimReply
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind

logger = logging.getLogger(__name__)


class PeerTransport:
    """Sends requests to shard owners over the inner connections."""

    __slots__ = ('_peers',)

    def __init__(self, peers: PeerPool) -> None:
        self._peers = peers

    async def ask(
        self, address: str, request: OwnerRequest, timeout_ms: float
    ) -> Result[OwnerReply, TransportError]:
        call = ClaimCall(encode_request(request))
        envelope = Envelope(Kind.CLAIM_CALL, claim_call=call)
        answer = await self._peers.get(address).request(envelope, timeout_ms)
        if isinstance(answer, Err):
            error = answer.err_value
            slow = error.kind is PeerErrorKind.TIMEOUT
            return Err(TransportError(error.message, slow))
        reply = answer.ok_value.claim_reply
        if reply is None:
            return Err(
                TransportError(
                    'the peer did not answer with a claim reply', False
                )
            )
        try:
            return Ok(decode_reply(reply.reply))
        except msgspec.DecodeError as exc:
            return Err(TransportError(str(exc), False))


class ClaimServer:
    """Answers other processes' requests for shards of this process."""

    __slots__ = ('_store', '_serial', '_tasks')

    def __init__(
        self, store: GroupedClaimStore, serial: Callable[[], int]
    ) -> None:
        self._store = store
        self._serial = serial
        self._tasks: set[asyncio.Task[None]] = set()

    def handle(self, conn: Conn, envelope: Envelope) -> bool:
        """Handle a claim request; False if the envelope is not a valid one."""
        if envelope.kind != Kind.CLAIM_CALL or envelope.claim_call is None:
            return False
        try:
            request = decode_request(envelope.claim_call.request)
        except (msgspec.DecodeError, TypeError) as exc:
            logger.warning('malformed claim request: %s', exc)
            return False
        work = self._answer(conn, envelope.stream, request)
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _answer(
        self, conn: Conn, stream: int, request: OwnerRequest
    ) -> None:
        reply = await self._store.serve(request)
        envelope = Envelope(Kind.CLAIM_REPLY, stream, self._serial())
        envelope.claim_reply = ClaimReply(encode_reply(reply))
        conn.send(envelope)
