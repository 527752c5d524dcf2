"""Tests of the stand-in engine over HTTP."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import msgspec

from wigeonmill.clock import Clock
from wigeonmill.providers.http import HttpCall
from wigeonmill.providers.http import HttpClient
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


class EngineClient:
    """An HTTP client of one engine."""

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

    async def complete(self, req, path='/v1/completions'):
        """Return the chunks of a streamed answer, or None if it broke off."""
        sent = await self.send('POST', path, req)
        return sent.map(lambda reply: parse_chunks(reply.body)).unwrap_or(None)


def parse_chunks(body: bytes) -> list[Completion]:
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
async def engine(**options) -> AsyncIterator[EngineClient]:
    options.setdefault('batch', BatchOptions(speed=20.0))
    server = await start_engine(EngineOptions(**options))
    client = EngineClient(server.address, server.state)
    try:
        yield client
    finally:
        client.http.close()
        await server.stop()


def test_answers_are_determined_by_the_prompt():
    async def check():
        async with engine() as client:
            parts = await client.complete(request('manifest 7', max_tokens=9))
            text = ''.join(part.choices[0].text for part in parts)
            assert text == expected_answer('manifest 7', 9)
            assert parts[-1].usage.completion_tokens == 9
            assert parts[-1].choices[0].finish_reason == 'length'
            messages = [ChatMessage('user', 'is it damaged?')]
            chat = request('', messages=messages)
            parts = await client.complete(chat, '/v1/chat/completions')
            text = ''.join(part.choices[0].delta.content for part in parts)
            assert text == expected_answer(chat_prompt(messages), 4)
            chat.stream = False
            _status, whole = await client.json(
                'POST', '/v1/chat/completions', chat
            )
            assert whole['choices'][0]['message']['content'] == text

    asyncio.run(check())


def test_a_cached_prefix_skips_prefill():
    async def check():
        rates = BatchOptions(
            prefill_tokens_per_second=8000.0, block_tokens=10, speed=20.0
        )
        async with engine(batch=rates) as client:
            req = request(kv_block_keys=KEYS[:2], prompt_tokens=25)
            first = await client.complete(req)
            again = await client.complete(req)
            cached = [
                parts[-1].usage.prompt_tokens_details.cached_tokens
                for parts in (first, again)
            ]
            assert cached == [0, 20]
            assert client.state.stats.computed_prompt_tokens == 25 + 5

    asyncio.run(check())


def test_evictions_are_reported_by_numbered_events_with_gaps():
    async def check():
        async with engine(cache_blocks=2) as client:
            await client.complete(request(kv_block_keys=KEYS[:2]))
            _, listing = await client.json('GET', '/cache/blocks')
            assert set(listing['block_keys']) == set(KEYS[:2])
            faults = {'drop_nth_event': 4, 'event_delay_ms': 40.0}
            await client.json('POST', '/faults', faults)
            await client.complete(request(kv_block_keys=KEYS[2:3]))
            since = listing['sequence']
            path = f'/cache/events?since={since}'
            _, early = await client.json('GET', path)
            assert (early['events'], early['next']) == ([], since)
            _, late = await client.json('GET', f'{path}&wait_ms=2000')
            # The fourth event, which reports the stored block, was dropped.
            assert late['next'] == since + 2
            kinds = [event['kind'] for event in late['events']]
            assert kinds == ['evicted']
            # The last block of a prompt is evicted first.
            assert late['events'][0]['block_key'] == KEYS[1]

    asyncio.run(check())


def test_exports_can_be_imported_and_wrong_blocks_are_audited():
    async def check():
        async with engine() as client:
            await client.complete(request(kv_block_keys=KEYS[:2]))
            paths = [f'/cache/blocks/{key}' for key in KEYS]
            data = (await client.send('GET', paths[0])).unwrap().body
            await client.json('POST', '/faults', {'reuse_exports': 1})
            reused = (await client.send('GET', paths[0])).unwrap().body
            assert reused != data
            await client.json('POST', '/faults', {'truncate_exports': 1})
            assert (await client.send('GET', paths[0])).is_err()
            missing = (await client.send('GET', paths[3])).unwrap()
            assert missing.status == 404
            await client.send('PUT', paths[0], data)
            stats = client.state.stats
            assert (stats.foreign_imports, stats.corrupt_imports) == (0, 0)
            await client.send('PUT', paths[2], data)
            await client.send('PUT', paths[3], data[:-1])
            assert stats.foreign_imports == 2
            await client.send('PUT', paths[0], data[:-1])
            assert stats.corrupt_imports == 1
            parts = await client.complete(
                request('q', kv_block_keys=KEYS[2:3])
            )
            text = ''.join(part.choices[0].text for part in parts)
            assert text != expected_answer('q', 4)
            assert stats.tainted_reads == 1

    asyncio.run(check())


def test_too_many_requests_crash_a_cold_engine():
    async def check():
        options = {'cold_concurrency': 2, 'cold_duration_ms': 60_000.0}
        async with engine(**options) as client:
            before = client.state.incarnation
            two = [client.complete(request(max_tokens=3)) for _ in range(2)]
            assert None not in await asyncio.gather(*two)
            three = [client.complete(request(max_tokens=99)) for _ in range(3)]
            assert await asyncio.gather(*three) == [None, None, None]
            assert client.state.stats.cold_overloads == 1
            _, health = await client.json('GET', '/health')
            assert health['incarnation'] != before
            assert health['state'] == 'cold'

    asyncio.run(check())


def test_a_marked_request_crashes_the_engine_and_its_other_runs():
    async def check():
        async with engine(cold_duration_ms=50.0) as client:
            await asyncio.sleep(0.06)
            client.state.faults.crash_marker = 'poison'
            other = asyncio.ensure_future(
                client.complete(request(max_tokens=5000))
            )
            while not client.state.batch.running:
                await asyncio.sleep(0.005)
            assert await client.complete(request('some poison here')) is None
            assert await other is None
            outcomes = [r.outcome for r in client.state.stats.requests]
            assert outcomes == ['crashed', 'crashed']
            assert client.state.health().state.value == 'cold'

    asyncio.run(check())


async def read_status(reader, writer):
    """Return the status line of an answer; empty if there is none."""
    writer.write(b'GET /audit HTTP/1.1\r\nHost: engine\r\n\r\n')
    return await reader.readline()


# Guards against a crash that resets connections opened after it, such as that
# of an audit or of the next run.
def test_a_crash_ends_no_connection_that_is_opened_after_it():
    async def check():
        server = await start_engine(EngineOptions())
        host, _, port = server.address.rpartition(':')
        before = [
            await asyncio.open_connection(host, int(port)) for _ in range(20)
        ]
        for reader, writer in before:
            assert await read_status(reader, writer)
        server.state.crash()
        await asyncio.sleep(0)
        after = await asyncio.open_connection(host, int(port))
        for reader, _writer in before:
            assert await reader.read(65536)
            assert await reader.read() == b''
        assert b'200' in await read_status(*after)
        for _reader, writer in [*before, after]:
            writer.close()
        await server.stop()

    asyncio.run(check())


def test_turning_cold_keeps_streams_and_clears_the_cache():
    async def check():
        options = {'cold_duration_ms': 30.0}
        async with engine(**options) as client:
            await client.complete(request(kv_block_keys=KEYS))
            before = client.state.incarnation
            running = asyncio.ensure_future(
                client.complete(request(max_tokens=50))
            )
            while not client.state.batch.running:
                await asyncio.sleep(0.005)
            await client.json('POST', '/faults', {'turn_cold': True})
            assert client.state.incarnation != before
            assert len(client.state.cache) == 0
            assert len(await running) == 51

    asyncio.run(check())


def test_a_broken_stream_resumes_and_a_cancelled_one_ends():
    async def check():
        async with engine(resume_grace_ms=30.0) as client:
            req = request(max_tokens=2000, request_id='r1')
            disconnected = asyncio.ensure_future(client.complete(req))
            while 'r1' not in client.state.runs:
                await asyncio.sleep(0.005)
            disconnected.cancel()
            path = '/v1/streams/r1?offset=1997'
            client.state.batch.options.speed = 10_000.0
            sent = await client.send('GET', path)
            text = ''.join(
                part.choices[0].text
                for part in parse_chunks(sent.unwrap().body)
            )
            words = expected_answer('a b', 2000).split()
            assert text.split() == words[1997:]
            client.state.batch.options.speed = 1.0
            second = asyncio.ensure_future(
                client.complete(request(max_tokens=2000, request_id='r2'))
            )
            while 'r2' not in client.state.runs:
                await asyncio.sleep(0.005)
            _, reply = await client.json('POST', '/v1/requests/r2/cancel')
            assert reply['cancelled']
            assert await second is None

    asyncio.run(check())


def test_higher_priority_runs_first():
    async def check():
        rates = BatchOptions(max_batch=1, speed=20.0)
        async with engine(batch=rates) as client:
            order: list[str] = []

            async def send_request(name, priority):
                await client.complete(
                    request(request_id=name, priority=priority)
                )
                order.append(name)

            first = asyncio.ensure_future(send_request('first', 0))
            while not client.state.batch.running:
                await asyncio.sleep(0.001)
            await asyncio.gather(
                send_request('low', 0), send_request('high', 5), first
            )
            assert order == ['first', 'high', 'low']

    asyncio.run(check())


def test_load_orders_are_fenced():
    async def check():
        async with engine(load_ms=30.0) as client:
            running = asyncio.ensure_future(
                client.complete(request(max_tokens=100, weight_version='v1'))
            )
            while not client.state.batch.running:
                await asyncio.sleep(0.005)
            order = {
                'model': 'model',
                'weight_version': 'v2',
                'fencing': {'revision': 3, 'order': 1},
            }
            status, _ = await client.json('POST', '/admin/load', order)
            assert status == 202
            status, refusal = await client.json(
                'POST', '/v1/completions', request()
            )
            assert (status, refusal['error']['reason']) == (503, 'loading')
            while client.state.loading:
                await asyncio.sleep(0.005)
            parts = await running
            assert {part.weight_version for part in parts} == {'v1'}
            order['fencing'] = {'revision': 2, 'order': 9}
            status, refusal = await client.json('POST', '/admin/load', order)
            assert refusal['error']['reason'] == 'stale_fencing'
            status, refusal = await client.json(
                'POST', '/v1/completions', request(weight_version='v1')
            )
            assert (status, refusal['error']['reason']) == (
                409,
                'weight_version',
            )

    asyncio.run(check())


def test_an_engine_without_fencing_accepts_stale_orders():
    async def check():
        async with engine(checks_fencing=False) as client:
            for revision in (2, 1):
                order = {
                    'role': 'prefill',
                    'fencing': {'revision': revision, 'order': 0},
                }
                status, _ = await client.json('POST', '/admin/role', order)
                assert status == 200
            assert client.state.stats.stale_orders_applied == 1

    asyncio.run(check())
