"""Plans where a prompt's blocks come from and moves them."""

from typing import Protocol

from wigeonmill.cache.tiers import plan_of_computation
from wigeonmill.cache.tiers import TierPlan


class CachePlanner(Protocol):
    """The agent's cache decisions as its model service sees them."""

    def plan(self, keys: list[bytes], prompt_tokens: int) -> TierPlan:
        """Return the sources of a prompt with these block keys."""

    async def prepare(self, keys: list[bytes], plan: TierPlan) -> None:
        """Import what the plan says, as far as that goes well."""

    def completed(self, keys: list[bytes]) -> None:
        """Note that the engine has computed these blocks."""


class NoCachePlanner:
    """Plans to compute everything; the engine may still have it cached."""

    def plan(self, keys: list[bytes], prompt_tokens: int) -> TierPlan:
        return plan_of_computation(prompt_tokens)

    async def prepare(self, keys: list[bytes], plan: TierPlan) -> None:
        return None

    def completed(self, keys: list[bytes]) -> None:
        return None
