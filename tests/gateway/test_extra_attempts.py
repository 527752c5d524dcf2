"""Tests that attempts beside slow answers help and do no harm."""

import asyncio
import random

import pytest

from tests.gateway import fakes
from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import Harness
from tests.gateway.fakes import make_head
from tests.gateway.fakes import Pause
from tests.gateway.samples import ENGINES
from tests.gateway.samples import LEDGER
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.samples import MODEL
from tests.virtual_time import run_virtual
from wigeonmill.gateway.allowances import RetryAllowance
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import ServiceShare
from wigeonmill.gateway.extra_attempts import ExtraAttempts
from wigeonmill.gateway.extra_work import ExtraWorkLimits
from wigeonmill.gateway.request import Generation
from wigeonmill.gateway.request_run import RequestRun
from wigeonmill.gateway.target_client import ExchangeEnd
from wigeonmill.gateway.target_limit import LimitStatement

END = ExchangeEnd.COMPLETE
SHARE = 0.05
USUAL_MS = 90.0
SLOW_MS = 900.0
STREAM = {
    'kind': RouteKind.STREAMING,
    'resumable': True,
    'shares': (ServiceShare(ENGINES, 1.0),),
    'timeout_ms': 15_000.0,
    'objective_ms': 400.0,
    'gap_objective_ms': 400.0,
}
PROMPT = Generation(MODEL, 1_000, 64)
EVENTS = b'id: 1\ndata: x\n\nid: 2\ndata: x\n\n'


def answer_after(ms, head=None):
    return (Pause(ms), head or make_head(), b'whole', END)


def stream_after(ms):
    return (Pause(ms), make_head(), EVENTS, END)


class Load:
    """Sends requests at a steady rate to targets with times of their own."""

    def __init__(self, share=SHARE, targets=5, stream=False, **route):
        self.stream = stream
        make = make_engine_record if stream else make_record
        self.service = ENGINES if stream else LEDGER
        records = [make(f't{n}', slots=20) for n in range(targets)]
        limits = ExtraWorkLimits(share)
        self.harness = Harness([()], records, extra_work=limits)
        # Targets are sampled, as by an entry of many.
        self.harness.ctx.entry_count = lambda: 29
        self.clock = self.harness.clock
        self.times = {record.id: USUAL_MS for record in records}
        self.route = make_route(**((STREAM if stream else {}) | route))
        self.took_ms = []
        self._rng = random.Random(1)
        self.channels = []
        self.harness.client.send = self._send

    @property
    def sent(self):
        return self.harness.client.sent

    def outcomes(self):
        metrics = self.harness.ctx.metrics
        return metrics.reasons('gateway_second_attempts')

    def ends(self):
        """Return the outcomes without the reasons for which none began."""
        names = ('first_went_on', 'took_over', 'failed', 'first_failed')
        return {k: v for k, v in self.outcomes().items() if k in names}

    def started(self):
        return self.outcomes().get('started_slow', 0)

    def _send(self, req, target, instructions, idempotent, again=False):
        after = stream_after if self.stream else answer_after
        exchange = fakes.FakeExchange(
            self.clock,
            target,
            after(self.times[target.id] * self._rng.uniform(0.8, 1.2)),
            lambda _head: None,
        )
        self.sent.append((target.id, instructions, exchange))
        return exchange

    def play(self, requests, interval_ms=20.0):
        run_virtual(self.clock, self._play(requests, interval_ms))

    async def _play(self, requests, interval_ms):
        async with asyncio.TaskGroup() as group:
            for _ in range(requests):
                group.create_task(self._run_one())
                await asyncio.sleep(interval_ms / 1_000.0)

    async def _run_one(self):
        harness = self.harness
        channel = FakeChannel()
        self.channels.append(channel)
        started_ms = self.clock.now_ms()
        req = make_request(
            arrived_ms=started_ms,
            generation=PROMPT if self.stream else None,
        )
        await RequestRun(
            harness.ctx,
            harness.client,
            harness.picker,
            fakes.NoCache(),
            req,
            self.route,
            None,
            channel,
        ).run()
        self.took_ms.append(self.clock.now_ms() - started_ms)

    def p95_ms(self, last):
        """Return the 95th percentile of the last requests."""
        return sorted(self.took_ms[-last:])[int(0.95 * last)]


def trials(load):
    return load.harness.ctx.extra._kind(load.route, load.service).trials


def assert_answered_once(load):
    for channel in load.channels:
        assert channel.status == 200
        assert channel.body == (EVENTS if load.stream else b'whole')
        assert channel.finished
    for target in load.harness.ctx.directory.all():
        assert target.load.own_runs() == 0
    assert all(exchange.cancelled for _id, _in, exchange in load.sent)


def one_slow_target(share, stream):
    load = Load(share=share, stream=stream)
    load.play(400)
    load.times['t0'] = SLOW_MS
    load.play(60)
    return load


# The objective of the route is 400 ms.
@pytest.mark.parametrize('stream', [False, True])
def test_one_target_of_five_answers_ten_times_slower(stream):
    without = one_slow_target(0.0, stream)
    load = one_slow_target(SHARE, stream)
    assert without.p95_ms(60) > 400.0
    assert load.p95_ms(60) < 400.0
    assert without.started() == 0
    assert 0 < load.started() <= SHARE * 460
    assert_answered_once(load)


# Load: one target of five answers ten times slower, and is known to.
@pytest.mark.parametrize('stream', [False, True])
def test_no_answer_is_slower_than_by_the_slow_target_alone(stream):
    without = one_slow_target(0.0, stream)
    load = one_slow_target(SHARE, stream)
    assert max(load.took_ms[-40:]) <= max(without.took_ms[-40:])


@pytest.mark.parametrize('stream', [False, True])
def test_all_targets_slow_get_no_second_attempts(stream):
    load = Load(stream=stream)
    load.play(400)
    load.times = dict.fromkeys(load.times, SLOW_MS)
    load.play(400)
    # Until most targets are seen to be slow.
    assert load.started() <= 2
    assert load.outcomes()['all_slow'] > 0
    assert_answered_once(load)


def test_the_share_is_spent():
    load = Load(share=0.01)
    load.play(200)
    load.times |= {'t0': SLOW_MS, 't1': SLOW_MS}
    load.play(100)
    assert load.started() <= 0.01 * 300
    assert load.outcomes()['extra_work_spent'] > 0
    assert_answered_once(load)


def test_a_restarted_entry_starts_none_before_it_has_served():
    load = Load()
    load.times['t0'] = SLOW_MS
    load.play(10)
    assert load.started() == 0
    assert_answered_once(load)


# Load: an entry that has started gets few requests that may be repeated among
# others.
def test_few_reads_among_many_writes_get_second_attempts():
    load = Load(share=0.2)
    read, load.route = load.route, make_route(kind=RouteKind.UNSAFE)
    load.play(60)
    assert load.started() == 0
    load.route = read
    load.times['t0'] = SLOW_MS
    load.play(15)
    assert 0 < load.started() <= 0.2 * 75
    assert_answered_once(load)


# Load: the first request that may be repeated comes after many others.
def test_other_requests_earn_extra_work_before_the_first_read():
    load = Load(targets=2)
    read, load.route = load.route, make_route(kind=RouteKind.UNSAFE)
    load.play(100)
    load.route = read
    load.times = dict.fromkeys(load.times, SLOW_MS)
    load.play(1)
    assert load.started() == 1
    assert_answered_once(load)


def prepared(*answers, stream=False, targets=2, **route):
    """Return a load of few targets; the next request has these answers."""
    load = Load(share=0.5, targets=targets, stream=stream, **route)
    load.play(200)
    load.channels.clear()
    load.sent.clear()
    scripts = iter(answers)

    def send(req, target, instructions, idempotent, again=False):
        exchange = fakes.FakeExchange(
            load.clock, target, next(scripts), lambda _head: None
        )
        load.sent.append((target.id, instructions, exchange))
        return exchange

    load.harness.client.send = send
    return load


def test_the_loser_answers_later_and_nothing_is_passed_on_twice():
    load = prepared(answer_after(250.0), answer_after(250.0))
    load.play(1, interval_ms=1_000.0)
    assert_answered_once(load)
    assert load.started() == 1
    assert load.ends() == {'first_went_on': 1}


@pytest.mark.parametrize(
    'second',
    [
        fakes.STATUS_500,
        fakes.FULL,
        fakes.UNSEALED,
        fakes.CUT_IN_BODY,
        fakes.OTHER_REQUEST,
        fakes.NOT_SENT,
    ],
)
def test_a_second_target_that_fails_leaves_the_first(second):
    load = prepared(answer_after(600.0), second)
    load.play(1, interval_ms=1_000.0)
    assert_answered_once(load)
    assert load.started() == 1
    assert load.ends() == {'failed': 1}
    assert trials(load)._running == 0


def test_a_first_target_that_fails_leaves_the_second():
    broken = (Pause(220.0), ExchangeEnd.BROKEN)
    load = prepared(broken, answer_after(150.0))
    load.play(1, interval_ms=1_000.0)
    assert_answered_once(load)
    assert load.started() == 1
    assert load.ends() == {'first_failed': 1}
    assert trials(load)._running == 0


def never():
    return stream_after(60_000.0)


def test_two_second_attempts_that_fail_leave_no_trial():
    load = prepared(
        answer_after(900.0), fakes.NOT_SENT, fakes.NOT_SENT, targets=4
    )
    load.play(1, interval_ms=1_000.0)
    assert_answered_once(load)
    assert load.started() == 2
    assert trials(load)._running == 0


def test_a_silent_second_is_no_trial_of_a_slow_answer(monkeypatch):
    load = prepared(
        never(), fakes.NOT_SENT, stream_after(10.0), stream=True, targets=4
    )
    # The second one is started once the first has been silent for 1 s.
    find = ExtraAttempts.candidates

    def candidates(extra, targets, route):
        return [] if load.started() else find(extra, targets, route)

    monkeypatch.setattr(ExtraAttempts, 'candidates', candidates)
    load.play(1, interval_ms=3_000.0)
    assert load.channels[0].finished
    assert load.started() == load.outcomes()['started'] == 1
    assert trials(load)._running == 0
    assert trials(load)._allowed < 2.0


# Load: one target of five never answers.
def sent_to_dead_target(share, dead):
    load = Load(share=share)
    load.play(200)
    load.times[dead] = 1e9
    load.sent.clear()
    load.play(200)
    return sum(target_id == dead for target_id, _in, _exchange in load.sent)


def test_a_dead_target_gets_no_more_requests_than_without_extra_work():
    # Each of the five in turn, as they differ in what is expected of them.
    ids = [f't{n}' for n in range(5)]
    without = sum(sent_to_dead_target(0.0, dead) for dead in ids)
    assert sum(sent_to_dead_target(SHARE, dead) for dead in ids) <= without


def test_an_overtaken_target_is_avoided_for_a_time():
    load = prepared(answer_after(900.0), answer_after(1.0))
    load.play(1, interval_ms=1_000.0)
    assert load.ends() == {'took_over': 1}
    slow = load.harness.ctx.directory.get(load.sent[0][0])
    assert slow.load.failure_share() > 0.0
    assert not load.harness.ctx.circuits.blocked(slow.id)
    load.sent.clear()
    load.harness.client.send = load._send
    load.play(20)
    assert slow.id not in {target_id for target_id, _in, _ex in load.sent}
    load.clock.advance(10_000.0)
    assert slow.load.failure_share() == 0.0


# The second one is started when the first is slow, and answers before the
# first has been silent for 1 s, or after.
@pytest.mark.parametrize(('ms', 'silent'), [(50.0, False), (1_500.0, True)])
def test_a_silent_stream_that_is_overtaken_counts_as_failed(
    ms, silent, monkeypatch
):
    failures = []
    record = RequestRun._record_outcome

    def record_outcome(run, target, failure, sent_ms):
        if failure is not None:
            failures.append(target.id)
        record(run, target, failure, sent_ms)

    monkeypatch.setattr(RequestRun, '_record_outcome', record_outcome)
    load = prepared(never(), stream_after(ms), stream=True)
    load.play(1, interval_ms=3_000.0)
    assert load.started() == 1
    assert load.ends() == {'took_over': 1}
    slow = load.harness.ctx.directory.get(load.sent[0][0])
    assert slow.load.failure_share() > 0.0
    assert failures == ([slow.id] if silent else [])


def test_a_rejection_by_the_second_target_leaves_the_first():
    rejected = answer_after(0.0, make_head(404))
    load = prepared(answer_after(600.0), rejected)
    load.play(1, interval_ms=1_000.0)
    assert_answered_once(load)
    assert load.ends() == {'failed': 1}


def test_a_rejection_by_the_first_is_passed_on_as_without_a_second_target():
    rejected = answer_after(250.0, make_head(404))
    load = prepared(rejected, answer_after(250.0))
    load.play(1, interval_ms=1_000.0)
    assert load.started() == 1
    assert load.channels[0].status == 404


# What must not get a second attempt.
@pytest.mark.parametrize(
    ('stream', 'changes'),
    [
        (False, {'kind': RouteKind.UNSAFE}),
        (False, {'max_targets': 1}),
        (True, {'resumable': False}),
        (True, {'max_targets': 1}),
    ],
)
def test_what_may_not_be_repeated_has_one_attempt(stream, changes):
    after = stream_after if stream else answer_after
    load = prepared(after(900.0), after(1.0), stream=stream, **changes)
    load.play(1, interval_ms=1_000.0)
    assert len(load.sent) == 1
    assert_answered_once(load)


def cold(load, target):
    target.cold_until_ms = load.clock.now_ms() + 60_000.0


def closed(load, target):
    target.closed_until_ms = load.clock.now_ms() + 60_000.0


def limited(load, target):
    now_ms = load.clock.now_ms()
    target.limit.apply(LimitStatement(100.0, now_ms, now_ms))


def full(load, target):
    for _ in range(target.slots):
        target.load.open(0, 0, 0)


def no_budget(load, target):
    limits = RetryLimits(ratio=0.0, slack=0.0)
    allowance = RetryAllowance(load.clock, limits)
    load.harness.ctx._retries[LEDGER] = allowance


# Load: slow answers to small requests, then a lost target.
def test_a_lost_target_gets_its_retry_after_much_extra_work():
    load = Load(share=1.0)
    limits = RetryLimits(ratio=0.05, slack=0.0)
    allowance = RetryAllowance(load.clock, limits)
    load.harness.ctx._retries[LEDGER] = allowance
    load.play(200)
    load.times |= {'t0': SLOW_MS, 't1': SLOW_MS}
    load.play(200)
    assert load.started() > 0
    assert load.outcomes()['budget'] > 0
    # Each starts while half is left.
    assert allowance.available(29) >= allowance._allowed(29) / 2.0 - 1.0
    load.channels.clear()
    scripts = iter((fakes.CUT_IN_BODY, answer_after(1.0)))
    load.harness.client.send = lambda _req, target, *_: fakes.FakeExchange(
        load.clock, target, next(scripts), lambda _head: None
    )
    load.play(1)
    assert load.channels[0].status == 200


@pytest.mark.parametrize('restrict', [cold, closed, limited, full, no_budget])
def test_no_extra_work_goes_to_a_restricted_target(restrict):
    load = prepared(answer_after(900.0), answer_after(1.0))
    for target in load.harness.ctx.directory.all():
        # The request goes to one of them nevertheless.
        if target.id == 't1' or restrict is not closed:
            restrict(load, target)
    load.play(1, interval_ms=1_000.0)
    assert len(load.sent) == 1
    assert_answered_once_without_runs(load)


def assert_answered_once_without_runs(load):
    assert load.channels[0].status == 200
    assert load.channels[0].body == b'whole'
    assert load.started() == 0
