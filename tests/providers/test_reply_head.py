"""Tests the syntax of heads byte by byte."""

import string

import pytest

from wigeonmill.providers.reply_head import HeadReader
from wigeonmill.providers.reply_head import is_one_length
from wigeonmill.providers.reply_head import MAX_LENGTH
from wigeonmill.providers.reply_head import parse_field
from wigeonmill.providers.reply_head import ReplyFault

# RFC 9110, section 5.6.2, and RFC 5234, appendix B.1.
TOKEN = (string.ascii_letters + string.digits + "!#$%&'*+-.^_`|~").encode()
CONTROLS = (*range(0x20), 0x7F)
BYTES = [bytes((value,)) for value in range(256)]


def read(*lines):
    reader = HeadReader()
    for line in lines:
        reader.feed(line + b'\r\n')
    return reader


# Guards against MIXED: a name with a blank, a control byte or another byte
# that is not allowed there, such as those that `str.strip` takes away.
@pytest.mark.parametrize('template', [b'%bX', b'X%bY', b'X%b', b'%b'])
def test_a_name_holds_the_bytes_of_a_token_only(template):
    for byte in BYTES:
        name = template % byte
        field = parse_field(name + b': v')
        if byte[0] in TOKEN:
            assert field == (name.decode(), 'v')
        elif byte == b':' and template.startswith(b'X'):
            # The first colon ends the name, which is X then.
            assert field is not None
            assert field[0] == 'X'
        else:
            assert field is None, byte


def test_a_name_is_not_empty():
    assert parse_field(b': v') is None
    assert parse_field(b'') is None
    assert parse_field(b'X') is None


# Guards against MIXED: a control byte in a value, also one at its end, which
# `str.strip` takes away.
@pytest.mark.parametrize('template', [b'%bv', b'v%bw', b'v%b', b'%b'])
def test_a_value_holds_no_control_byte_but_a_tab(template):
    for byte in BYTES:
        value = template % byte
        field = parse_field(b'X:' + value)
        if byte[0] in CONTROLS and byte != b'\t':
            assert field is None, byte
        else:
            assert field == ('X', value.strip(b' \t').decode('latin-1'))


@pytest.mark.parametrize('minor', range(10))
def test_a_status_line_is_read(minor):
    line = b'HTTP/1.%d 404 Not Found' % minor
    reader = read(line)
    assert (reader.status, reader.fault) == (404, None)
    assert read(line[:12]).status == 404
    assert read(line[:13]).status == 404


# Guards against MIXED: a status line of another form, such as with a tab.
def test_a_status_line_has_one_form():
    sound = b'HTTP/1.1 200 OK'
    for place in range(len(b'HTTP/1.1 200 ')):
        for byte in BYTES:
            line = sound[:place] + byte + sound[place + 1 :]
            reader = read(line)
            allowed = {7: b'0123456789', 9: b'12345', 10: b'0123456789'}
            allowed[11] = allowed[10]
            if byte[0] in allowed.get(place, sound[place : place + 1]):
                assert reader.fault is None, line
            else:
                assert reader.fault is ReplyFault.STATUS_LINE, line
    for byte in BYTES:
        reader = read(sound + byte)
        is_control = byte[0] in CONTROLS and byte != b'\t'
        assert (reader.fault is not None) == is_control


def test_a_reader_takes_crlf_or_lf_alone():
    reader = HeadReader()
    for line in (b'HTTP/1.1 200 OK\n', b'A: b\r\n', b'\n'):
        reader.feed(line)
    assert reader.complete
    assert reader.fields == [('A', 'b')]
    assert read(b'HTTP/1.1 200 OK', b'A: b\r').fault is ReplyFault.FIELD


def test_lines_after_a_fault_do_not_mend_it():
    reader = read(b'HTTP/1.1 200 OK', b'A B: c', b'Content-Length: 0', b'')
    assert reader.fault is ReplyFault.FIELD
    assert not reader.complete


def test_interim_heads_are_checked_and_discarded():
    reader = read(b'HTTP/1.1 103 Hints', b'A: b', b'')
    assert (reader.fields, reader.complete, reader.fault) == ([], False, None)
    reader.feed(b'HTTP/1.1 200 OK\r\n')
    reader.feed(b'\r\n')
    assert reader.complete
    assert read(b'HTTP/1.1 103 Hints', b'A b: c').fault is ReplyFault.FIELD


# Guards against MIXED: a length that curl reads in part, or not at all.
@pytest.mark.parametrize('template', [b'%b15', b'1%b5', b'15%b', b'%b'])
def test_a_length_holds_digits_only(template):
    for byte in BYTES:
        value = template % byte
        line = b'Content-Length:' + value
        fault = read(b'HTTP/1.1 200 OK', line, b'').fault
        is_length = value.strip(b' \t').isdigit()
        if byte[0] in CONTROLS and byte != b'\t':
            assert fault is ReplyFault.FIELD
        else:
            assert fault is (None if is_length else ReplyFault.LENGTH), value


@pytest.mark.parametrize(
    ('values', 'valid'),
    [
        (['0'], True),
        (['015', '15'], True),
        (['15, 15', '15'], True),
        (['15,\t15'], True),
        (['0' * 5_000 + '15'], True),
        ([str(MAX_LENGTH)], True),
        ([str(MAX_LENGTH + 1)], False),
        ([str(2**64 + 15)], False),
        (['9' * 30], False),
        (['9' * 5_000], False),
        (['15', '16'], False),
        (['15, 16'], False),
        (['15', ''], False),
        (['15,,15'], False),
        (['15 15'], False),
        (['\u0661\u0665'], False),
    ],
)
def test_a_length_is_stated_once_or_alike(values, valid):
    assert is_one_length(values) is valid


@pytest.mark.parametrize(
    ('codings', 'fault'),
    [
        ([b'chunked'], None),
        ([b'Chunked'], None),
        ([b'\t chunked '], None),
        ([b''], ReplyFault.CODING),
        ([b'chunked', b'chunked'], ReplyFault.CODING),
        ([b'chunked', b''], ReplyFault.CODING),
        ([b'chunked, chunked'], ReplyFault.CODING),
        ([b'gzip, chunked'], ReplyFault.CODING),
        ([b'chunked, gzip'], ReplyFault.CODING),
        ([b'gzip', b'chunked'], ReplyFault.CODING),
        ([b'identity'], ReplyFault.CODING),
        ([b'chunked;a=b'], ReplyFault.CODING),
    ],
)
def test_chunked_is_the_only_coding(codings, fault):
    lines = [b'Transfer-Encoding:' + coding for coding in codings]
    assert read(b'HTTP/1.1 200 OK', *lines, b'').fault is fault


# Guards against MIXED: a name of a coding that is almost right.
@pytest.mark.parametrize(
    'template', [b'%bchunked', b'chun%bked', b'chunked%b']
)
def test_no_byte_beside_the_coding_is_left_out(template):
    for byte in BYTES:
        coding = template % byte
        line = b'Transfer-Encoding:' + coding
        fault = read(b'HTTP/1.1 200 OK', line, b'').fault
        if coding.strip(b' \t') == b'chunked':
            assert fault is None
        else:
            assert fault in (ReplyFault.CODING, ReplyFault.FIELD), byte


def test_http_1_0_has_no_codings():
    coding = b'Transfer-Encoding: chunked'
    assert read(b'HTTP/1.0 200 OK', coding, b'').fault is ReplyFault.CODING
    assert read(b'HTTP/1.0 200 OK', b'').fault is None
