"""Asks several agents for an offer at once and takes the best."""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass

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
GRACE_MS = 15.0


@dataclass(slots=True)
class OfferRound:
    """The answers of one round; `silent` names targets without one."""

    offers: list[TargetOffer]
    refusals: list[TargetRefusal]
    silent: list[str]


async def ask_for_offers(
    context: EntryContext,
    targets: Sequence[Target],
    request: OfferRequest,
    timeout_ms: float,
) -> OfferRound:
    """Ask every target's agent and return the answers that came in time."""
    found = OfferRound([], [], [])
    tasks = {
        asyncio.ensure_future(_ask(context, target, request, timeout_ms)): (
            target
        )
        for target in targets
    }
    pending = set(tasks)
    deadline_ms = context.clock.now_ms() + timeout_ms
    while pending:
        left_ms = deadline_ms - context.clock.now_ms()
        if left_ms <= 0:
            break
        done, pending = await asyncio.wait(
            pending,
            timeout=left_ms / 1000.0,
            return_when=asyncio.FIRST_COMPLETED,
        )
        had_offer = bool(found.offers)
        for task in done:
            _collect(found, tasks[task], task.result())
        if found.offers and not had_offer:
            grace_end_ms = context.clock.now_ms() + GRACE_MS
            deadline_ms = min(deadline_ms, grace_end_ms)
    for task in pending:
        found.silent.append(tasks[task].name)
        task.cancel()
    return found


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
) -> TargetOffer | TargetRefusal | None:
    started_ms = context.clock.now_ms()
    envelope = Envelope(Kind.OFFER_REQUEST, offer_request=request)
    answer = await context.peer(target).request(envelope, timeout_ms)
    if answer.is_err():
        kind = answer.unwrap_err().kind
        context.metrics.count('offers_failed', kind.value)
        if kind is not PeerErrorKind.TIMEOUT:
            context.breakers.record_failure(target.name)
        return None
    elapsed_ms = context.clock.now_ms() - started_ms
    context.metrics.histogram('inner_round_trip').record(elapsed_ms)
    offer = answer.unwrap().offer
    if offer is None:
        return None
    if offer.refusal:
        wait_ms = int(offer.retry_after_ms or 0)
        return TargetRefusal(target.name, offer.refusal, wait_ms)
    return TargetOffer(
        target.name,
        request.prompt_tokens,
        offer.cached_tokens or 0,
        offer.fetchable_tokens or 0,
        offer.expected_wait_ms or 0.0,
        offer.expected_first_token_ms or 0.0,
        offer.reservation or 0,
    )


def _collect(
    found: OfferRound,
    target: Target,
    answer: TargetOffer | TargetRefusal | None,
) -> None:
    if isinstance(answer, TargetOffer):
        found.offers.append(answer)
    elif isinstance(answer, TargetRefusal):
        found.refusals.append(answer)
    else:
        found.silent.append(target.name)
