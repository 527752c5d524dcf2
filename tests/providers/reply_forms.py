"""Replies of which a part is malformed, and sound ones of legal forms.

`HEAD` stands for a status line and the fields of a sealed answer, which a
target fills in with the id of the request.
"""

import asyncio
import re

HEAD = b'HTTP/1.1 200 OK\r\nServer-Seal: x\r\nRequest-Id: q1\r\n'
# Of 15 bytes, as a whole answer and as the event of a stream.
BODY = b'id: 1\ndata: x\n\n'
LENGTH = b'Content-Length: 15\r\n'
CHUNKED = b'Transfer-Encoding: chunked\r\n'
CHUNKS = b'f\r\n' + BODY + b'\r\n0\r\n\r\n'


def with_field(line):
    """Return a reply of known length with one more line in its head."""
    return HEAD + LENGTH + line + b'\r\n\r\n' + BODY


def with_length(*values):
    lines = (b'Content-Length: %b\r\n' % value for value in values)
    return HEAD + b''.join(lines) + b'\r\n' + BODY


def with_coding(*values):
    lines = (b'Transfer-Encoding: %b\r\n' % value for value in values)
    return HEAD + b''.join(lines) + b'\r\n' + CHUNKS


def with_chunks(body):
    return HEAD + CHUNKED + b'\r\n' + body


def with_size(line):
    return with_chunks(line + b'\r\n' + BODY + b'\r\n0\r\n\r\n')


def with_start(line):
    return HEAD.replace(b'HTTP/1.1 200 OK', line) + LENGTH + b'\r\n' + BODY


def with_interim(line):
    return b'HTTP/1.1 103 Hints\r\n' + line + b'\r\n\r\n' + with_length(b'15')


MALFORMED_FIELDS = {
    'no-colon': with_field(b'X-Odd'),
    'no-colon-first': HEAD.replace(b'Server', b'odd\r\nServer')
    + LENGTH
    + b'\r\n'
    + BODY,
    'no-colon-beside-chunks': HEAD + b'odd\r\n' + CHUNKED + b'\r\n' + CHUNKS,
    'no-colon-to-the-close': HEAD + b'odd\r\n\r\n' + BODY,
    'no-colon-in-interim': with_interim(b'odd'),
    'second-status-line': with_field(b'HTTP/1.1 200 OK'),
    'blank-before-colon': with_field(b'X-Odd : b'),
    'tab-before-colon': with_field(b'X-Odd\t: b'),
    'blank-before-colon-of-length': HEAD
    + b'Content-Length : 15\r\n\r\n'
    + BODY,
    'blank-before-colon-of-coding': HEAD
    + b'Transfer-Encoding : chunked\r\n\r\n'
    + CHUNKS,
    'blank-before-first-name': HEAD.replace(b'Server', b' X: b\r\nServer')
    + LENGTH
    + b'\r\n'
    + BODY,
    'blank-in-name': with_field(b'X Odd: b'),
    'blank-in-name-of-interim': with_interim(b'X Odd: b'),
    'tab-in-name': with_field(b'X\tOdd: b'),
    'vertical-tab-after-name': with_field(b'X-Odd\x0b: b'),
    'form-feed-after-name': with_field(b'X-Odd\x0c: b'),
    'separator-after-name': with_field(b'X-Odd\x1f: b'),
    'nel-after-name': with_field(b'X-Odd\x85: b'),
    'nbsp-after-name': with_field(b'X-Odd\xa0: b'),
    'control-in-name': with_field(b'X\x01Odd: b'),
    'nul-in-name': with_field(b'X\x00Odd: b'),
    'delete-in-name': with_field(b'X\x7fOdd: b'),
    'high-byte-in-name': with_field(b'X\xe9Odd: b'),
    'bracket-in-name': with_field(b'X[Odd]: b'),
    'quote-in-name': with_field(b'"X-Odd": b'),
    'no-name': with_field(b': b'),
    'control-in-value': with_field(b'X-Odd: a\x01b'),
    'vertical-tab-in-value': with_field(b'X-Odd: b\x0b'),
    'nul-in-value': with_field(b'X-Odd: a\x00b'),
    'delete-in-value': with_field(b'X-Odd: a\x7fb'),
    'carriage-return-in-value': with_field(b'X-Odd: a\rb'),
    'tab-in-status-line': with_start(b'HTTP/1.1\t200 OK'),
    'control-in-reason': with_start(b'HTTP/1.1 200 O\x01K'),
    'two-blanks-in-status-line': with_start(b'HTTP/1.1  200 OK'),
    'no-minor-version': with_start(b'HTTP/1 200 OK'),
    'switched-protocols': with_start(b'HTTP/1.1 101 Switched'),
}
MALFORMED_FRAMING = {
    'length-empty': with_length(b''),
    'length-word': with_length(b'many'),
    'length-signed': with_length(b'+15'),
    'length-negative': with_length(b'-15'),
    'length-hexadecimal': with_length(b'0xf'),
    'length-float': with_length(b'15.0'),
    'length-with-a-tail': with_length(b'15x'),
    'length-with-a-gap': with_length(b'1 5'),
    'length-of-other-digits': with_length(b'\xb95'),
    'length-list': with_length(b'15, 16'),
    'length-list-with-a-gap': with_length(b'15,'),
    'lengths-differ': with_length(b'15', b'16'),
    'length-30-nines': with_length(b'9' * 30),
    'length-2^63': with_length(b'%d' % 2**63),
    'length-2^64+15': with_length(b'%d' % (2**64 + 15)),
    'length-5000-digits': with_length(b'9' * 5_000),
    'length-malformed-beside-chunks': HEAD
    + CHUNKED
    + b'Content-Length: %b\r\n\r\n' % (b'9' * 30)
    + CHUNKS,
    'length-in-interim': with_interim(b'Content-Length: 1x'),
    'coding-empty': with_coding(b''),
    'coding-twice': with_coding(b'chunked, chunked'),
    'codings-equal': with_coding(b'chunked', b'chunked'),
    'codings-differ': with_coding(b'chunked', b'gzip'),
    'coding-identity': with_coding(b'identity'),
    'coding-unknown': with_coding(b'odd'),
    'coding-not-asked-for': with_coding(b'gzip, chunked'),
    'coding-not-last': with_coding(b'chunked, gzip'),
    'coding-with-parameter': with_coding(b'chunked;a=b'),
    'coding-in-http-1.0': with_coding(b'chunked').replace(b'1.1', b'1.0'),
}
MALFORMED_CHUNKS = {
    'size-hexadecimal-prefix': with_size(b'0xf'),
    'size-with-a-tail': with_size(b'fx'),
    'size-with-two-parts': with_size(b'f 1'),
    'size-with-a-blank': with_size(b'f '),
    'size-after-a-blank': with_size(b' f'),
    'size-signed': with_size(b'+f'),
    'size-negative': with_size(b'-f'),
    'size-empty': with_size(b''),
    'size-word': with_size(b'many'),
    'size-with-a-control': with_size(b'f\x01'),
    'size-of-64-bits': with_size(b'f' * 16),
    'size-with-17-digits': with_size(b'1' + b'0' * 15 + b'f'),
    'size-too-short': with_size(b'e'),
    'size-too-long': with_size(b'10'),
    'extension-without-a-name': with_size(b'f;'),
    'extension-without-a-value': with_size(b'f;a='),
    'extension-with-a-blank': with_size(b'f;a b'),
    'extension-with-an-open-quote': with_size(b'f;a="b'),
    'size-without-a-carriage-return': with_chunks(
        b'f\n' + BODY + b'\r\n0\r\n\r\n'
    ),
    'chunk-without-a-carriage-return': with_chunks(
        b'f\r\n' + BODY + b'\n0\r\n\r\n'
    ),
    'last-size-with-a-tail': with_chunks(b'f\r\n' + BODY + b'\r\n0x\r\n\r\n'),
    'trailer-without-a-colon': with_chunks(
        b'f\r\n' + BODY + b'\r\n0\r\nodd\r\n\r\n'
    ),
    'blank-in-name-of-trailer': with_chunks(
        b'f\r\n' + BODY + b'\r\n0\r\nX Odd: b\r\n\r\n'
    ),
}
MALFORMED = MALFORMED_FIELDS | MALFORMED_FRAMING | MALFORMED_CHUNKS

# For replies of which the body matters: before it, and around it.
_LENGTH = b'Content-Length: %(length)d\r\n\r\n%(body)b'
MALFORMED_TEMPLATES = {
    'blank-in-name': b'Store Era: 1\r\n' + _LENGTH,
    'blank-before-colon': b'Store-Era : 1\r\n' + _LENGTH,
    'no-colon': b'odd\r\n' + _LENGTH,
    'length-2^64+15': b'Content-Length: 18446744073709551631\r\n\r\n%(body)b',
    'coding-twice': b'Transfer-Encoding: chunked, chunked\r\n\r\n'
    b'%(length)x\r\n%(body)b\r\n0\r\n\r\n',
    'size-with-a-tail': b'Transfer-Encoding: chunked\r\n\r\n'
    b'%(length)xg\r\n%(body)b\r\n0\r\n\r\n',
}
SOUND_TEMPLATES = {
    'length': _LENGTH,
    'chunked': b'Transfer-Encoding: chunked\r\n\r\n'
    b'%(length)x;a=b\r\n%(body)b\r\n0\r\nX-A: b\r\n\r\n',
    'close': b'Connection: close\r\n\r\n%(body)b',
}


def fill_template(template, body):
    """Return a reply with a body."""
    values = {b'length': len(body), b'body': body}
    return b'HTTP/1.1 200 OK\r\n' + template % values


# Names of any case and with any mark, and values with any legal byte.
SOUND = {
    'length': with_length(b'15'),
    'no-blank-after-colon': HEAD + b'Content-Length:15\r\n\r\n' + BODY,
    'blanks-around-a-value': HEAD
    + b'Content-Length: \t 15 \t \r\n\r\n'
    + BODY,
    'names-in-any-case': HEAD + b'cOnTeNt-lEnGtH: 15\r\n\r\n' + BODY,
    'empty-value': with_field(b'X-Odd:'),
    'blank-value': with_field(b'X-Odd: \t'),
    'marks-in-name': with_field(b"X!#$%&'*+-.^_`|~9: b"),
    'high-bytes-in-value': with_field(b'X-Odd: \x80\x85\xa0\xff'),
    'tab-in-value': with_field(b'X-Odd: a\tb'),
    'colons-in-value': with_field(b'X-Odd: a:b: c'),
    'quotes-in-value': with_field(b'X-Odd: "a, \\"b"; c=d'),
    'leading-zeros': with_length(b'0' * 40 + b'15'),
    'equal-lengths': with_length(b'15', b'15'),
    'equal-lengths-in-a-list': with_length(b'15, 15'),
    'folded-length': HEAD + b'Content-Length:\r\n 15\r\n\r\n' + BODY,
    'folded-coding': HEAD
    + b'Transfer-Encoding:\r\n\tchunked\r\n\r\n'
    + CHUNKS,
    'folded-value': with_field(b'X-Odd: a\r\n b'),
    'no-reason': with_start(b'HTTP/1.1 200 '),
    'no-blank-before-reason': with_start(b'HTTP/1.1 200'),
    'odd-reason': with_start(b'HTTP/1.1 200 \t very (odd)\xe9'),
    'http-1.0': with_start(b'HTTP/1.0 200 OK'),
    'line-feeds': with_length(b'15').replace(b'\r\n', b'\n'),
    'interim': with_interim(b'Link: </a>; rel=x'),
    'two-interims': b'HTTP/1.1 100 Continue\r\n\r\n' + with_interim(b'A: b'),
    'chunked': with_chunks(CHUNKS),
    'chunked-in-any-case': with_coding(b'cHuNkEd'),
    'length-beside-chunks': HEAD + LENGTH + CHUNKED + b'\r\n' + CHUNKS,
    'size-in-upper-case': with_size(b'F'),
    'size-with-zeros': with_size(b'000f'),
    'several-chunks': with_chunks(
        b'5\r\n' + BODY[:5] + b'\r\nA\r\n' + BODY[5:] + b'\r\n00\r\n\r\n'
    ),
    'extensions': with_size(b'f;a;b=c \t;\td = "e;\\" \xe9"'),
    'extension-of-the-last-chunk': with_chunks(
        b'f\r\n' + BODY + b'\r\n0;a=b\r\n\r\n'
    ),
    'trailer': with_chunks(
        b'f\r\n' + BODY + b'\r\n0\r\nX-A: b\r\nX-B:\r\n\r\n'
    ),
}
SOUND_TO_THE_CLOSE = {
    'close': HEAD + b'Connection: close\r\n\r\n' + BODY,
    'close-http-1.0': HEAD.replace(b'1.1', b'1.0') + b'\r\n' + BODY,
}


class FormServer:
    """Sends one reply to each request.

    It ends the connection after a reply, unless `stays`. `closed_by_peer`
    counts those that the peer has closed. `on_request` is called before each
    reply.
    """

    def __init__(self, reply, stays=False):
        self.reply = reply
        self.stays = stays
        self.conns = 0
        self.requests = 0
        self.closed_by_peer = 0
        self.on_request = lambda: None

    async def serve(self, reader, writer):
        self.conns += 1
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                found = re.search(rb'(?i)\r\ncontent-length: *(\d+)', head)
                await reader.readexactly(int(found[1]) if found else 0)
                self.requests += 1
                self.on_request()
                writer.write(self._for(head))
                await writer.drain()
                if not self.stays:
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed_by_peer += 1
        finally:
            writer.close()

    def _for(self, head):
        """Return the reply, with the id that a request has, if any."""
        found = re.search(rb'(?i)request-id: *([^\r]+)', head)
        if found is None:
            line = re.compile(rb'Request-Id: q1\r?\n')
            return line.sub(b'', self.reply)
        return self.reply.replace(
            b'Request-Id: q1', b'Request-Id: ' + found[1]
        )
