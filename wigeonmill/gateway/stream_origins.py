"""Which software began a stream, so that only the same software resumes it."""

from collections import OrderedDict
from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from typing import Protocol

from wigeonmill.gateway.targets import Target

# Limit of the origins that an entry keeps; the oldest are dropped first.
MAX_ORIGINS = 20_000


@dataclass(frozen=True, slots=True)
class StreamOrigin:
    """The software that began a stream.

    `software_version` is empty if the target stated none. `target_id` and
    `target_started_at_ms` identify the lifetime that began the stream; they
    are empty and 0 if only the version is known. `number` orders the origins
    of one request; a later one replaces those before it.
    """

    service: str
    software_version: str
    target_id: str = ''
    target_started_at_ms: int = 0
    number: int = field(default=1, compare=False)

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
        if the caller does not state it. `service` is the only one that can
        have begun the stream, and empty if there are several.
        """


def origin_of(target: Target) -> StreamOrigin:
    """Return the origin of a stream that `target` begins."""
    return StreamOrigin(
        target.service,
        target.software_version,
        target.id,
        target.started_at_ms,
    )


class LocalStreamOrigins:
    """The origins of the streams that this entry has sent to targets."""

    __slots__ = ('_by_request',)

    def __init__(self) -> None:
        self._by_request: OrderedDict[str, StreamOrigin] = OrderedDict()

    def record(self, request_id: str, target: Target) -> None:
        """Record that a stream is sent to `target` to begin there."""
        self.replace(request_id, origin_of(target))

    def replace(self, request_id: str, origin: StreamOrigin) -> StreamOrigin:
        """Record an origin after all others of the request; return it."""
        earlier = self._by_request.get(request_id)
        if earlier is not None:
            origin = replace(origin, number=earlier.number + 1)
        self.add(request_id, origin)
        return origin

    def add(self, request_id: str, origin: StreamOrigin) -> None:
        """Record an origin, unless a later one of the request is known."""
        known = self._by_request.get(request_id)
        if known is not None and known.number > origin.number:
            return
        self._by_request[request_id] = origin
        self._by_request.move_to_end(request_id)
        if len(self._by_request) > MAX_ORIGINS:
            self._by_request.popitem(last=False)

    def get(self, request_id: str) -> StreamOrigin | None:
        """Return the recorded origin of a stream, if there is one."""
        return self._by_request.get(request_id)

    async def find(self, request_id: str, service: str) -> StreamOrigin | None:
        """Return the origin of a stream, or None if it is unknown."""
        return self.get(request_id)
