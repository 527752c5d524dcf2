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
def start_system(harness, entries, ledgers):
    harness.start(entries=entries, ledgers=ledgers, engines=0)


@given(parsers.parse('the ledgers answer after {delay:d} ms'))
def slow_ledgers(harness, delay):
    for target in harness.system.targets.values():
        set_faults(target.standin.address, delay_ms=delay)


@when(parsers.parse('a caller posts the credit "{name}" through each entry'))
def post_through_each_entry(harness, name):
    for entry in (0, 1):
        harness.replies.append(harness.run(harness.credit(name, entry=entry)))


@when(parsers.parse('a caller posts the credit "{name}" with two amounts'))
def post_two_amounts(harness, name):
    for amount in (5.0, 6.0):
        harness.replies.append(harness.run(harness.credit(name, amount)))


@when(parsers.parse('a caller posts the credit "{name}"'))
def post_credit(harness, name):
    harness.replies.append(harness.run(harness.credit(name)))


@when(
    parsers.parse(
        'the agent is killed while the ledger processes the credit "{name}"'
    )
)
def kill_agent(harness, name):
    task = harness.loop.create_task(harness.credit(name))
    harness.wait_until(lambda: name in harness.booked_references())
    for target in harness.system.targets.values():
        if name in [
            credit['reference']
            for credit in harness.audit(target.name)['credits']
        ]:
            target.agent.kill()
    harness.replies.append(harness.run(task))


@when(parsers.parse('the caller retries the credit "{name}"'))
def retry_credit(harness, name):
    for target in harness.system.targets.values():
        set_faults(target.standin.address, delay_ms=0)
    for _try in range(3):
        harness.replies.append(harness.run(harness.credit(name)))


@when('the key-value service becomes unavailable')
def stop_key_value(harness):
    set_faults(harness.system.key_value.address, outage=True)


@when(parsers.parse('the key-value service loses {count:d} replies'))
def lose_replies(harness, count):
    set_faults(harness.system.key_value.address, lose_replies=count)


@when(
    parsers.parse(
        'a caller posts the credit "{name}" with a deadline of '
        '{deadline_ms:d} ms'
    )
)
def post_with_deadline(harness, name, deadline_ms):
    started = harness.now()
    headers = {'X-Deadline-Ms': str(deadline_ms)}
    harness.replies.append(harness.run(harness.credit(name, **headers)))
    harness.context['elapsed'] = harness.now() - started
    harness.context['deadline'] = deadline_ms / 1000.0


@when('the teams alpha and beta post credits with the same idempotency key')
def post_for_two_teams(harness):
    for team in ('alpha', 'beta'):
        headers = {'Idempotency-Key': 'shared'}
        reply = harness.run(harness.credit(f'r-{team}', team=team, **headers))
        harness.replies.append(reply)


@then('both answers are the same')
def check_same_answers(harness):
    first, second = harness.replies
    assert (first.status, first.body) == (201, second.body)
    assert second.headers['Idempotent-Replayed'] == 'true'


@then(parsers.parse('the second answer is refused with "{reason}"'))
def check_refusal(harness, reason):
    assert harness.replies[0].status == 201
    assert harness.replies[1].error['code'] == reason


@then(parsers.parse('no answer says that the credit "{name}" was not run'))
def check_never_reported_as_not_run(harness, name):
    for reply in harness.replies:
        if reply.status not in (0, 201):
            assert not reply.error['not_run'], reply.body


@then('the answer says "not run" close to its deadline')
def check_not_run(harness):
    assert harness.replies[0].error['not_run'] is True
    elapsed_s, deadline_s = (
        harness.context['elapsed'],
        harness.context['deadline'],
    )
    assert deadline_s - 0.6 <= elapsed_s <= deadline_s + 1.0


@then(parsers.parse('the credit "{name}" is booked once'))
def check_booked_once(harness, name):
    assert harness.booked_references().count(name) == 1


@then(parsers.parse('the credit "{name}" is never booked'))
def check_never_booked(harness, name):
    set_faults(harness.system.key_value.address, outage=False)
    assert harness.run(harness.credit('later')).status == 201
    assert name not in harness.booked_references()


@then('two credits are booked')
def check_two_booked(harness):
    assert [reply.status for reply in harness.replies] == [201, 201]
    assert sorted(harness.booked_references()) == ['r-alpha', 'r-beta']


def test_a_paused_agent_does_not_book_a_credit_twice(harness):
    harness.start(entries=1, ledgers=2, engines=0)
    for target in harness.system.targets.values():
        set_faults(target.standin.address, delay_ms=300)
    task = harness.loop.create_task(harness.credit('r1'))
    harness.wait_until(lambda: 'r1' in harness.booked_references())
    agents = [target.agent for target in harness.system.targets.values()]
    for agent in agents:
        agent.signal(signal.SIGSTOP)
    harness.sleep_for(1.0)
    for agent in agents:
        agent.signal(signal.SIGCONT)
    assert harness.run(task).status == 201
    assert harness.run(harness.credit('r1')).status == 201
    assert harness.booked_references() == ['r1']
