import asyncio
import json

from tests.embedded_system import sum_counter
from tests.embedded_system import wait_for
from tests.embedded_system import with_system
from wigeonmill.standins.answers import expected_answer


def test_prompts_and_credits_are_served_end_to_end():
    async def scenario(system, caller, document):
        prompt = 'tag this note: ' + 'keg ' * 3000
        body = {
            'model': document.models[0].name,
            'prompt': prompt,
            'max_tokens': 16,
        }
        unstreamed = await caller.send('POST', '/v1/completions', body)
        answer = json.loads(unstreamed.body)
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
        rejected = await caller.send('POST', path, credit)
        code = json.loads(rejected.body)['error']['code']
        assert code == 'idempotency_key_required'
        replies = [
            await caller.send('POST', path, credit, Idempotency_Key='k1')
            for _ in range(2)
        ]
        assert [r.code for r in replies] == [201, 201]
        assert replies[0].body == replies[1].body
        assert replies[1].headers['Idempotent-Replayed'] == 'true'
        # The HTTP client of the test adds this header itself, once.
        assert replies[0].headers.get_list('X-Http-Reason') == ['Created']
        ledgers = [a for n, a in system.agents.items() if 'ledger' in n]
        audits = [ledger.target.state.audit() for ledger in ledgers]
        booked = [c.request_id for audit in audits for c in audit.credits]
        assert booked == [replies[0].headers['X-Request-Id']]

    with_system(scenario)


def test_disconnected_caller_frees_its_slot():
    raw = {
        'embedded': {'engine_speed': 1.0},
        'agent': {'detached_run_ms': 200},
    }

    async def send_and_disconnect(system, caller, body):
        metrics = system.entry_node.metrics
        data = json.dumps(body).encode()
        host, port = system.address.split(':')
        _reader, writer = await asyncio.open_connection(host, int(port))
        head = (
            'POST /v1/completions HTTP/1.1\r\nHost: test\r\n'
            f'Authorization: Bearer {caller.key}\r\n'
            f'Content-Length: {len(data)}\r\n\r\n'
        )
        writer.write(head.encode() + data)
        await wait_for(lambda: 'open_requests 1.0' in metrics.render())
        await wait_for(lambda: busy(system))
        writer.close()
        await wait_for(lambda: 'open_requests 0.0' in metrics.render())
        assert not metrics.reasons('refusals')
        await wait_for(lambda: not busy(system))

    def busy(system):
        agents = [a for n, a in system.agents.items() if 'engine' in n]
        audits = [agent.target.state.audit() for agent in agents]
        return any(not r.finished_ms for a in audits for r in a.requests)

    async def scenario(system, caller, document):
        # Generating the answer would take 160 s.
        body = {
            'model': document.models[0].name,
            'prompt': 'keg',
            'max_tokens': 8192,
        }
        for stream in (True, False):
            await send_and_disconnect(
                system, caller, {**body, 'stream': stream}
            )

    with_system(scenario, None, raw)


def test_evicted_prefix_is_imported_from_the_store():
    def small_cache(options):
        options.cache_blocks = 8
        # Computing a block takes 64 ms at this speed; importing is faster.
        options.batch.speed = 2.0

    async def complete(caller, model, prompt):
        body = {'model': model, 'prompt': prompt, 'max_tokens': 4}
        reply = await caller.send('POST', '/v1/completions', body)
        assert reply.code == 200, reply.body
        answer = json.loads(reply.body)
        assert answer['choices'][0]['text'] == expected_answer(prompt, 4)
        return answer['usage']['prompt_tokens_details']['cached_tokens']

    async def scenario(system, caller, document):
        model = document.models[0].name
        # Slightly more than six blocks of 1,024 tokens of 4 bytes each.
        manifest = 'manifest 17 ' + 'keg,' * 6200
        for _ in range(2):
            await complete(caller, model, manifest)
        await wait_for(lambda: sum_counter(system, 'export_blocks') >= 6)
        others = [
            f'manifest {number + 100} ' + 'keg,' * 6200 for number in range(30)
        ]
        await asyncio.gather(*[complete(caller, model, o) for o in others])
        cached = await complete(caller, model, manifest)
        assert cached == 6 * 1024
        assert sum_counter(system, 'import_blocks') >= 6
        for agent in system.agents.values():
            audit = agent.target.state.audit()
            assert getattr(audit, 'tainted_reads', 0) == 0

    with_system(scenario, small_cache)
