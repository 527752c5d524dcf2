"""Replies of engines that can't be read."""

import asyncio

import pycurl
import pytest
from tornado.curl_httpclient import CurlError

from tests.platform.real_entry import serve_and
from tests.providers.reply_forms import fill_template
from tests.providers.reply_forms import FormServer
from tests.providers.reply_forms import MALFORMED_TEMPLATES
from tests.providers.reply_forms import SOUND_TEMPLATES
from wigeonmill.agent.engine import EngineClient
from wigeonmill.agent.engine import EngineEndKind
from wigeonmill.agent.engine import EngineStream
from wigeonmill.agent.engine import LoadOrder
from wigeonmill.agent.engine import OrderOutcome

EVENTS = b'data: {"choices":[{"text":"a"}]}\n\ndata: [DONE]\n\n'
HEALTH = b'{"incarnation":"i"}'
ORDER = LoadOrder('m', 'v2', [], 1, 1)
TIMEOUT_MS = 5_000.0


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
    for line in (b'HTTP/1.1 200 OK\r\n', b'\r\n'):
        curl.options[pycurl.HEADERFUNCTION](line)
    write = curl.options[pycurl.WRITEFUNCTION]
    assert write(b'data: {"choices": 7}\n') is None
    assert write(b'data: [DONE]\n') == -1
    error = CurlError(pycurl.E_WRITE_ERROR, 'write error')
    assert stream.failure_end(error).kind is EngineEndKind.BROKEN
    assert not texts


def ask(template):
    """Return how a run ended, its text, the health and an order's outcome."""

    async def check(address, _transfers):
        texts = []
        engine = EngineClient(address)
        stream = EngineStream(lambda text, _count: texts.append(text))
        try:
            end = await engine.run('/v1/x', b'{}', stream, TIMEOUT_MS)
            server.reply = fill_template(template, HEALTH)
            return end, texts, await engine.health(), await engine.load(ORDER)
        finally:
            engine.close()

    server = FormServer(fill_template(template, EVENTS))
    return asyncio.run(serve_and(server.serve, check))


# Guards against MIXED: a run ended as completed although the head of its
# answer or the sizes of its chunks were malformed, and so did other calls.
@pytest.mark.parametrize('form', MALFORMED_TEMPLATES)
def test_a_malformed_answer_of_an_engine_is_broken(form):
    end, texts, health, ordered = ask(MALFORMED_TEMPLATES[form])
    assert end.kind is EngineEndKind.BROKEN
    assert not texts
    assert health is None
    assert ordered is OrderOutcome.UNKNOWN


@pytest.mark.parametrize('form', SOUND_TEMPLATES)
def test_a_sound_answer_of_an_engine_is_read(form):
    end, texts, health, ordered = ask(SOUND_TEMPLATES[form])
    assert end.kind is EngineEndKind.COMPLETED
    assert texts == [b'a']
    assert health.incarnation == 'i'
    assert ordered is OrderOutcome.ACCEPTED
