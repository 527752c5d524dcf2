import signal

from pytest_bdd import given
from pytest_bdd import parsers
from pytest_bdd import scenarios
from pytest_bdd import then
from pytest_bdd import when

from bench.standin_control import set_faults

scenarios('credits.feature')


@given(
    parsers.parse('a system with {entries:d} entries and {ledgers:d} ledgers')
)
def system(world, entries, ledgers):
    world.start(entries=entries, ledgers=ledgers, engines=0)


@given(parsers.parse('the ledgers answer after {delay:d} ms'))
def slow_ledgers(world, delay):
    for target in world.system.targets.values():
        set_faults(target.standin.address, delay_ms=delay)


@when(parsers.parse('a caller posts the credit "{name}" through each entry'))
def post_each(world, name):
    for entry in (0, 1):
        world.replies.append(world.run(world.credit(name, entry=entry)))


@when(parsers.parse('a caller posts the credit "{name}" with two amounts'))
def post_amounts(world, name):
    for amount in (5.0, 6.0):
        world.replies.append(world.run(world.credit(name, amount)))


@when(parsers.parse('a caller posts the credit "{name}"'))
def post(world, name):
    world.replies.append(world.run(world.credit(name)))


@when(
    parsers.parse('the agent dies while the credit "{name}" is at its ledger')
)
def agent_dies(world, name):
    task = world.loop.create_task(world.credit(name))
    world.wait(lambda: name in world.applied())
    for target in world.system.targets.values():
        if name in [
            credit['reference']
            for credit in world.audit(target.name)['credits']
        ]:
            target.agent.kill()
    world.replies.append(world.run(task))


@when(parsers.parse('the caller repeats the credit "{name}"'))
def repeat(world, name):
    for target in world.system.targets.values():
        set_faults(target.standin.address, delay_ms=0)
    for _try in range(3):
        world.replies.append(world.run(world.credit(name)))


@when('the key-value service goes out')
def outage(world):
    set_faults(world.system.key_value.address, outage=True)


@when(parsers.parse('the key-value service loses {count:d} replies'))
def lose_replies(world, count):
    set_faults(world.system.key_value.address, lose_replies=count)


@when(
    parsers.parse(
        'a caller posts the credit "{name}" with {spare:d} ms to spare'
    )
)
def post_with_deadline(world, name, spare):
    started = world.now()
    headers = {'X-Deadline-Ms': str(spare)}
    world.replies.append(world.run(world.credit(name, **headers)))
    world.marks['elapsed'] = world.now() - started
    world.marks['spare'] = spare / 1000.0


@when('the teams alpha and beta post credits with one key')
def two_teams(world):
    for team in ('alpha', 'beta'):
        headers = {'Idempotency-Key': 'shared'}
        reply = world.run(world.credit(f'r-{team}', team=team, **headers))
        world.replies.append(reply)


@then('both answers are the same')
def same_answers(world):
    first, second = world.replies
    assert (first.status, first.body) == (201, second.body)
    assert second.headers['Idempotent-Replayed'] == 'true'


@then(parsers.parse('the second answer is refused with "{reason}"'))
def refused(world, reason):
    assert world.replies[0].status == 201
    assert world.replies[1].error['code'] == reason


@then(parsers.parse('no answer says that the credit "{name}" was not run'))
def never_not_run(world, name):
    for reply in world.replies:
        if reply.status not in (0, 201):
            assert not reply.error['not_run'], reply.body


@then('the answer says "not run" near its deadline')
def not_run(world):
    assert world.replies[0].error['not_run'] is True
    elapsed, spare = world.marks['elapsed'], world.marks['spare']
    assert spare - 0.6 <= elapsed <= spare + 1.0


@then(parsers.parse('the credit "{name}" is booked once'))
def booked_once(world, name):
    assert world.applied().count(name) == 1


@then(parsers.parse('the credit "{name}" is never booked'))
def never_booked(world, name):
    set_faults(world.system.key_value.address, outage=False)
    assert world.run(world.credit('later')).status == 201
    assert name not in world.applied()


@then('two credits are booked')
def two_booked(world):
    assert [reply.status for reply in world.replies] == [201, 201]
    assert sorted(world.applied()) == ['r-alpha', 'r-beta']


def test_a_paused_agent_does_not_double_a_credit(world):
    world.start(entries=1, ledgers=2, engines=0)
    for target in world.system.targets.values():
        set_faults(target.standin.address, delay_ms=300)
    task = world.loop.create_task(world.credit('r1'))
    world.wait(lambda: 'r1' in world.applied())
    agents = [target.agent for target in world.system.targets.values()]
    for agent in agents:
        agent.signal(signal.SIGSTOP)
    world.pause(1.0)
    for agent in agents:
        agent.signal(signal.SIGCONT)
    assert world.run(task).status == 201
    assert world.run(world.credit('r1')).status == 201
    assert world.applied() == ['r1']
