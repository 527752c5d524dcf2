"""Tests the syntax of heads byte by byte."""

import string

import pytest

from wigeonmill.providers.reply_head import HeadReader
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
