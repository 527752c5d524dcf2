"""Tests that a target that is silent for a while costs nobody an answer."""

import asyncio
import logging

import pytest

from tests.gateway import fakes
from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import Harness
from tests.gateway.fakes import make_head
from tests.gateway.fakes import Pause
from tests.gateway.samples import ENGINES
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import make_generation
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.virtual_time import run_virtual
from wigeonmill.gateway.allowances import RetryAllowance
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import ServiceShare
from wigeonmill.gateway.suspicions import CONNECT_MS
from wigeonmill.gateway.target_client import ExchangeEnd

STREAM = {
    'kind': RouteKind.STREAMING,
    'resumable': True,
    'shares': (ServiceShare(ENGINES, 1.0),),
    'timeout_ms': 15_000.0,
    'gap_objective_ms': 400.0,
    'objective_ms': 800.0,
    'max_targets': 2,
}
WHOLE_STREAM = b''.join(b'id: %d\ndata: x\n\n' % n for n in range(1, 5))
END = ExchangeEnd.COMPLETE


def event(number):
    return b'id: %d\ndata: x\n\n' % number


def rest_after(last, *, pause_ms=0.0):
    data = b''.join(event(n) for n in range(last + 1, 5))
    return (Pause(pause_ms), make_head(), data, END)


def silent_stream(where, pause_ms):
    """Return a script that is silent for a time and ends well."""
    rest = event(3) + event(4)
    return {
        'before-head': (Pause(pause_ms), make_head(), WHOLE_STREAM, END),
        'after-head': (make_head(), Pause(pause_ms), WHOLE_STREAM, END),
        'between-events': (
            make_head(),
            event(1) + event(2),
            Pause(pause_ms),
            rest,
            END,
        ),
        'inside-event': (
            make_head(),
            event(1) + event(2) + rest[:7],
            Pause(pause_ms),
            rest[7:],
            END,
        ),
        'before-end': (make_head(), WHOLE_STREAM, Pause(pause_ms), END),
    }[where]


LAST_BEFORE_SILENCE = {
    'before-head': 0,
    'after-head': 0,
    'between-events': 2,
    'inside-event': 2,
    'before-end': 4,
}
# What the second target does, given the last event that the caller has.
SECONDS = {
    'takes-it': rest_after,
    'is-slow': lambda last: rest_after(last, pause_ms=700.0),
    'is-full': lambda last: fakes.FULL,
    'is-another': lambda last: fakes.WRONG_TARGET,
    'is-unreachable': lambda last: fakes.NOT_SENT,
    'fails': lambda last: fakes.STATUS_500,
    'fails-late': lambda last: (Pause(300.0), *fakes.STATUS_500),
    'rejects-it': lambda last: (
        (make_head(404), b'what?', END) if last else fakes.STATUS_500
    ),
    'breaks-off-before-its-head': lambda last: fakes.CUT_BEFORE_HEAD,
    'breaks-off-after-its-head': lambda last: (
        make_head(),
        ExchangeEnd.BROKEN,
    ),
    'breaks-off-inside-an-event': lambda last: (
        make_head(),
        event(last + 1)[:7],
        ExchangeEnd.BROKEN,
    ),
    'repeats-events': lambda last: (
        make_head(),
        b''.join(event(n) for n in range(1, last + 1)),
        ExchangeEnd.BROKEN,
    ),
    'is-silent': lambda last: fakes.SILENT,
    'is-silent-after-its-head': lambda last: (make_head(),),
}


def engine_harness(scripts, versions=('v1', 'v1')):
    records = [
        make_engine_record(f'e{n}', software_version=version)
        for n, version in enumerate(versions)
    ]
    harness = Harness(scripts, records)
    harness.channel = _CheckedChannel()
    return harness


class _CheckedChannel(FakeChannel):
    """Fails if the head or the end of an answer is written twice."""

    def answer(self, head, body):
        assert not self.finished
        assert not self.aborted
        super().answer(head, body)

    def finish(self):
        assert not self.finished
        assert not self.aborted
        super().finish()


def stream_request(harness, **changes):
    """Return a request, its route and its team."""
    req = make_request(
        arrived_ms=harness.clock.now_ms(),
        generation=make_generation(),
        deadline_ms=15_000.0,
    )
    return req, make_route(**(STREAM | changes)), None


def run_stream(harness, **changes):
    return harness.run(*stream_request(harness, **changes))


def assert_whole(harness):
    channel = harness.channel
    assert channel.status == 200
    assert channel.body == WHOLE_STREAM
    assert channel.finished
    assert not channel.aborted
    assert all(sent[2].cancelled for sent in harness.client.sent)
    for target in harness.ctx.directory.all():
        assert target.load.own_runs() == 0


def refuse_retries(harness):
    """Leave no retry in the budget."""
    limits = RetryLimits(ratio=0.0, slack=0.0)
    harness.ctx._retries[ENGINES] = RetryAllowance(harness.clock, limits)


# Guards against LOST: a stream was given up because its target was silent for
# a second, and then nothing else could take it.
@pytest.mark.parametrize('pause_ms', [1_000.0, 1_600.0, 2_500.0])
@pytest.mark.parametrize('second', list(SECONDS))
@pytest.mark.parametrize('where', list(LAST_BEFORE_SILENCE))
def test_a_silent_target_that_goes_on_costs_no_stream(where, second, pause_ms):
    script = SECONDS[second](LAST_BEFORE_SILENCE[where])
    harness = engine_harness([silent_stream(where, pause_ms), script])
    run_stream(harness)
    assert_whole(harness)
    assert len(harness.client.sent) <= 2


# Guards against LOST: the target was left before the retry budget was asked.
@pytest.mark.parametrize('where', list(LAST_BEFORE_SILENCE))
def test_a_silent_target_is_kept_without_a_retry_budget(where):
    harness = engine_harness([silent_stream(where, 2_500.0), fakes.SILENT])
    refuse_retries(harness)
    run_stream(harness)
    assert_whole(harness)
    assert len(harness.client.sent) == 1


# Guards against LOST: a stream was given up although the target that had been
# asked beside the silent one would have written it.
@pytest.mark.parametrize('where', ['before-head', 'between-events'])
def test_the_second_target_goes_on_alone_when_the_first_one_breaks(where):
    last = LAST_BEFORE_SILENCE[where]
    first = (*silent_stream(where, 1_500.0)[: 1 + 2 * (last > 0)],)
    second = rest_after(last, pause_ms=900.0)
    harness = engine_harness([(*first, ExchangeEnd.BROKEN), second])
    run_stream(harness)
    assert_whole(harness)
    assert second_attempts(harness) == {'started': 1, 'first_failed': 1}


def second_attempts(harness):
    return harness.ctx.metrics.reasons('gateway_second_attempts')


@pytest.mark.parametrize(
    ('pause_ms', 'second_pause_ms', 'outcome'),
    [(2_500.0, 300.0, 'took_over'), (1_500.0, 900.0, 'first_went_on')],
)
def test_the_first_to_write_goes_on_and_the_other_is_cancelled(
    pause_ms, second_pause_ms, outcome, caplog
):
    caplog.set_level(logging.INFO)
    harness = engine_harness(
        [
            silent_stream('between-events', pause_ms),
            rest_after(2, pause_ms=second_pause_ms),
        ]
    )
    started_ms = harness.clock.now_ms()
    run_stream(harness)
    assert_whole(harness)
    assert harness.clock.now_ms() - started_ms < 1_800.0
    assert second_attempts(harness) == {'started': 1, outcome: 1}
    lines = [r for r in caplog.records if r.message == 'second attempt']
    assert [line.outcome for line in lines] == ['started', outcome]
    first, second = (sent[0] for sent in harness.client.sent)
    assert {(r.target, r.second_target) for r in lines} == {(first, second)}
    (end,) = [r for r in caplog.records if r.message == 'request finished']
    assert end.target == (second if outcome == 'took_over' else first)


@pytest.mark.parametrize('kind', ['caller-left', 'deadline'])
def test_both_targets_are_cancelled_when_a_request_ends(kind):
    harness = engine_harness([fakes.SILENT, fakes.SILENT])

    async def leave():
        run = asyncio.ensure_future(harness.start(*stream_request(harness)))
        await asyncio.sleep(2.0)
        assert len(harness.client.sent) == 2
        run.cancel()
        await asyncio.wait([run])
        assert asyncio.all_tasks() == {asyncio.current_task()}

    if kind == 'caller-left':
        run_virtual(harness.clock, leave())
    else:
        run_stream(harness)
        assert harness.channel.status == 504
    assert [sent[2].cancelled for sent in harness.client.sent] == [True] * 2
    for target in harness.ctx.directory.all():
        assert target.load.own_runs() == 0


# Guards against ORDER: the origin of a stream was that of a target that had
# been asked last, though another one had written the caller's events.
@pytest.mark.parametrize('takes_over', [True, False])
def test_the_origin_is_the_software_whose_events_the_caller_has(takes_over):
    first = silent_stream('after-head', 2_500.0 if takes_over else 1_500.0)
    second = rest_after(0, pause_ms=900.0)
    harness = engine_harness([first, second], versions=('v1', 'v2'))
    run_stream(harness)
    assert_whole(harness)
    sent_to = harness.client.sent[takes_over][0]
    assert harness.ctx.origins.get('q1').target_id == sent_to


# Guards against ORDER: peers that miss the replacement of an origin resume the
# stream at the software of the target that was asked first.
@pytest.mark.parametrize('others', [['v2', 'v1', 'v2'], ['v2', 'v2', 'v1']])
def test_the_second_target_runs_the_software_of_the_first_if_any_does(others):
    for seed in range(20):
        scripts = [silent_stream('after-head', 2_500.0), rest_after(0)]
        harness = engine_harness(scripts, versions=('v1', 'v2', *others))
        harness.picker._rng.seed(seed)
        run_stream(harness)
        assert_whole(harness)
        targets = [
            harness.ctx.directory.get(sent[0]) for sent in harness.client.sent
        ]
        assert len({target.software_version for target in targets}) == 1


@pytest.mark.parametrize('max_targets', [2, 3, 9])
def test_silent_targets_use_no_more_attempts_and_budget_than_allowed(
    max_targets,
):
    scripts = [silent_stream('between-events', 6_000.0)]
    scripts += [fakes.FULL, (make_head(),), fakes.FULL]
    harness = engine_harness(scripts, versions=['v1'] * 9)
    allowance = harness.ctx.retries(ENGINES)
    before = allowance.available(1)
    run_stream(harness, max_targets=max_targets)
    assert_whole(harness)
    sent = len(harness.client.sent)
    assert 2 <= sent <= max_targets
    # The request itself adds its ratio of one, of which only a share is used.
    assert allowance.available(1) <= before + 1.0 - (sent - 1)


def test_no_second_target_is_asked_while_the_first_serves_others():
    harness = engine_harness([silent_stream('between-events', 2_500.0)])

    async def serve_others():
        while True:
            for target in harness.ctx.directory.all():
                target.load.record_activity()
            await asyncio.sleep(0.5)

    async def run():
        task = asyncio.ensure_future(serve_others())
        await harness.start(*stream_request(harness))
        task.cancel()

    run_virtual(harness.clock, run())
    assert_whole(harness)
    assert len(harness.client.sent) == 1


# Guards against LOST: a whole answer of a target that was silent for a while.
@pytest.mark.parametrize('pause_ms', [1_000.0, 1_500.0, 1_900.0])
@pytest.mark.parametrize('kind', [RouteKind.SAFE, RouteKind.UNSAFE])
@pytest.mark.parametrize('where', ['before-head', 'inside-body'])
def test_a_silent_target_that_goes_on_costs_no_whole_answer(
    where, kind, pause_ms
):
    script = (Pause(pause_ms), make_head(), b'whole', END)
    if where == 'inside-body':
        script = (make_head(), b'wh', Pause(pause_ms), b'ole', END)
    harness = Harness([script], [make_record('t0'), make_record('t1')])
    req = make_request(arrived_ms=harness.clock.now_ms())
    channel = harness.run(req, make_route(kind=kind))
    assert (channel.status, channel.body) == (200, b'whole')
    assert len(harness.client.sent) == 1


# Guards against a stream without end: its target stands still but sends a byte
# of an event or a comment now and then.
@pytest.mark.parametrize('part', [b'x', b': still there\n\n'])
@pytest.mark.parametrize('began', [True, False])
def test_a_stream_that_stalls_and_sends_bytes_ends_with_its_time(began, part):
    bytes_now_and_then = (Pause(50.0), part) * 1_000
    head = (make_head(), event(1)) if began else (make_head(),)
    harness = engine_harness([(*head, *bytes_now_and_then)])
    started_ms = harness.clock.now_ms()
    channel = run_stream(harness, max_targets=1, timeout_ms=4_000.0)
    assert 4_000.0 <= harness.clock.now_ms() - started_ms < 4_200.0
    if channel.aborted:
        assert not channel.finished
    else:
        assert channel.status == 504
    assert harness.client.sent[0][2].cancelled


def test_a_connection_that_is_not_accepted_makes_its_target_suspected(
    monkeypatch,
):
    # Nothing observes targets while the request runs.
    monkeypatch.setattr(
        'wigeonmill.gateway.suspicions.MAX_OBSERVATION_GAP_MS', 2 * CONNECT_MS
    )
    records = [make_record('t1'), make_record('t2')]
    unaccepted = (fakes.Pause(CONNECT_MS), *fakes.NOT_SENT)
    harness = Harness([unaccepted, fakes.GOOD], records)
    harness.clock.advance(CONNECT_MS)
    harness.ctx.suspicions.observe()
    req = make_request(arrived_ms=harness.clock.now_ms())
    assert harness.run(req, make_route()).status == 200
    lost, served = (
        harness.ctx.directory.get(sent[0]) for sent in harness.client.sent
    )
    assert harness.ctx.suspicions.is_suspected(lost)
    assert not harness.ctx.suspicions.is_suspected(served)
