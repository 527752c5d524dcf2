"""Changed records reach the component that they concern."""

import msgspec

from tests.gateway.fakes import Harness
from tests.gateway.samples import make_record
from tests.gateway.samples import make_state
from wigeonmill.gateway.changes import DesiredStateChanged
from wigeonmill.gateway.changes import TargetListed
from wigeonmill.gateway.intake import RecordIntake
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.own_records import ROLLOUT_KEY
from wigeonmill.gateway.own_records import RolloutRecord
from wigeonmill.gateway.revisions import position


class Decoder:
    def decode(self, record):
        if record.key == 'unreadable':
            raise RecursionError
        if record.key == 'state':
            return DesiredStateChanged(make_state(version=7))
        return TargetListed(make_record(record.key))


def make_mirror(harness, on_desired_state=lambda state: None):
    mirror = Mirror()
    intake = RecordIntake(
        harness.ctx,
        Decoder(),
        None,
        None,
        None,
        None,
        None,
        None,
        on_desired_state,
    )
    mirror.subscribe(intake.apply_record)
    return mirror


# Guards against a configuration that comes late: an error in one record ended
# the intake of all that came with it.
def test_a_record_that_fails_does_not_stop_the_others():
    harness = Harness([()], [])
    mirror = make_mirror(harness)
    keys = ('unreadable', 'state', 't1')
    mirror.apply([Record(key, n, b'{}') for n, key in enumerate(keys, 1)])
    assert harness.ctx.desired.state.version == 7
    assert harness.ctx.directory.get('t1') is not None
    assert harness.ctx.metrics.value('records_not_applied') == 1


def test_a_state_that_a_component_cannot_apply_is_in_force():
    def fail(state):
        raise ValueError

    harness = Harness([()], [])
    mirror = make_mirror(harness, fail)
    mirror.apply([Record('state', 1, b'{}'), Record('t1', 2, b'{}')])
    assert harness.ctx.desired.state.version == 7
    assert harness.ctx.directory.get('t1') is not None


class Publisher:
    """Ignores the revision of the record."""

    def update_revision(self, record):
        pass


def test_the_era_of_a_fencing_token_is_reported_if_it_is_later():
    harness = Harness([()], [])
    reported = []
    intake = RecordIntake(
        harness.ctx,
        Decoder(),
        None,
        None,
        Publisher(),
        None,
        None,
        None,
        lambda state: None,
        reported.append,
    )
    for at in (position(1, 30), position(2, 30)):
        fence = position(2, 12)
        rollout = RolloutRecord('m', 1, [], {}, fence=fence)
        value = msgspec.json.encode(rollout)
        intake.apply_record(Record(ROLLOUT_KEY, at, value))
    assert reported == [position(2, 12)]
