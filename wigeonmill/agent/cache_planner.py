"""The cache decisions as the agent's model service sees them."""

from typing import Protocol

from wigeonmill.agent.cache_manager import Owner
from wigeonmill.cache.tiers import TierPlan


class CachePlanner(Protocol):
    """Plans where a prompt's blocks come from and moves them."""

    def plan(self, keys: list[bytes], prompt_tokens: int) -> TierPlan:
        """Return the sources of a prompt as far as they are known."""

    def plan_search(self, keys: list[bytes], prompt_tokens: int) -> TierPlan:
        """Return the sources if the store has all that it may have."""

    async def fetch(
        self, keys: list[bytes], plan: TierPlan, owner: Owner
    ) -> TierPlan:
        """Import what the plan says; returns the plan as it came out."""

    def completed(self, keys: list[bytes], owner: Owner) -> None:
        """Note a prompt whose blocks the engine now holds."""
