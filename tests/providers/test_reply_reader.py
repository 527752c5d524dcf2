"""Tests how a reply is read from its head to its end."""

import pycurl
import pytest

from wigeonmill.providers.reply_head import ReplyFault
from wigeonmill.providers.reply_reader import ReplyReader

CHUNKED = (b'HTTP/1.1 200 OK', b'Transfer-Encoding: chunked', b'')


def make_reader(*lines, method='GET'):
    reader = ReplyReader(method)
    for line in lines:
        reader.read_line(line + b'\r\n')
    return reader


def test_chunks_are_decoded_and_other_bodies_are_passed_on():
    reader = make_reader(*CHUNKED)
    assert reader.read_body(b'1\r\na\r\n2\r\nb') == b'ab'
    assert reader.chunks == 2
    plain = make_reader(b'HTTP/1.1 200 OK', b'')
    assert plain.read_body(b'1\r\na') == b'1\r\na'
    assert (plain.chunks, plain.message) == (0, '')


def test_a_fault_in_the_body_ends_it():
    reader = make_reader(*CHUNKED)
    assert reader.read_body(b'1\r\na\r\n0xf\r\n') == b'a'
    assert reader.fault is ReplyFault.CHUNK
    assert reader.message == 'malformed reply: chunk'
    assert reader.read_body(b'1\r\nb\r\n') == b''


def test_a_body_before_the_final_head_is_a_fault():
    reader = make_reader(b'HTTP/1.1 101 Switched', b'Upgrade: x', b'')
    assert reader.read_body(b'whole') == b''
    assert reader.fault is ReplyFault.STATUS_LINE


@pytest.mark.parametrize(
    ('status', 'method', 'fault'),
    [
        (200, 'GET', ReplyFault.CHUNK),
        (500, 'POST', ReplyFault.CHUNK),
        (200, 'HEAD', None),
        (204, 'GET', None),
        (304, 'GET', None),
    ],
)
def test_only_a_reply_with_a_body_lacks_its_end(status, method, fault):
    start = b'HTTP/1.1 %d x' % status
    reader = make_reader(start, *CHUNKED[1:], method=method)
    reader.end(0, '')
    assert reader.fault is fault


def test_errors_of_curl_by_syntax_are_faults():
    for errno in (
        pycurl.E_FTP_WEIRD_SERVER_REPLY,
        pycurl.E_UNSUPPORTED_PROTOCOL,
    ):
        reader = make_reader()
        reader.end(errno, 'Header without colon')
        assert reader.fault is ReplyFault.OTHER
        assert reader.message == 'malformed reply: Header without colon'
    for errno in (0, pycurl.E_RECV_ERROR, pycurl.E_PARTIAL_FILE):
        reader = make_reader(b'HTTP/1.1 200 OK', b'')
        reader.end(errno, '')
        assert reader.fault is None


def test_the_first_fault_is_kept():
    reader = make_reader(b'HTTP/1.1 200 OK', b'A B: c')
    reader.end(pycurl.E_WRITE_ERROR, 'write error')
    assert reader.fault is ReplyFault.FIELD
