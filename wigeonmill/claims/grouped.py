"""A claim store that commits many claims in one write."""

import random

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.claims.attempt import Attempt
from wigeonmill.claims.attempt import AttemptRunner
from wigeonmill.claims.attempt import ClaimResult
from wigeonmill.claims.attempt import refuse
from wigeonmill.claims.backoff import Backoff
from wigeonmill.claims.layout import LayoutGuard
from wigeonmill.claims.messages import OwnerAction
from wigeonmill.claims.messages import OwnerReply
from wigeonmill.claims.messages import OwnerRequest
from wigeonmill.claims.messages import OwnerStatus
from wigeonmill.claims.messages import OwnerTransport
from wigeonmill.claims.model import Claimed
from wigeonmill.claims.model import ClaimError
from wigeonmill.claims.model import ClaimErrorKind
from wigeonmill.claims.model import ClaimRequest
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import make_token
from wigeonmill.claims.model import RefusalReason
from wigeonmill.claims.model import RETRIES
from wigeonmill.claims.model import StoredAnswer
from wigeonmill.claims.model import TokenFactory
from wigeonmill.claims.opener import ShardOpener
from wigeonmill.claims.owners import OwnerRouter
from wigeonmill.claims.owners import OwnersPolicy
from wigeonmill.claims.record import ClaimRecord
from wigeonmill.claims.record import classify
from wigeonmill.claims.record import KeyStatus
from wigeonmill.claims.record import record_for
from wigeonmill.claims.retention import RetentionLease
from wigeonmill.claims.retention import RetentionPolicy
from wigeonmill.claims.segment import shard_of
from wigeonmill.claims.shard import ShardPolicy
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KeyValue

LAYOUT = 'grouped'
# How long storing an answer or a void is retried.
COMPLETION_TIMEOUT_MS = 60_000.0


class GroupPolicy(msgspec.Struct, frozen=True):
    """How claims are sharded, flushed and retained.

    There are at most `shards` * 1000 / `flush_interval_ms` writes a second,
    plus one for each sealed segment. At a given write rate, fewer shards
    mean a shorter wait for the next flush. All processes need the same
    number of shards; see LayoutGuard.
    """

    shards: int = 2
    owners: OwnersPolicy = OwnersPolicy()
    shard: ShardPolicy = ShardPolicy()
    retention: RetentionPolicy = RetentionPolicy()


class GroupedClaimStore:
    """Sends requests to the owner of the key's shard, possibly this process.

    The owner commits all requests of a flush interval in one write.
    Requests are retried with the attempt's token until they are resolved,
    so neither a lost reply nor a change of owner grants a second attempt.
    """

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        holder: Holder,
        rng: random.Random,
        new_token: TokenFactory,
        owners: OwnerRouter,
        layout: LayoutGuard,
        shards: int,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._holder = holder
        self._rng = rng
        self._owners = owners
        self._shards = shards
        self._runner = AttemptRunner(
            clock, metrics, holder, new_token, layout, rng
        )

    async def claim(self, request: ClaimRequest) -> ClaimResult:
        return await self._runner.run(request, self)

    async def record(
        self, claim: Claimed, answer: StoredAnswer
    ) -> Result[None, ClaimError]:
        record = record_for(claim, self._holder).answered(answer)
        work = self._complete(OwnerAction.ANSWER, claim, record)
        return await self._runner.complete(work)

    async def void(self, claim: Claimed) -> Result[None, ClaimError]:
        record = record_for(claim, self._holder).voided()
        work = self._complete(OwnerAction.VOID, claim, record)
        return await self._runner.complete(work)

    async def close(self) -> None:
        await self._runner.close()
        await self._owners.hand_over()

    async def serve(self, request: OwnerRequest) -> OwnerReply:
        """Handle another process's request if this one owns the shard."""
        return await self._owners.serve(request)

    async def resolve(self, attempt: Attempt) -> ClaimResult:
        """Send the claim to the owner until resolved or abandoned."""
        backoff = Backoff(self._rng)
        request = self._request(
            OwnerAction.CLAIM, attempt.name, attempt.record
        )
        while not attempt.abandoned:
            attempt.in_doubt = True
            reply = await self._owners.ask(request)
            if reply is not None:
                result = self._interpret_reply(attempt, reply)
                if result is not None:
                    return result
                self._metrics.count(RETRIES, reply.status.name.lower())
            await backoff.pause()
        return attempt.fallback

    async def void_abandoned(self, attempt: Attempt) -> None:
        """Free the key if the abandoned attempt holds it."""
        claim = attempt.make_claim(attempt.name)
        voided = attempt.record.voided()
        await self._complete(OwnerAction.VOID, claim, voided)

    def _interpret_reply(
        self, attempt: Attempt, reply: OwnerReply
    ) -> ClaimResult | None:
        if reply.status is OwnerStatus.DONE:
            return Ok(attempt.make_claim(attempt.name))
        if reply.status is OwnerStatus.FULL:
            attempt.in_doubt = False
            return refuse(RefusalReason.STORE_FULL, True)
        if reply.status is OwnerStatus.GONE:
            return refuse(RefusalReason.STORE_OUTAGE)
        if reply.status is not OwnerStatus.OTHER or reply.record is None:
            return None
        return self._interpret_record(attempt, reply.record)

    def _interpret_record(
        self, attempt: Attempt, record: ClaimRecord
    ) -> ClaimResult | None:
        key_status = classify(
            record,
            attempt.record.token,
            attempt.record.digest,
            self._holder,
            self._clock.wall_ms(),
        )
        if key_status in (KeyStatus.FREE, KeyStatus.OWN):
            return None
        return attempt.resolve_against(key_status, record, self._clock)

    async def _complete(
        self, action: OwnerAction, claim: Claimed, record: ClaimRecord
    ) -> Result[None, ClaimError]:
        backoff = Backoff(self._rng)
        request = self._request(action, claim.key, record)
        deadline_ms = self._clock.now_ms() + COMPLETION_TIMEOUT_MS
        while self._clock.now_ms() < deadline_ms:
            reply = await self._owners.ask(request)
            if reply is not None and reply.status is OwnerStatus.DONE:
                return Ok(None)
            if reply is not None and reply.status is OwnerStatus.GONE:
                return Err(
                    ClaimError(
                        ClaimErrorKind.CLAIM_GONE,
                        'the owner has no such claim',
                    )
                )
            await backoff.pause()
        return Err(
            ClaimError(ClaimErrorKind.STORE_OUTAGE, 'no confirmation in time')
        )

    def _request(
        self, action: OwnerAction, name: str, record: ClaimRecord
    ) -> OwnerRequest:
        shard = shard_of(name, self._shards)
        return OwnerRequest(action, shard, name, record)


def make_grouped_store(
    kv: KeyValue,
    transport: OwnerTransport,
    clock: Clock,
    metrics: Metrics,
    holder: Holder,
    address: str,
    rng: random.Random,
    new_token: TokenFactory = make_token,
    policy: GroupPolicy | None = None,
) -> GroupedClaimStore:
    """Return a store with group commit.

    `address` is the address at which other processes reach `serve`.
    """
    cfg = policy or GroupPolicy()
    retention = RetentionLease(kv, clock, cfg.retention)
    opener = ShardOpener(
        kv,
        clock,
        metrics,
        rng,
        holder,
        address,
        new_token,
        retention,
        cfg.shard,
    )
    owners = OwnerRouter(
        kv, transport, clock, metrics, holder, opener, cfg.owners
    )
    layout = LayoutGuard(kv, metrics, f'{LAYOUT}/{cfg.shards}')
    return GroupedClaimStore(
        clock, metrics, holder, rng, new_token, owners, layout, cfg.shards
    )
