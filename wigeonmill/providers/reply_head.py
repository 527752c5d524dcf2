"""Reads the heads of replies and checks their syntax."""

import enum
import re

# RFC 9112, section 4; other numbers are no status (RFC 9110, section 15).
_STATUS_LINE = re.compile(
    rb'HTTP/1\.[0-9] ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?'
)
# A token (RFC 9110, section 5.6.2).
_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# What a value may not hold (RFC 9110, section 5.5).
_CONTROL = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_BLANKS = b' \t'


class ReplyFault(enum.Enum):
    """What of a reply breaks the syntax of HTTP."""

    STATUS_LINE = 'status_line'
    # A line that is no field, or the name or value of one.
    FIELD = 'field'


class HeadReader:
    """Reads the head of the final reply; interim ones are discarded.

    `fault` is set by what is malformed in any of them.
    """

    __slots__ = ('status', 'fields', 'complete', 'fault')

    def __init__(self) -> None:
        self.status = 0
        self.fields: list[tuple[str, str]] = []
        self.complete = False
        self.fault: ReplyFault | None = None

    def feed(self, raw: bytes) -> bool:
        """Process one line; returns whether it completed the final head.

        Lines after it, or after a fault, are ignored.
        """
        if self.complete or self.fault is not None:
            return False
        line = strip_line_end(raw)
        if not self.status:
            self._begin(line)
            return False
        if line:
            field = parse_field(line)
            if field is None:
                self.fault = ReplyFault.FIELD
            else:
                self.fields.append(field)
            return False
        if self.status < 200:
            # An interim reply; the next status line starts the final one.
            self.status = 0
            self.fields = []
            return False
        self.complete = True
        return True

    def _begin(self, line: bytes) -> None:
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            self.fault = ReplyFault.STATUS_LINE
            return
        self.status = int(found.group(1))


def strip_line_end(raw: bytes) -> bytes:
    """Return a line without CRLF, or LF alone (RFC 9112, section 2.2)."""
    return raw.removesuffix(b'\n').removesuffix(b'\r')


def parse_field(line: bytes) -> tuple[str, str] | None:
    """Return the name and value of a field line, or None if it is invalid."""
    name, colon, value = line.partition(b':')
    if not colon or not _NAME.fullmatch(name) or _CONTROL.search(value):
        return None
    return name.decode('ascii'), value.strip(_BLANKS).decode('latin-1')
