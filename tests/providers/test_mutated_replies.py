"""Replies with a few bytes changed, against a plain parser of whole replies.

Curl finds the end of a body by its own reading of the head. A version of curl
that reads heads by other rules shows here.
"""

import asyncio
import random
import re

import pytest

from tests.platform.real_entry import serve_and
from tests.providers.reply_forms import SOUND
from tests.providers.reply_forms import SOUND_TO_THE_CLOSE
from tests.providers.test_transfers import make_call
from wigeonmill.providers.fetch import fetch

REPLIES = 1_500
TIMEOUT_MS = 3_000.0
# Bytes that mean something in a head or between chunks, and those that
# `str.strip` takes away.
BYTES = (
    b' \t\r\n:;,="\\+-0159afxAF\x00\x01\x0b\x0c\x1c\x1f\x7f\x80\x85\xa0\xff'
)

TOKEN = rb"[!#$%&'*+\-.^_`|~0-9A-Za-z]+"
TEXT = rb'[\t -~\x80-\xff]*'
QUOTED = rb'"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*"'
STATUS_LINE = re.compile(rb'HTTP/1\.([01]) ([1-5]\d\d)(?: %b)?' % TEXT)
FIELD = re.compile(rb'(%b):(%b)' % (TOKEN, TEXT))
CHUNK_LINE = re.compile(
    rb'([0-9A-Fa-f]{1,16})'
    rb'(?:[ \t]*;[ \t]*%b(?:[ \t]*=[ \t]*(?:%b|%b))?)*\r'
    % (TOKEN, TOKEN, QUOTED)
)


class MalformedError(Exception):
    """The reply is malformed or incomplete."""


class Wire:
    """The bytes of a reply, read from their start."""

    def __init__(self, data):
        self.rest = data

    def line(self):
        """Return the next line without its line feed."""
        line, feed, self.rest = self.rest.partition(b'\n')
        check(feed)
        return line

    def take(self, size):
        check(len(self.rest) >= size)
        taken, self.rest = self.rest[:size], self.rest[size:]
        return taken


def check(is_valid):
    if not is_valid:
        raise MalformedError


def read_fields(wire):
    """Return the fields up to an empty line; folded lines are joined."""
    lines = []
    while line := wire.line().removesuffix(b'\r'):
        if line[:1] in (b' ', b'\t'):
            check(lines)
            lines[-1] += line
        else:
            lines.append(line)
    fields = [FIELD.fullmatch(line) for line in lines]
    check(all(fields))
    return [(field[1].lower(), field[2].strip(b' \t')) for field in fields]


def read_length(values):
    """Return the one length that all values state."""
    numbers = b','.join(values).split(b',')
    check(all(re.fullmatch(rb'[ \t]*[0-9]+[ \t]*', n) for n in numbers))
    lengths = {int(number) for number in numbers}
    check(len(lengths) == 1 and max(lengths) < 2**63)
    return lengths.pop()


def read_chunks(wire):
    body = b''
    while True:
        found = CHUNK_LINE.fullmatch(wire.line())
        check(found)
        size = int(found[1], 16)
        if not size:
            break
        body += wire.take(size)
        check(wire.take(2) == b'\r\n')
    # Lines of a trailer are not joined.
    while line := wire.line().removesuffix(b'\r'):
        check(FIELD.fullmatch(line))
    return body


def parse(data):
    """Return the status and body of a reply that ends with its connection."""
    wire, status = Wire(data), 0
    while status < 200:
        found = STATUS_LINE.fullmatch(wire.line().removesuffix(b'\r'))
        check(found)
        status = int(found[2])
        # No request asks for a switch of protocols.
        check(status != 101)
        fields = read_fields(wire)
        lengths = [v for name, v in fields if name == b'content-length']
        length = read_length(lengths) if lengths else len(wire.rest)
        codings = [v for name, v in fields if name == b'transfer-encoding']
        if codings:
            check([coding.lower() for coding in codings] == [b'chunked'])
            check(found[1] == b'1')
    if status in (204, 304):
        return status, b''
    body = read_chunks(wire) if codings else wire.take(length)
    return status, body


def mutate(rng, data):
    """Return a reply with one to three changes behind `HTTP/1.1 `."""
    changed = bytearray(data)
    for _ in range(rng.choice((1, 1, 1, 2, 3))):
        start = rng.randrange(9, len(changed))
        size = rng.choice((0, 1))
        if rng.random() < 0.1:
            # Repeat some bytes.
            new = changed[start : start + rng.randrange(1, 20)]
            size = 0
        elif rng.random() < 0.15:
            new, size = b'', 1
        else:
            new = bytes((rng.choice(BYTES),))
        changed[start : start + size] = new
    return bytes(changed)


# Guards against MIXED: the gateway and curl found different ends of a body.
@pytest.mark.parametrize('seed', [1, 2])
def test_a_changed_reply_is_read_as_a_plain_parser_does(seed):
    rng = random.Random(seed)
    sound = [
        reply.replace(b'Request-Id: q1\r\n', b'')
        for reply in (SOUND | SOUND_TO_THE_CLOSE).values()
    ]
    replies = [mutate(rng, rng.choice(sound)) for _ in range(REPLIES)]
    current = iter(replies)

    async def serve(reader, writer):
        await reader.readuntil(b'\r\n\r\n')
        writer.write(next(current))
        writer.close()

    async def read_all(address, transfers):
        call = make_call(address, method='GET', body=b'')
        return [await fetch(transfers, call, TIMEOUT_MS) for _ in replies]

    outcomes = asyncio.run(serve_and(serve, read_all))
    taken = 0
    for reply, outcome in zip(replies, outcomes):
        try:
            expected = parse(reply)
        except MalformedError:
            assert outcome.is_err(), reply
        else:
            found = outcome.unwrap()
            assert (found.status, found.body) == expected, reply
            taken += 1
    # Both kinds are played.
    assert REPLIES * 0.2 < taken < REPLIES * 0.8
