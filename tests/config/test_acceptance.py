import asyncio

from hypothesis import settings
from hypothesis.stateful import initialize
from hypothesis.stateful import invariant
from hypothesis.stateful import rule
from hypothesis.stateful import RuleBasedStateMachine
import hypothesis.strategies as st
import pytest

from tests.config import samples
from wigeonmill.clock import ManualClock
from wigeonmill.config import acceptance
from wigeonmill.config.acceptance import Accepted
from wigeonmill.config.acceptance import Conflict
from wigeonmill.config.acceptance import OutcomeUnknown
from wigeonmill.config.acceptance import Rejected
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.config.acceptance import Unavailable
from wigeonmill.config.history import HISTORY_RECORDS
from wigeonmill.config.history import read_latest
from wigeonmill.config.history import read_serial
from wigeonmill.config.holder import ConfigHolder
from wigeonmill.config.model import CONFIG_KEY
from wigeonmill.config.model import decode_record
from wigeonmill.metrics import Metrics
from wigeonmill.standins.memory_key_value import MemoryKeyValue

BASE = samples.load_example()


@pytest.fixture(autouse=True)
def no_retry_pause(monkeypatch):
    monkeypatch.setattr(acceptance, 'SWAP_RETRY_PAUSE_S', 0.0)


def make_submission(name, serial, tokens=100, **fields):
    document = samples.with_limit(BASE, tokens)
    return Submission(document, 'me', name, serial, **fields)


def run_all(kv, *submissions):
    async def main():
        clock = ManualClock(1000.0)
        return [await submit(kv, clock, s) for s in submissions]

    return asyncio.run(main())


def accepted_records(kv):
    """Return every record that was ever current, the oldest first."""
    return [
        decode_record(event.entry.value)
        for event in kv._events
        if event.key == CONFIG_KEY
    ]


def test_same_document_is_accepted_without_a_new_serial():
    kv = MemoryKeyValue(ManualClock())
    first, again = run_all(
        kv, make_submission('a', 0), make_submission('b', 1)
    )
    assert first.unwrap().record == again.unwrap().record
    assert first.unwrap().changes and not again.unwrap().changes


def test_conflict_reports_the_winner_and_its_changes():
    kv = MemoryKeyValue(ManualClock())
    outcomes = run_all(
        kv,
        make_submission('base', 0, 100),
        make_submission('winner', 1, 200),
        make_submission('loser', 1, 300),
    )
    conflict = outcomes[2].err()
    assert isinstance(conflict, Conflict)
    assert conflict.winner.submission_id == 'winner'
    assert [c.line() for c in conflict.changes] == [
        '~ limits: max_answer_tokens 100 -> 200'
    ]


@pytest.mark.parametrize('lost', ['lose_replies', 'lose_requests'])
def test_outcome_of_a_lost_reply_is_determined(lost):
    kv = MemoryKeyValue(ManualClock())
    run_all(kv, make_submission('a', 0, 100))
    setattr(kv.faults, lost, 2)
    (outcome,) = run_all(kv, make_submission('b', 1, 200))
    assert outcome.unwrap().record.serial == 2
    assert [r.submission_id for r in accepted_records(kv)] == ['a', 'b']


def test_outage_is_reported_and_nothing_is_written():
    kv = MemoryKeyValue(ManualClock())
    kv.faults.outage = True
    (outcome,) = run_all(kv, make_submission('a', 0))
    assert isinstance(outcome.err(), Unavailable)
    kv.faults.outage = False
    assert accepted_records(kv) == []


def test_faulty_document_is_rejected_unless_the_fault_is_forced():
    kv = MemoryKeyValue(ManualClock())
    run_all(kv, make_submission('a', 0))
    bare = samples.drained(BASE, 'gasabo', 'kicukiro')
    outcome, forced = run_all(
        kv,
        Submission(bare, 'me', 'b', 1),
        Submission(bare, 'me', 'c', 1, force=True),
    )
    assert isinstance(outcome.err(), Rejected)
    assert forced.unwrap().record.serial == 2


def test_new_serial_is_above_the_floor_after_data_loss():
    kv = MemoryKeyValue(ManualClock())
    (outcome,) = run_all(kv, make_submission('a', 0, floor_serial=57))
    assert outcome.unwrap().record.serial == 58


def test_history_is_complete_and_bounded():
    kv = MemoryKeyValue(ManualClock())
    count = HISTORY_RECORDS + 20
    run_all(kv, *(make_submission(f's{n}', n, 100 + n) for n in range(count)))

    async def read():
        latest = await read_latest(kv, count)
        oldest = await read_serial(kv, count - HISTORY_RECORDS)
        pruned = await read_serial(kv, count - HISTORY_RECORDS - 1)
        return latest.unwrap(), oldest.unwrap(), pruned.unwrap()

    latest, oldest, pruned = asyncio.run(read())
    serials = [record.serial for record in latest]
    assert serials == list(range(count, count - HISTORY_RECORDS - 1, -1))
    assert oldest.submission_id == f's{oldest.serial - 1}'
    assert pruned is None
    assert len(kv._entries) == HISTORY_RECORDS + 1


class SupersedingKeyValue(MemoryKeyValue):
    """Submits `later` once, right after a swap whose reply is lost."""

    later = None

    async def compare_and_swap(self, key, expected, value, lease=0):
        swapped = await super().compare_and_swap(key, expected, value, lease)
        if key == CONFIG_KEY and swapped.is_err() and self.later:
            later, self.later = self.later, None
            assert (await submit(self, ManualClock(), later)).is_ok()
        return swapped


def test_lost_reply_is_resolved_after_a_later_record():
    kv = SupersedingKeyValue(ManualClock())
    kv.later = make_submission('later', 1, 200)
    kv.faults.lose_replies = 1
    (outcome,) = run_all(kv, make_submission('a', 0, 100))
    assert outcome.unwrap().record.submission_id == 'a'
    assert [r.submission_id for r in accepted_records(kv)] == ['a', 'later']


class YieldingKeyValue:
    """Forwards each call after a drawn number of event loop iterations.

    After `outage_from` calls the service is unavailable.
    """

    def __init__(self, kv, yield_counts, outage_from):
        self._kv = kv
        self._yield_counts = iter(yield_counts)
        self._remaining_calls = outage_from

    async def _wait(self):
        for _ in range(next(self._yield_counts, 0)):
            await asyncio.sleep(0)
        self._remaining_calls -= 1
        if self._remaining_calls < 0:
            self._kv.faults.outage = True

    async def get(self, key):
        await self._wait()
        return await self._kv.get(key)

    async def compare_and_swap(self, key, expected, value, lease=0):
        await self._wait()
        return await self._kv.compare_and_swap(key, expected, value, lease)

    async def delete(self, key, expected):
        await self._wait()
        return await self._kv.delete(key, expected)


YIELD_COUNTS = st.lists(st.integers(0, 8), max_size=6)


class RacingOperators(RuleBasedStateMachine):
    """Two operators submit at once and the service loses messages."""

    @initialize()
    def start(self):
        self.kv = MemoryKeyValue(ManualClock())
        self.holder = ConfigHolder(Metrics())
        self.outcomes = {}
        self.seen = [0, 0]
        self.count = 0

    @rule(
        tokens=st.tuples(st.integers(1, 4), st.integers(1, 4)),
        yield_counts=st.tuples(YIELD_COUNTS, YIELD_COUNTS),
        replies=st.integers(0, 6),
        requests=st.integers(0, 6),
        outage_from=st.integers(0, 9) | st.just(99),
    )
    def race(self, tokens, yield_counts, replies, requests, outage_from):
        self.kv.faults.lose_replies = replies
        self.kv.faults.lose_requests = requests
        submissions = []
        for operator in (0, 1):
            self.count += 1
            submissions.append(
                make_submission(
                    f's{self.count}', self.seen[operator], tokens[operator]
                )
            )
        outcomes = asyncio.run(
            self.submit_both(submissions, yield_counts, outage_from)
        )
        self.kv.faults.outage = False
        for submission, outcome in zip(submissions, outcomes):
            self.outcomes[submission.submission_id] = outcome

    async def submit_both(self, submissions, yield_counts, outage_from):
        clock = ManualClock(1000.0)
        return await asyncio.gather(
            *(
                submit(
                    YieldingKeyValue(self.kv, counts, outage_from), clock, s
                )
                for s, counts in zip(submissions, yield_counts)
            )
        )

    @rule(operator=st.integers(0, 1))
    def read_current_serial(self, operator):
        records = accepted_records(self.kv)
        self.seen[operator] = records[-1].serial if records else 0

    @rule(index=st.integers(0, 1000))
    def adopt_record(self, index):
        records = accepted_records(self.kv)
        if records:
            before = self.holder.serial
            self.holder.adopt(records[index % len(records)])
            assert self.holder.serial >= before

    @invariant()
    def serials_increase_by_one(self):
        records = accepted_records(self.kv)
        serials = [record.serial for record in records]
        assert serials == list(range(1, len(records) + 1))

    @invariant()
    def outcomes_are_correct(self):
        records = {r.submission_id: r for r in accepted_records(self.kv)}
        assert len(records) == len(accepted_records(self.kv))
        for name, outcome in self.outcomes.items():
            if outcome.is_ok():
                accepted = outcome.ok()
                assert isinstance(accepted, Accepted)
                assert records[accepted.record.submission_id]
                if accepted.record.submission_id != name:
                    assert name not in records and not accepted.changes
            elif not isinstance(outcome.err(), OutcomeUnknown):
                assert name not in records


RacingOperators.TestCase.settings = settings(
    max_examples=40, stateful_step_count=12, deadline=None
)
TestRacingOperators = RacingOperators.TestCase
