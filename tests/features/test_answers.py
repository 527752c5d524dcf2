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
def start_system(harness, entries, engines):
    harness.start(entries=entries, engines=engines, ledgers=0)


def open_streams(harness, count):
    harness.wait_for_first_offers()
    for number in range(count):
        harness.open_stream(f'manifest {number}', ANSWER_TOKENS)
    for stream in harness.streams:
        harness.wait_for_first_event(stream)


@when(parsers.parse('{count:d} answers are streamed through the first entry'))
def stream_answers(harness, count):
    open_streams(harness, count)


@when(
    parsers.parse(
        '{count:d} answers are streamed through an agent behind a proxy'
    )
)
def stream_through_proxy(harness, count):
    target = harness.target('engine-1')
    proxy = harness.system.fleet.start_standin(
        'fault-proxy', {'upstream': target.agent_address}
    )
    data, harness.context['proxy'] = proxy.address.split()
    service = harness.system.document.services[0]
    proxied = msgspec.structs.replace(service.targets[0], agent=data)
    service = msgspec.structs.replace(service, targets=[proxied])
    document = msgspec.structs.replace(
        harness.system.document, services=[service]
    )
    harness.run(harness.system.apply(document))
    entry = harness.system.entries[0]
    harness.wait_until(lambda: 'configuration 2 ' in entry.log())
    open_streams(harness, count)


@when('the first entry is killed after some events')
def kill_entry(harness):
    harness.system.entries[0].kill()
    harness.finish_streams()
    assert not all(stream.done for stream in harness.streams)


@when('the callers resume their streams through the second entry')
def resume_streams(harness):
    for stream in [s for s in harness.streams if not s.done]:
        rest = harness.open_stream(
            stream.prompt,
            stream.max_tokens,
            entry=1,
            event_id=stream.event_id,
        )
        rest.text = stream.text
        harness.streams.remove(stream)


@when('the proxy resets its connections')
def reset_connections(harness):
    set_faults(harness.context['proxy'], reset=True)
    time.sleep(0.05)
    set_faults(harness.context['proxy'], reset=False)


@when('the agent is killed and restarted')
def restart_agent(harness):
    harness.target('engine-1').agent.kill()
    harness.system.restart_agent('engine-1')


@when('another team tries to resume the stream')
def resume_as_other_team(harness):
    stream = harness.streams[0]
    rest = harness.open_stream(
        stream.prompt, stream.max_tokens, 'beta', event_id=stream.event_id
    )
    harness.run(rest.task)
    harness.context['refusal'] = rest.body


@given('an agent that cancels a run after one second without a reader')
def short_detached_run(harness):
    harness.start(
        engines=1, ledgers=0, agent_settings={'detached_run_ms': 1000}
    )


@when('a caller disconnects while a long answer is streamed')
def caller_disconnects(harness):
    harness.wait_for_first_offers()
    stream = harness.open_stream('a long manifest', 4000)
    harness.wait_for_first_event(stream)
    harness.http.close()
    harness.http = None


@when('the first entry is terminated')
def terminate_entry(harness):
    assert harness.system.entries[0].terminate() == 0


@when('one agent is terminated')
def terminate_agent(harness):
    assert harness.target('engine-1').agent.terminate() == 0


@then('every caller has the complete answer to its own prompt')
def check_complete_answers(harness):
    harness.finish_streams()
    for stream in harness.streams:
        expected = expected_answer(stream.prompt, stream.max_tokens)
        assert (stream.done, stream.text) == (True, expected)


@then('no prompt was run twice')
def check_run_once(harness):
    runs = [
        record
        for audit in harness.audits('engine')
        for record in audit['requests']
        if record['answer_tokens'] == ANSWER_TOKENS
    ]
    assert len(runs) == len(harness.streams)


@then(parsers.parse('the request is refused with "{reason}"'))
def check_refusal(harness, reason):
    assert f'"{reason}"' in harness.context['refusal']
    harness.finish_streams()


@then('the engine cancels the run')
def check_cancelled(harness):
    def is_cancelled():
        records = harness.audit('engine-1')['requests']
        return any(r['outcome'] == 'cancelled' for r in records)

    harness.wait_until(is_cancelled, 30.0)


@then('new prompts are answered by the other engine')
def check_other_engine_answers(harness):
    for number in range(5):
        prompt = f'after {number}'
        reply = harness.run(harness.prompt(prompt))
        assert expected_answer(prompt, 4) in reply.body
