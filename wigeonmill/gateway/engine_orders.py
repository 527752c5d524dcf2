"""Orders to engines, and the reports of engines about them."""

from dataclasses import dataclass
import enum
from typing import Protocol

from result import Result

from wigeonmill.gateway.target_notices import NoticeSink
from wigeonmill.gateway.targets import Target
from wigeonmill.providers.fetch import FetchError


class OrderOutcome(enum.Enum):
    """The outcome of an order."""

    ACCEPTED = 'accepted'
    ALREADY_DONE = 'already_done'
    # Another order is in progress, or the order count differs.
    CONFLICT = 'conflict'
    # The engine has seen a higher fencing token.
    FENCED = 'fenced'
    WRONG_TARGET = 'wrong_target'
    INVALID = 'invalid'
    # The order never left this process.
    NOT_SENT = 'not_sent'
    # No response or an unexpected one: the engine may execute the order, now
    # or later.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class EngineReport:
    """The state of an engine.

    `started_ms` is the time of its start. `orders` counts the orders that it
    accepted, `waiting` the requests that have not started to run and
    `running` those that have.
    """

    started_ms: int
    versions: dict[str, int]
    busy: bool
    orders: int
    waiting: int
    running: int


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """An order to load a weight version of a model.

    With `cut_streams` the engine ends its streams, which are resumed
    elsewhere if possible. Otherwise it first waits for them to end.
    """

    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int
    cut_streams: bool


class EngineOrders(Protocol):
    """Fetches engine reports and sends orders."""

    def subscribe(self, on_notice: NoticeSink) -> None:
        """Pass the notice in each answer of an engine to `on_notice`."""

    async def report(self, target: Target) -> Result[EngineReport, FetchError]:
        """Return the engine's report."""

    async def load_weights(
        self, target: Target, order: WeightsOrder
    ) -> OrderOutcome:
        """Order an engine to load weights."""
