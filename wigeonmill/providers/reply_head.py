"""Reads the heads of replies and checks their syntax."""

import enum
import re

# Curl reads a body up to the close of its connection if its length is larger.
MAX_LENGTH = 2**63 - 1

# RFC 9112, section 4; other numbers are no status (RFC 9110, section 15).
_STATUS_LINE = re.compile(
    rb'HTTP/1\.([0-9]) ([1-5][0-9]{2})(?: [\t -~\x80-\xff]*)?'
)
# A token (RFC 9110, section 5.6.2).
_NAME = re.compile(rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+")
# What a value may not hold (RFC 9110, section 5.5).
_CONTROL = re.compile(rb'[\x00-\x08\x0a-\x1f\x7f]')
_BLANKS = b' \t'
_LENGTH = re.compile('[0-9]+')


class ReplyFault(enum.Enum):
    """What of a reply breaks the syntax of HTTP."""

    STATUS_LINE = 'status_line'
    # A line that is no field, or the name or value of one.
    FIELD = 'field'
    # Content-Length is no number, too large or stated differently twice.
    LENGTH = 'length'
    # Transfer-Encoding is not `chunked`, the only coding that is asked for.
    CODING = 'transfer_coding'
    # A line between the chunks of a body, or in their trailer.
    CHUNK = 'chunk'
    # Something else, found by curl.
    OTHER = 'other'


class HeadReader:
    """Reads the head of the final reply; interim ones are discarded.

    `fault` is set by what is malformed in any of them.
    """

    __slots__ = ('status', 'fields', 'complete', 'fault', '_minor_version')

    def __init__(self) -> None:
        self.status = 0
        self.fields: list[tuple[str, str]] = []
        self.complete = False
        self.fault: ReplyFault | None = None
        self._minor_version = 0

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
        self.fault = self._framing_fault()
        if self.fault is not None:
            return False
        if self.status < 200:
            # An interim reply; the next status line starts the final one.
            self.status = 0
            self.fields = []
            return False
        self.complete = True
        return True

    @property
    def is_chunked(self) -> bool:
        """Whether a body is sent in chunks."""
        return bool(self._values('transfer-encoding'))

    def _begin(self, line: bytes) -> None:
        found = _STATUS_LINE.fullmatch(line)
        if found is None:
            self.fault = ReplyFault.STATUS_LINE
            return
        self._minor_version = int(found.group(1))
        self.status = int(found.group(2))

    def _framing_fault(self) -> ReplyFault | None:
        """Return why the end of the body is unclear (RFC 9112, section 6)."""
        lengths = self._values('content-length')
        if lengths and not is_one_length(lengths):
            return ReplyFault.LENGTH
        codings = self._values('transfer-encoding')
        if not codings:
            return None
        is_chunked = [coding.lower() for coding in codings] == ['chunked']
        # HTTP/1.0 has no transfer codings.
        if not is_chunked or self._minor_version == 0:
            return ReplyFault.CODING
        return None

    def _values(self, name: str) -> list[str]:
        return [value for field, value in self.fields if field.lower() == name]


def strip_line_end(raw: bytes) -> bytes:
    """Return a line without CRLF, or LF alone (RFC 9112, section 2.2)."""
    return raw.removesuffix(b'\n').removesuffix(b'\r')


def parse_field(line: bytes) -> tuple[str, str] | None:
    """Return the name and value of a field line, or None if it is invalid."""
    name, colon, value = line.partition(b':')
    if not colon or not _NAME.fullmatch(name) or _CONTROL.search(value):
        return None
    return name.decode('ascii'), value.strip(_BLANKS).decode('latin-1')


def is_one_length(values: list[str]) -> bool:
    """Whether the values of Content-Length state one and the same length.

    Equal ones may be repeated, also in a list (RFC 9112, section 6.3).
    """
    lengths = set()
    for part in ','.join(values).split(','):
        digits = part.strip(' \t')
        if not _LENGTH.fullmatch(digits):
            return False
        lengths.add(digits.lstrip('0') or '0')
    text = lengths.pop()
    # The size is compared first, as Python converts no very long numbers.
    return (
        not lengths
        and len(text) <= len(str(MAX_LENGTH))
        and int(text) <= MAX_LENGTH
    )
