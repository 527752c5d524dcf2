import asyncio
import signal

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from bench.processes import wait_for_listener
from bench.standin_control import set_faults
from bench.system import DOMAINS
from wigeonmill.standins.answers import expected_answer

scenarios('targets.feature')

MARKER = 'poison'
DRAIN_S = 3.0


@given(
    parsers.parse('{engines:d} engines with a cold concurrency of {limit:d}')
)
def start_cold_engines(harness, engines, limit):
    options = {
        'cold_concurrency': limit,
        'cold_duration_ms': 1500.0,
        'restart_ms': 200.0,
    }
    harness.start(
        engines=engines,
        ledgers=0,
        engine_options=options,
        cold_concurrency=limit,
        max_concurrency=16,
    )


@given(parsers.parse('{engines:d} engines and {entries:d} entries'))
def start_engines(harness, engines, entries):
    harness.start(engines=engines, entries=entries, ledgers=0)


@given(parsers.parse('{engines:d} engines that crash on a marked prompt'))
def start_crashing_engines(harness, engines):
    faults = {'crash_marker': MARKER}
    options = {'faults': faults, 'restart_ms': 100.0}
    harness.start(
        engines=engines, entries=2, ledgers=0, engine_options=options
    )


@given(parsers.parse('{engines:d} engines with a small cache and a store VM'))
def start_small_caches(harness, engines):
    batch = {'prefill_tokens_per_second': 8000.0, 'decode_step_ms': 2.0}
    options = {'cache_blocks': 8, 'batch': batch, 'block_bytes': 4096}
    harness.start(
        engines=engines, ledgers=0, store_vms=1, engine_options=options
    )


def send_continuously(harness, callers):
    """Send prompts until `stop` is set; record every reply."""
    harness.context['stop'] = False

    async def caller(number):
        sent = 0
        while not harness.context['stop']:
            prompt = f'caller {number} note {sent}'
            entry = sent % len(harness.system.entry_addresses)
            reply = await harness.prompt(prompt, 3, entry=entry)
            harness.replies.append((prompt, reply))
            sent += 1
            if reply.status != 200:
                await asyncio.sleep(0.1)

    harness.context['callers'] = [
        harness.loop.create_task(caller(number)) for number in range(callers)
    ]


def stop_callers(harness):
    harness.context['stop'] = True
    harness.run(asyncio.gather(*harness.context['callers']))


@when(parsers.parse('{callers:d} callers send prompts continuously'))
def start_callers(harness, callers):
    send_continuously(harness, callers)
    harness.wait_until(lambda: len(harness.replies) > 60)


@when('callers send prompts continuously')
def start_four_callers(harness):
    send_continuously(harness, 4)
    harness.wait_until(lambda: len(harness.replies) > 20)


@when('an engine turns cold without notice')
def turn_cold(harness):
    count = len(harness.replies)
    set_faults(harness.target('engine-1').standin.address, cold_restart=True)
    harness.wait_until(lambda: len(harness.replies) > count + 60)
    harness.sleep_for(1.0)
    stop_callers(harness)


def count_requests(harness, domain):
    """Return how many requests the engines of a domain have received."""
    return sum(
        len(harness.audit(target.name)['requests'])
        for target in harness.system.targets.values()
        if target.failure_domain == domain
    )


@when('the second entry is paused while a failure domain is drained')
def drain_domain(harness):
    entry = harness.system.entries[1]
    entry.signal(signal.SIGSTOP)
    harness.run(harness.system.set_domain(DOMAINS[0], False))
    harness.sleep_for(DRAIN_S)
    harness.context['started'] = count_requests(harness, DOMAINS[0])


@when(parsers.parse('the second entry resumes after {seconds:d} s'))
def resume_entry(harness, seconds):
    harness.sleep_for(seconds - DRAIN_S)
    harness.system.entries[1].signal(signal.SIGCONT)
    count = len(harness.replies)
    harness.wait_until(lambda: len(harness.replies) > count + 40)


@when(
    parsers.parse(
        'the marked prompt is sent {times:d} times through {entries:d} entries'
    )
)
def send_marked(harness, times, entries):
    for number in range(times):
        prompt = f'{MARKER} manifest'
        entry = number % entries
        reply = harness.run(harness.prompt(prompt, entry=entry))
        harness.replies.append((prompt, reply))
        # Waits, as a caller does before it retries.
        harness.sleep_for(0.3)


@when('every agent is killed and restarted')
def restart_agents(harness):
    for name, target in harness.system.targets.items():
        target.agent.kill()
        harness.system.restart_agent(name)
    harness.wait_until(lambda: harness.is_answered('after the restart'))


@when('the store VM truncates some writes and alters some reads')
def set_store_faults(harness):
    store = next(iter(harness.system.stores.values()))
    set_faults(store.address, truncate_puts=2, alter_gets=2)


@when('manifests are sent again after their eviction')
def resend_manifests(harness):
    # A manifest has four blocks, so that the cache holds two manifests.
    for _round in range(4):
        for number in range(4):
            prompt = f'manifest {number} ' + 'keg,' * 4200
            reply = harness.run(harness.prompt(prompt))
            harness.replies.append((prompt, reply))
        harness.sleep_for(0.5)


@then('no cold engine exceeded its cold concurrency')
def check_no_overload(harness):
    assert sum(a['incarnations'] for a in harness.audits('engine')) == 3
    assert [a['cold_overloads'] for a in harness.audits('engine')] == [0, 0]


@then('the answers are correct and later prompts are answered')
def check_answers(harness):
    assert len(harness.replies) > 100
    for number in range(3):
        prompt = f'finally {number}'
        reply = harness.run(harness.prompt(prompt))
        assert expected_answer(prompt, 4) in reply.body
    for prompt, reply in harness.replies:
        if reply.status == 200:
            assert expected_answer(prompt, 3) in reply.body


@then(
    parsers.parse('no work starts in the drained domain after {seconds:d} s')
)
def check_no_late_work(harness, seconds):
    assert count_requests(harness, DOMAINS[0]) == harness.context['started']


@then('the domain gets work again once it is restored')
def check_work_after_restore(harness):
    harness.run(harness.system.set_domain(DOMAINS[0], True))
    before = harness.context['started']
    harness.wait_until(lambda: count_requests(harness, DOMAINS[0]) > before)
    stop_callers(harness)


@then(parsers.parse('at most {crashes:d} engines crashed'))
def check_crashes(harness, crashes):
    total = sum(audit['crashes'] for audit in harness.audits('engine'))
    assert 1 <= total <= crashes


@then(parsers.parse('the last refusals say "{reason}"'))
def check_last_refusals(harness, reason):
    for _prompt, reply in harness.replies[-2:]:
        assert reply.error['code'] == reason


@then('other prompts are answered')
def check_other_prompts(harness):
    for number in range(4):
        prompt = f'harmless {number}'
        reply = harness.run(harness.prompt(prompt))
        assert expected_answer(prompt, 4) in reply.body


@then('every manifest got its own answer')
def check_own_answers(harness):
    for prompt, reply in harness.replies:
        assert expected_answer(prompt, 4) in reply.body


@then('no engine read a damaged block')
def check_no_damaged_reads(harness):
    for audit in harness.audits('engine'):
        assert audit['tainted_reads'] == 0
        assert audit['corrupt_imports'] == 0


@then('some blocks were imported from the store VM')
def check_imports(harness):
    imports = [sum(a['imports'].values()) for a in harness.audits('engine')]
    assert sum(imports) > 0


@when('every engine but one stalls after it has made an offer')
def stall_engine(harness):
    for number in range(6):
        harness.run(harness.prompt(f'warm up {number}'))
    set_faults(harness.target('engine-1').standin.address, stalled=True)


@when('all agents are paused for less than a second')
def pause_agents(harness):
    harness.run(harness.prompt('warm up'))
    agents = [target.agent for target in harness.system.targets.values()]
    for agent in agents:
        agent.signal(signal.SIGSTOP)
    harness.context['task'] = harness.loop.create_task(
        harness.prompt('meanwhile')
    )
    harness.sleep_for(0.6)
    for agent in agents:
        agent.signal(signal.SIGCONT)


# Guards against a 503 no_target for a caller with seconds left, as the only
# agent had no configuration, or no quarantine, yet.
@when('the agent restarts while the key-value service is paused')
def restart_agent_without_key_value(harness):
    harness.run(harness.prompt('warm up'))
    harness.system.key_value.signal(signal.SIGSTOP)
    target = harness.target('engine-1')
    target.agent.kill()
    harness.system.restart_agent('engine-1')
    wait_for_listener(target.agent_address)
    harness.context['task'] = harness.loop.create_task(
        harness.prompt('meanwhile')
    )


@then('prompts are answered by the other engine')
def check_other_engine_answers(harness):
    for number in range(4):
        prompt = f'stalled {number}'
        reply = harness.run(harness.prompt(prompt))
        assert expected_answer(prompt, 4) in reply.body, reply.body


@then('a prompt sent during the pause is answered')
def check_answered_during_pause(harness):
    reply = harness.run(harness.context['task'])
    assert expected_answer('meanwhile', 4) in reply.body, reply.body
