"""Locates the owner of each shard and takes over from a failed one."""

import asyncio
import logging

import msgspec
from result import Err
from result import Result

from wigeonmill.claims.messages import OwnerReply
from wigeonmill.claims.messages import OwnerRequest
from wigeonmill.claims.messages import OwnerStatus
from wigeonmill.claims.messages import OwnerTransport
from wigeonmill.claims.messages import TransportError
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import RETRIES
from wigeonmill.claims.opener import ShardOpener
from wigeonmill.claims.segment import decode_head
from wigeonmill.claims.segment import Head
from wigeonmill.claims.segment import head_key
from wigeonmill.claims.shard import ShardOwner
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.waiting import wait_done

logger = logging.getLogger(__name__)

# How long a stopping process tries to hand over its shards.
HAND_OVER_TIMEOUT_MS = 5_000.0
# Delay before a head is read again after a failed read.
HEAD_REREAD_DELAY_MS = 50.0


class OwnersPolicy(msgspec.Struct, frozen=True):
    """Timeouts of requests to owners, in milliseconds.

    A live owner replies within `reply_ms`, if only with PENDING. An owner
    loses the shard if it is unreachable for `takeover_ms`, or if it accepts
    requests but answers none for `silent_ms`.
    """

    reply_ms: float = 300.0
    ask_timeout_ms: float = 600.0
    takeover_ms: float = 1_000.0
    silent_ms: float = 2_000.0


class _Suspect:
    """An unresponsive owner: since when, and how long it is tolerated."""

    __slots__ = ('tenure', 'since_ms', 'allowed_ms')

    def __init__(self, tenure: bytes, since_ms: float) -> None:
        self.tenure = tenure
        self.since_ms = since_ms
        self.allowed_ms = 0.0


class OwnerRouter:
    """Routes requests to shard owners, including this process.

    An unnecessary takeover is slow but safe: the journal's compare-and-swap
    fences the previous owner.
    """

    def __init__(
        self,
        kv: KeyValue,
        transport: OwnerTransport,
        clock: Clock,
        metrics: Metrics,
        holder: Holder,
        opener: ShardOpener,
        policy: OwnersPolicy,
    ) -> None:
        self._kv = kv
        self._transport = transport
        self._clock = clock
        self._metrics = metrics
        self._holder = holder
        self._opener = opener
        self._policy = policy
        self._owned: dict[int, ShardOwner] = {}
        self._heads: dict[int, Head] = {}
        self._suspects: dict[int, _Suspect] = {}
        self._locks: dict[int, asyncio.Lock] = {}
        self._work: set[asyncio.Task[OwnerReply]] = set()
        self._next_read_ms: dict[int, float] = {}
        self._closing = False

    async def ask(self, request: OwnerRequest) -> OwnerReply | None:
        """Send a request to the shard's owner once; None without a reply."""
        shard = request.shard
        if not await self._locate_owner(shard):
            return None
        owned = self._owned.get(shard)
        if owned is not None and not owned.lost:
            # The work continues when the caller is cancelled.
            return await asyncio.shield(self._start(owned, request))
        head = self._heads.get(shard)
        if head is None:
            return None
        response = await self._transport.ask(
            head.address, request, self._policy.ask_timeout_ms
        )
        return self._handle_reply(shard, head, response)

    async def serve(self, request: OwnerRequest) -> OwnerReply:
        """Handle another process's request; reply PENDING after `reply_ms`."""
        owned = self._owned.get(request.shard)
        if owned is None or owned.lost:
            return OwnerReply(OwnerStatus.NOT_OWNER)
        work = self._start(owned, request)
        if not await wait_done(work, self._policy.reply_ms / 1000.0):
            return OwnerReply(OwnerStatus.PENDING)
        return work.result()

    def _start(
        self, owned: ShardOwner, request: OwnerRequest
    ) -> asyncio.Task[OwnerReply]:
        work = asyncio.ensure_future(owned.handle(request))
        self._work.add(work)
        work.add_done_callback(self._work.discard)
        return work

    async def hand_over(self) -> None:
        """Hand over every owned shard."""
        self._closing = True
        if self._owned:
            handovers = [
                asyncio.ensure_future(owned.hand_over())
                for owned in self._owned.values()
            ]
            await asyncio.wait(
                handovers, timeout=HAND_OVER_TIMEOUT_MS / 1000.0
            )

    async def _locate_owner(self, shard: int) -> bool:
        """Return whether the owner is known, after a takeover if needed."""
        if self._is_known(shard):
            return True
        lock = self._locks.setdefault(shard, asyncio.Lock())
        async with lock:
            return self._is_known(shard) or await self._read_head(shard)

    def _is_known(self, shard: int) -> bool:
        owned = self._owned.get(shard)
        if owned is not None and not owned.lost:
            return True
        return shard in self._heads

    async def _read_head(self, shard: int) -> bool:
        """Read the head; take the shard over if its owner may be replaced."""
        if self._clock.now_ms() < self._next_read_ms.get(shard, 0.0):
            return False
        read = await self._kv.get(head_key(shard))
        if isinstance(read, Err):
            self._metrics.count(RETRIES, read.err_value.kind.value)
            self._next_read_ms[shard] = (
                self._clock.now_ms() + HEAD_REREAD_DELAY_MS
            )
            return False
        entry = read.ok_value
        head = decode_head(entry.value) if entry else None
        if head is not None and not self._may_take_over(shard, head):
            self._heads[shard] = head
            return True
        if self._closing:
            return False
        opened = await self._opener.open(shard, entry)
        owner = opened.ok()
        if owner is None:
            return False
        self._owned[shard] = owner
        self._suspects.pop(shard, None)
        logger.info('claim shard %d taken over', shard)
        return True

    def _may_take_over(self, shard: int, head: Head) -> bool:
        if not head.address or self._is_successor(head.owner):
            return True
        suspect = self._suspects.get(shard)
        if suspect is None or suspect.tenure != head.tenure:
            return False
        silent_ms = self._clock.now_ms() - suspect.since_ms
        return silent_ms >= suspect.allowed_ms

    def _is_successor(self, owner: Holder) -> bool:
        if owner.name != self._holder.name:
            return False
        return owner.incarnation <= self._holder.incarnation

    def _handle_reply(
        self,
        shard: int,
        head: Head,
        response: Result[OwnerReply, TransportError],
    ) -> OwnerReply | None:
        reply = response.ok()
        if reply is not None and reply.status is not OwnerStatus.NOT_OWNER:
            self._suspects.pop(shard, None)
            return reply
        self._metrics.count(RETRIES, 'owner' if reply else 'transport')
        if self._heads.get(shard) is head:
            del self._heads[shard]
        suspect = self._suspects.get(shard)
        if suspect is None or suspect.tenure != head.tenure:
            suspect = _Suspect(head.tenure, self._clock.now_ms())
            self._suspects[shard] = suspect
        slow = isinstance(response, Err) and response.err_value.reached
        policy = self._policy
        suspect.allowed_ms = policy.silent_ms if slow else policy.takeover_ms
        return None
