import time

import msgspec
from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from bench.standin_control import set_faults
from wigeonmill.standins.answers import expected_answer

scenarios('answers.feature')

ANSWER_TOKENS = 150


@given(
    parsers.parse('a system with {entries:d} entries and {engines:d} engines')
)
def system(world, entries, engines):
    world.start(entries=entries, engines=engines, ledgers=0)


def open_streams(world, count):
    for number in range(count):
        world.open_stream(f'manifest {number}', ANSWER_TOKENS)
    world.wait(lambda: all(stream.event_id for stream in world.streams))


@when(parsers.parse('{count:d} answers stream through the first entry'))
def stream_answers(world, count):
    open_streams(world, count)


@when(parsers.parse('{count:d} answers stream through a proxied agent'))
def stream_through_proxy(world, count):
    target = world.target('engine-1')
    proxy = world.system.fleet.start_standin(
        'fault-proxy', {'upstream': target.agent_address}
    )
    data, world.marks['proxy'] = proxy.address.split()
    service = world.system.document.services[0]
    proxied = msgspec.structs.replace(service.targets[0], agent=data)
    service = msgspec.structs.replace(service, targets=[proxied])
    document = msgspec.structs.replace(
        world.system.document, services=[service]
    )
    world.run(world.system.apply(document))
    entry = world.system.entries[0]
    world.wait(lambda: 'configuration 2 ' in entry.log())
    open_streams(world, count)


@when('the first entry dies after some parts')
def entry_dies(world):
    world.system.entries[0].kill()
    world.settle()
    assert not all(stream.done for stream in world.streams)


@when('the callers resume through the second entry')
def resume(world):
    for stream in [s for s in world.streams if not s.done]:
        rest = world.open_stream(
            stream.prompt,
            stream.max_tokens,
            entry=1,
            event_id=stream.event_id,
        )
        rest.text = stream.text
        world.streams.remove(stream)


@when('the proxy resets its connections')
def reset(world):
    set_faults(world.marks['proxy'], reset=True)
    time.sleep(0.05)
    set_faults(world.marks['proxy'], reset=False)


@when('the agent is killed and started again')
def restart_agent(world):
    world.target('engine-1').agent.kill()
    world.system.restart_agent('engine-1')


@when('another team asks for the rest')
def other_team(world):
    stream = world.streams[0]
    rest = world.open_stream(
        stream.prompt, stream.max_tokens, 'beta', event_id=stream.event_id
    )
    world.run(rest.task)
    world.marks['refusal'] = rest.body


@given('an agent that keeps a run without reader for a second')
def short_detached(world):
    world.start(engines=1, ledgers=0, agent_settings={'detached_run_ms': 1000})


@when('a caller leaves while a long answer streams')
def caller_leaves(world):
    world.marks['audit'] = len(world.audit('engine-1')['requests'])
    stream = world.open_stream('a long manifest', 4000)
    world.wait(lambda: stream.event_id)
    world.http.close()
    world.http = None


@when('the first entry is terminated')
def terminate_entry(world):
    assert world.system.entries[0].terminate() == 0


@when('one agent is terminated')
def terminate_agent(world):
    assert world.target('engine-1').agent.terminate() == 0


@then('every caller has the whole answer to its own prompt')
def whole(world):
    world.settle()
    for stream in world.streams:
        expected = expected_answer(stream.prompt, stream.max_tokens)
        assert (stream.done, stream.text) == (True, expected)


@then('no prompt was run twice')
def run_once(world):
    runs = [
        record
        for audit in world.audits('engine')
        for record in audit['requests']
        if record['answer_tokens'] == ANSWER_TOKENS
    ]
    assert len(runs) == len(world.streams)


@then(parsers.parse('it is refused with "{reason}"'))
def refused(world, reason):
    assert f'"{reason}"' in world.marks['refusal']
    world.settle()


@then('the engine stops the run')
def stopped(world):
    def cancelled():
        records = world.audit('engine-1')['requests']
        return any(r['outcome'] == 'cancelled' for r in records)

    world.wait(cancelled, 30.0)


@then('new prompts are answered by the other engine')
def answered(world):
    for number in range(5):
        prompt = f'after {number}'
        reply = world.run(world.prompt(prompt))
        assert expected_answer(prompt, 4) in reply.body
