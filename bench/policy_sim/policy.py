"""What the runner asks of a policy."""

from typing import Protocol

from bench.policy_sim.model import SimRequest


class Policy(Protocol):
    """Decides where requests of a run go."""

    name: str

    def arrive(self, req: SimRequest) -> None:
        """Take a request that a caller sent now."""

    def domain_changed(self, domain: str, in_service: bool) -> None:
        """Take the operators' change of a failure domain."""

    def roll(self, version: str) -> None:
        """Bring every engine to a weight version."""
