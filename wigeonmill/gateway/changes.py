"""What records of the key-value service mean to the gateway."""

from dataclasses import dataclass
from typing import Protocol

from wigeonmill.gateway.desired import DesiredState
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.targets import TargetRecord


@dataclass(frozen=True, slots=True)
class DesiredStateChanged:
    """Operators want this state."""

    state: DesiredState


@dataclass(frozen=True, slots=True)
class DesiredWeightsChanged:
    """Operators named a weight version for a model."""

    model: str
    version: int


@dataclass(frozen=True, slots=True)
class DomainServiceChanged:
    """Operators took a failure domain out of service, or back."""

    failure_domain: str
    is_open: bool


@dataclass(frozen=True, slots=True)
class TargetListed:
    """A target lists itself."""

    target: TargetRecord


@dataclass(frozen=True, slots=True)
class TargetUnlisted:
    """A target is listed no more, or its record can't be used."""

    target_id: str


Change = (
    DesiredStateChanged
    | DesiredWeightsChanged
    | DomainServiceChanged
    | TargetListed
    | TargetUnlisted
)


class RecordDecoder(Protocol):
    """Knows the keys and the encoding of the platform's records."""

    def decode(self, record: Record) -> Change | None:
        """Return what a record means, or None if it means nothing here."""
