"""The interface between the agent's model service and the cache."""

from typing import Protocol

from wigeonmill.agent.cache_manager import Owner
from wigeonmill.cache.tiers import TierPlan


class CachePlanner(Protocol):
    """Plans the sources of a prompt's blocks and transfers the blocks."""

    def plan(self, keys: list[bytes], prompt_tokens: int) -> TierPlan:
        """Return the known sources of a prompt's blocks."""

    def plan_search(self, keys: list[bytes], prompt_tokens: int) -> TierPlan:
        """Return the plan as if the store held every block it may hold."""

    async def fetch(
        self, keys: list[bytes], plan: TierPlan, owner: Owner
    ) -> TierPlan:
        """Import the planned blocks and return the plan as achieved."""

    def completed(self, keys: list[bytes], owner: Owner) -> None:
        """Record a completed prompt, whose blocks the engine now holds."""
