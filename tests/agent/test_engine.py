"""The end of an engine's stream that can't be read."""

import pycurl
from tornado.curl_httpclient import CurlError

from wigeonmill.agent.engine import EngineEndKind
from wigeonmill.agent.engine import EngineStream


class FakeCurl:
    """Records the callbacks that a stream installs."""

    def __init__(self):
        self.options = {}

    def setopt(self, option, value):
        self.options[option] = value


def test_a_malformed_event_ends_a_run_as_broken_not_as_cancelled():

    curl = FakeCurl()
    texts = []
    stream = EngineStream(lambda text, _count: texts.append(text))
    stream.prepare(curl)
    curl.options[pycurl.HEADERFUNCTION](b'HTTP/1.1 200 OK\r\n')
    write = curl.options[pycurl.WRITEFUNCTION]
    assert write(b'data: {"choices": 7}\n') is None
    assert write(b'data: [DONE]\n') == -1
    error = CurlError(pycurl.E_WRITE_ERROR, 'write error')
    assert stream.failure_end(error).kind is EngineEndKind.BROKEN
    assert not texts
