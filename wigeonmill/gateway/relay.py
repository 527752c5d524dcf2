"""Relays a stream to its caller; each event is sent complete and once."""

from wigeonmill.clock import Clock
from wigeonmill.gateway.answers import AnswerHead
from wigeonmill.gateway.answers import CallerChannel
from wigeonmill.gateway.event_stream import StreamEvent
from wigeonmill.gateway.target_client import TargetHead


class Relay:
    """The caller's side of one stream, across all targets that serve it.

    The caller gets the head of the first target only. `last_event_id` is the
    id of the last event that the caller has.
    """

    __slots__ = ('_channel', '_clock', 'started_ms', 'last_event_id')

    def __init__(
        self, channel: CallerChannel, clock: Clock, last_event_id: int | None
    ) -> None:
        self._channel = channel
        self._clock = clock
        self.started_ms: float | None = None
        self.last_event_id = last_event_id

    @property
    def started(self) -> bool:
        """Whether the caller has been sent anything."""
        return self.started_ms is not None

    def has_next(self, events: list[StreamEvent]) -> bool:
        """Whether `events` have one with an id that the caller lacks."""
        return any(
            event.id is not None and self._is_new(event) for event in events
        )

    def has_new(self, events: list[StreamEvent]) -> bool:
        """Whether the caller does not have one of `events` yet."""
        return any(self._is_new(event) for event in events)

    def start(self, head: TargetHead) -> None:
        """Send the head of the answer, if none was sent."""
        if not self.started:
            self._channel.begin(AnswerHead(head.status, head.fields))
            self.started_ms = self._clock.now_ms()

    def forward(self, head: TargetHead, events: list[StreamEvent]) -> None:
        """Send the events that the caller does not have yet."""
        for event in events:
            if not self._is_new(event):
                continue
            if event.id is not None:
                self.last_event_id = event.id
            self.start(head)
            self._channel.send(event.data)

    def finish(self, head: TargetHead, remainder: bytes) -> None:
        """End the stream as complete; `remainder` follows the last event."""
        self.start(head)
        if remainder:
            self._channel.send(remainder)
        self._channel.finish()

    def _is_new(self, event: StreamEvent) -> bool:
        if event.id is None or self.last_event_id is None:
            return True
        return event.id > self.last_event_id
