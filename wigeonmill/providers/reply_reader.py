"""Reads replies from the callbacks of curl, and finds malformed ones."""

import pycurl

from wigeonmill.providers.chunked_body import ChunkedBody
from wigeonmill.providers.reply_head import HeadReader
from wigeonmill.providers.reply_head import ReplyFault

# Returned to curl by a callback, it ends the transfer and its connection.
ABORT = -1
# Statuses of replies without a body (RFC 9112, section 6.3).
_BODILESS_STATUSES = frozenset((204, 304))
# Errors of curl by a reply that it can't parse; the second one has the name
# of an earlier protocol.
_SYNTAX_ERRNOS = frozenset(
    (pycurl.E_UNSUPPORTED_PROTOCOL, pycurl.E_FTP_WEIRD_SERVER_REPLY)
)


class ReplyReader:
    """Reads the reply to one request; `fault` tells why it is malformed.

    Curl's own parser takes what is not allowed, and leaves out what it can't
    read. So nothing of a head is used before it was checked as a whole, and
    chunks are decoded here.
    """

    __slots__ = ('head', 'fault', '_detail', '_has_body', '_chunked')

    def __init__(self, method: str) -> None:
        self.head = HeadReader()
        self.fault: ReplyFault | None = None
        self._detail = ''
        self._has_body = method != 'HEAD'
        self._chunked: ChunkedBody | None = None

    @property
    def chunks(self) -> int:
        """The number of chunks of the body that have begun."""
        return self._chunked.chunks if self._chunked else 0

    @property
    def message(self) -> str:
        """Why the reply is malformed; empty if it is not."""
        if self.fault is None:
            return ''
        return f'malformed reply: {self._detail or self.fault.value}'

    def prepare(self, curl: pycurl.Curl) -> None:
        """Let curl pass the body on as it is; curl still finds its end."""
        curl.setopt(pycurl.HTTP_TRANSFER_DECODING, 0)

    def read_line(self, raw: bytes) -> bool:
        """Read a line of a head; returns whether it ended the final one."""
        is_complete = self.head.feed(raw)
        self.fault = self.fault or self.head.fault
        if is_complete and self.head.is_chunked:
            if self._has_body and self.head.status not in _BODILESS_STATUSES:
                self._chunked = ChunkedBody()
        return is_complete

    def read_body(self, data: bytes) -> bytes:
        """Return the content in the next bytes of the body.

        That is what comes before the first fault.
        """
        if not self.head.complete:
            # Such as after a switch of protocols that nobody asked for.
            self.fault = self.fault or ReplyFault.STATUS_LINE
        if self.fault is not None:
            return b''
        if self._chunked is None:
            return data
        content = self._chunked.feed(data)
        if self._chunked.malformed:
            self.fault = ReplyFault.CHUNK
        return content

    def end(self, errno: int, message: str) -> None:
        """Look for a fault at the end, with an error of curl or 0."""
        if self.fault is not None:
            return
        if errno in _SYNTAX_ERRNOS:
            self.fault = ReplyFault.OTHER
            self._detail = message
        elif errno == 0 and self._chunked and not self._chunked.complete:
            self.fault = ReplyFault.CHUNK
