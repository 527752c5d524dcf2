"""The interface between the runner and a policy."""

from typing import Protocol

from bench.policy_sim.model import SimRequest


class Policy(Protocol):
    """Decides which engine runs each request."""

    name: str

    def arrive(self, req: SimRequest) -> None:
        """Handle a request that has just arrived."""

    def domain_changed(self, domain: str, in_service: bool) -> None:
        """Handle the removal of a failure domain or its return to service."""

    def roll(self, version: str) -> None:
        """Roll a weight version out to every engine."""
