"""Which software began a stream, so that only the same software resumes it."""

from dataclasses import dataclass
from typing import Protocol

from wigeonmill.gateway.targets import Target


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software that began a stream.

    `software_version` is empty if the target stated none. `target_id` and
    `target_started_at_ms` identify the lifetime that began the stream; they
    are empty and 0 if only the version is known.
    """

    service: str
    software_version: str
    target_id: str = ''
    target_started_at_ms: int = 0

    def may_resume_at(self, target: Target) -> bool:
        """Whether `target` runs the software that began the stream."""
        if target.service != self.service:
            return False
        if self.software_version:
            return target.software_version == self.software_version
        return (
            target.id == self.target_id
            and target.started_at_ms == self.target_started_at_ms
        )


class StreamOrigins(Protocol):
    """Records and finds the origins of streams, across the entries."""

    def record(self, request_id: str, target: Target) -> None:
        """Record that a stream is sent to `target` to begin there."""

    async def find(self, request_id: str, service: str) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is unknown.

        `request_id` is that of the request that began the stream, and empty
        if the caller does not state it.
        """


def origin_of(target: Target) -> StreamOrigin:
    """Return the origin of a stream that `target` begins."""
    return StreamOrigin(
        target.service,
        target.software_version,
        target.id,
        target.started_at_ms,
    )
