from wigeonmill.agent.quarantine import decode_state
from wigeonmill.agent.quarantine import encode_state
from wigeonmill.agent.quarantine import MAX_RECORDS
from wigeonmill.agent.quarantine import Quarantine
from wigeonmill.agent.quarantine import QUARANTINE_TTL_MS
from wigeonmill.agent.quarantine import SUSPECT_TTL_MS
from wigeonmill.agent.quarantine import Verdict

BAD = b'bad'
GOOD = b'good'


def test_second_crash_quarantines_and_healthy_requests_are_cleared():
    quarantine = Quarantine()
    assert quarantine.on_crash([BAD, GOOD], 0) == []
    assert quarantine.verdict(GOOD, 1) is Verdict.ALONE
    assert quarantine.on_healthy(GOOD, 1)
    assert quarantine.verdict(GOOD, 1) is Verdict.CLEAR
    quarantine.on_retry(BAD, 2)
    assert quarantine.verdict(BAD, 2) is Verdict.RETRY_SPENT
    assert quarantine.on_crash([BAD], 3) == [BAD]
    assert not quarantine.on_healthy(BAD, 4)
    assert quarantine.verdict(BAD, QUARANTINE_TTL_MS) is Verdict.QUARANTINED


def test_cancelled_retry_is_restored():
    quarantine = Quarantine()
    quarantine.on_crash([BAD], 0)
    quarantine.on_retry(BAD, 1)
    quarantine.on_retry_cancelled(BAD, 2)
    assert quarantine.verdict(BAD, 3) is Verdict.ALONE


def test_suspicion_and_quarantine_expire():
    quarantine = Quarantine()
    quarantine.on_crash([BAD], 0)
    assert quarantine.verdict(BAD, SUSPECT_TTL_MS + 1) is Verdict.CLEAR
    quarantine.on_crash([BAD], 0)
    quarantine.on_crash([BAD], 1)
    assert quarantine.verdict(BAD, SUSPECT_TTL_MS + 2) is Verdict.QUARANTINED
    assert quarantine.verdict(BAD, QUARANTINE_TTL_MS + 2) is Verdict.CLEAR


def test_stored_state_is_restored_and_crashes_of_two_agents_add_up():
    first = Quarantine(source='a')
    first.on_crash([BAD], 5)
    first.on_retry(BAD, 6)
    second = Quarantine(decode_state(encode_state(first.state)), 'b')
    assert second.verdict(BAD, 7) is Verdict.RETRY_SPENT
    second.merge(first.state, 8)
    assert second.verdict(BAD, 8) is Verdict.RETRY_SPENT
    other = Quarantine(source='c')
    other.on_crash([BAD], 5)
    for agent in (first, second):
        agent.merge(other.state, 9)
        assert agent.verdict(BAD, 10) is Verdict.QUARANTINED


def test_cleared_suspect_stays_cleared_after_merging_stale_state():
    first, second = Quarantine(source='a'), Quarantine(source='b')
    first.on_crash([GOOD], 5)
    second.merge(first.state, 6)
    first.on_retry(GOOD, 7)
    first.on_healthy(GOOD, 8)
    first.merge(second.state, 9)
    assert first.verdict(GOOD, 10) is Verdict.CLEAR
    second.merge(first.state, 9)
    assert second.verdict(GOOD, 10) is Verdict.CLEAR
    second.on_crash([GOOD], 11)
    first.merge(second.state, 12)
    assert first.verdict(GOOD, 12) is Verdict.ALONE


def test_records_are_bounded_and_suspects_are_evicted_first():
    quarantine = Quarantine()
    quarantine.on_crash([BAD], 0)
    quarantine.on_crash([BAD], 1)
    names = [str(number).encode() for number in range(MAX_RECORDS + 10)]
    quarantine.on_crash(names, 2)
    assert len(quarantine.state.records) == MAX_RECORDS
    assert quarantine.verdict(BAD, 3) is Verdict.QUARANTINED
