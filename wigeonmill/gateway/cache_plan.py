"""The cached prompt parts that a request fetches and saves."""

from dataclasses import dataclass
from typing import Protocol

from wigeonmill.gateway.desired import Team
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.targets import Target


@dataclass(frozen=True, slots=True)
class CachePlan:
    """The stores that a request's parts are fetched from and saved to.

    `fetch_from` and `save_to` hold one store address, or None, per part.
    `fetch_until_ms` is the deadline of the fetches on the clock that the
    stores and engines share.
    """

    salt: str | None = None
    fetch_from: tuple[str | None, ...] = ()
    save_to: tuple[str | None, ...] = ()
    fetch_until_ms: int | None = None
    fetched_tokens: int = 0
    saved_tokens: int = 0


class CachePlanner(Protocol):
    """Decides which cached parts a request fetches and saves."""

    def fetchable_tokens(
        self, req: CallerRequest, team: Team | None, version: int | None
    ) -> int:
        """Return the number of tokens in the fetchable leading parts."""

    def plan(
        self,
        req: CallerRequest,
        team: Team | None,
        target: Target,
        version: int | None,
    ) -> CachePlan:
        """Return the plan for a request that is sent to `target` now."""
