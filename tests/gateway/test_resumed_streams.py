"""Tests where a stream goes on while a service has several versions."""

import pytest

from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import Harness
from tests.gateway.fakes import make_head
from tests.gateway.samples import ENGINES
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import make_generation
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import ServiceShare
from wigeonmill.gateway.run_terms import LATE_PRIORITY
from wigeonmill.gateway.target_client import ExchangeEnd


def harness_of(versions, scripts):
    """Return a harness with an engine of each of `versions`."""
    records = [
        make_engine_record(f'e{n}', software_version=version)
        for n, version in enumerate(versions)
    ]
    return Harness(scripts, records)


def events(*numbers):
    return b''.join(b'id: %d\ndata: x\n\n' % number for number in numbers)


def broken_after(*numbers):
    return (make_head(), events(*numbers), ExchangeEnd.BROKEN)


def complete(*numbers, request_id='q1'):
    head = make_head(request_id=request_id)
    return (head, events(*numbers), ExchangeEnd.COMPLETE)


def run_stream(
    harness,
    id_='q1',
    max_targets=3,
    shares=(ServiceShare(ENGINES, 1.0),),
    **changes,
):
    route = make_route(
        kind=RouteKind.STREAMING,
        resumable=True,
        shares=shares,
        timeout_ms=15_000.0,
        gap_objective_ms=400.0,
        objective_ms=800.0,
        max_targets=max_targets,
    )
    req = make_request(
        id=id_,
        arrived_ms=harness.clock.now_ms(),
        generation=make_generation(),
        deadline_ms=15_000.0,
        **changes,
    )
    harness.channel = FakeChannel()
    return harness.run(req, route)


def versions_sent_to(harness):
    directory = harness.ctx.directory
    return [
        directory.get(target_id).software_version
        for target_id, _instructions, _exchange in harness.client.sent
    ]


# Guards against ORDER: the entry sent a started stream on to a target of
# another software version when its own broke off.
@pytest.mark.parametrize(
    'others', [['v2'], [''], ['v1', 'v2', 'v2', 'v2'], ['', 'v1', '', '']]
)
def test_a_broken_stream_goes_on_only_at_the_software_that_began_it(others):
    harness = harness_of(['v1'], [broken_after(1), complete(2)])
    for turn, version in enumerate(others):
        record = make_engine_record(f'n{turn}', software_version=version)
        harness.ctx.directory.apply(record)
        harness.ctx.directory.get(f'n{turn}').refusing_until_ms = (
            harness.clock.now_ms() + 1.0
        )
    channel = run_stream(harness)
    assert set(versions_sent_to(harness)) == {'v1'}
    assert channel.finished == ('v1' in others)
    assert channel.aborted != channel.finished


# Guards against ORDER: a caller came back with a stream, and the entry sent it
# on to any target of the service.
def test_a_resumed_stream_of_unknown_origin_is_refused_beside_two_versions():
    harness = harness_of(['v1', 'v1', 'v2'], [complete(9)])
    channel = run_stream(harness, last_event_id=8)
    assert channel.status == 503
    assert harness.client.sent == []


# Guards against ORDER: the same, with an origin that the entry knows.
def test_a_resumed_stream_goes_on_at_the_software_that_began_it():
    versions = ['v1', 'v2', 'v1', 'v2']
    harness = harness_of(versions, [broken_after(1)] * 3)
    run_stream(harness, max_targets=1)
    (began,) = set(versions_sent_to(harness))
    harness.client.sent.clear()
    ids = [f'r{turn}' for turn in range(12)]
    harness.client.set_scripts([complete(2, request_id=id_) for id_ in ids])
    for id_ in ids:
        channel = run_stream(harness, id_, last_event_id=1, resumed_id='q1')
        assert channel.finished
    assert set(versions_sent_to(harness)) == {began}


def test_a_resumed_stream_returns_to_the_service_that_began_it():
    """A route that is split between services chooses one for each request."""
    harness = harness_of(['v1', 'v1'], [complete(2)])
    for number in range(2):
        record = make_engine_record(f'o{number}', service='other')
        harness.ctx.directory.apply(record)
    shares = (ServiceShare(ENGINES, 1.0), ServiceShare('other', 1_000.0))
    harness.ctx.origins.record('q0', harness.ctx.directory.get('e0'))
    channel = run_stream(
        harness, shares=shares, last_event_id=1, resumed_id='q0'
    )
    assert channel.finished
    assert harness.client.sent[0][0] in ('e0', 'e1')


def test_a_stream_whose_software_is_gone_is_refused_without_a_time():
    """It can't go on later either, so its caller must begin anew."""
    harness = harness_of(['v1', 'v2'], [complete(2)])
    harness.ctx.origins.record('q0', harness.ctx.directory.get('e0'))
    harness.ctx.directory.remove('e0')
    channel = run_stream(harness, last_event_id=1, resumed_id='q0')
    assert channel.refusal.reason is Reason.OTHER_SOFTWARE
    assert channel.refusal.retry_after_ms is None
    assert harness.client.sent == []


def test_a_stalled_stream_is_kept_while_no_target_runs_its_software():
    """Leaving it could only break it off."""

    def late_event():
        harness.clock.advance(4_000)
        return events(2)

    first = (make_head(), events(1), late_event, ExchangeEnd.COMPLETE)
    harness = harness_of(['v1'], [first])
    harness.ctx.directory.apply(
        make_engine_record('n1', software_version='v2')
    )
    harness.ctx.directory.get('n1').refusing_until_ms = float('inf')
    channel = run_stream(harness)
    assert channel.finished
    assert channel.body == events(1, 2)


# Guards against ORDER: a stream was resumed at any target once operators had
# taken the leave to resume back from its route.
def test_a_stream_is_not_resumed_anywhere_once_its_route_forbids_it():
    harness = harness_of(['v2'], [complete(2)])
    shares = (ServiceShare(ENGINES, 1.0),)
    route = make_route(
        kind=RouteKind.STREAMING, resumable=False, shares=shares
    )
    req = make_request(
        arrived_ms=harness.clock.now_ms(),
        generation=make_generation(),
        last_event_id=1,
        resumed_id='q0',
    )
    harness.channel = FakeChannel()
    harness.run(req, route)
    assert harness.client.sent == []


def occupy(harness, prompt_tokens, priority):
    """Let a request wait at the only engine for its prompt to be read."""
    load = harness.ctx.directory.get('e0').load
    load.open(10_000, prompt_tokens, priority, delayed=True)


# Guards against LOST: after the loss of all entries, callers that took up
# their streams were refused, while new streams began: the time that an engine
# needs to resume was compared with the objective of a new stream.
def test_a_resumed_stream_is_not_put_behind_new_ones_for_being_late():
    harness = harness_of(['v1'], [complete(2)])
    harness.ctx.origins.record('q0', harness.ctx.directory.get('e0'))
    occupy(harness, 100_000, priority=0)
    occupy(harness, 5_000_000, priority=LATE_PRIORITY)
    refused = run_stream(harness, 'q1')
    assert refused.refusal.reason is Reason.TOO_LATE
    resumed = run_stream(harness, 'q1', last_event_id=1, resumed_id='q0')
    assert resumed.finished
    [(_id, instructions, _exchange)] = harness.client.sent
    assert instructions.priority < LATE_PRIORITY


def test_a_resumed_stream_that_cannot_start_in_time_is_refused():
    harness = harness_of(['v1'], [complete(2)])
    harness.ctx.origins.record('q0', harness.ctx.directory.get('e0'))
    occupy(harness, 50_000_000, priority=0)
    resumed = run_stream(harness, 'q1', last_event_id=1, resumed_id='q0')
    assert resumed.refusal.reason is Reason.TOO_LATE
    assert not harness.client.sent


# Guards against a record without the streams that callers may take up.
def test_an_entry_knows_which_streams_its_callers_may_take_up():
    harness = harness_of(['v1'], [broken_after(1)])

    def open_ids():
        streams = harness.ctx.open_streams.of_services([ENGINES])
        return [request_id for request_id, _origin in streams]

    run_stream(harness, 'q1', max_targets=1)
    assert open_ids() == ['q1']
    harness.client.set_scripts([complete(2, request_id='q2')])
    run_stream(harness, 'q2', last_event_id=1, resumed_id='q1')
    assert open_ids() == []
    run_stream(harness, 'q3')
    assert open_ids() == []
