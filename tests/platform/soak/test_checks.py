"""Tests that the soak's checks find each broken guarantee."""

import asyncio
import json
import math
import socket
import time

import pytest

from tests.platform.soak.callers import Attempt
from tests.platform.soak.callers import Connection
from tests.platform.soak.callers import DEADLINE_MS
from tests.platform.soak.callers import Kind
from tests.platform.soak.callers import Outcome
from tests.platform.soak.callers import SOUND_PART
from tests.platform.soak.checks import CONTACT_S
from tests.platform.soak.checks import DRAIN_S
from tests.platform.soak.checks import find_breaches
from tests.platform.soak.checks import LEAVING_S
from tests.platform.soak.checks import MIN_SOUND_COUNT
from tests.platform.soak.closings import CLOSING_S
from tests.platform.soak.handlers import CRASHING_PART
from tests.platform.soak.handlers import EVENT_COUNT
from tests.platform.soak.handlers import SilenceForm
from tests.platform.soak.journal import Arrival
from tests.platform.soak.journal import Break
from tests.platform.soak.journal import Closing
from tests.platform.soak.journal import Journal
from tests.platform.soak.journal import Limit
from tests.platform.soak.journal import Order
from tests.platform.soak.journal import Run
from tests.platform.soak.journal import Silence
from tests.platform.soak.journal import STALL_CHECK_S
from tests.platform.soak.lost import find_lost
from tests.platform.soak.shares import find_underserved
from tests.platform.soak.states import MAX_ATTEMPTS

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


def find_broken_promises(attempt, *runs, drained_at=None, software=None):
    journal = Journal(drained_at=drained_at or {}, software=software or {})
    for run in runs:
        journal.add(run)
    found = find_breaches([attempt], journal, FAULT_FREE_FROM)
    return {breach.promise for breach in found}


def test_no_breach_is_found_if_all_guarantees_hold():
    assert not find_broken_promises(make_attempt(), make_run())
    stream = make_attempt(Kind.STREAM)
    assert not find_broken_promises(stream, make_run())
    # The stream was resumed at another target.
    assert not find_broken_promises(stream, make_run(), make_run('t2'))


def test_finds_a_second_run_of_an_unsafe_request():
    broken = find_broken_promises(make_attempt(), make_run(), make_run('t2'))
    assert 'at most once' in broken


def test_finds_a_refusal_of_a_request_that_was_run():
    refused = make_attempt(status=503, sent_at=99.0)
    assert 'not run is true' in find_broken_promises(refused, make_run())


def test_finds_runs_for_another_team_or_path():
    broken = find_broken_promises(
        make_attempt(), make_run(team='two', path='/x')
    )
    assert {'own team', 'unchanged request'} <= broken


def test_finds_answers_of_other_requests():
    other = make_attempt(body=json.dumps({'id': 'q2'}).encode())
    assert 'answer to its own request' in find_broken_promises(
        other, make_run()
    )
    unsealed = make_attempt(headers={})
    broken = find_broken_promises(unsealed, make_run())
    assert 'answer of its own target' in broken


def test_finds_streams_with_a_gap_or_a_missing_end():
    gap = events(EVENT_COUNT).replace(b'id: 3\ndata: q1 3\n\n', b'')
    broken = find_broken_promises(
        make_attempt(Kind.STREAM, body=gap), make_run()
    )
    assert 'events in order' in broken
    short = make_attempt(Kind.STREAM, body=events(EVENT_COUNT - 1))
    assert 'whole streams only' in find_broken_promises(short, make_run())
    cut = make_attempt(
        Kind.STREAM, body=events(3), outcome=Outcome.CUT, sent_at=99.0
    )
    assert find_broken_promises(cut, make_run()) == {'recovery', 'lost'}


def test_finds_runs_at_a_drained_target():
    late = make_run(started_at=50.0 + DRAIN_S + 0.1)
    broken = find_broken_promises(
        make_attempt(), late, drained_at={'t1': 50.0}
    )
    assert 'drained' in broken


def test_finds_a_run_that_no_caller_requested():
    broken = find_broken_promises(make_attempt(id='q9'), make_run())
    assert 'asked by a caller' in broken


def test_finds_that_the_service_does_not_recover():
    refused = make_attempt(status=503)
    assert 'recovery' in find_broken_promises(refused)


def find_broken_order_promises(*orders):
    journal = Journal(orders=list(orders))
    journal.add(make_run())
    found = find_breaches([make_attempt()], journal, FAULT_FREE_FROM)
    return {breach.promise for breach in found}


def test_finds_two_holders_of_a_fence_and_stale_orders():
    first, second = Order('t1', 1.0, 'a', 5, 2), Order('t1', 2.0, 'b', 6, 3)
    assert not find_broken_order_promises(first, second)
    assert 'fences only rise' in find_broken_order_promises(second, first)
    same = Order('t2', 2.0, 'b', 5, 2)
    assert 'one holder a fence' in find_broken_order_promises(first, same)


def leaving_attempts(sent_at, entry='g0'):
    told = make_attempt(Kind.SAFE, sent_at=99.0, ended_at=100.0)
    told.headers = told.headers | {'server-leaving': '1'}
    later = make_attempt(Kind.SAFE, id='q2', sent_at=sent_at, entry=entry)
    later.headers = {'server-seal': 't1.q2'}
    later.body = json.dumps({'id': 'q2'}).encode()
    return [told, later]


def leaving_breaches(sent_at, entry='g0', fault=None):
    journal = Journal()
    journal.add(make_run(started_at=99.0))
    journal.add(make_run(request_id='q2', started_at=sent_at))
    if fault is not None:
        journal.faults['g0'] = [list(fault)]
    found = find_breaches(leaving_attempts(sent_at, entry), journal, 0.0)
    return {breach.promise for breach in found}


def test_finds_a_request_to_a_target_that_said_it_leaves():
    assert 'left alone' in leaving_breaches(100.0 + LEAVING_S + 0.1)
    assert 'left alone' not in leaving_breaches(100.0 + LEAVING_S - 0.1)
    assert 'left alone' not in leaving_breaches(110.0, entry='g1')
    assert 'left alone' not in leaving_breaches(110.0, fault=(104.0, 105.0))
    assert 'left alone' in leaving_breaches(110.0, fault=(98.0, 99.0))


def closing_breaches(
    times,
    fault=None,
    stated=((100.0, 110.0),),
    entry='g0',
    silence=None,
    left_at=None,
    left_answered=False,
):
    """Let requests arrive at these times; the first ones get answers."""
    attempts = [make_attempt(id=f'q{n}', status=503) for n in range(9)]
    if left_at is not None:
        attempts[0].disconnected, attempts[0].ended_at = True, left_at
        attempts[0].left_answered = left_answered
    for attempt in attempts[len(stated) :]:
        attempt.entry = entry
    journal = Journal()
    journal.arrivals = [
        Arrival(f'q{n}', 't1', at) for n, at in enumerate(times)
    ]
    journal.closings = [
        Closing(f'q{n}', 't1', at, until)
        for n, (at, until) in enumerate(stated)
    ]
    if fault is not None:
        journal.faults['t1'] = [list(fault)]
    if silence is not None:
        journal.silences = [Silence('t1', 102.0, silence, 103.0)]
    found = find_breaches(attempts, journal, 0.0)
    return {breach.promise for breach in found}


def test_finds_requests_to_a_target_that_asked_for_time():
    late = 100.0 + CLOSING_S + 0.1
    assert 'closed' in closing_breaches([100.0, late, late, late])
    assert 'closed' not in closing_breaches([100.0, 100.1, late, late])
    assert 'closed' not in closing_breaches([100.0, 110.1, 110.1, 110.1])
    assert 'closed' not in closing_breaches(
        [100.0, late, late, late], (99.0, 101.0)
    )
    # Only the entry that was told so has to wait.
    assert 'closed' not in closing_breaches(
        [100.0, late, late, late], entry='g1'
    )


def test_each_answer_that_asks_for_time_counts():
    late = 100.0 + CLOSING_S + 0.1
    times = [100.0, late, 105.0, 105.0, 105.0]
    longer_first = ((100.0, 110.0), (late, 101.0))
    longer_last = ((100.0, 101.0), (late, 110.0))
    for stated in (longer_first, longer_last):
        assert 'closed' in closing_breaches(times, stated=stated)
    both_short = ((100.0, 101.0), (late, 102.0))
    assert 'closed' not in closing_breaches(times, stated=both_short)


def test_an_answer_counts_though_its_caller_left_just_after_it():
    times = [100.0, 103.0, 103.0, 103.0]
    assert 'closed' in closing_breaches(times, left_at=100.01)
    assert 'closed' not in closing_breaches(times, left_at=100.002)
    assert 'closed' in closing_breaches(
        times, left_at=100.002, left_answered=True
    )


def test_only_a_frozen_target_excuses_requests_while_it_is_closed():
    times = [100.0, 103.0, 103.0, 103.0]
    frozen, other = SilenceForm.FROZEN, SilenceForm.BEFORE_HEAD
    assert 'closed' not in closing_breaches(times, silence=frozen.value)
    assert 'closed' in closing_breaches(times, silence=other.value)


def test_finds_a_stream_that_goes_on_at_other_software():
    software = {'t1': 'v1', 't2': 'v2', 't3': 'v1'}
    stream = make_attempt(Kind.STREAM)
    runs = [make_run(), make_run('t2', from_event=3)]
    assert 'one software version' in find_broken_promises(
        stream, *runs, software=software
    )
    runs = [make_run('t2'), make_run(), make_run('t3', from_event=3)]
    assert not find_broken_promises(stream, *runs, software=software)


def test_finds_a_resumed_stream_at_other_software():
    software = {'t1': 'v1', 't2': 'v2', 't3': 'v1'}
    cut = make_attempt(Kind.STREAM, body=events(3), outcome=Outcome.CUT)
    rest = events(EVENT_COUNT, 'q2').split(b'id: 4', 1)[1]
    for target, broken in (('t2', True), ('t3', False)):
        resumed = make_attempt(
            Kind.STREAM,
            id='q2',
            resumes=cut,
            body=b'id: 4' + rest,
            headers={'server-seal': f'{target}.q2'},
        )
        run = make_run(target, request_id='q2', from_event=3)
        found = find_broken_promises(resumed, run, software=software)
        assert found == ({'one software version'} if broken else set())


def crashing_breaches(times, fault=None):
    """Let requests with the crashing part arrive at these times."""
    journal = Journal(part_crashes=[95.0, 96.0, 97.0, 98.0, 99.0])
    attempts = []
    for number, at in enumerate(times):
        name = f'q{number}'
        attempts.append(
            make_attempt(
                Kind.STREAM, id=name, part=CRASHING_PART, status=502, body=b''
            )
        )
        journal.add(make_run(request_id=name, started_at=at))
    if fault is not None:
        journal.faults['g0'] = [list(fault)]
    found = find_breaches(attempts, journal, 0.0)
    return {breach.promise for breach in found}


def test_finds_requests_with_a_part_that_crashed_five_targets():
    late = 99.0 + CONTACT_S + 0.1
    assert 'crashing part' in crashing_breaches([late] * 4)
    assert 'crashing part' not in crashing_breaches([late] * 3)
    assert 'crashing part' not in crashing_breaches([late - 0.2] * 4)
    near, far = (late - 1.0, late - 0.5), (90.0, 91.0)
    assert 'crashing part' not in crashing_breaches([late] * 4, near)
    assert 'crashing part' in crashing_breaches([late] * 4, far)


def sound_breaches(status, count):
    journal = Journal(part_crashes=[80.0, 81.0, 82.0, 83.0, 84.0])
    attempts = [
        make_attempt(
            Kind.STREAM,
            id=f'{part}{number}',
            part=part,
            status=status if part else 200,
            body=b'',
        )
        for part in (SOUND_PART, '')
        for number in range(count)
    ]
    found = find_breaches(attempts, journal, FAULT_FREE_FROM)
    return {breach.promise for breach in found}


def test_finds_that_requests_beside_a_crashing_part_are_refused():
    promise = 'sound requests beside a crashing part'
    assert promise in sound_breaches(503, MIN_SOUND_COUNT)
    assert promise not in sound_breaches(503, MIN_SOUND_COUNT - 1)
    assert promise not in sound_breaches(200, MIN_SOUND_COUNT)


def lost_promises(kind=Kind.STREAM, runs=(('t1', 101.0),), **changes):
    """Cut a request off 1 s after it was sent, with changes to the rest."""
    journal = Journal(
        breaks=changes.pop('breaks', []),
        interrupted=changes.pop('interrupted', {}),
        timeouts=changes.pop('timeouts', []),
        stalls=changes.pop('stalls', []),
    )
    for target, at in runs:
        journal.add(make_run(target, started_at=at))
    state = {
        'outcome': Outcome.CUT,
        'body': events(3) if kind is Kind.STREAM else b'',
        'written_at': 101.0,
        'ended_at': 102.0,
    }
    attempt = make_attempt(kind, **(state | changes))
    found = find_breaches([attempt], journal, FAULT_FREE_FROM)
    return {breach.promise for breach in found} - {'recovery'}


def test_finds_whole_requests_that_end_without_a_whole_answer():
    assert lost_promises() == {'lost'}
    for kind in (Kind.SAFE, Kind.UNSAFE):
        assert lost_promises(kind, outcome=Outcome.CLOSED) == {'lost'}
    assert not lost_promises(outcome=Outcome.NOT_SENT, body=b'')
    assert not lost_promises(disconnected=True)


def test_a_request_that_crosses_a_close_is_not_lost():
    crossing = {'outcome': Outcome.CLOSED, 'body': b'', 'ended_at': 101.1}
    assert not lost_promises(runs=(), **crossing)
    assert lost_promises(**crossing) == {'lost'}
    crossing['ended_at'] = 101.3
    assert lost_promises(runs=(), **crossing) == {'lost'}


# The caller of a soak that stands still sees the close late.
def test_a_close_that_the_soak_could_not_see_in_time_is_not_lost():
    late = {'outcome': Outcome.CLOSED, 'body': b'', 'ended_at': 101.4}
    assert not lost_promises(runs=(), stalls=[[100.9, 101.3]], **late)
    assert lost_promises(runs=(), stalls=[[100.9, 101.1]], **late) == {'lost'}
    assert lost_promises(stalls=[[100.9, 101.3]], **late) == {'lost'}


async def close_of_a_request(close_s, stall_s):
    """Send a request that is not read; return its attempt and the journal.

    Its connection is closed `close_s` later, and this process stands still
    for `stall_s` once it is written.
    """
    listener = socket.create_server(('127.0.0.1', 0))
    attempt = make_attempt(
        sent_at=time.monotonic(), outcome=Outcome.TIMED_OUT, status=0, body=b''
    )
    journal = Journal()

    def accept():
        conn, _address = listener.accept()
        time.sleep(close_s)
        conn.close()

    async def send():
        conn = Connection('127.0.0.1:{}'.format(listener.getsockname()[1]))
        await conn.send(attempt, 'key')
        attempt.ended_at = time.monotonic()

    watching = asyncio.ensure_future(journal.watch_stalls())
    accepting = asyncio.to_thread(accept)
    sending = asyncio.ensure_future(asyncio.wait_for(send(), 5.0))
    closing = asyncio.ensure_future(accepting)
    while attempt.written_at == math.inf:
        await asyncio.sleep(0.0)
    time.sleep(stall_s)
    await asyncio.gather(sending, closing)
    await asyncio.sleep(2 * STALL_CHECK_S)
    watching.cancel()
    listener.close()
    return attempt, journal


# The trace of a close that came within the time for one that crosses a request
# and was seen later because the soak stood still, and of one that came later.
@pytest.mark.parametrize(
    ('close_s', 'stall_s', 'lost'),
    [(0.02, 0.6, False), (0.02, 0.0, False), (0.6, 0.0, True)],
)
def test_the_time_at_which_a_close_is_seen_has_the_stalls_in_it(
    close_s, stall_s, lost
):
    attempt, journal = asyncio.run(close_of_a_request(close_s, stall_s))
    assert attempt.outcome is Outcome.CLOSED
    seen_s = attempt.ended_at - attempt.written_at
    assert seen_s >= max(close_s - 0.01, stall_s)
    assert bool(list(find_lost([attempt], journal))) is lost


def test_a_run_that_its_target_broke_off_is_not_lost():
    assert not lost_promises(breaks=[Break('t1', 101.5)])
    assert not lost_promises(breaks=[Break('t1', 101.5, 'q1')])
    for found in (
        Break('t2', 101.5),
        Break('t1', 101.5, 'q2'),
        Break('t1', 100.9),
        Break('t1', 102.1),
    ):
        assert lost_promises(breaks=[found]) == {'lost'}
    # Another target ran it long after the break.
    runs = (('t1', 101.0), ('t2', 101.1))
    early, late = Break('t1', 101.05), Break('t1', 105.5)
    assert lost_promises(runs=runs, breaks=[early], ended_at=103.0)
    assert not lost_promises(runs=runs, breaks=[early], ended_at=102.0)
    assert lost_promises(runs=runs, breaks=[late], ended_at=103.0)


def test_requests_of_an_interrupted_entry_are_not_lost():
    assert not lost_promises(interrupted={'g0': [[101.5, 103.0]]})
    assert lost_promises(interrupted={'g0': [[90.0, 100.0]]}) == {'lost'}
    assert lost_promises(interrupted={'g1': [[101.5, 103.0]]}) == {'lost'}


def test_a_request_that_reached_its_time_limit_is_not_lost():
    assert not lost_promises(ended_at=101.0 + DEADLINE_MS / 1000.0)
    assert not lost_promises(timeouts=[(50.0, 1.0)])
    assert lost_promises(timeouts=[(50.0, 1.0), (90.0, 4.0)]) == {'lost'}
    assert not lost_promises(timeouts=[(50.0, 1.0), (99.0, 4.0)])
    assert lost_promises(timeouts=[(50.0, 4.0), (102.5, 1.0)]) == {'lost'}


def test_finds_requests_without_an_end():
    endless = {'outcome': Outcome.TIMED_OUT, 'ended_at': 107.0, 'body': b''}
    assert lost_promises(**endless) == {'an end in time'}
    assert not lost_promises(**endless, disconnected=True)
    assert not lost_promises(**endless, interrupted={'g0': [[102.0, 103.0]]})


def test_finds_a_process_that_ended_by_itself():
    journal = Journal(own_ends=['g1 with -1'])
    journal.add(make_run())
    found = find_breaches([make_attempt()], journal, FAULT_FREE_FROM)
    assert [breach.promise for breach in found] == ['process ended by itself']


# Guards against LOST: a process that did not end within its grace time held
# up the soak, which had no check for it.
def test_finds_a_process_that_did_not_end():
    journal = Journal(hung_ends=['g1'])
    journal.add(make_run())
    found = find_breaches([make_attempt()], journal, FAULT_FREE_FROM)
    assert [breach.promise for breach in found] == ['process ends in time']


LIMIT_AT = 50.0


def find_exceeded_limits(
    per_s, count, *, from_s=4.0, told=('g0', 'g1'), **faults
):
    """Check `count` requests of two entries within the four seconds."""
    limit = Limit('t1', per_s, LIMIT_AT)
    journal = Journal(limits=[limit], faults=faults)
    headers = {'server-seal': 't1.q', 'server-limit': f'{per_s:g}'}
    attempts = [
        make_attempt(
            id=f'told {entry}', entry=entry, ended_at=LIMIT_AT, headers=headers
        )
        for entry in told
    ]
    for number in range(count):
        attempt = make_attempt(id=f'q{number}', entry=f'g{number % 2}')
        attempts.append(attempt)
        at = LIMIT_AT + from_s + 3.9 * number / count
        journal.arrivals.append(Arrival(attempt.id, 't1', at))
    found = find_breaches(attempts, journal, FAULT_FREE_FROM)
    return [b for b in found if b.promise == 'limited']


def test_more_requests_than_a_limit_allows_are_a_breach():
    assert not find_exceeded_limits(1.0, 11)
    assert len(find_exceeded_limits(1.0, 12)) == 1
    assert not find_exceeded_limits(3.9, 28)
    assert find_exceeded_limits(3.9, 29)
    assert find_exceeded_limits(0.0, 6)


def test_entries_that_were_not_told_or_had_a_fault_are_excused():
    assert not find_exceeded_limits(1.0, 22, told=('g0',))
    assert find_exceeded_limits(1.0, 24, told=('g0',))
    span = [[LIMIT_AT + 3.5, LIMIT_AT + 8.0]]
    assert not find_exceeded_limits(1.0, 22, g1=span)
    assert not find_exceeded_limits(1.0, 40, t1=span)


def test_a_limit_binds_after_the_contact_time():
    assert not find_exceeded_limits(1.0, 100, from_s=-1.0)


def test_finds_a_request_at_too_many_targets():
    runs = [make_run(f't{n}') for n in range(MAX_ATTEMPTS + 1)]
    attempt = make_attempt(Kind.SAFE, headers={'server-seal': 't0.q1'})
    assert not find_broken_promises(attempt, *runs[:-1])
    broken = find_broken_promises(attempt, *runs)
    assert broken == {'targets of a request'}


def test_a_team_that_is_served_too_rarely_is_found():
    large = [make_attempt() for _each in range(300)]
    small = [make_attempt(team='two', status=503) for _each in range(60)]
    assert [team for team, _detail in find_underserved(large + small)] == [
        'two'
    ]
    for attempt in small[:15]:
        attempt.status = 200
    assert list(find_underserved(large + small)) == []
    assert list(find_underserved(large + small[-40:])) == []
