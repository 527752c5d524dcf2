"""Splits a text/event-stream into complete events."""

from dataclasses import dataclass
import re

# A blank line ends an event. Targets may use any of the three line endings.
_EVENT_TERMINATOR = re.compile(rb'\n\n|\r\n\r\n|\r\r')
_MAX_TERMINATOR = 4
_ID_PREFIX = b'id:'
_LINE_BREAK = re.compile(rb'\r\n|\n|\r')


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """One complete event as received; `id` is None if it has no id."""

    data: bytes
    id: int | None


class EventSplitter:
    """Buffers bytes and returns complete events."""

    __slots__ = ('_remainder',)

    def __init__(self) -> None:
        self._remainder = b''

    @property
    def remainder(self) -> bytes:
        """The bytes of the event that is still incomplete."""
        return self._remainder

    @property
    def inside_event(self) -> bool:
        """Whether the stream would be cut inside an event if it ended here.

        Blank lines and whole comments may follow the last event.
        """
        *lines, last_line = _LINE_BREAK.split(self._remainder)
        if last_line:
            return True
        return any(line and not line.startswith(b':') for line in lines)

    def feed(self, data: bytes) -> list[StreamEvent]:
        """Append `data` and return the events that it completes."""
        # A terminator may have begun before.
        start = max(0, len(self._remainder) - _MAX_TERMINATOR + 1)
        buffered = self._remainder + data
        events: list[StreamEvent] = []
        begin = 0
        for found in _EVENT_TERMINATOR.finditer(buffered, start):
            raw = buffered[begin : found.end()]
            begin = found.end()
            events.append(StreamEvent(raw, _parse_event_id(raw)))
        self._remainder = buffered[begin:]
        return events


def _parse_event_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if line.startswith(_ID_PREFIX):
            value = line[len(_ID_PREFIX) :].strip()
            return int(value) if value.isdigit() else None
    return None
