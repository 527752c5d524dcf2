import signal

from bench.standin_control import set_faults


def crashes(world):
    return [audit['crashes'] for audit in world.audits('engine')]


def test_an_entry_remembers_a_quarantined_prompt(world):
    world.start(entries=1, engines=4, ledgers=0)
    for target in world.system.targets.values():
        set_faults(target.standin.address, crash_marker='marked')
    assert world.run(world.prompt('marked note')).status != 200
    assert sorted(crashes(world)) == [0, 0, 1, 1]
    # The agents that saw the crashes can't answer in time.
    for number, count in enumerate(crashes(world)):
        if count:
            agent = world.target(f'engine-{number + 1}').agent
            agent.signal(signal.SIGSTOP)
    for _try in range(4):
        reply = world.run(world.prompt('marked note'))
        assert reply.error['code'] == 'quarantined'
    assert sorted(crashes(world)) == [0, 0, 1, 1]


def test_another_entry_learns_of_a_quarantine_from_the_store(world):
    world.start(entries=2, engines=4, ledgers=0)
    for target in world.system.targets.values():
        set_faults(target.standin.address, crash_marker='marked')
    assert world.run(world.prompt('marked note')).status != 200
    # Time for the agents to store what they saw.
    world.pause(1.0)
    for number, count in enumerate(crashes(world)):
        if count:
            agent = world.target(f'engine-{number + 1}').agent
            agent.signal(signal.SIGSTOP)
    for _try in range(3):
        reply = world.run(world.prompt('marked note', entry=1))
        assert reply.error['code'] == 'quarantined'
    assert sorted(crashes(world)) == [0, 0, 1, 1]


def test_a_prompt_that_crashed_its_only_engine_was_run(world):
    world.start(entries=1, engines=1, ledgers=0)
    engine = world.target('engine-1').standin
    set_faults(engine.address, crash_marker='marked')
    reply = world.run(world.prompt('marked note'))
    assert crashes(world) == [1]
    assert reply.error['not_run'] is False
