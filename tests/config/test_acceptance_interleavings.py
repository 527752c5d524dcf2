"""Explores every interleaving of two operators who submit at once."""

import pytest
from result import Err
from result import Ok

from tests.config import samples
from wigeonmill.config.acceptance import Accepted
from wigeonmill.config.acceptance import Conflict
from wigeonmill.config.acceptance import OutcomeUnknown
from wigeonmill.config.acceptance import Submission
from wigeonmill.config.acceptance import submit
from wigeonmill.config.acceptance import Unavailable
from wigeonmill.config.history import EMPTY_DOCUMENT
from wigeonmill.config.model import CONFIG_KEY
from wigeonmill.config.model import decode_record
from wigeonmill.standins import interleavings


class ConcurrentOperators(interleavings.Scenario):
    """Operators who submit different documents based on the same serial."""

    def __init__(self, operators, faults):
        super().__init__(faults)
        self.outcomes = {}
        first = self.submission('first', 0, 50)
        self.run_now(submit(self.memory, self.clock, first))
        for n, name in enumerate(operators):
            kv = self.connect(name)
            submission = self.submission(name, 1, 100 + n)
            self.start(name, self.run_operator(kv, name, submission))

    def submission(self, name, serial, tokens):
        document = samples.with_limit(EMPTY_DOCUMENT, tokens)
        return Submission(document, name, name, serial)

    async def run_operator(self, kv, name, submission):
        outcome = await submit(kv, self.clock, submission)
        self.outcomes[name] = outcome
        self.processes[name].history.append(type(outcome).__name__)

    def accepted_records(self):
        """Return every record that was ever current, the oldest first."""
        return [
            decode_record(event.entry.value)
            for event in self.memory._events
            if event.key == CONFIG_KEY
        ]

    def check(self):
        records = self.accepted_records()
        serials = [record.serial for record in records]
        assert serials == list(range(1, len(records) + 1)), (
            'serials are not consecutive'
        )
        ids = [record.submission_id for record in records]
        assert len(set(ids)) == len(ids), 'accepted twice'
        for name, outcome in self.outcomes.items():
            self.check_outcome(outcome, name in ids)

    def check_outcome(self, outcome, accepted):
        if isinstance(outcome, Ok):
            assert isinstance(outcome.ok_value, Accepted)
            assert accepted, 'reported as accepted but was not accepted'
        elif isinstance(outcome.err_value, Conflict | Unavailable):
            assert not accepted, 'accepted but reported otherwise'
        else:
            assert isinstance(outcome, Err)
            assert isinstance(outcome.err_value, OutcomeUnknown)

    def check_end(self):
        self.check()
        accepted = len(self.accepted_records()) - 1
        assert accepted <= 1, 'both operators were accepted'


def test_two_operators_get_correct_outcomes_in_every_state():
    states = interleavings.explore(lambda: ConcurrentOperators('ab', 3))
    print(f'2 operators, 3 faults: {states} states')
    assert states >= 13_000


def test_exploration_detects_a_falsely_reported_conflict(monkeypatch):
    async def resolve_conflict(kv, submission, current, record, maybe_applied):
        return Err(Conflict(record, False, []))

    monkeypatch.setattr(
        'wigeonmill.config.acceptance._resolve_conflict', resolve_conflict
    )
    with pytest.raises(AssertionError, match='reported otherwise'):
        interleavings.explore(lambda: ConcurrentOperators('ab', 1))
