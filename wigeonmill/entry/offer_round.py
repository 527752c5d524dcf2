"""Requests offers from several agents at once and collects the answers."""

import asyncio
from collections.abc import Collection
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace

from wigeonmill.config.model import Target
from wigeonmill.entry.context import EntryContext
from wigeonmill.protocol.client import PeerErrorKind
from wigeonmill.protocol.gen.inner.ttypes import Envelope
from wigeonmill.protocol.gen.inner.ttypes import Kind
from wigeonmill.protocol.gen.inner.ttypes import OfferRequest
from wigeonmill.protocol.gen.inner.ttypes import Release
from wigeonmill.routing.offers import TargetOffer
from wigeonmill.routing.offers import TargetRefusal

# Time to wait for the other agents' answers after the first offer.
OFFER_GRACE_MS = 50.0


@dataclass(slots=True)
class OfferRound:
    """The answers to one round of offer requests.

    `unresponsive` names the targets whose agents gave no answer, among them
    the `unreachable` ones, to whose agents there is no connection.
    `crash_records` is what the agents know of crashes by this request.
    """

    offers: list[TargetOffer] = field(default_factory=list)
    refusals: list[TargetRefusal] = field(default_factory=list)
    unresponsive: list[str] = field(default_factory=list)
    unreachable: list[str] = field(default_factory=list)
    crash_records: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class _Answer:
    # None when the agent could not be reached.
    result: TargetOffer | TargetRefusal | None
    crash_record: bytes = b''


async def request_offers(
    context: EntryContext,
    targets: Sequence[Target],
    request: OfferRequest,
    timeout_ms: float,
    random_targets: Collection[str] = (),
) -> OfferRound:
    """Ask every target's agent and return the answers that came in time.

    `random_targets` names the targets that were picked at random.
    """
    collector = _Collector(context, targets, request, timeout_ms)
    offer_round = await collector.finished
    offer_round.offers = [
        replace(offer, chosen_at_random=offer.target in random_targets)
        for offer in offer_round.offers
    ]
    return offer_round


class _Collector:
    """Collects answers until all have arrived or the time is up."""

    def __init__(
        self,
        context: EntryContext,
        targets: Sequence[Target],
        request: OfferRequest,
        timeout_ms: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.finished: asyncio.Future[OfferRound] = loop.create_future()
        self._round = OfferRound()
        self._context = context
        self._deadline_ms = context.clock.now_ms() + timeout_ms
        self._waiting_for_all = False
        self._pending = {}
        for target in targets:
            task = loop.create_task(
                _request_offer(context, target, request, timeout_ms)
            )
            task.add_done_callback(self._on_answer)
            self._pending[task] = target
        self._timer = loop.call_later(timeout_ms / 1000.0, self._finish)

    def _on_answer(self, task: 'asyncio.Task[_Answer | None]') -> None:
        target = self._pending.pop(task, None)
        if target is None or task.cancelled():
            return
        first_offer = not self._round.offers
        _add_answer(self._round, target, task.result())
        if not self._pending:
            self._finish()
        elif self._round.crash_records:
            # The request has crashed a target: the other agents' crash
            # records are worth more than a quick answer.
            self._wait_for_all()
        elif first_offer and self._round.offers:
            self._timer.cancel()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(
                OFFER_GRACE_MS / 1000.0, self._finish
            )

    def _wait_for_all(self) -> None:
        if self._waiting_for_all:
            return
        self._waiting_for_all = True
        self._timer.cancel()
        remaining_ms = self._deadline_ms - self._context.clock.now_ms()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(
            max(remaining_ms, 0.0) / 1000.0, self._finish
        )

    def _finish(self) -> None:
        self._timer.cancel()
        late_tasks = self._pending
        self._pending = {}
        for task, target in late_tasks.items():
            self._round.unresponsive.append(target.name)
            task.cancel()
        if not self.finished.done():
            self.finished.set_result(self._round)


def release_unused(
    context: EntryContext,
    targets: Sequence[Target],
    offers: Sequence[TargetOffer],
    chosen: TargetOffer,
) -> None:
    """Release the reservations of all offers but the chosen one."""
    by_name = {target.name: target for target in targets}
    for offer in offers:
        if offer is chosen or not offer.reservation:
            continue
        envelope = Envelope(Kind.RELEASE, release=Release(offer.reservation))
        context.agent_client(by_name[offer.target]).notify(envelope)


async def _request_offer(
    context: EntryContext,
    target: Target,
    request: OfferRequest,
    timeout_ms: float,
) -> _Answer | None:
    started_ms = context.clock.now_ms()
    envelope = Envelope(Kind.OFFER_REQUEST, offer_request=request)
    answer = await context.agent_client(target).request(envelope, timeout_ms)
    if answer.is_err():
        kind = answer.unwrap_err().kind
        context.metrics.count('offers_failed', kind.value)
        if kind is PeerErrorKind.TIMEOUT:
            return None
        context.breakers.record_failure(target.name)
        return _Answer(None)
    elapsed_ms = context.clock.now_ms() - started_ms
    context.metrics.histogram('inner_round_trip').record(elapsed_ms)
    offer, refused = answer.unwrap().offer, answer.unwrap().refused
    if refused is not None:
        wait_ms = int(refused.retry_after_ms or 0)
        reason = refused.reason or ''
        return _Answer(TargetRefusal(target.name, reason, wait_ms))
    if offer is None:
        return None
    if offer.refusal:
        wait_ms = int(offer.retry_after_ms or 0)
        refusal = TargetRefusal(target.name, offer.refusal, wait_ms)
        return _Answer(refusal, offer.crash_record or b'')
    result = TargetOffer(
        target.name,
        request.prompt_tokens,
        offer.cached_tokens or 0,
        offer.fetchable_tokens or 0,
        offer.expected_wait_ms or 0.0,
        offer.expected_first_token_ms or 0.0,
        offer.reservation or 0,
    )
    return _Answer(result, offer.crash_record or b'')


def _add_answer(
    offer_round: OfferRound, target: Target, answer: _Answer | None
) -> None:
    if answer is None:
        offer_round.unresponsive.append(target.name)
        return
    if answer.result is None:
        offer_round.unresponsive.append(target.name)
        offer_round.unreachable.append(target.name)
        return
    if answer.crash_record:
        offer_round.crash_records.append(answer.crash_record)
    if isinstance(answer.result, TargetOffer):
        offer_round.offers.append(answer.result)
    else:
        offer_round.refusals.append(answer.result)
