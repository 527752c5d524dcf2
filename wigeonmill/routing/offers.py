"""Selects one of the offers that agents made for a request."""

from collections.abc import Sequence
from dataclasses import dataclass

from result import Err
from result import Ok
from result import Result

DEFAULT_RETRY_AFTER_MS = 1000


@dataclass(slots=True, frozen=True)
class TargetOffer:
    """An agent's offer to run a request.

    `expected_first_token_ms` includes `expected_wait_ms`. `cached_tokens`
    are in accelerator memory, `fetchable_tokens` would be fetched over the
    store link, and the rest of `prompt_tokens` would be computed.
    `chosen_at_random` marks a target that the prefix did not select.
    """

    target: str
    prompt_tokens: int
    cached_tokens: int
    fetchable_tokens: int
    expected_wait_ms: float
    expected_first_token_ms: float
    reservation: int = 0
    chosen_at_random: bool = False

    @property
    def computed_tokens(self) -> int:
        """Prompt tokens that the target would compute."""
        known = self.cached_tokens + self.fetchable_tokens
        return max(0, self.prompt_tokens - known)


@dataclass(slots=True, frozen=True)
class TargetRefusal:
    """An agent's refusal to admit a request now."""

    target: str
    reason: str
    retry_after_ms: int


@dataclass(slots=True, frozen=True)
class Refusal:
    """The refusal that the caller gets when no target admits a request."""

    reason: str
    retry_after_ms: int


@dataclass(slots=True, frozen=True)
class OfferCosts:
    """Penalties of an offer, in milliseconds of time to first token.

    Computing tokens delays other requests of the target; fetching tokens
    uses link bandwidth that other requests need. A later request with the
    same prefix is not routed to a target that was chosen at random, so what
    that target caches is not reused.
    """

    computed_token_ms: float = 0.2
    fetched_token_ms: float = 0.01
    random_target_ms: float = 100.0


NO_TARGET = 'no_target'


def choose_offer(
    offers: Sequence[TargetOffer],
    refusals: Sequence[TargetRefusal] = (),
    costs: OfferCosts = OfferCosts(),
) -> Result[TargetOffer, Refusal]:
    """Return the offer of least cost, or one refusal if there is none."""
    if offers:
        return Ok(min(offers, key=lambda offer: offer_cost(offer, costs)))
    return Err(combine_refusals(refusals))


def offer_cost(offer: TargetOffer, costs: OfferCosts) -> float:
    """Return the cost of an offer in milliseconds."""
    compute_ms = offer.computed_tokens * costs.computed_token_ms
    fetch_ms = offer.fetchable_tokens * costs.fetched_token_ms
    random_ms = costs.random_target_ms if offer.chosen_at_random else 0.0
    return offer.expected_first_token_ms + compute_ms + fetch_ms + random_ms


def combine_refusals(refusals: Sequence[TargetRefusal]) -> Refusal:
    """Return the refusal of the target that may be retried first."""
    if not refusals:
        return Refusal(NO_TARGET, DEFAULT_RETRY_AFTER_MS)
    first = min(refusals, key=lambda refusal: refusal.retry_after_ms)
    return Refusal(first.reason, first.retry_after_ms)
