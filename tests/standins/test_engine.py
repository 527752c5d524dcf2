"""The stand-in engine over HTTP."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from wigeonmill.clock import Clock
from wigeonmill.platform.http import HttpCall
from wigeonmill.platform.http import HttpClient
from wigeonmill.standins.answers import chat_prompt
from wigeonmill.standins.answers import expected_answer
from wigeonmill.standins.engine import start_engine
from wigeonmill.standins.engine_batch import BatchOptions
from wigeonmill.standins.engine_core import Engine
from wigeonmill.standins.engine_core import EngineOptions
from wigeonmill.standins.engine_messages import ChatMessage
from wigeonmill.standins.engine_messages import Completion
from wigeonmill.standins.engine_messages import CompletionRequest

TIMEOUT_MS = 5000
KEYS = [f'{number:02x}' * 32 for number in range(1, 5)]


class Caller:
    """Talks to one engine."""

    def __init__(self, address: str, state: Engine) -> None:
        self.address = address
        self.state = state
        self.http = HttpClient(Clock())

    async def send(self, method, path, value=None):
        if value is not None and not isinstance(value, bytes):
            value = msgspec.json.encode(value)
        url = f'http://{self.address}{path}'
        return await self.http.send(HttpCall(method, url, TIMEOUT_MS, value))

    async def json(self, method, path, value=None):
        reply = (await self.send(method, path, value)).unwrap()
        return reply.status, msgspec.json.decode(reply.body)

    async def run(self, req, path='/v1/completions'):
        """Return the chunks of a streamed answer, or None if cut off."""
        sent = await self.send('POST', path, req)
        return sent.map(lambda reply: chunks(reply.body)).unwrap_or(None)


def chunks(body: bytes) -> list[Completion]:
    *events, done = body.decode().strip().split('\n\n')
    assert done == 'data: [DONE]'
    return [
        msgspec.json.decode(event.removeprefix('data: '), type=Completion)
        for event in events
    ]


def request(prompt='a b', **fields):
    fields = {'max_tokens': 4, 'stream': True, **fields}
    return CompletionRequest(prompt=prompt, **fields)


@asynccontextmanager
async def engine(**options) -> AsyncIterator[Caller]:
    options.setdefault('batch', BatchOptions(speed=20.0))
    server = await start_engine(EngineOptions(**options))
    caller = Caller(server.address, server.state)
    try:
        yield caller
    finally:
        caller.http.close()
        await server.stop()


def test_answers_follow_from_the_prompt():
    async def check():
        async with engine() as caller:
            parts = await caller.run(request('manifest 7', max_tokens=9))
            text = ''.join(part.choices[0].text for part in parts)
            assert text == expected_answer('manifest 7', 9)
            assert parts[-1].usage.completion_tokens == 9
            assert parts[-1].choices[0].finish_reason == 'length'
            messages = [ChatMessage('user', 'is it damaged?')]
            chat = request('', messages=messages)
            parts = await caller.run(chat, '/v1/chat/completions')
            text = ''.join(part.choices[0].delta.content for part in parts)
            assert text == expected_answer(chat_prompt(messages), 4)
            chat.stream = False
            _status, whole = await caller.json(
                'POST', '/v1/chat/completions', chat
            )
            assert whole['choices'][0]['message']['content'] == text

    asyncio.run(check())
