"""Asks several agents for an offer at once and takes the best."""

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

# How long the other agents' answers are awaited after the first offer.
GRACE_MS = 50.0


@dataclass(slots=True)
class OfferRound:
    """The answers of one round; `silent` names targets without one.

    `unreachable` are those of them without a connection. `crash_records`
    is what the agents know of crashes by this request.
    """

    offers: list[TargetOffer] = field(default_factory=list)
    refusals: list[TargetRefusal] = field(default_factory=list)
    silent: list[str] = field(default_factory=list)
    unreachable: list[str] = field(default_factory=list)
    crash_records: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class _Answer:
    made: TargetOffer | TargetRefusal | None
    crash_record: bytes = b''


async def ask_for_offers(
    context: EntryContext,
    targets: Sequence[Target],
    request: OfferRequest,
    timeout_ms: float,
    chosen_at_random: Collection[str] = (),
) -> OfferRound:
    """Ask every target's agent and return the answers that came in time.

    `chosen_at_random` names the targets that were drawn at random.
    """
    collector = _Collector(context, targets, request, timeout_ms)
    found = await collector.finished
    found.offers = [
        replace(offer, chosen_at_random=offer.target in chosen_at_random)
        for offer in found.offers
    ]
    return found


class _Collector:
    """Gathers answers until all are in or the time is over."""

    def __init__(
        self,
        context: EntryContext,
        targets: Sequence[Target],
        request: OfferRequest,
        timeout_ms: float,
    ) -> None:
        loop = asyncio.get_running_loop()
        self.finished: asyncio.Future[OfferRound] = loop.create_future()
        self._found = OfferRound()
        self._context = context
        self._deadline_ms = context.clock.now_ms() + timeout_ms
        self._patient = False
        self._tasks = {}
        for target in targets:
            task = loop.create_task(_ask(context, target, request, timeout_ms))
            task.add_done_callback(self._on_answer)
            self._tasks[task] = target
        self._timer = loop.call_later(timeout_ms / 1000.0, self._finish)

    def _on_answer(self, task: 'asyncio.Task[_Answer | None]') -> None:
        target = self._tasks.pop(task, None)
        if target is None or task.cancelled():
            return
        first_offer = not self._found.offers
        _collect(self._found, target, task.result())
        if not self._tasks:
            self._finish()
        elif self._found.crash_records:
            # Who else knows of crashes matters more than a quick answer.
            self._wait_for_all()
        elif first_offer and self._found.offers:
            self._timer.cancel()
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(GRACE_MS / 1000.0, self._finish)

    def _wait_for_all(self) -> None:
        if self._patient:
            return
        self._patient = True
        self._timer.cancel()
        left_ms = self._deadline_ms - self._context.clock.now_ms()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(max(left_ms, 0.0) / 1000.0, self._finish)

    def _finish(self) -> None:
        self._timer.cancel()
        late = self._tasks
        self._tasks = {}
        for task, target in late.items():
            self._found.silent.append(target.name)
            task.cancel()
        if not self.finished.done():
            self.finished.set_result(self._found)


def release_others(
    context: EntryContext,
    targets: Sequence[Target],
    offers: Sequence[TargetOffer],
    chosen: TargetOffer,
) -> None:
    """Give back the reservations that are not used."""
    by_name = {target.name: target for target in targets}
    for offer in offers:
        if offer is chosen or not offer.reservation:
            continue
        envelope = Envelope(Kind.RELEASE, release=Release(offer.reservation))
        context.peer(by_name[offer.target]).notify(envelope)


async def _ask(
    context: EntryContext,
    target: Target,
    request: OfferRequest,
    timeout_ms: float,
) -> _Answer | None:
    started_ms = context.clock.now_ms()
    envelope = Envelope(Kind.OFFER_REQUEST, offer_request=request)
    answer = await context.peer(target).request(envelope, timeout_ms)
    if answer.is_err():
        kind = answer.unwrap_err().kind
        context.metrics.count('offers_failed', kind.value)
        if kind is PeerErrorKind.TIMEOUT:
            return None
        context.breakers.record_failure(target.name)
        return _Answer(None)
    elapsed_ms = context.clock.now_ms() - started_ms
    context.metrics.histogram('inner_round_trip').record(elapsed_ms)
    offer = answer.unwrap().offer
    if offer is None:
        return None
    if offer.refusal:
        wait_ms = int(offer.retry_after_ms or 0)
        refusal = TargetRefusal(target.name, offer.refusal, wait_ms)
        return _Answer(refusal, offer.crash_record or b'')
    made = TargetOffer(
        target.name,
        request.prompt_tokens,
        offer.cached_tokens or 0,
        offer.fetchable_tokens or 0,
        offer.expected_wait_ms or 0.0,
        offer.expected_first_token_ms or 0.0,
        offer.reservation or 0,
    )
    return _Answer(made, offer.crash_record or b'')


def _collect(
    found: OfferRound, target: Target, answer: _Answer | None
) -> None:
    if answer is None:
        found.silent.append(target.name)
        return
    if answer.made is None:
        found.silent.append(target.name)
        found.unreachable.append(target.name)
        return
    if answer.crash_record:
        found.crash_records.append(answer.crash_record)
    if isinstance(answer.made, TargetOffer):
        found.offers.append(answer.made)
    else:
        found.refusals.append(answer.made)
