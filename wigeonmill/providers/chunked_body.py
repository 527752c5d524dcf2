"""Decodes bodies that are sent in chunks and checks their syntax."""

import enum
import re

from wigeonmill.providers.reply_head import MAX_LENGTH
from wigeonmill.providers.reply_head import parse_field
from wigeonmill.providers.reply_head import strip_line_end

# Limit of the line before a chunk and of a line of the trailer.
MAX_LINE_BYTES = 8 * 1024
MAX_TRAILER_BYTES = 64 * 1024

_TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]++"
_QUOTED = rb'"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*+"'
# RFC 9112, section 7.1; curl takes no longer sizes.
_CHUNK_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,16})'
    rb'(?:[\t ]*+;[\t ]*+%b(?:[\t ]*+=[\t ]*+(?:%b|%b))?)*+\r\n'
    % (_TOKEN, _TOKEN, _QUOTED)
)


class _State(enum.Enum):
    """What is expected next."""

    CHUNK_LINE = enum.auto()
    DATA = enum.auto()
    DATA_END = enum.auto()
    TRAILER = enum.auto()
    END = enum.auto()


class ChunkedBody:
    """Decodes a body as it is received.

    `malformed` is set by a line that breaks the syntax, and `complete` by the
    end of the trailer. `chunks` counts those that have begun.
    """

    __slots__ = (
        'malformed',
        'chunks',
        '_state',
        '_remaining',
        '_line',
        '_trailer_bytes',
    )

    def __init__(self) -> None:
        self.malformed = False
        self.chunks = 0
        self._state = _State.CHUNK_LINE
        # The bytes that the chunk lacks, and what was received of a line.
        self._remaining = 0
        self._line = b''
        self._trailer_bytes = 0

    @property
    def complete(self) -> bool:
        """Whether the body has ended."""
        return self._state is _State.END

    def feed(self, data: bytes) -> bytes:
        """Return the content in the next bytes, up to the first fault.

        What follows the body is ignored.
        """
        content = bytearray()
        start = 0
        while start < len(data) and not (self.malformed or self.complete):
            if self._state is _State.DATA:
                piece = data[start : start + self._remaining]
                content += piece
                start += len(piece)
                self._remaining -= len(piece)
                if not self._remaining:
                    self._state = _State.DATA_END
            else:
                start = self._read_line(data, start)
        return bytes(content)

    def _read_line(self, data: bytes, start: int) -> int:
        """Read a line, or a part of one; return where it ends."""
        end = data.find(b'\n', start) + 1
        line = self._line + data[start : end or len(data)]
        if len(line) > MAX_LINE_BYTES:
            self.malformed = True
        elif end:
            self._line = b''
            self.malformed = not self._process_line(line)
        else:
            self._line = line
        return end or len(data)

    def _process_line(self, line: bytes) -> bool:
        """Process a line; return whether it is valid."""
        if self._state is _State.CHUNK_LINE:
            return self._begin_chunk(line)
        if self._state is _State.DATA_END:
            self._state = _State.CHUNK_LINE
            return line == b'\r\n'
        field = strip_line_end(line)
        if not field:
            self._state = _State.END
            return True
        self._trailer_bytes += len(line)
        return (
            parse_field(field) is not None
            and self._trailer_bytes <= MAX_TRAILER_BYTES
        )

    def _begin_chunk(self, line: bytes) -> bool:
        found = _CHUNK_LINE.fullmatch(line)
        if found is None:
            return False
        self.chunks += 1
        self._remaining = int(found.group(1), 16)
        self._state = _State.DATA if self._remaining else _State.TRAILER
        return self._remaining <= MAX_LENGTH
