"""Tests that the soak's checks find each broken guarantee."""

import json

from tests.platform.soak.callers import Attempt
from tests.platform.soak.callers import Kind
from tests.platform.soak.callers import Outcome
from tests.platform.soak.checks import DRAIN_S
from tests.platform.soak.checks import find_breaches
from tests.platform.soak.targets import EVENT_COUNT
from tests.platform.soak.targets import Journal
from tests.platform.soak.targets import Order
from tests.platform.soak.targets import Run

FAULT_FREE_FROM = 100.0


def make_attempt(kind=Kind.UNSAFE, **changes):
    attempt = Attempt('q1', kind, '/p', 'one', 'g0', 101.0)
    attempt.outcome, attempt.status = Outcome.COMPLETE, 200
    attempt.headers = {'server-seal': 't1.q1'}
    attempt.body = json.dumps({'id': 'q1'}).encode()
    if kind is Kind.STREAM:
        attempt.body = events(EVENT_COUNT)
    for name, value in changes.items():
        setattr(attempt, name, value)
    return attempt


def make_run(target='t1', **changes):
    run = Run('q1', target, 101.0, '/p', 'one')
    for name, value in changes.items():
        setattr(run, name, value)
    return run


def events(count, request_id='q1'):
    return b''.join(
        f'id: {n}\ndata: {request_id} {n}\n\n'.encode()
        for n in range(1, count + 1)
    )


def promises_broken(attempt, *runs, drained_at=None):
    journal = Journal(drained_at=drained_at or {})
    for run in runs:
        journal.add(run)
    found = find_breaches([attempt], journal, FAULT_FREE_FROM)
    return {breach.promise for breach in found}


def test_nothing_is_found_where_all_holds():
    assert not promises_broken(make_attempt(), make_run())
    stream = make_attempt(Kind.STREAM)
    assert not promises_broken(stream, make_run())
    # The stream was resumed at another target.
    assert not promises_broken(stream, make_run(), make_run('t2'))


def test_a_second_run_of_what_may_run_once():
    broken = promises_broken(make_attempt(), make_run(), make_run('t2'))
    assert 'at most once' in broken


def test_a_refusal_of_what_has_run():
    refused = make_attempt(status=503, sent_at=99.0)
    assert 'not run is true' in promises_broken(refused, make_run())


def test_work_for_another_team_or_with_another_path():
    broken = promises_broken(make_attempt(), make_run(team='two', path='/x'))
    assert {'own team', 'unchanged request'} <= broken


def test_answers_of_another_request():
    other = make_attempt(body=json.dumps({'id': 'q2'}).encode())
    assert 'answer to its own request' in promises_broken(other, make_run())
    unsealed = make_attempt(headers={})
    broken = promises_broken(unsealed, make_run())
    assert 'answer of its own target' in broken


def test_streams_with_a_gap_or_a_false_end():
    gap = events(EVENT_COUNT).replace(b'id: 3\ndata: q1 3\n\n', b'')
    broken = promises_broken(make_attempt(Kind.STREAM, body=gap), make_run())
    assert 'events in order' in broken
    short = make_attempt(Kind.STREAM, body=events(EVENT_COUNT - 1))
    assert 'whole streams only' in promises_broken(short, make_run())
    cut = make_attempt(
        Kind.STREAM, body=events(3), outcome=Outcome.CUT, sent_at=99.0
    )
    assert promises_broken(cut, make_run()) == {'recovery'}


def test_work_at_a_target_that_has_left():
    late = make_run(started_at=50.0 + DRAIN_S + 0.1)
    broken = promises_broken(make_attempt(), late, drained_at={'t1': 50.0})
    assert 'drained' in broken


def test_a_run_that_nobody_asked_for():
    broken = promises_broken(make_attempt(id='q9'), make_run())
    assert 'asked by a caller' in broken


def test_service_that_does_not_come_back():
    refused = make_attempt(status=503)
    assert 'recovery' in promises_broken(refused)


def orders_broken(*orders):
    journal = Journal(orders=list(orders))
    journal.add(make_run())
    found = find_breaches([make_attempt()], journal, FAULT_FREE_FROM)
    return {breach.promise for breach in found}


def test_orders_of_two_holders_and_of_an_old_one():
    first, second = Order('t1', 1.0, 'a', 5, 2), Order('t1', 2.0, 'b', 6, 3)
    assert not orders_broken(first, second)
    assert 'fences only rise' in orders_broken(second, first)
    same = Order('t2', 2.0, 'b', 5, 2)
    assert 'one holder a fence' in orders_broken(first, same)
