"""A claim store that keeps one key-value entry per idempotency key."""

import asyncio
from collections.abc import Coroutine
import random

from result import Err
from result import Ok
from result import Result

from wigeonmill.claims.backoff import Backoff
from wigeonmill.claims.model import Answered
from wigeonmill.claims.model import Claimed
from wigeonmill.claims.model import ClaimError
from wigeonmill.claims.model import ClaimErrorKind
from wigeonmill.claims.model import ClaimOutcome
from wigeonmill.claims.model import ClaimRefusal
from wigeonmill.claims.model import ClaimRequest
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import InProgress
from wigeonmill.claims.model import make_token
from wigeonmill.claims.model import MAX_KEY_BYTES
from wigeonmill.claims.model import OUTCOMES
from wigeonmill.claims.model import RefusalReason
from wigeonmill.claims.model import REFUSALS
from wigeonmill.claims.model import RETRIES
from wigeonmill.claims.model import StoredAnswer
from wigeonmill.claims.model import TokenFactory
from wigeonmill.claims.model import Unknown
from wigeonmill.claims.record import ClaimRecord
from wigeonmill.claims.record import ClaimState
from wigeonmill.claims.record import decode_record
from wigeonmill.claims.record import encode_record
from wigeonmill.claims.record import EXPIRY_MARGIN_MS
from wigeonmill.claims.record import key_name
from wigeonmill.claims.record import make_record
from wigeonmill.claims.record import record_of
from wigeonmill.claims.record import Standing
from wigeonmill.claims.record import standing
from wigeonmill.claims.retention import RetentionLease
from wigeonmill.claims.retention import RetentionPolicy
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.platform.key_value import KeyValue
from wigeonmill.platform.key_value import KvEntry
from wigeonmill.platform.key_value import KvErrorKind

KEY_PREFIX = 'wigeonmill/claims/key/'
# How long answers and voids are tried again.
SETTLE_MS = 60_000.0
# How long close() waits for voids under way.
CLOSE_MS = 5_000.0

Settled = Result[ClaimOutcome, ClaimRefusal]


class _Attempt:
    """One call of claim() until it is settled."""

    __slots__ = (
        'request',
        'key',
        'record',
        'expected',
        'read_first',
        'in_doubt',
        'abandoned',
        'wait_until_ms',
        'fallback',
    )

    def __init__(
        self, request: ClaimRequest, record: ClaimRecord, wait_until_ms: float
    ) -> None:
        name = key_name(request.service, request.team, request.idempotency_key)
        self.request = request
        self.key = KEY_PREFIX + name
        self.record = record
        self.expected = 0
        self.read_first = False
        # A write went out whose outcome is not known.
        self.in_doubt = False
        # The caller was told "not run"; a claim must not stay behind.
        self.abandoned = False
        self.wait_until_ms = wait_until_ms
        # What the caller is told if nothing more is known by the deadline.
        self.fallback = _refuse(RefusalReason.STORE_OUTAGE)


class SingleKeyClaimStore:
    """Claims by compare-and-swap on one key per idempotency key.

    A lost reply is settled by reading the key back: the attempt's token
    tells whose claim it is. The same write may be sent again, because the
    expected version lets it take effect once.
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
        self._new_token = new_token
        self._retention = RetentionLease(kv, clock, policy)
        self._tasks: set[asyncio.Task] = set()

    async def claim(self, request: ClaimRequest) -> Settled:
        settled = await self._claim(request)
        if isinstance(settled, Err):
            self._metrics.count(REFUSALS, settled.err_value.reason.value)
        else:
            name = type(settled.ok_value).__name__.lower()
            self._metrics.count(OUTCOMES, name, label='outcome')
        return settled

    async def record(
        self, claim: Claimed, answer: StoredAnswer
    ) -> Result[None, ClaimError]:
        claimed = record_of(claim, self._holder)
        return await self._replace(claim, claimed.answered(answer))

    async def void(self, claim: Claimed) -> Result[None, ClaimError]:
        voided = record_of(claim, self._holder).voided()
        return await self._replace(claim, voided)

    async def close(self) -> None:
        if self._tasks:
            timeout_s = CLOSE_MS / 1000.0
            await asyncio.wait(set(self._tasks), timeout=timeout_s)

    async def _claim(self, request: ClaimRequest) -> Settled:
        if len(request.idempotency_key.encode()) > MAX_KEY_BYTES:
            return _refuse(RefusalReason.KEY_TOO_LARGE)
        attempt = self._make_attempt(request)
        task = self._start(self._settle(attempt))
        timeout_s = max(request.deadline_ms, 0.0) / 1000.0
        try:
            await asyncio.wait({task}, timeout=timeout_s)
        except asyncio.CancelledError:
            self._abandon(attempt, task)
            raise
        if task.done():
            return task.result()
        attempt.abandoned = True
        return attempt.fallback

    def _abandon(self, attempt: _Attempt, task: asyncio.Task) -> None:
        attempt.abandoned = True
        if task.done() and _is_claim(task.result()):
            self._start(self._void_abandoned(attempt))

    def _make_attempt(self, request: ClaimRequest) -> _Attempt:
        expires = int(self._clock.wall_ms() + request.deadline_ms)
        expires += EXPIRY_MARGIN_MS
        token = self._new_token()
        record = make_record(token, request.digest, self._holder, expires)
        wait_until_ms = self._clock.now_ms() + request.wait_ms
        return _Attempt(request, record, wait_until_ms)

    def _start(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _settle(self, attempt: _Attempt) -> Settled:
        backoff = Backoff(self._rng)
        while not attempt.abandoned:
            settled = await self._try(attempt)
            if settled is None:
                await backoff.pause()
                continue
            if not attempt.abandoned or not _is_claim(settled):
                return settled
            attempt.in_doubt = True
        if attempt.in_doubt:
            await self._void_abandoned(attempt)
        return attempt.fallback

    async def _try(self, attempt: _Attempt) -> Settled | None:
        """Make one write and, unless it succeeds, one read."""
        lease = await self._retention.current()
        if not lease:
            self._metrics.count(RETRIES, 'lease')
            return None
        if not attempt.read_first:
            version = await self._write(attempt, lease)
            if version:
                return Ok(_granted(attempt, version, lease))
        read = await self._kv.get(attempt.key)
        if isinstance(read, Err):
            self._metrics.count(RETRIES, read.err_value.kind.value)
            return None
        return self._judge(attempt, read.ok_value)

    async def _write(self, attempt: _Attempt, lease: int) -> int:
        data = encode_record(attempt.record)
        swapped = await self._kv.compare_and_swap(
            attempt.key, attempt.expected, data, lease
        )
        if isinstance(swapped, Ok):
            return swapped.ok_value
        kind = swapped.err_value.kind
        self._metrics.count(RETRIES, kind.value)
        if kind is KvErrorKind.UNKNOWN:
            attempt.in_doubt = True
        if kind is KvErrorKind.INVALID:
            self._retention.forget(lease)
        return 0

    def _judge(
        self, attempt: _Attempt, entry: KvEntry | None
    ) -> Settled | None:
        record = decode_record(entry.value) if entry else None
        mine = attempt.record
        stands = standing(
            record,
            mine.token,
            mine.digest,
            self._holder,
            self._clock.wall_ms(),
        )
        if record is None or entry is None or stands is Standing.FREE:
            attempt.expected = entry.version if entry else 0
            attempt.read_first = False
            attempt.fallback = _refuse(RefusalReason.STORE_OUTAGE, True)
            return None
        if stands is Standing.OWN:
            return Ok(_granted(attempt, entry.version, entry.lease))
        if stands is Standing.REUSED:
            return _refuse(RefusalReason.KEY_REUSED)
        if stands is Standing.ANSWERED and record.answer is not None:
            return Ok(Answered(record.answer))
        if stands is Standing.UNKNOWN:
            return Ok(Unknown(record.holder))
        return self._in_progress(attempt, record)

    def _in_progress(
        self, attempt: _Attempt, record: ClaimRecord
    ) -> Settled | None:
        left_ms = record.expires_wall_ms - self._clock.wall_ms()
        attempt.fallback = Ok(InProgress(max(float(left_ms), 0.0)))
        if self._clock.now_ms() < attempt.wait_until_ms:
            attempt.read_first = True
            return None
        return attempt.fallback

    async def _void_abandoned(self, attempt: _Attempt) -> None:
        claim = _granted(attempt, 0, 0)
        await self.void(claim)

    async def _replace(
        self, claim: Claimed, record: ClaimRecord
    ) -> Result[None, ClaimError]:
        """Replace the claim by its answer or its tombstone."""
        backoff = Backoff(self._rng)
        until_ms = self._clock.now_ms() + SETTLE_MS
        version, lease = claim.version, claim.lease
        while self._clock.now_ms() < until_ms:
            if version or record.state is ClaimState.VOIDED:
                if await self._replace_at(claim.key, version, record, lease):
                    return Ok(None)
            read = await self._kv.get(claim.key)
            if isinstance(read, Ok):
                entry = read.ok_value
                done = _replaced(entry, record)
                if done is not None:
                    return done
                version = entry.version if entry else 0
                lease = entry.lease if entry else 0
            await backoff.pause()
        return Err(ClaimError(ClaimErrorKind.STORE_OUTAGE, 'not settled'))

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


def _replaced(
    entry: KvEntry | None, wanted: ClaimRecord
) -> Result[None, ClaimError] | None:
    """Return the outcome if the entry settles it, None to try again."""
    if entry is None:
        if wanted.state is ClaimState.VOIDED:
            return None
        return Err(ClaimError(ClaimErrorKind.CLAIM_GONE, 'no entry'))
    stored = decode_record(entry.value)
    if stored.token != wanted.token:
        if wanted.state is ClaimState.VOIDED:
            # A tombstone of another attempt may still have the version
            # that a delayed write of this one expects: replace it.
            return None if stored.state is ClaimState.VOIDED else Ok(None)
        return Err(ClaimError(ClaimErrorKind.CLAIM_GONE, 'other claim'))
    if stored.state is wanted.state:
        return Ok(None)
    if stored.state is ClaimState.CLAIMED:
        return None
    return Err(ClaimError(ClaimErrorKind.CLAIM_GONE, stored.state.name))


def _granted(attempt: _Attempt, version: int, lease: int) -> Claimed:
    return Claimed(
        attempt.request.team,
        attempt.request.service,
        attempt.key,
        attempt.record.token,
        attempt.record.digest,
        version,
        lease,
        attempt.record.expires_wall_ms,
    )


def _is_claim(settled: Settled) -> bool:
    return isinstance(settled, Ok) and isinstance(settled.ok_value, Claimed)


def _refuse(reason: RefusalReason, key_checked: bool = False) -> Settled:
    return Err(ClaimRefusal(reason, True, key_checked))


def make_single_key_store(
    kv: KeyValue,
    clock: Clock,
    metrics: Metrics,
    holder: Holder,
    rng: random.Random,
    new_token: TokenFactory = make_token,
    policy: RetentionPolicy | None = None,
) -> SingleKeyClaimStore:
    """Return a store that keeps one key-value entry per key."""
    return SingleKeyClaimStore(
        kv,
        clock,
        metrics,
        holder,
        rng,
        new_token,
        policy or RetentionPolicy(),
    )
