"""Tests which targets may go on with a stream that another one began."""

from tests.gateway.samples import make_engine_record
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.stream_origins import LocalStreamOrigins
from wigeonmill.gateway.stream_origins import MAX_ORIGINS
from wigeonmill.gateway.stream_origins import origin_of
from wigeonmill.gateway.targets import Target


def engine(id_, version, **changes):
    record = make_engine_record(id_, software_version=version, **changes)
    return Target(record, ManualClock())


def test_a_stream_resumes_at_any_target_of_its_software_version():
    origin = origin_of(engine('e1', 'v1'))
    assert origin.may_resume_at(engine('e2', 'v1'))
    assert not origin.may_resume_at(engine('e3', 'v1.1'))
    assert not origin.may_resume_at(engine('e4', ''))
    assert not origin.may_resume_at(engine('e5', 'v1', service='other'))


def test_two_unknown_software_versions_are_not_the_same():
    origin = origin_of(engine('e1', ''))
    assert origin.may_resume_at(engine('e1', ''))
    assert not origin.may_resume_at(engine('e2', ''))
    assert not origin.may_resume_at(engine('e1', '', started_at_ms=2_000))


def test_a_restart_with_other_software_does_not_resume_the_stream():
    origin = origin_of(engine('e1', 'v1'))
    assert not origin.may_resume_at(engine('e1', 'v1.1', started_at_ms=2_000))


def test_an_entry_keeps_a_bounded_number_of_origins():
    origins = LocalStreamOrigins()
    for number in range(MAX_ORIGINS + 1):
        origins.record(f'q{number}', engine('e1', 'v1'))
    assert origins.get('q0') is None
    assert origins.get('q1') == origin_of(engine('e1', 'v1'))


def test_the_last_target_that_a_stream_was_sent_to_is_its_origin():
    origins = LocalStreamOrigins()
    origins.record('q1', engine('e1', 'v1'))
    origins.record('q1', engine('e2', 'v2'))
    assert origins.get('q1').software_version == 'v2'
