"""Runs claim attempts to their deadline and cleans up after them."""

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
from wigeonmill.claims.record import make_record
from wigeonmill.claims.record import Standing
from wigeonmill.claims.waiting import wait_done
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics

# How long close() waits for voids under way.
CLOSE_MS = 5_000.0
# Abandoned attempts that are voided at a time; the others wait in line, so
# that an outage does not end in a flood of calls.
CONCURRENT_VOIDS = 32

Settled = Result[ClaimOutcome, ClaimRefusal]
Completed = Result[None, ClaimError]


def refuse(reason: RefusalReason, key_checked: bool = False) -> Settled:
    """Return the refusal of an attempt that is never dispatched."""
    return Err(ClaimRefusal(reason, True, key_checked))


class Attempt:
    """One call of claim() until it is settled."""

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
        # A claim may be stored although no reply said so.
        self.in_doubt = False
        # The caller was told "not run"; a claim must not stay behind.
        self.abandoned = False
        self.wait_until_ms = wait_until_ms
        # What the caller is told if nothing more is known by the deadline.
        self.fallback = refuse(RefusalReason.STORE_OUTAGE)

    def granted(self, key: str, version: int = 0, lease: int = 0) -> Claimed:
        """Return the right to dispatch, stored under `key`."""
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

    def settled_by(
        self, stands: Standing, record: ClaimRecord, clock: Clock
    ) -> Settled | None:
        """Return what another attempt's record means; None to wait."""
        if stands is Standing.REUSED:
            return refuse(RefusalReason.KEY_REUSED)
        if stands is Standing.ANSWERED and record.answer is not None:
            return Ok(Answered(record.answer))
        if stands is Standing.UNKNOWN:
            return Ok(Unknown(record.holder))
        left_ms = record.expires_wall_ms - clock.wall_ms()
        self.fallback = Ok(InProgress(max(float(left_ms), 0.0)))
        if clock.now_ms() < self.wait_until_ms:
            return None
        return self.fallback


class Settler(Protocol):
    """Settles attempts by one way of storing claims."""

    async def settle(self, attempt: Attempt) -> Settled:
        """Try until settled or abandoned; sets `in_doubt` on the way."""

    async def void_abandoned(self, attempt: Attempt) -> None:
        """Free the key that an abandoned attempt may hold."""


class AttemptRunner:
    """Holds each attempt to its deadline, then voids what is in doubt."""

    __slots__ = (
        '_clock',
        '_metrics',
        '_holder',
        '_new_token',
        '_layout',
        '_rng',
        '_tasks',
        '_voids',
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
        self._voids = asyncio.Semaphore(CONCURRENT_VOIDS)

    async def run(self, request: ClaimRequest, settler: Settler) -> Settled:
        """Settle one request by its deadline and count the outcome."""
        settled = await self._run(request, settler)
        if isinstance(settled, Err):
            self._metrics.count(REFUSALS, settled.err_value.reason.value)
        else:
            name = type(settled.ok_value).__name__.lower()
            self._metrics.count(OUTCOMES, name, label='outcome')
        return settled

    async def complete(
        self, work: Coroutine[Any, Any, Completed]
    ) -> Completed:
        """Run a record or void; PENDING if it takes long, yet it goes on."""
        task = self._start(work)
        if await wait_done(task, COMPLETE_WAIT_MS / 1000.0):
            return task.result()
        return Err(ClaimError(ClaimErrorKind.PENDING, 'still trying'))

    async def close(self) -> None:
        """Wait for voids under way, for a bounded time."""
        if self._tasks:
            timeout_s = CLOSE_MS / 1000.0
            await asyncio.wait(set(self._tasks), timeout=timeout_s)
        for task in set(self._tasks):
            task.cancel()

    async def _run(self, request: ClaimRequest, settler: Settler) -> Settled:
        if len(request.idempotency_key.encode()) > MAX_KEY_BYTES:
            return refuse(RefusalReason.KEY_TOO_LARGE)
        attempt = self._make_attempt(request)
        task = self._start(self._settle(attempt, settler))
        timeout_s = max(request.deadline_ms, 0.0) / 1000.0
        try:
            await wait_done(task, timeout_s)
        except asyncio.CancelledError:
            attempt.abandoned = True
            if task.done() and is_claim(task.result()):
                self._start(self._void(attempt, settler))
            raise
        if task.done():
            return task.result()
        attempt.abandoned = True
        return attempt.fallback

    async def _settle(self, attempt: Attempt, settler: Settler) -> Settled:
        refused = await self._compare_layout(attempt)
        if refused is not None:
            return refused
        settled = await settler.settle(attempt)
        if not attempt.abandoned:
            return settled
        if attempt.in_doubt or is_claim(settled):
            await self._void(attempt, settler)
        return attempt.fallback

    async def _void(self, attempt: Attempt, settler: Settler) -> None:
        async with self._voids:
            await settler.void_abandoned(attempt)

    async def _compare_layout(self, attempt: Attempt) -> Settled | None:
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


def is_claim(settled: Settled) -> bool:
    """Say whether an attempt was granted."""
    return isinstance(settled, Ok) and isinstance(settled.ok_value, Claimed)
