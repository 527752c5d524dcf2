"""The owner of one shard, which decides on requests for its keys."""

import asyncio
import collections

import msgspec

from wigeonmill.claims.journal import JournalPolicy
from wigeonmill.claims.journal import ShardJournal
from wigeonmill.claims.messages import OwnerAction
from wigeonmill.claims.messages import OwnerReply
from wigeonmill.claims.messages import OwnerRequest
from wigeonmill.claims.messages import OwnerStatus
from wigeonmill.claims.record import ClaimRecord
from wigeonmill.claims.record import ClaimState
from wigeonmill.claims.record import classify
from wigeonmill.claims.record import KeyStatus
from wigeonmill.clock import Clock


class ShardPolicy(msgspec.Struct, frozen=True):
    """Limits of one shard; when one is reached, new keys are refused."""

    max_keys: int = 200_000
    max_bytes: int = 64 * 1024 * 1024
    journal: JournalPolicy = JournalPolicy()


class ShardOwner:
    """Serves one shard until its journal is lost to another owner."""

    def __init__(
        self,
        clock: Clock,
        policy: ShardPolicy,
        journal: ShardJournal,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._journal = journal
        self._key_waiters: dict[str, collections.deque[asyncio.Future]] = {}

    @property
    def lost(self) -> bool:
        """Whether another process has taken over the shard."""
        return self._journal.lost

    async def handle(self, request: OwnerRequest) -> OwnerReply:
        """Handle a request; requests for the same key are serialized."""
        name = request.name
        await self._acquire_key(name)
        try:
            if self.lost:
                return OwnerReply(OwnerStatus.NOT_OWNER)
            return await self._handle(request)
        finally:
            self._release_key(name)

    async def hand_over(self) -> None:
        """Give up the shard, so that another process can take it at once."""
        await self._journal.hand_over()

    async def _acquire_key(self, name: str) -> None:
        waiting = self._key_waiters.get(name)
        if waiting is None:
            self._key_waiters[name] = collections.deque()
            return
        waiter = asyncio.get_running_loop().create_future()
        waiting.append(waiter)
        await waiter

    def _release_key(self, name: str) -> None:
        waiting = self._key_waiters[name]
        while waiting:
            waiter = waiting.popleft()
            if not waiter.done():
                waiter.set_result(None)
                return
        del self._key_waiters[name]

    async def _handle(self, request: OwnerRequest) -> OwnerReply:
        current = self._journal.get(request.name)
        if request.action is OwnerAction.CLAIM:
            return await self._claim(request, current)
        if request.action is OwnerAction.ANSWER:
            return await self._answer(request, current)
        return await self._void(request, current)

    async def _claim(
        self,
        request: OwnerRequest,
        current: ClaimRecord | None,
    ) -> OwnerReply:
        requested = request.record
        wall_ms = self._clock.wall_ms()
        key_status = classify(
            current,
            requested.token,
            requested.digest,
            requested.holder,
            wall_ms,
        )
        if key_status is KeyStatus.OWN:
            return OwnerReply(OwnerStatus.DONE)
        if (
            key_status is KeyStatus.OWN_VOIDED
            or requested.expires_wall_ms < wall_ms
        ):
            return OwnerReply(OwnerStatus.GONE)
        if key_status is not KeyStatus.FREE:
            return OwnerReply(OwnerStatus.OTHER, key_status, current)
        if current is None and self._is_full():
            return OwnerReply(OwnerStatus.FULL)
        return await self._append(request.name, requested)

    async def _answer(
        self, request: OwnerRequest, current: ClaimRecord | None
    ) -> OwnerReply:
        if current is None or current.token != request.record.token:
            return OwnerReply(OwnerStatus.GONE)
        if current.state is ClaimState.ANSWERED:
            return OwnerReply(OwnerStatus.DONE)
        if current.state is ClaimState.VOIDED:
            return OwnerReply(OwnerStatus.GONE)
        return await self._append(request.name, request.record)

    async def _void(
        self, request: OwnerRequest, current: ClaimRecord | None
    ) -> OwnerReply:
        own = current is not None and current.token == request.record.token
        if current is not None and current.state is not ClaimState.VOIDED:
            if not own:
                return OwnerReply(OwnerStatus.DONE)
            if current.state is ClaimState.ANSWERED:
                return OwnerReply(OwnerStatus.GONE)
        elif own:
            return OwnerReply(OwnerStatus.DONE)
        # The tombstone also rejects a delayed request of the same attempt.
        return await self._append(request.name, request.record)

    async def _append(self, name: str, record: ClaimRecord) -> OwnerReply:
        if not await self._journal.append(name, record):
            return OwnerReply(OwnerStatus.NOT_OWNER)
        return OwnerReply(OwnerStatus.DONE)

    def _is_full(self) -> bool:
        self._journal.drop_expired()
        if self._journal.key_count >= self._policy.max_keys:
            return True
        return self._journal.size_bytes >= self._policy.max_bytes
