import signal

from bench.standin_control import set_faults


def crash_counts(harness):
    return [audit['crashes'] for audit in harness.audits('engine')]


def test_an_entry_remembers_a_quarantined_prompt(harness):
    harness.start(entries=1, engines=4, ledgers=0)
    for target in harness.system.targets.values():
        set_faults(target.standin.address, crash_marker='marked')
    assert harness.run(harness.prompt('marked note')).status != 200
    assert sorted(crash_counts(harness)) == [0, 0, 1, 1]
    # Pause the agents that observed the crashes, so that they can't answer in
    # time.
    for number, count in enumerate(crash_counts(harness)):
        if count:
            agent = harness.target(f'engine-{number + 1}').agent
            agent.signal(signal.SIGSTOP)
    for _try in range(4):
        reply = harness.run(harness.prompt('marked note'))
        assert reply.error['code'] == 'quarantined'
    assert sorted(crash_counts(harness)) == [0, 0, 1, 1]


def test_another_entry_reads_a_quarantine_from_the_store(harness):
    harness.start(entries=2, engines=4, ledgers=0)
    for target in harness.system.targets.values():
        set_faults(target.standin.address, crash_marker='marked')
    assert harness.run(harness.prompt('marked note')).status != 200
    # Wait until the agents have stored the crashes.
    harness.sleep_for(1.0)
    for number, count in enumerate(crash_counts(harness)):
        if count:
            agent = harness.target(f'engine-{number + 1}').agent
            agent.signal(signal.SIGSTOP)
    for _try in range(3):
        reply = harness.run(harness.prompt('marked note', entry=1))
        assert reply.error['code'] == 'quarantined'
    assert sorted(crash_counts(harness)) == [0, 0, 1, 1]


def test_a_prompt_that_crashed_its_only_engine_is_reported_as_run(harness):
    harness.start(entries=1, engines=1, ledgers=0)
    harness.wait_for_first_offers()
    engine = harness.target('engine-1').standin
    set_faults(engine.address, crash_marker='marked')
    reply = harness.run(harness.prompt('marked note'))
    assert crash_counts(harness) == [1]
    assert reply.error['not_run'] is False
