"""Orders to engines, and what engines report of them."""

from dataclasses import dataclass
import enum
from typing import Protocol

from result import Result

from wigeonmill.gateway.targets import Target
from wigeonmill.providers.fetch import FetchError


class OrderOutcome(enum.Enum):
    """What an engine answered to an order."""

    ACCEPTED = 'accepted'
    ALREADY_DONE = 'already_done'
    # Another order is in progress, or the order count differs.
    CONFLICT = 'conflict'
    # A higher fencing token was seen.
    FENCED = 'fenced'
    WRONG_TARGET = 'wrong_target'
    INVALID = 'invalid'
    # The order never left this process.
    NOT_SENT = 'not_sent'
    # No answer: it may be carried out, now or later.
    UNKNOWN = 'unknown'


@dataclass(frozen=True, slots=True)
class EngineReport:
    """What an engine says of its orders; `orders` counts those accepted.

    `waiting` requests have not begun to run.
    """

    started_ms: int
    versions: dict[str, int]
    busy: bool
    orders: int
    waiting: int


@dataclass(frozen=True, slots=True)
class WeightsOrder:
    """An order to load a weight version of a model.

    `cut_streams` ends the engine's streams, which go on elsewhere if they
    may; else the engine waits for their ends first.
    """

    model: str
    version: int
    holder: str
    fence: int
    expected_orders: int
    cut_streams: bool


class EngineOrders(Protocol):
    """Asks engines for reports and gives them orders."""

    async def report(self, target: Target) -> Result[EngineReport, FetchError]:
        """Return the engine's report."""

    async def load_weights(
        self, target: Target, order: WeightsOrder
    ) -> OrderOutcome:
        """Order an engine to load weights."""
