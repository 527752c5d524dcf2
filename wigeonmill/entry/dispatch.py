"""Selects a target for a model request and starts the run on it."""

from dataclasses import dataclass
from dataclasses import replace
import hashlib

from result import Err
from result import Ok
from result import Result

from wigeonmill.cache.keys import chain_block_keys
from wigeonmill.cache.keys import count_tokens
from wigeonmill.config.model import Target
from wigeonmill.config.model import Team
from wigeonmill.entry.context import EntryContext
from wigeonmill.entry.context import ServiceRoutes
from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import Reason
from wigeonmill.entry.offer_round import OfferRound
from wigeonmill.entry.offer_round import release_unused
from wigeonmill.entry.offer_round import request_offers
from wigeonmill.entry.refusals import agent_refusal
from wigeonmill.entry.refusals import combined_refusal
from wigeonmill.entry.refusals import quarantine_refusal
from wigeonmill.entry.refusals import QUARANTINED
from wigeonmill.entry.refusals import STARTING
from wigeonmill.entry.requests import ModelRequest
from wigeonmill.entry.start_waits import StartWaits
from wigeonmill.protocol.client import PeerStream
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import OfferRequest
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.protocol.gen.inner.ttypes import Run
from wigeonmill.routing.offers import choose_offer
from wigeonmill.routing.offers import TargetOffer
from wigeonmill.routing.offers import TargetRefusal
from wigeonmill.routing.retries import Attempts
from wigeonmill.routing.retries import may_retry
from wigeonmill.routing.retries import RetryReason

FINGERPRINT_BYTES = 16
# A first token counts as stalled after this multiple of the time that the
# offer expected, but never before MIN_STALL_MS.
STALL_FACTOR = 3.0
MIN_STALL_MS = 2_000.0
# Rounds of offer requests that may be repeated because no agent answered.
MAX_REPEATED_ROUNDS = 4


@dataclass(slots=True)
class StartedRun:
    """A run that a target has accepted.

    Its first token counts as stalled after `stall_ms`.
    """

    run_id: str
    target: Target
    stream: PeerStream
    stall_ms: float


@dataclass(slots=True)
class _FailedAttempt:
    """A failed attempt; it is final if `reason` is None.

    `unanswered` means that none of the agents asked gave an answer,
    `no_offer` that no run was sent.
    """

    error: ApiError
    reason: RetryReason | None
    unanswered: bool = False
    no_offer: bool = False


class Dispatcher:
    """Starts one request on a target, within deadline and retry budget."""

    def __init__(
        self,
        context: EntryContext,
        routes: ServiceRoutes,
        team: Team,
        request: ModelRequest,
        request_id: str,
    ) -> None:
        self._context = context
        self._routes = routes
        self._team = team
        self._request = request
        self._request_id = request_id
        self._block_keys = chain_block_keys(
            team.name, '', request.prompt, routes.service.block_tokens
        )
        self._prompt_tokens = count_tokens(request.prompt)
        self._fingerprint = _fingerprint(team, request)
        started_ms = context.clock.now_ms()
        self._attempts = Attempts(started_ms + request.deadline_ms, True)
        self._excluded: set[str] = set()
        self._repeated_rounds = 0
        self._start_waits = StartWaits(
            context.clock, self._attempts.deadline_ms
        )
        # The refusal of the last round, returned when no target is left.
        self._last_refusal: ApiError | None = None

    @property
    def remaining_ms(self) -> float:
        """Time remaining until the request's deadline."""
        return self._attempts.deadline_ms - self._context.clock.now_ms()

    async def start(
        self, wait_for_starting: bool = True
    ) -> Result[StartedRun, ApiError]:
        """Start the run on a target, or return why none accepted it.

        If no other target is left, those that are starting are waited for
        unless `wait_for_starting` is False.
        """
        while True:
            started = await self._try_target()
            if isinstance(started, Ok):
                return started
            failed = started.err_value
            if failed.unanswered and self._may_repeat_round():
                continue
            if wait_for_starting and failed.no_offer:
                if await self._wait_for_starting():
                    continue
            if failed.reason is None or not self.take_retry(failed.reason):
                return Err(self.adjust_not_run(failed.error))

    def adjust_not_run(self, error: ApiError) -> ApiError:
        """Return `error` with `not_run` cleared if an attempt may have run.

        A refusal of the last attempt says nothing about earlier attempts,
        which may have run the request.
        """
        if self._attempts.may_have_started:
            return replace(error, not_run=False)
        return error

    def record_completion(self) -> None:
        """Clear the request of crash suspicion after it has completed."""
        self._context.crashes.record_success(self._fingerprint)

    def take_retry(self, reason: RetryReason) -> bool:
        """Take a retry from the budget; return whether it is allowed."""
        context = self._context
        allowed = may_retry(
            reason, self._attempts, context.budget, context.clock
        )
        if isinstance(allowed, Ok):
            context.metrics.count('retries', reason.value)
            self._attempts.attempts += 1
            return True
        context.metrics.count('retries_denied', allowed.err_value.value)
        return False

    def _may_repeat_round(self) -> bool:
        """Return whether to repeat a round that no agent answered.

        A repeated round takes nothing from the retry budget: it starts no
        work, and its rate is limited by the wait for the answers.
        """
        if (
            self._repeated_rounds >= MAX_REPEATED_ROUNDS
            or self.remaining_ms <= 0.0
        ):
            return False
        self._repeated_rounds += 1
        self._context.metrics.count('offers_repeated', 'unanswered')
        return True

    async def _wait_for_starting(self) -> bool:
        """Wait for a starting target; False if another can be asked."""
        if self._pick():
            return False
        due = await self._start_waits.wait()
        if not due:
            return False
        self._excluded.difference_update(due)
        self._context.metrics.count('offers_repeated', 'starting')
        return True

    def record_possible_start(self) -> None:
        """Record that a target may have started to run the request."""
        self._attempts.may_have_started = True

    def record_run_failure(self, refused: Refused | None) -> None:
        """Record a failed run and the crash information it returned.

        The next target receives the crash record with the request.
        """
        if refused is None or not refused.not_run:
            self.record_possible_start()
        if refused is None:
            return
        if refused.crash_record:
            self._merge_crash_records([refused.crash_record])
        if refused.reason == 'crashed':
            self._attempts.crashes += 1

    async def _try_target(self) -> Result[StartedRun, _FailedAttempt]:
        context = self._context
        if context.crashes.is_quarantined(self._fingerprint):
            return Err(_FailedAttempt(quarantine_refusal(), None))
        names = self._pick()
        targets = [self._routes.targets[name] for name in names]
        if not targets:
            error = self._last_refusal or _no_target_error()
            return Err(_FailedAttempt(error, None, no_offer=True))
        timeout_ms = min(
            context.settings.offer_timeout_ms, max(self.remaining_ms, 1.0)
        )
        offer_round = await request_offers(
            context,
            targets,
            self._offer_request(),
            timeout_ms,
            names[self._routes.picker.count :],
        )
        self._merge_crash_records(offer_round.crash_records)
        if offer_round.unresponsive or _starting(offer_round):
            # Their agents may know of crashes and can't say so.
            await context.crashes.refresh()
        if self._is_quarantined(offer_round):
            return Err(_FailedAttempt(quarantine_refusal(), None))
        chosen = choose_offer(offer_round.offers, offer_round.refusals)
        if isinstance(chosen, Err):
            self._exclude_from_next_round(names, offer_round)
            self._last_refusal = combined_refusal(chosen.err_value)
            unanswered = len(offer_round.unresponsive) == len(names)
            return Err(
                _FailedAttempt(
                    self._last_refusal,
                    _retry_reason(offer_round),
                    unanswered,
                    no_offer=True,
                )
            )
        release_unused(context, targets, offer_round.offers, chosen.ok_value)
        return await self._dispatch(chosen.ok_value)

    def _pick(self) -> list[str]:
        """Return the names of the targets to ask next.

        A prompt shorter than one block is routed by its fingerprint, so that
        the agents that saw it crash a target are asked again.
        """
        return self._routes.picker.pick(
            self._block_keys or [self._fingerprint],
            self._excluded,
            self._context.breakers.blocked,
        )

    async def _dispatch(
        self, offer: TargetOffer
    ) -> Result[StartedRun, _FailedAttempt]:
        context = self._context
        target = self._routes.targets[offer.target]
        context.breakers.record_dispatch(target.name)
        self._excluded.add(target.name)
        envelope = Envelope(Kind.RUN, run=self._run_message(offer))
        opened = await context.agent_client(target).open(envelope)
        if isinstance(opened, Err):
            context.breakers.record_failure(target.name)
            error = interrupted_error(opened.err_value.message)
            return Err(_FailedAttempt(error, RetryReason.UNREACHABLE))
        stream = opened.ok_value
        received = await stream.receive(self.remaining_ms)
        if isinstance(received, Err):
            stream.close()
            context.breakers.record_failure(target.name)
            self.record_possible_start()
            error = interrupted_error(received.err_value.message)
            return Err(_FailedAttempt(error, RetryReason.CONNECTION_LOST))
        answer = received.ok_value
        if answer.run_accepted is None:
            stream.close()
            return Err(_refused_attempt(answer.refused))
        stall_ms = max(
            MIN_STALL_MS, offer.expected_first_token_ms * STALL_FACTOR
        )
        run_id = answer.run_accepted.run_id
        return Ok(StartedRun(run_id, target, stream, stall_ms))

    def _merge_crash_records(self, crash_records: list[bytes]) -> None:
        for record in crash_records:
            self._context.crashes.merge_record(record)

    def _is_quarantined(self, offer_round: OfferRound) -> bool:
        if self._context.crashes.is_quarantined(self._fingerprint):
            return True
        return any(r.reason == QUARANTINED for r in offer_round.refusals)

    def _exclude_from_next_round(
        self, names: list[str], offer_round: OfferRound
    ) -> None:
        """Exclude the targets that the next round should not ask.

        When no agent answered in time, this process is more likely to be
        slow than all of the agents; then only unreachable targets are
        excluded.
        """
        for refusal in _starting(offer_round):
            self._start_waits.add(refusal.target, refusal.retry_after_ms)
        if offer_round.refusals or len(offer_round.unresponsive) < len(names):
            self._excluded.update(names)
        else:
            self._excluded.update(offer_round.unreachable)

    def _offer_request(self) -> OfferRequest:
        request = self._request
        return OfferRequest(
            self._routes.service.name,
            self._team.name,
            '',
            self._block_keys,
            self._prompt_tokens,
            request.max_tokens,
            request.priority,
            int(self.remaining_ms),
            self._fingerprint,
            True,
            self._team.weight,
        )

    def _run_message(self, offer: TargetOffer) -> Run:
        request = self._request
        return Run(
            offer.reservation,
            self._routes.service.name,
            self._team.name,
            '',
            self._block_keys,
            self._prompt_tokens,
            request.max_tokens,
            request.priority,
            int(self.remaining_ms),
            self._fingerprint,
            request.body,
            self._request_id,
            self._team.weight,
            self._context.crashes.records_for(self._fingerprint),
        )


def interrupted_error(message: str) -> ApiError:
    """Return the error for a run that may have started."""
    return ApiError(Reason.INTERRUPTED, message, 0, False)


def _fingerprint(team: Team, request: ModelRequest) -> bytes:
    content = team.name.encode() + b'\0' + request.body
    digest = hashlib.blake2b(content, digest_size=FINGERPRINT_BYTES)
    return digest.digest()


def _retry_reason(offer_round: OfferRound) -> RetryReason:
    if offer_round.unresponsive:
        return RetryReason.UNREACHABLE
    return RetryReason.REFUSED


def _starting(offer_round: OfferRound) -> list[TargetRefusal]:
    return [r for r in offer_round.refusals if r.reason == STARTING]


def _refused_attempt(refused: Refused | None) -> _FailedAttempt:
    error = agent_refusal(refused)
    if error.reason in (Reason.QUARANTINED, Reason.DEADLINE):
        return _FailedAttempt(error, None)
    return _FailedAttempt(error, RetryReason.REFUSED)


def _no_target_error() -> ApiError:
    return ApiError(
        Reason.NO_TARGET, 'no target of the service is available', 1000
    )
