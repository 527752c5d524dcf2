import asyncio
import signal

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from bench.standin_control import set_faults
from bench.system import DOMAINS
from wigeonmill.standins.answers import expected_answer

scenarios('targets.feature')

MARKER = 'poison'
SETTLED_S = 3.0


@given(
    parsers.parse(
        '{engines:d} engines that bear {bears:d} requests while cold'
    )
)
def cold_engines(world, engines, bears):
    options = {
        'cold_concurrency': bears,
        'cold_duration_ms': 1500.0,
        'restart_ms': 200.0,
    }
    world.start(
        engines=engines,
        ledgers=0,
        engine_options=options,
        cold_concurrency=bears,
        max_concurrency=16,
    )


@given(parsers.parse('{engines:d} engines and {entries:d} entries'))
def plain_engines(world, engines, entries):
    world.start(engines=engines, entries=entries, ledgers=0)


@given(parsers.parse('{engines:d} engines that crash on a marked prompt'))
def crashing_engines(world, engines):
    faults = {'crash_marker': MARKER}
    options = {'faults': faults, 'restart_ms': 100.0}
    world.start(engines=engines, entries=2, ledgers=0, engine_options=options)


@given(parsers.parse('{engines:d} engines with a small cache and a store VM'))
def small_caches(world, engines):
    batch = {'prefill_tokens_per_second': 8000.0, 'decode_step_ms': 2.0}
    options = {'cache_blocks': 8, 'batch': batch, 'block_bytes': 4096}
    world.start(
        engines=engines, ledgers=0, store_vms=1, engine_options=options
    )


def send_forever(world, callers):
    """Send prompts until `stop` is marked; keeps every reply."""
    world.marks['stop'] = False

    async def caller(number):
        sent = 0
        while not world.marks['stop']:
            prompt = f'caller {number} note {sent}'
            entry = sent % len(world.system.entry_addresses)
            reply = await world.prompt(prompt, 3, entry=entry)
            world.replies.append((prompt, reply))
            sent += 1
            if reply.status != 200:
                await asyncio.sleep(0.1)

    world.marks['callers'] = [
        world.loop.create_task(caller(number)) for number in range(callers)
    ]


def stop_callers(world):
    world.marks['stop'] = True
    world.run(asyncio.gather(*world.marks['callers']))


@when(parsers.parse('{callers:d} callers send prompts without pause'))
def many_callers(world, callers):
    send_forever(world, callers)
    world.wait(lambda: len(world.replies) > 60)


@when('callers send prompts without pause')
def some_callers(world):
    send_forever(world, 4)
    world.wait(lambda: len(world.replies) > 20)


@when('an engine turns cold without notice')
def turn_cold(world):
    count = len(world.replies)
    set_faults(world.target('engine-1').standin.address, cold_restart=True)
    world.wait(lambda: len(world.replies) > count + 60)
    world.pause(1.0)
    stop_callers(world)


def started(world, domain):
    """Return how many requests the domain's engines have seen."""
    return sum(
        len(world.audit(target.name)['requests'])
        for target in world.system.targets.values()
        if target.failure_domain == domain
    )


@when('the second entry is paused while a failure domain is drained')
def drain(world):
    entry = world.system.entries[1]
    entry.signal(signal.SIGSTOP)
    world.run(world.system.set_domain(DOMAINS[0], False))
    world.pause(SETTLED_S)
    world.marks['started'] = started(world, DOMAINS[0])


@when(parsers.parse('the second entry wakes after {seconds:d} s'))
def wake(world, seconds):
    world.pause(seconds - SETTLED_S)
    world.system.entries[1].signal(signal.SIGCONT)
    count = len(world.replies)
    world.wait(lambda: len(world.replies) > count + 40)


@when(
    parsers.parse(
        'the marked prompt is sent {times:d} times through {entries:d} entries'
    )
)
def send_marked(world, times, entries):
    for number in range(times):
        prompt = f'{MARKER} manifest'
        entry = number % entries
        reply = world.run(world.prompt(prompt, entry=entry))
        world.replies.append((prompt, reply))
        # As a caller would, which waits a little before it asks again.
        world.pause(0.3)


@when('every agent is killed and started again')
def restart_agents(world):
    for name, target in world.system.targets.items():
        target.agent.kill()
        world.system.restart_agent(name)
    world.wait(lambda: world.run_ok('after the restart'))


@when('the store VM cuts some writes and alters some reads')
def store_faults(world):
    store = next(iter(world.system.stores.values()))
    set_faults(store.address, truncate_puts=2, alter_gets=2)


@when('manifests return after their eviction')
def manifests_return(world):
    # Four blocks each, so that the cache holds two manifests.
    for _turn in range(4):
        for number in range(4):
            prompt = f'manifest {number} ' + 'keg,' * 4200
            reply = world.run(world.prompt(prompt))
            world.replies.append((prompt, reply))
        world.pause(0.5)


@then('no cold engine got more than it bears')
def no_overload(world):
    assert sum(a['incarnations'] for a in world.audits('engine')) == 3
    assert [a['cold_overloads'] for a in world.audits('engine')] == [0, 0]


@then('every prompt is answered in the end')
def answered(world):
    assert len(world.replies) > 100
    for number in range(3):
        prompt = f'finally {number}'
        reply = world.run(world.prompt(prompt))
        assert expected_answer(prompt, 4) in reply.body
    for prompt, reply in world.replies:
        if reply.status == 200:
            assert expected_answer(prompt, 3) in reply.body


@then(
    parsers.parse('no work starts in the drained domain after {seconds:d} s')
)
def no_late_work(world, seconds):
    assert started(world, DOMAINS[0]) == world.marks['started']


@then('the domain works again once it is restored')
def works_again(world):
    world.run(world.system.set_domain(DOMAINS[0], True))
    before = world.marks['started']
    world.wait(lambda: started(world, DOMAINS[0]) > before)
    stop_callers(world)


@then(parsers.parse('at most {crashes:d} engines crashed'))
def few_crashes(world, crashes):
    total = sum(audit['crashes'] for audit in world.audits('engine'))
    assert 1 <= total <= crashes


@then(parsers.parse('the last refusals say "{reason}"'))
def last_refusals(world, reason):
    for _prompt, reply in world.replies[-2:]:
        assert reply.error['code'] == reason


@then('other prompts are answered')
def others_answered(world):
    for number in range(4):
        prompt = f'harmless {number}'
        reply = world.run(world.prompt(prompt))
        assert expected_answer(prompt, 4) in reply.body


@then('every manifest got its own answer')
def own_answers(world):
    for prompt, reply in world.replies:
        assert expected_answer(prompt, 4) in reply.body


@then('no engine read a damaged block')
def no_tainted_read(world):
    for audit in world.audits('engine'):
        assert audit['tainted_reads'] == 0
        assert audit['corrupt_imports'] == 0


@then('some blocks came from the store')
def some_imports(world):
    imports = [sum(a['imports'].values()) for a in world.audits('engine')]
    assert sum(imports) > 0


@when('every engine but one stalls after it has made an offer')
def stall(world):
    for number in range(6):
        world.run(world.prompt(f'warm up {number}'))
    set_faults(world.target('engine-1').standin.address, stalled=True)


@when('all agents are paused for less than a second')
def pause_agents(world):
    world.run(world.prompt('warm up'))
    agents = [target.agent for target in world.system.targets.values()]
    for agent in agents:
        agent.signal(signal.SIGSTOP)
    world.marks['task'] = world.loop.create_task(world.prompt('meanwhile'))
    world.pause(0.6)
    for agent in agents:
        agent.signal(signal.SIGCONT)


@then('a prompt is answered by the other engine')
def answered_elsewhere(world):
    for number in range(4):
        prompt = f'stalled {number}'
        reply = world.run(world.prompt(prompt))
        assert expected_answer(prompt, 4) in reply.body, reply.body


@then('a prompt sent meanwhile is answered')
def answered_meanwhile(world):
    reply = world.run(world.marks['task'])
    assert expected_answer('meanwhile', 4) in reply.body, reply.body
