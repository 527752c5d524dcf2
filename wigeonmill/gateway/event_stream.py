"""Splits a text/event-stream into complete events."""

from dataclasses import dataclass
import re

# A blank line ends an event. Targets may use any of the three line endings.
_EVENT_TERMINATORS = (b'\n\n', b'\r\n\r\n', b'\r\r')
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
        self._remainder += data
        events: list[StreamEvent] = []
        while True:
            end = _find_event_end(self._remainder)
            if end is None:
                return events
            raw, self._remainder = self._remainder[:end], self._remainder[end:]
            events.append(StreamEvent(raw, _parse_event_id(raw)))


def _find_event_end(data: bytes) -> int | None:
    ends = [
        position + len(terminator)
        for terminator in _EVENT_TERMINATORS
        if (position := data.find(terminator)) >= 0
    ]
    return min(ends) if ends else None


def _parse_event_id(raw: bytes) -> int | None:
    for line in raw.splitlines():
        if line.startswith(_ID_PREFIX):
            value = line[len(_ID_PREFIX) :].strip()
            return int(value) if value.isdigit() else None
    return None
