"""Takes one request through the admission to its service."""

from collections.abc import Callable
import logging

from result import Err
from result import Result

from wigeonmill.gateway.admission import Applicant
from wigeonmill.gateway.admission import decide
from wigeonmill.gateway.admission import Decision
from wigeonmill.gateway.admission import MIN_RETRY_AFTER_MS
from wigeonmill.gateway.admission import retry_after_ms
from wigeonmill.gateway.admission import Room
from wigeonmill.gateway.admission import Standing
from wigeonmill.gateway.admission import Verdict
from wigeonmill.gateway.admission import Why
from wigeonmill.gateway.answers import CallerChannel
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import Refusal
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.picker import Pick
from wigeonmill.gateway.run_terms import RunTerms
from wigeonmill.gateway.waiting_room import Place
from wigeonmill.gateway.waiting_room import Turn

logger = logging.getLogger(__name__)

Picking = Callable[[], Result[Pick, Refusal]]


class AdmissionRun:
    """Holds one request while its service has no room, for a short time."""

    __slots__ = ('_ctx', '_terms', '_channel', '_held_ms')

    def __init__(
        self, ctx: GatewayContext, terms: RunTerms, channel: CallerChannel
    ) -> None:
        self._ctx = ctx
        self._terms = terms
        self._channel = channel
        # The time for which it was held in all attempts.
        self._held_ms = 0.0

    def record_asked(self) -> None:
        """Count the request for its team."""
        if self._terms.competes:
            self._ctx.team_shares.record_asked(
                self._terms.service, self._team, self._work
            )

    def record_served(self) -> None:
        """Count the answer for the team, and offer its slot."""
        if self._terms.competes:
            self._ctx.team_shares.record_served(
                self._terms.service, self._team, self._work
            )
            self._ctx.sessions.record(self._session)
            self._ctx.waiting_room.offer_slot(self._terms.service)

    def preview(
        self, picked: Result[Pick, Refusal]
    ) -> tuple[Result[Pick, Refusal], float]:
        """Return what `admit` would do first, and for how long it may hold.

        Nothing is counted and no place is taken.
        """
        if (
            isinstance(picked, Err)
            or not self._terms.competes
            or self._terms.continues
        ):
            return picked, 0.0
        now_ms = self._ctx.clock.now_ms()
        decision = self._decide(picked.ok_value, now_ms, Turn.LOOK)
        if decision.verdict is Verdict.REFUSE:
            return Err(self._late_refusal(picked.ok_value)), 0.0
        return picked, decision.hold_ms

    async def admit(
        self, pick: Picking, check: Callable[[], Refusal | None]
    ) -> Result[Pick, Refusal]:
        """Return a target once the request may be sent, or its refusal.

        `pick` returns the best target at the moment, and `check` a refusal if
        the request may no longer be sent after it was held.
        """
        picked = pick()
        if not self._terms.competes or self._terms.continues:
            return picked
        since_ms = self._ctx.clock.now_ms()
        place: Place | None = None
        turn = Turn.LOOK
        outcome = ''
        why = Why.ROOM
        try:
            while not isinstance(picked, Err):
                decision = self._decide(picked.ok_value, since_ms, turn)
                why = decision.why
                if decision.verdict is Verdict.REFUSE:
                    picked = Err(self._too_late(picked.ok_value, decision))
                    break
                if decision.verdict is not Verdict.HOLD and (
                    place is not None or self._goes_first()
                ):
                    break
                if place is None:
                    place = self._place(decision)
                    if not self._ctx.waiting_room.enter(place):
                        picked = Err(self._displaced(picked.ok_value))
                        break
                now_ms = self._ctx.clock.now_ms()
                place.until_ms = now_ms + decision.hold_ms
                turn = await self._ctx.waiting_room.wait(place)
                if turn is Turn.DISPLACED:
                    picked = Err(self._displaced(picked.ok_value))
                    break
                if self._channel.closed:
                    return Err(Refusal(Reason.NOT_RUN, 'the caller has left'))
                denial = check()
                picked = pick() if denial is None else Err(denial)
            outcome = _outcome(picked, why)
        finally:
            if place is not None:
                self._ctx.waiting_room.leave(place)
                if not outcome:
                    outcome = (
                        'caller_left' if self._channel.closed else 'ended'
                    )
                self._record_held(since_ms, outcome)
        return picked

    def _decide(self, pick: Pick, since_ms: float, turn: Turn) -> Decision:
        now_ms = self._ctx.clock.now_ms()
        refused_ms = max(0.0, pick.target.refusing_until_ms - now_ms)
        if turn is Turn.SLOT:
            refused_ms = 0.0
        room = Room(not pick.waits, refused_ms, pick.expected_ms)
        applicant = Applicant(
            self._terms.route.objective_ms,
            self._terms.in_time_ms,
            self._terms.remaining_ms,
            self._held_ms + now_ms - since_ms,
            self._terms.has_returned,
        )
        return decide(room, applicant)

    def _goes_first(self) -> bool:
        """Whether no request that waits goes before this one.

        Room that has just become free is theirs until their next look.
        """
        waiting = self._ctx.waiting_room
        return not waiting.waiting or waiting.goes_first(
            self._terms.service, self._standing()
        )

    def _place(self, decision: Decision) -> Place:
        terms = self._terms
        if decision.verdict is Verdict.HOLD:
            self._ctx.team_shares.record_shortage(terms.service)
            self._ctx.metrics.count('gateway_admission', decision.why.value)
        else:
            self._ctx.metrics.count('gateway_admission', 'behind')
        return Place(
            terms.service,
            self._ctx.team_shares.ratio(terms.service, self._team),
            self._standing(),
            len(terms.req.body),
        )

    def _standing(self) -> Standing:
        terms = self._terms
        return Standing(
            terms.demand(()).priority,
            terms.in_time_ms <= 0,
            terms.is_above_share,
            not terms.has_returned,
            self._ctx.sessions.has(self._session),
            self._tokens,
            terms.req.arrived_ms,
        )

    def _too_late(self, pick: Pick, decision: Decision) -> Refusal:
        """Return the refusal of a request that can't be served in time."""
        self._ctx.team_shares.record_shortage(self._terms.service)
        self._ctx.metrics.count('gateway_admission', decision.why.value)
        return self._late_refusal(pick)

    def _late_refusal(self, pick: Pick) -> Refusal:
        return Refusal(
            Reason.TOO_LATE,
            f'expected in {pick.expected_ms:.0f} ms, '
            f'deadline in {self._terms.remaining_ms:.0f} ms',
            self.retry_after_ms(self._room_ms(pick)),
        )

    def _room_ms(self, pick: Pick) -> float:
        """Return when there is room behind those that wait already.

        The other entries are expected to hold as many, and room becomes free
        on all targets.
        """
        service = self._terms.service
        waiting = self._ctx.waiting_room.waiting_for(service)
        targets = len(self._ctx.directory.of_service(service))
        ahead = waiting * self._ctx.entry_count() / max(1, targets)
        return pick.expected_ms * (1.0 + ahead)

    def _displaced(self, pick: Pick) -> Refusal:
        """Return the refusal of a request that others go before."""
        self._ctx.metrics.count('gateway_admission', 'displaced')
        after_ms = self.retry_after_ms(self._room_ms(pick))
        return Refusal(Reason.TARGETS_FULL, 'too many requests wait', after_ms)

    def retry_after_ms(self, starts_ms: float) -> float:
        """Return when the caller may return if it could start then."""
        remaining_ms = self._terms.remaining_ms
        if not self._terms.competes:
            return max(MIN_RETRY_AFTER_MS, starts_ms - remaining_ms)
        return retry_after_ms(starts_ms, remaining_ms, self._ctx.rng.random())

    def _record_held(self, since_ms: float, outcome: str) -> None:
        held_ms = self._ctx.clock.now_ms() - since_ms
        self._held_ms += held_ms
        self._ctx.metrics.histogram('gateway_held').record(held_ms)
        if outcome == Why.HELD_OUT.value:
            self._ctx.metrics.count('gateway_admission', outcome)
        logger.info(
            'request held',
            extra={
                'request_id': self._terms.req.id,
                'service': self._terms.service,
                'team': self._team,
                'held_ms': round(held_ms, 1),
                'outcome': outcome,
            },
        )

    @property
    def _team(self) -> str:
        return self._terms.team.name if self._terms.team else ''

    @property
    def _tokens(self) -> int:
        generation = self._terms.req.generation
        return generation.tokens if generation else 0

    @property
    def _work(self) -> float:
        """The work of the request, in tokens or in requests.

        Callers state the tokens; none needs more than an engine has.
        """
        tokens = self._tokens
        if self._terms.cache_tokens > 0:
            tokens = min(tokens, self._terms.cache_tokens)
        return float(tokens or 1)

    @property
    def _session(self) -> str:
        generation = self._terms.req.generation
        part = generation.last_shared_part if generation else None
        return part.id if part else ''


def _outcome(picked: Result[Pick, Refusal], why: Why) -> str:
    """Return what became of a request that was held."""
    if isinstance(picked, Err):
        return picked.err_value.reason.value
    return why.value if why is Why.HELD_OUT else 'sent'
