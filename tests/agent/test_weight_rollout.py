import asyncio
import json

import msgspec

from tests.embedded_system import submit_changes
from tests.embedded_system import wait_for
from tests.embedded_system import with_system
from wigeonmill.standins.answers import expected_answer


def test_weights_are_loaded_by_few_engines_at_a_time_under_load():
    def slow_load(options):
        options.load_ms = 150.0

    async def scenario(system, caller, document):
        model = document.models[0]
        bound = document.services[0].concurrent_loads
        engines = [
            agent.target.state
            for name, agent in system.agents.items()
            if name.startswith('engine')
        ]
        loading = []
        failures = []

        async def send_prompt():
            prompt = f'note {len(loading)}'
            body = {'model': model.name, 'prompt': prompt, 'max_tokens': 3}
            reply = await caller.send('POST', '/v1/completions', body)
            text = ''
            if reply.code == 200:
                text = json.loads(reply.body)['choices'][0]['text']
            if text != expected_answer(prompt, 3):
                failures.append(reply.body)

        async def watch():
            while True:
                loading.append(sum(e.loading for e in engines))
                await send_prompt()

        watching = asyncio.ensure_future(watch())
        newer = msgspec.structs.replace(model, version='v-next')
        await submit_changes(system, models=[newer])
        await wait_for(
            lambda: all(e.weight_version == 'v-next' for e in engines), 40.0
        )
        watching.cancel()
        assert max(loading) >= 1
        assert max(loading) <= bound
        assert failures == []
        for engine in engines:
            audit = engine.audit()
            assert len(audit.loads) == 1
            assert audit.version_mismatches == 0
            assert audit.stale_orders_applied == 0

    with_system(scenario, slow_load)
