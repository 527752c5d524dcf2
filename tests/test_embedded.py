import asyncio
import json
from pathlib import Path

from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPRequest

from wigeonmill.config.reader import read_document
from wigeonmill.embedded import Embedded
from wigeonmill.settings import check_settings
from wigeonmill.standins.answers import expected_answer

ISOKO = Path(__file__).parent.parent / 'examples' / 'isoko.json'
RAW = {
    'process': 'all',
    'roles': ['embedded'],
    'entry': {'http': '127.0.0.1:0', 'leave_grace_ms': 0},
    'embedded': {'engine_speed': 20.0},
}


class Caller:
    """Sends requests of one team to an embedded system."""

    def __init__(self, system, team):
        self.base = f'http://{system.address}'
        self.key = f'example-key-{team}'
        self.http = CurlAsyncHTTPClient(force_instance=True)

    async def send(self, method, path, body=None, **headers):
        headers = {k.replace('_', '-'): v for k, v in headers.items()}
        headers.setdefault('Authorization', f'Bearer {self.key}')
        request = HTTPRequest(
            self.base + path,
            method=method,
            body=None if body is None else json.dumps(body),
            headers=headers,
            allow_nonstandard_methods=True,
            request_timeout=30.0,
        )
        return await self.http.fetch(request, raise_error=False)


def with_system(scenario, adjust=None):
    async def body():
        document = read_document(ISOKO).unwrap()
        system = Embedded(check_settings(RAW).unwrap(), adjust)
        await system.start(document)
        caller = Caller(system, document.teams[0].name)
        try:
            await scenario(system, caller, document)
        finally:
            caller.http.close()
            await system.stop()

    asyncio.run(body())


def test_prompt_and_credit_go_the_whole_way():
    async def scenario(system, caller, document):
        prompt = 'tag this note: ' + 'keg ' * 3000
        body = {
            'model': document.models[0].name,
            'prompt': prompt,
            'max_tokens': 16,
        }
        whole = await caller.send('POST', '/v1/completions', body)
        answer = json.loads(whole.body)
        assert answer['choices'][0]['text'] == expected_answer(prompt, 16)
        assert answer['usage']['completion_tokens'] == 16

        body['stream'] = True
        streamed = await caller.send('POST', '/v1/completions', body)
        events = streamed.body.decode().split('\n\n')
        assert events[-2] == 'data: [DONE]'
        parts = [e.split('data: ', 1)[1] for e in events[:-2]]
        texts = [json.loads(p)['choices'][0]['text'] for p in parts]
        assert ''.join(texts) == expected_answer(prompt, 16)

        credit = {'account': 'bar-7', 'amount': 4.5, 'reference': 'r1'}
        path = f'/v1/services/{document.services[1].name}/credits'
        refused = await caller.send('POST', path, credit)
        code = json.loads(refused.body)['error']['code']
        assert code == 'idempotency_key_required'
        replies = [
            await caller.send('POST', path, credit, Idempotency_Key='k1')
            for _ in range(2)
        ]
        assert [r.code for r in replies] == [201, 201]
        assert replies[0].body == replies[1].body
        assert replies[1].headers['Idempotent-Replayed'] == 'true'

    with_system(scenario)


def counters(system, name):
    nodes = [agent.node for agent in system.agents.values()]
    return sum(node.metrics.value(name) for node in nodes)


async def wait_for(condition, timeout_s=20.0):
    async def poll():
        while not condition():
            await asyncio.sleep(0.02)

    await asyncio.wait_for(poll(), timeout_s)


def test_evicted_prefix_comes_back_from_the_store():
    def small_cache(options):
        options.cache_blocks = 8
        # A block takes 64 ms to compute, so that importing it pays.
        options.batch.speed = 2.0

    async def ask(caller, model, prompt):
        body = {'model': model, 'prompt': prompt, 'max_tokens': 4}
        reply = await caller.send('POST', '/v1/completions', body)
        assert reply.code == 200, reply.body
        answer = json.loads(reply.body)
        assert answer['choices'][0]['text'] == expected_answer(prompt, 4)
        return answer['usage']['prompt_tokens_details']['cached_tokens']

    async def scenario(system, caller, document):
        model = document.models[0].name
        # Six blocks of 1,024 tokens of 4 bytes, and a little more.
        manifest = 'manifest 17 ' + 'keg,' * 6200
        for _ in range(2):
            await ask(caller, model, manifest)
        await wait_for(lambda: counters(system, 'export_blocks') >= 6)
        others = [
            f'manifest {number + 100} ' + 'keg,' * 6200 for number in range(30)
        ]
        await asyncio.gather(*[ask(caller, model, o) for o in others])
        cached = await ask(caller, model, manifest)
        assert cached == 6 * 1024
        assert counters(system, 'import_blocks') >= 6
        for agent in system.agents.values():
            audit = agent.target.state.audit()
            assert getattr(audit, 'tainted_reads', 0) == 0

    with_system(scenario, small_cache)
