"""Runs claim attempts until their deadline and voids abandoned ones."""

import asyncio
from collections.abc import Coroutine
import random
from typing import Any
from typing import Protocol

from result import Err
from result import Ok
from result import Result

from wigeonmill.claims.backoff import Backoff
from wigeonmill.claims.layout import LayoutGuard
from wigeonmill.claims.layout import LayoutState
from wigeonmill.claims.model import Answered
from wigeonmill.claims.model import Claimed
from wigeonmill.claims.model import ClaimError
from wigeonmill.claims.model import ClaimErrorKind
from wigeonmill.claims.model import ClaimOutcome
from wigeonmill.claims.model import ClaimRefusal
from wigeonmill.claims.model import ClaimRequest
from wigeonmill.claims.model import COMPLETE_WAIT_MS
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import InProgress
from wigeonmill.claims.model import MAX_KEY_BYTES
from wigeonmill.claims.model import OUTCOMES
from wigeonmill.claims.model import RefusalReason
from wigeonmill.claims.model import REFUSALS
from wigeonmill.claims.model import TokenFactory
from wigeonmill.claims.model import Unknown
from wigeonmill.claims.record import ClaimRecord
from wigeonmill.claims.record import EXPIRY_MARGIN_MS
from wigeonmill.claims.record import key_name
from wigeonmill.claims.record import KeyStatus
from wigeonmill.claims.record import make_record
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.waiting import wait_done

# How long close() waits for claims, records and voids in progress.
CLOSE_TIMEOUT_MS = 5_000.0
# Abandoned attempts that are voided concurrently. The others wait, so that
# the end of an outage does not cause a burst of calls.
CONCURRENT_VOIDS = 32

ClaimResult = Result[ClaimOutcome, ClaimRefusal]
CompletionResult = Result[None, ClaimError]


def refuse(reason: RefusalReason, key_checked: bool = False) -> ClaimResult:
    """Return the refusal of an attempt that is never dispatched."""
    return Err(ClaimRefusal(reason, True, key_checked))


class Attempt:
    """The state of one claim() call until it is resolved."""

    __slots__ = (
        'request',
        'name',
        'record',
        'in_doubt',
        'abandoned',
        'wait_until_ms',
        'fallback',
    )

    def __init__(
        self, request: ClaimRequest, record: ClaimRecord, wait_until_ms: float
    ) -> None:
        self.request = request
        self.name = key_name(
            request.service, request.team, request.idempotency_key
        )
        self.record = record
        # The claim may be stored although no reply confirmed it.
        self.in_doubt = False
        # The caller got "not run", so a stored claim has to be voided.
        self.abandoned = False
        self.wait_until_ms = wait_until_ms
        # The result if the attempt is not resolved by the deadline.
        self.fallback = refuse(RefusalReason.STORE_OUTAGE)

    def make_claim(
        self, key: str, version: int = 0, lease: int = 0
    ) -> Claimed:
        """Return the granted claim, which is stored under `key`."""
        return Claimed(
            self.request.team,
            self.request.service,
            key,
            self.record.token,
            self.record.digest,
            version,
            lease,
            self.record.expires_wall_ms,
        )

    def resolve_against(
        self, key_status: KeyStatus, record: ClaimRecord, clock: Clock
    ) -> ClaimResult | None:
        """Return the result that another attempt's record implies.

        None means that the attempt may keep waiting for an answer.
        """
        if key_status is KeyStatus.REUSED:
            return refuse(RefusalReason.KEY_REUSED)
        if key_status is KeyStatus.ANSWERED and record.answer is not None:
            return Ok(Answered(record.answer))
        if key_status is KeyStatus.UNKNOWN:
            return Ok(Unknown(record.holder))
        remaining_ms = record.expires_wall_ms - clock.wall_ms()
        self.fallback = Ok(InProgress(max(float(remaining_ms), 0.0)))
        if clock.now_ms() < self.wait_until_ms:
            return None
        return self.fallback


class Resolver(Protocol):
    """Resolves attempts in one storage layout."""

    async def resolve(self, attempt: Attempt) -> ClaimResult:
        """Retry until resolved or abandoned; keep `in_doubt` up to date."""

    async def void_abandoned(self, attempt: Attempt) -> None:
        """Free the key if the abandoned attempt holds it."""


class AttemptRunner:
    """Enforces the deadline of attempts and voids those left in doubt."""

    __slots__ = (
        '_clock',
        '_metrics',
        '_holder',
        '_new_token',
        '_layout',
        '_rng',
        '_tasks',
        '_void_slots',
    )

    def __init__(
        self,
        clock: Clock,
        metrics: Metrics,
        holder: Holder,
        new_token: TokenFactory,
        layout: LayoutGuard,
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._metrics = metrics
        self._holder = holder
        self._new_token = new_token
        self._layout = layout
        self._rng = rng
        self._tasks: set[asyncio.Task] = set()
        self._void_slots = asyncio.Semaphore(CONCURRENT_VOIDS)

    async def run(
        self, request: ClaimRequest, resolver: Resolver
    ) -> ClaimResult:
        """Resolve one request by its deadline and count the outcome."""
        result = await self._run(request, resolver)
        if isinstance(result, Err):
            self._metrics.count(REFUSALS, result.err_value.reason.value)
        else:
            name = type(result.ok_value).__name__.lower()
            self._metrics.count(OUTCOMES, name, label='outcome')
        return result

    async def complete(
        self, work: Coroutine[Any, Any, CompletionResult]
    ) -> CompletionResult:
        """Run a record or void; return PENDING after COMPLETE_WAIT_MS.

        The work then continues in the background.
        """
        task = self._start(work)
        if await wait_done(task, COMPLETE_WAIT_MS / 1000.0):
            return task.result()
        return Err(
            ClaimError(
                ClaimErrorKind.PENDING, 'not durable yet, still retrying'
            )
        )

    async def close(self) -> None:
        """Wait for work in progress; cancel it after CLOSE_TIMEOUT_MS."""
        if self._tasks:
            timeout_s = CLOSE_TIMEOUT_MS / 1000.0
            await asyncio.wait(set(self._tasks), timeout=timeout_s)
        for task in set(self._tasks):
            task.cancel()

    async def _run(
        self, request: ClaimRequest, resolver: Resolver
    ) -> ClaimResult:
        if len(request.idempotency_key.encode()) > MAX_KEY_BYTES:
            return refuse(RefusalReason.KEY_TOO_LARGE)
        attempt = self._make_attempt(request)
        task = self._start(self._resolve(attempt, resolver))
        timeout_s = max(request.deadline_ms, 0.0) / 1000.0
        try:
            await wait_done(task, timeout_s)
        except asyncio.CancelledError:
            attempt.abandoned = True
            if task.done() and is_claim(task.result()):
                self._start(self._void(attempt, resolver))
            raise
        if task.done():
            return task.result()
        attempt.abandoned = True
        return attempt.fallback

    async def _resolve(
        self, attempt: Attempt, resolver: Resolver
    ) -> ClaimResult:
        refusal = await self._check_layout(attempt)
        if refusal is not None:
            return refusal
        result = await resolver.resolve(attempt)
        if not attempt.abandoned:
            return result
        if attempt.in_doubt or is_claim(result):
            await self._void(attempt, resolver)
        return attempt.fallback

    async def _void(self, attempt: Attempt, resolver: Resolver) -> None:
        async with self._void_slots:
            await resolver.void_abandoned(attempt)

    async def _check_layout(self, attempt: Attempt) -> ClaimResult | None:
        backoff = Backoff(self._rng)
        while not attempt.abandoned:
            state = await self._layout.check()
            if state is LayoutState.AGREES:
                return None
            if state is LayoutState.DIFFERS:
                return refuse(RefusalReason.OTHER_LAYOUT)
            await backoff.pause()
        return attempt.fallback

    def _make_attempt(self, request: ClaimRequest) -> Attempt:
        expires = int(self._clock.wall_ms() + request.deadline_ms)
        expires += EXPIRY_MARGIN_MS
        token = self._new_token()
        record = make_record(token, request.digest, self._holder, expires)
        wait_until_ms = self._clock.now_ms() + request.wait_ms
        return Attempt(request, record, wait_until_ms)

    def _start(self, work: Coroutine) -> asyncio.Task:
        task = asyncio.ensure_future(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task


def is_claim(result: ClaimResult) -> bool:
    """Return whether an attempt was granted."""
    return isinstance(result, Ok) and isinstance(result.ok_value, Claimed)
