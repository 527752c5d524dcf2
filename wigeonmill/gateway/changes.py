"""Changes that the gateway decodes from records of the key-value service."""

from dataclasses import dataclass
from typing import Protocol

from wigeonmill.gateway.desired import DesiredState
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.targets import TargetRecord


@dataclass(frozen=True, slots=True)
class DesiredStateChanged:
    """Operators set a new desired state."""

    state: DesiredState


@dataclass(frozen=True, slots=True)
class DesiredWeightsChanged:
    """Operators set a weight version for a model."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class DomainServiceChanged:
    """Operators took a failure domain out of service, or restored it."""

    failure_domain: str
    is_open: bool


@dataclass(frozen=True, slots=True)
class TargetListed:
    """A target published or updated its record."""

    target: TargetRecord


@dataclass(frozen=True, slots=True)
class TargetUnlisted:
    """A target's record was removed, or is not usable."""

    target_id: str


@dataclass(frozen=True, slots=True)
class SoftwareRolloutOrdered:
    """Operators ordered that a service moves to a software version.

    `duration_ms` is not positive if the order is malformed. `revision` is
    that of the order's record.
    """

    service: str
    version: str
    duration_ms: float
    revision: int


@dataclass(frozen=True, slots=True)
class SoftwareRolloutUnreadable:
    """An order for a service does not tell its version."""

    service: str


@dataclass(frozen=True, slots=True)
class SoftwareRolloutWithdrawn:
    """Operators removed the order for a service."""

    service: str


Change = (
    DesiredStateChanged
    | DesiredWeightsChanged
    | DomainServiceChanged
    | SoftwareRolloutOrdered
    | SoftwareRolloutUnreadable
    | SoftwareRolloutWithdrawn
    | TargetListed
    | TargetUnlisted
)


class RecordDecoder(Protocol):
    """Decodes the platform's records."""

    def decode(self, record: Record) -> Change | None:
        """Return the described change, or None for an unrelated record."""
