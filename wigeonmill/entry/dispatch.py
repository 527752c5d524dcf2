"""Finds a target for one model request and starts the run there."""

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
from wigeonmill.entry.offer_round import ask_for_offers
from wigeonmill.entry.offer_round import OfferRound
from wigeonmill.entry.offer_round import release_others
from wigeonmill.entry.refusals import agent_refusal
from wigeonmill.entry.refusals import combined_refusal
from wigeonmill.entry.refusals import quarantine_refusal
from wigeonmill.entry.refusals import QUARANTINED
from wigeonmill.entry.requests import ModelRequest
from wigeonmill.protocol.client import PeerStream
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import OfferRequest
from wigeonmill.protocol.gen.inner.ttypes import Refused
from wigeonmill.protocol.gen.inner.ttypes import Run
from wigeonmill.routing.offers import choose_offer
from wigeonmill.routing.offers import TargetOffer
from wigeonmill.routing.retries import Attempts
from wigeonmill.routing.retries import may_retry
from wigeonmill.routing.retries import RetryReason

FINGERPRINT_BYTES = 16
# A first token is stalled after this many times the offer's time, and not
# before the floor.
STALL_FACTOR = 3.0
STALL_FLOOR_MS = 2_000.0
# Rounds of offers that may pass without any answer.
MAX_UNANSWERED_ROUNDS = 4


@dataclass(slots=True)
class StartedRun:
    """A run that a target has accepted.

    Its first token is stalled when it takes longer than `stall_ms`.
    """

    run_id: str
    target: Target
    stream: PeerStream
    stall_ms: float


@dataclass(slots=True)
class _Failed:
    """A failed attempt; without a retry reason it is final.

    `unanswered` means that no agent that was asked had said anything.
    """

    error: ApiError
    reason: RetryReason | None
    unanswered: bool = False


class Dispatcher:
    """Tries targets for one request, within deadline and retry budget."""

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
        self._keys = chain_block_keys(
            team.name, '', request.prompt, routes.service.block_tokens
        )
        self._prompt_tokens = count_tokens(request.prompt)
        self._fingerprint = _fingerprint(team, request)
        started_ms = context.clock.now_ms()
        self._attempts = Attempts(started_ms + request.deadline_ms, True)
        self._excluded: set[str] = set()
        self._rounds = 0
        # What the targets asked so far said, once none is left to ask.
        self._refusal: ApiError | None = None

    @property
    def left_ms(self) -> float:
        """Time left until the request's deadline."""
        return self._attempts.deadline_ms - self._context.clock.now_ms()

    async def start(self) -> Result[StartedRun, ApiError]:
        """Find a target that accepts the run, or say why there is none."""
        while True:
            started = await self._attempt()
            if isinstance(started, Ok):
                return started
            failed = started.err_value
            if failed.unanswered and self._may_ask_again():
                continue
            if failed.reason is None or not self.may_retry(failed.reason):
                return Err(self.as_known(failed.error))

    def as_known(self, error: ApiError) -> ApiError:
        """Return a refusal that says "not run" only if no attempt may have.

        A later attempt's refusal does not undo what an earlier one did.
        """
        if self._attempts.may_have_started:
            return replace(error, not_run=False)
        return error

    def note_success(self) -> None:
        """Clear the request of suspicion: it has completed."""
        self._context.crashes.record_success(self._fingerprint)

    def may_retry(self, reason: RetryReason) -> bool:
        """Take one more attempt from the budget, if that is allowed."""
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

    def _may_ask_again(self) -> bool:
        """Allow another round of offers after one without any answer.

        It asks for no work, and the wait for the answers paces it, so that
        it takes nothing from the retry budget.
        """
        if self._rounds >= MAX_UNANSWERED_ROUNDS or self.left_ms <= 0.0:
            return False
        self._rounds += 1
        self._context.metrics.count('offers_repeated')
        return True

    def note_lost_run(self) -> None:
        """Note that an accepted run may have begun, whatever became of it."""
        self._attempts.may_have_started = True

    def note_failure(self, refused: Refused | None) -> None:
        """Keep what a failed run tells of crashes, for the next target."""
        if refused is None or not refused.not_run:
            self.note_lost_run()
        if refused is None:
            return
        if refused.crash_record:
            self._learn([refused.crash_record])
        if refused.reason == 'crashed':
            self._attempts.crashes += 1

    async def _attempt(self) -> Result[StartedRun, _Failed]:
        context = self._context
        if context.crashes.is_quarantined(self._fingerprint):
            return Err(_Failed(quarantine_refusal(), None))
        # A short prompt is routed by its fingerprint, so that those who saw
        # it crash a target are asked again.
        names = self._routes.picker.pick(
            self._keys or [self._fingerprint],
            self._excluded,
            context.breakers.blocked,
        )
        targets = [self._routes.targets[name] for name in names]
        if not targets:
            return Err(_Failed(self._refusal or _no_target(), None))
        timeout_ms = min(
            context.settings.offer_timeout_ms, max(self.left_ms, 1.0)
        )
        found = await ask_for_offers(
            context,
            targets,
            self._offer_request(),
            timeout_ms,
            names[self._routes.picker.count :],
        )
        self._learn(found.crash_records)
        if found.silent:
            await context.crashes.refresh()
        if self._quarantined(found):
            return Err(_Failed(quarantine_refusal(), None))
        chosen = choose_offer(found.offers, found.refusals)
        if isinstance(chosen, Err):
            self._exclude(names, found)
            self._refusal = combined_refusal(chosen.err_value)
            unanswered = len(found.silent) == len(names)
            return Err(
                _Failed(self._refusal, _retry_reason(found), unanswered)
            )
        release_others(context, targets, found.offers, chosen.ok_value)
        return await self._dispatch(chosen.ok_value)

    async def _dispatch(
        self, offer: TargetOffer
    ) -> Result[StartedRun, _Failed]:
        context = self._context
        target = self._routes.targets[offer.target]
        context.breakers.record_dispatch(target.name)
        self._excluded.add(target.name)
        envelope = Envelope(Kind.RUN, run=self._run_message(offer))
        opened = await context.peer(target).open(envelope)
        if isinstance(opened, Err):
            context.breakers.record_failure(target.name)
            error = interrupted(opened.err_value.message)
            return Err(_Failed(error, RetryReason.UNREACHABLE))
        stream = opened.ok_value
        received = await stream.receive(self.left_ms)
        if isinstance(received, Err):
            stream.close()
            context.breakers.record_failure(target.name)
            self.note_lost_run()
            error = interrupted(received.err_value.message)
            return Err(_Failed(error, RetryReason.CONNECTION_LOST))
        answer = received.ok_value
        if answer.run_accepted is None:
            stream.close()
            return Err(_refusal_of(answer.refused))
        stall_ms = max(
            STALL_FLOOR_MS, offer.expected_first_token_ms * STALL_FACTOR
        )
        run_id = answer.run_accepted.run_id
        return Ok(StartedRun(run_id, target, stream, stall_ms))

    def _learn(self, crash_records: list[bytes]) -> None:
        for record in crash_records:
            self._context.crashes.merge_record(record)

    def _quarantined(self, found: OfferRound) -> bool:
        if self._context.crashes.is_quarantined(self._fingerprint):
            return True
        return any(r.reason == QUARANTINED for r in found.refusals)

    def _exclude(self, names: list[str], found: OfferRound) -> None:
        """Keep those that can't help from being asked again.

        When nobody answered in time, it is likelier that this process is
        slow than that all of them are; they may be asked again.
        """
        if found.refusals or len(found.silent) < len(names):
            self._excluded.update(names)
        else:
            self._excluded.update(found.unreachable)

    def _offer_request(self) -> OfferRequest:
        request = self._request
        return OfferRequest(
            self._routes.service.name,
            self._team.name,
            '',
            self._keys,
            self._prompt_tokens,
            request.max_tokens,
            request.priority,
            int(self.left_ms),
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
            self._keys,
            self._prompt_tokens,
            request.max_tokens,
            request.priority,
            int(self.left_ms),
            self._fingerprint,
            request.body,
            self._request_id,
            self._team.weight,
            self._context.crashes.records_for(self._fingerprint),
        )


def interrupted(message: str) -> ApiError:
    """Return the failure of a run that may have begun."""
    return ApiError(Reason.INTERRUPTED, message, 0, False)


def _fingerprint(team: Team, request: ModelRequest) -> bytes:
    content = team.name.encode() + b'\0' + request.body
    digest = hashlib.blake2b(content, digest_size=FINGERPRINT_BYTES)
    return digest.digest()


def _retry_reason(found: OfferRound) -> RetryReason:
    if found.silent:
        return RetryReason.UNREACHABLE
    return RetryReason.REFUSED


def _refusal_of(refused: Refused | None) -> _Failed:
    error = agent_refusal(refused)
    if error.reason in (Reason.QUARANTINED, Reason.DEADLINE):
        return _Failed(error, None)
    return _Failed(error, RetryReason.REFUSED)


def _no_target() -> ApiError:
    return ApiError(
        Reason.NO_TARGET, 'no target of the service is available', 1000
    )
