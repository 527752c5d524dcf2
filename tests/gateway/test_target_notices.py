"""Tests what an entry does after a target has said something of itself."""

import logging

import pytest

from tests.gateway import fakes
from tests.gateway.fakes import Harness
from tests.gateway.fakes import make_head
from tests.gateway.samples import ENGINES
from tests.gateway.samples import LEDGER
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import make_generation
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import ServiceShare
from wigeonmill.gateway.target_client import ExchangeEnd
from wigeonmill.gateway.target_notices import Notice

LEAVING = Notice(leaving=True)
EVENT = b'id: %d\ndata: x\n\n'


def whole(*, end=ExchangeEnd.COMPLETE, **changes):
    return (make_head(**changes), b'whole', end)


def ledgers(scripts, count=2):
    return Harness(scripts, [make_record(f't{n}') for n in range(count)])


def engines(scripts, count=2):
    return Harness(
        scripts, [make_engine_record(f'e{n}') for n in range(count)]
    )


def request_at(harness, **changes):
    return make_request(arrived_ms=harness.clock.now_ms(), **changes)


def run_ledger(harness, **changes):
    harness.channel = fakes.FakeChannel()
    return harness.run(request_at(harness), make_route(**changes))


def run_stream(harness, scripts):
    harness.client.set_scripts(scripts)
    harness.channel = fakes.FakeChannel()
    route = make_route(
        kind=RouteKind.STREAMING,
        resumable=True,
        shares=(ServiceShare(ENGINES, 1.0),),
        timeout_ms=15_000.0,
        objective_ms=800.0,
    )
    req = request_at(
        harness, generation=make_generation(), deadline_ms=15_000.0
    )
    return harness.run(req, route)


def sent_ids(harness):
    return [id_ for id_, _instructions, _exchange in harness.client.sent]


def open_ids(harness, service=LEDGER):
    return [t.id for t in harness.ctx.directory.of_service(service)]


# Guards against requests to a target that has said that it leaves.
@pytest.mark.parametrize(
    'script',
    [
        whole(notice=LEAVING),
        whole(status=404, notice=LEAVING),
        whole(status=500, notice=LEAVING),
        whole(status=503, sealed=False, not_run=True, notice=LEAVING),
        whole(status=421, sealed=False, wrong_target=True, notice=LEAVING),
        whole(notice=LEAVING, end=ExchangeEnd.BROKEN),
    ],
)
def test_a_target_that_says_it_leaves_gets_nothing_more(script):
    harness = ledgers([script, fakes.GOOD])
    run_ledger(harness)
    leaving = sent_ids(harness)[0]
    for _turn in range(20):
        run_ledger(harness)
    assert leaving not in sent_ids(harness)[1:]
    assert harness.ctx.metrics.reasons('target_notices') == {'leaving': 1}


# Guards against learning only at the end of a stream that may last long.
def test_leaving_counts_from_the_head_of_a_stream():
    harness = engines([])
    harness.ctx.directory.key_value_lost()
    seen = []
    script = (
        make_head(notice=LEAVING),
        lambda: seen.append(open_ids(harness, ENGINES)) or EVENT % 1,
        ExchangeEnd.COMPLETE,
    )
    run_stream(harness, [script])
    assert len(seen[0]) == 1
    assert seen[0] != sent_ids(harness)


# Guards against a stream that continues at a target that leaves.
def test_a_resumed_stream_avoids_a_target_that_began_to_leave():
    harness = engines([], count=3)
    targets = list(harness.ctx.directory.all())

    def cheapest_other_leaves():
        others = [t for t in targets if t.id != sent_ids(harness)[0]]
        others[1].load.record_outcome(failed=True)
        harness.ctx.notices.record(others[0], LEAVING, 'answer', 'q2')
        return EVENT % 1

    first = (make_head(), cheapest_other_leaves, ExchangeEnd.BROKEN)
    second = (make_head(), EVENT % 2, ExchangeEnd.COMPLETE)
    channel = run_stream(harness, [first, second])
    assert channel.body == EVENT % 1 + EVENT % 2
    left = [t.id for t in targets if t.draining]
    assert len(left) == 1
    assert left[0] not in sent_ids(harness)


# Guards against a second try at a target that began to leave meanwhile.
def test_a_second_try_obeys_what_another_answer_said_meanwhile():
    harness = ledgers([])

    def both_leave():
        for target in list(harness.ctx.directory.all()):
            harness.ctx.notices.record(target, LEAVING, 'answer', 'q2')
        return ExchangeEnd.BROKEN

    harness.client.set_scripts([(make_head(), both_leave), fakes.GOOD])
    channel = run_ledger(harness)
    assert len(sent_ids(harness)) == 1
    assert channel.status is not None


# Guards against an old or late record that takes a leaving target back.
@pytest.mark.parametrize('heartbeat', [1, 2, 90])
def test_a_record_of_the_same_lifetime_does_not_take_leaving_back(heartbeat):
    harness = ledgers([whole(notice=LEAVING)], count=1)
    directory = harness.ctx.directory
    run_ledger(harness)
    directory.apply(make_record('t0', heartbeat=heartbeat))
    directory.remove('t0')
    directory.apply(make_record('t0', heartbeat=heartbeat + 1))
    directory.key_value_lost()
    directory.key_value_recovered()
    directory.apply(make_record('t0', heartbeat=heartbeat + 2))
    assert open_ids(harness) == []


# Guards against a reborn target that stays out of service.
@pytest.mark.parametrize('id_', ['t0', 't7'])
def test_a_new_lifetime_at_the_same_address_is_not_leaving(id_):
    harness = ledgers([whole(notice=LEAVING), fakes.GOOD], count=1)
    run_ledger(harness)
    harness.ctx.directory.apply(
        make_record(id_, address='127.0.0.1:t0', started_at_ms=2_000)
    )
    assert open_ids(harness) == [id_]
    assert run_ledger(harness).status == 200


# Guards against blaming a target for the answer of its successor.
def test_the_notice_of_another_target_is_ignored():
    other = Notice(target_id='t9', leaving=True)
    script = whole(status=421, sealed=False, wrong_target=True, notice=other)
    harness = ledgers([script])
    run_ledger(harness)
    assert open_ids(harness) == ['t0', 't1']


def test_leaving_is_logged_once_with_request_target_and_source(caplog):
    caplog.set_level(logging.INFO)
    harness = ledgers([whole(notice=LEAVING)], count=1)
    run_ledger(harness)
    target = harness.ctx.directory.get('t0')
    harness.ctx.notices.record(target, LEAVING, 'report')
    lines = [r for r in caplog.records if r.message == 'target leaving']
    assert len(lines) == 1
    assert (lines[0].request_id, lines[0].target, lines[0].source) == (
        'q1',
        't0',
        'answer',
    )
