"""A claim store that keeps one key-value entry per idempotency key."""

import random

from result import Err
from result import Ok
from result import Result

from wigeonmill.claims.attempt import Attempt
from wigeonmill.claims.attempt import AttemptRunner
from wigeonmill.claims.attempt import ClaimResult
from wigeonmill.claims.attempt import refuse
from wigeonmill.claims.backoff import Backoff
from wigeonmill.claims.layout import LayoutGuard
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
from wigeonmill.claims.record import ClaimRecord
from wigeonmill.claims.record import ClaimState
from wigeonmill.claims.record import classify
from wigeonmill.claims.record import decode_record
from wigeonmill.claims.record import encode_record
from wigeonmill.claims.record import KeyStatus
from wigeonmill.claims.record import record_for
from wigeonmill.claims.retention import RetentionLease
from wigeonmill.claims.retention import RetentionPolicy
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.providers.key_value import KvEntry
from wigeonmill.providers.key_value import KvErrorKind

LAYOUT = 'single_key'
KEY_PREFIX = 'wigeonmill/claims/key/'
# How long storing an answer or a void is retried.
COMPLETION_TIMEOUT_MS = 60_000.0


class _NextWrite:
    """The key and the expected version of an attempt's next write."""

    __slots__ = ('key', 'expected_version', 'read_first')

    def __init__(self, key: str) -> None:
        self.key = key
        self.expected_version = 0
        self.read_first = False


class SingleKeyClaimStore:
    """Claims by compare-and-swap on one key per idempotency key.

    After a lost reply the key is read back, and the attempt's token shows
    whose claim is stored. A write may be sent again, because the expected
    version lets it take effect only once.
    """

    def __init__(
        self,
        kv: KeyValue,
        clock: Clock,
        metrics: Metrics,
        holder: Holder,
        rng: random.Random,
        new_token: TokenFactory,
        policy: RetentionPolicy,
    ) -> None:
        self._kv = kv
        self._clock = clock
        self._metrics = metrics
        self._holder = holder
        self._rng = rng
        layout = LayoutGuard(kv, metrics, LAYOUT)
        self._runner = AttemptRunner(
            clock, metrics, holder, new_token, layout, rng
        )
        self._retention = RetentionLease(kv, clock, policy)

    async def claim(self, request: ClaimRequest) -> ClaimResult:
        return await self._runner.run(request, self)

    async def record(
        self, claim: Claimed, answer: StoredAnswer
    ) -> Result[None, ClaimError]:
        claimed = record_for(claim, self._holder)
        work = self._replace(claim, claimed.answered(answer))
        return await self._runner.complete(work)

    async def void(self, claim: Claimed) -> Result[None, ClaimError]:
        voided = record_for(claim, self._holder).voided()
        return await self._runner.complete(self._replace(claim, voided))

    async def close(self) -> None:
        await self._runner.close()

    async def resolve(self, attempt: Attempt) -> ClaimResult:
        """Retry until resolved or abandoned."""
        backoff = Backoff(self._rng)
        next_write = _NextWrite(KEY_PREFIX + attempt.name)
        while not attempt.abandoned:
            result = await self._try_claim(attempt, next_write)
            if result is not None:
                return result
            await backoff.pause()
        return attempt.fallback

    async def void_abandoned(self, attempt: Attempt) -> None:
        """Free the key if the abandoned attempt holds it."""
        claim = attempt.make_claim(KEY_PREFIX + attempt.name)
        await self._replace(claim, attempt.record.voided())

    async def _try_claim(
        self, attempt: Attempt, next_write: _NextWrite
    ) -> ClaimResult | None:
        """Make at most one write and, unless it succeeds, one read."""
        lease = await self._retention.current()
        if not lease:
            self._metrics.count(RETRIES, 'lease')
            return None
        if not next_write.read_first:
            version = await self._write(attempt, next_write, lease)
            if version:
                return Ok(attempt.make_claim(next_write.key, version, lease))
        read = await self._kv.get(next_write.key)
        if isinstance(read, Err):
            self._metrics.count(RETRIES, read.err_value.kind.value)
            return None
        return self._interpret_entry(attempt, next_write, read.ok_value)

    async def _write(
        self, attempt: Attempt, next_write: _NextWrite, lease: int
    ) -> int:
        data = encode_record(attempt.record)
        swapped = await self._kv.compare_and_swap(
            next_write.key, next_write.expected_version, data, lease
        )
        if isinstance(swapped, Ok):
            return swapped.ok_value
        kind = swapped.err_value.kind
        self._metrics.count(RETRIES, kind.value)
        if kind is KvErrorKind.UNKNOWN:
            attempt.in_doubt = True
        if kind is KvErrorKind.INVALID:
            self._retention.invalidate(lease)
        return 0

    def _interpret_entry(
        self, attempt: Attempt, next_write: _NextWrite, entry: KvEntry | None
    ) -> ClaimResult | None:
        record = decode_record(entry.value) if entry else None
        own = attempt.record
        key_status = classify(
            record,
            own.token,
            own.digest,
            self._holder,
            self._clock.wall_ms(),
        )
        if record is None or entry is None or key_status is KeyStatus.FREE:
            next_write.expected_version = entry.version if entry else 0
            next_write.read_first = False
            attempt.fallback = refuse(RefusalReason.STORE_OUTAGE, True)
            return None
        if key_status is KeyStatus.OWN:
            return Ok(
                attempt.make_claim(next_write.key, entry.version, entry.lease)
            )
        next_write.read_first = True
        return attempt.resolve_against(key_status, record, self._clock)

    async def _replace(
        self, claim: Claimed, record: ClaimRecord
    ) -> Result[None, ClaimError]:
        """Replace the claim with its answer or a tombstone."""
        backoff = Backoff(self._rng)
        deadline_ms = self._clock.now_ms() + COMPLETION_TIMEOUT_MS
        version, lease = claim.version, claim.lease
        while self._clock.now_ms() < deadline_ms:
            if version or record.state is ClaimState.VOIDED:
                if await self._replace_at(claim.key, version, record, lease):
                    return Ok(None)
            read = await self._kv.get(claim.key)
            if isinstance(read, Ok):
                entry = read.ok_value
                done = _replacement_result(entry, record)
                if done is not None:
                    return done
                version = entry.version if entry else 0
                lease = entry.lease if entry else 0
            await backoff.pause()
        return Err(
            ClaimError(ClaimErrorKind.STORE_OUTAGE, 'no confirmation in time')
        )

    async def _replace_at(
        self, key: str, version: int, record: ClaimRecord, lease: int
    ) -> bool:
        lease = lease or await self._retention.current()
        if not lease:
            return False
        swapped = await self._kv.compare_and_swap(
            key, version, encode_record(record), lease
        )
        if isinstance(swapped, Ok):
            return True
        self._metrics.count(RETRIES, swapped.err_value.kind.value)
        return False


def _replacement_result(
    entry: KvEntry | None, requested: ClaimRecord
) -> Result[None, ClaimError] | None:
    """Return the result given the stored entry, None to retry."""
    if entry is None:
        if requested.state is ClaimState.VOIDED:
            return None
        return Err(
            ClaimError(ClaimErrorKind.CLAIM_GONE, 'the key has no entry')
        )
    stored = decode_record(entry.value)
    if stored.token != requested.token:
        if requested.state is ClaimState.VOIDED:
            # Another attempt's tombstone may still have the version that
            # a delayed write of this attempt expects, so it is replaced.
            return None if stored.state is ClaimState.VOIDED else Ok(None)
        return Err(
            ClaimError(
                ClaimErrorKind.CLAIM_GONE, 'the key holds another claim'
            )
        )
    if stored.state is requested.state:
        return Ok(None)
    if stored.state is ClaimState.CLAIMED:
        return None
    return Err(ClaimError(ClaimErrorKind.CLAIM_GONE, stored.state.name))


def make_single_key_store(
    kv: KeyValue,
    clock: Clock,
    metrics: Metrics,
    holder: Holder,
    rng: random.Random,
    new_token: TokenFactory = make_token,
    policy: RetentionPolicy | None = None,
) -> SingleKeyClaimStore:
    """Return a store with one key-value entry per idempotency key."""
    return SingleKeyClaimStore(
        kv,
        clock,
        metrics,
        holder,
        rng,
        new_token,
        policy or RetentionPolicy(),
    )
