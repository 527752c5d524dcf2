"""Tests the syntax of bodies in chunks byte by byte."""

import string

from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonmill.providers.chunked_body import ChunkedBody
from wigeonmill.providers.chunked_body import MAX_LINE_BYTES
from wigeonmill.providers.chunked_body import MAX_TRAILER_BYTES

BYTES = [bytes((value,)) for value in range(256)]
DIGITS = string.hexdigits.encode()
TOKEN = (string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~").encode()
END = b'\r\n0\r\n\r\n'
EXTENSIONS = (b'', b';a', b';a=b', b' ; a="x;\\"y\xff" ;b', b';\ta=b;c="";d')


def decode(wire):
    body = ChunkedBody()
    content = body.feed(wire)
    return body, content


# Guards against MIXED: curl reads the digits of a size and leaves out the
# rest, so that `0xf` was the last chunk.
@pytest.mark.parametrize('place', [0, 1])
def test_a_size_holds_hexadecimal_digits_only(place):
    for byte in BYTES:
        line = b'%b1' % byte if place == 0 else b'1%b' % byte
        content = b'z' * int(line, 16) if byte[0] in DIGITS else b'z'
        body, found = decode(line + b'\r\n' + content + END)
        if byte[0] in DIGITS:
            assert body.complete, byte
            assert found == content
        else:
            assert body.malformed, byte
            assert not body.complete


@pytest.mark.parametrize(
    'line',
    [
        b'',
        b'-1',
        b'+1',
        b'0x1',
        b'1 ',
        b' 1',
        b'1;',
        b'1;a=',
        b'1;=a',
        b'1;a b',
    ]
    + [b'1;a="b', b'1;a=b"', b'1;"a"', b'1a=b', b'1;a=\x01', b'1;a="\x7f"']
    + [b'0' * 17 + b'1', b'1;a="b\\"', b'8' + b'0' * 15, b'f' * 16],
)
def test_a_chunk_line_of_another_form_is_malformed(line):
    body, content = decode(line + b'\r\nz' + END)
    assert body.malformed
    assert not body.complete
    assert not content


def test_the_name_of_an_extension_is_a_token():
    for byte in BYTES:
        body, _content = decode(b'1;a%bb\r\nz' % byte + END)
        # Those that may separate names and values.
        if byte[0] in TOKEN or byte in b';=':
            assert body.complete
        else:
            assert body.malformed, byte


@pytest.mark.parametrize(
    'wire',
    [
        b'1\nz' + END,
        b'1\r\nz\n0\r\n\r\n',
        b'1\r\nzz' + END,
        b'2\r\nz' + END,
        b'1\r\nz\r\n\r\n0\r\n\r\n',
        b'1\r\nz\r\n0\r\nodd\r\n\r\n',
        b'1\r\nz\r\n0\r\nX Odd: b\r\n\r\n',
        b'1\r\nz\r\n0\r\n X: b\r\n\r\n',
        b'1\r\nz\r\n0\r\nX: \x01\r\n\r\n',
    ],
)
def test_lines_between_chunks_and_of_trailers_are_checked(wire):
    body, _content = decode(wire)
    assert body.malformed
    assert not body.complete


def test_what_precedes_a_fault_and_what_follows_the_end():
    body, content = decode(b'1\r\na\r\n1\r\nb\r\nx\r\n')
    assert (content, body.malformed) == (b'ab', True)
    assert body.feed(b'1\r\nc') == b''
    body, content = decode(b'1\r\na' + END + b'1\r\nb' + END)
    assert (content, body.complete, body.chunks) == (b'a', True, 2)


def test_a_body_that_breaks_off_is_not_complete():
    wire = b'3;a=b\r\nabc\r\n0\r\nX: y\r\n\r\n'
    for size in range(len(wire)):
        body, _content = decode(wire[:size])
        assert not body.complete
        assert not body.malformed


@pytest.mark.parametrize(
    'start', [b'', b'1;a=', b'1\r\nz', b'0\r\n', b'0\r\nX: ']
)
def test_a_line_without_end_is_malformed(start):
    body = ChunkedBody()
    body.feed(start)
    for _ in range(MAX_LINE_BYTES // 1_000 + 1):
        body.feed(b'1' * 1_000)
    assert body.malformed


def test_a_trailer_without_end_is_malformed():
    body, _content = decode(b'0\r\n')
    line = b'X: ' + b'y' * 1_000 + b'\r\n'
    for _ in range(MAX_TRAILER_BYTES // len(line) + 1):
        body.feed(line)
    assert body.malformed


@given(
    st.lists(
        st.tuples(
            st.binary(min_size=1, max_size=40),
            st.sampled_from(EXTENSIONS),
            st.integers(1, 16),
            st.booleans(),
        ),
        max_size=8,
    ),
    st.sampled_from(EXTENSIONS),
    st.sampled_from((b'', b'X: y\r\n', b'X:\r\nY: a:b \n')),
    st.lists(st.integers(0, 400), max_size=10),
)
def test_any_body_is_decoded_however_it_is_divided(
    chunks, last, trailer, cuts
):
    wire, content = b'', b''
    for piece, extension, width, upper in chunks:
        size = b'%x' % len(piece)
        size = (size.upper() if upper else size).rjust(width, b'0')
        wire += size + extension + b'\r\n' + piece + b'\r\n'
        content += piece
    wire += b'0' + last + b'\r\n' + trailer + b'\r\n'
    body = ChunkedBody()
    found = b''
    places = sorted({0, len(wire), *(min(cut, len(wire)) for cut in cuts)})
    for start, end in zip(places, places[1:]):
        found += body.feed(wire[start:end])
    assert not body.malformed
    assert body.complete
    assert found == content
    assert body.chunks == len(chunks) + 1
