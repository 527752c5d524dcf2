"""The owner of one shard: decides on its keys and takes the shard over."""

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
from wigeonmill.claims.record import Standing
from wigeonmill.claims.record import standing
from wigeonmill.clock import Clock


class ShardPolicy(msgspec.Struct, frozen=True):
    """Bounds of one shard; beyond them new keys are refused."""

    max_keys: int = 200_000
    max_bytes: int = 64 * 1024 * 1024
    journal: JournalPolicy = JournalPolicy()


class ShardOwner:
    """Serves one shard for as long as its journal is not lost."""

    def __init__(
        self,
        clock: Clock,
        policy: ShardPolicy,
        journal: ShardJournal,
    ) -> None:
        self._clock = clock
        self._policy = policy
        self._journal = journal
        self._busy: dict[str, collections.deque[asyncio.Future]] = {}

    @property
    def lost(self) -> bool:
        """Whether another process owns the shard now."""
        return self._journal.lost

    async def handle(self, request: OwnerRequest) -> OwnerReply:
        """Move one key on; requests for one key run one by one."""
        name = request.name
        await self._enter(name)
        try:
            if self.lost:
                return OwnerReply(OwnerStatus.NOT_OWNER)
            return await self._handle(request)
        finally:
            self._leave(name)

    async def hand_over(self) -> None:
        """Leave the shard, so that the next asker takes it at once."""
        await self._journal.hand_over()

    async def _enter(self, name: str) -> None:
        waiting = self._busy.get(name)
        if waiting is None:
            self._busy[name] = collections.deque()
            return
        turn = asyncio.get_running_loop().create_future()
        waiting.append(turn)
        await turn

    def _leave(self, name: str) -> None:
        waiting = self._busy[name]
        while waiting:
            turn = waiting.popleft()
            if not turn.done():
                turn.set_result(None)
                return
        del self._busy[name]

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
        wanted = request.record
        wall_ms = self._clock.wall_ms()
        stands = standing(
            current, wanted.token, wanted.digest, wanted.holder, wall_ms
        )
        if stands is Standing.OWN:
            return OwnerReply(OwnerStatus.DONE)
        if stands is Standing.OWN_VOIDED or wanted.expires_wall_ms < wall_ms:
            return OwnerReply(OwnerStatus.GONE)
        if stands is not Standing.FREE:
            return OwnerReply(OwnerStatus.OTHER, stands, current)
        if current is None and self._is_full():
            return OwnerReply(OwnerStatus.FULL)
        return await self._append(request.name, wanted)

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
        # The tombstone also stops a delayed request of the same attempt.
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
