"""Tests what callers get and what targets see, however attempts end."""

import itertools
import logging

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.gateway import fakes
from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import Harness
from tests.gateway.fakes import make_head
from tests.gateway.samples import ENGINES
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import make_generation
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.samples import MODEL
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.context import DEFAULT_WEIGHTS_DEADLINE_MS
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import ServiceShare
from wigeonmill.gateway.target_client import ExchangeEnd
from wigeonmill.providers.transfers import Framing
from wigeonmill.routing.circuit import FAILURES_TO_OPEN

MAY_HAVE_RUN = [
    fakes.CUT_BEFORE_HEAD,
    fakes.MALFORMED,
    fakes.CUT_IN_BODY,
    fakes.STATUS_500,
    fakes.UNSEALED,
    fakes.OTHER_REQUEST,
    fakes.UNMARKED_503,
    fakes.GOOD,
    fakes.SILENT,
]
NOT_RUN = [fakes.NOT_SENT, fakes.FULL, fakes.WRONG_TARGET]
# The priority of a long prompt on a route of priority 1.
LONG_PROMPT_PRIORITY = 3
NOT_RUN_STATUSES = (408, 421, 429, 503)


def plain_harness(scripts, count=3):
    records = [make_record(f't{n}') for n in range(count)]
    return Harness(scripts, records)


def request_at(harness, **changes):
    return make_request(arrived_ms=harness.clock.now_ms(), **changes)


@given(
    st.lists(st.sampled_from(MAY_HAVE_RUN + NOT_RUN), min_size=1, max_size=6)
)
def test_unsafe_requests_run_at_most_once_and_not_run_statuses_are_true(
    scripts,
):
    harness = plain_harness(scripts)
    route = make_route(kind=RouteKind.UNSAFE, max_targets=3)
    channel = harness.run(request_at(harness), route)
    played_scripts = [scripts[min(n, len(scripts) - 1)] for n in range(10)]
    sent = played_scripts[: len(harness.client.sent)]
    may_have_run = sum(1 for script in sent if script in MAY_HAVE_RUN)
    assert may_have_run <= 1
    assert channel.status is not None
    if channel.status in NOT_RUN_STATUSES:
        assert may_have_run == 0


@given(
    st.lists(st.sampled_from(MAY_HAVE_RUN + NOT_RUN), min_size=1, max_size=6)
)
def test_a_success_is_always_one_complete_verified_answer(scripts):
    harness = plain_harness(scripts)
    channel = harness.run(request_at(harness), make_route(max_targets=3))
    if channel.status == 200:
        assert channel.body == b'whole'
    assert all(
        exchange.cancelled
        for _id, _instructions, exchange in harness.client.sent
    )


def test_a_safe_request_is_retried_at_another_target():
    harness = plain_harness([fakes.CUT_IN_BODY, fakes.GOOD])
    channel = harness.run(request_at(harness), make_route())
    assert channel.status == 200
    first, second = (
        id_ for id_, _instructions, _exchange in harness.client.sent
    )
    assert first != second


def test_a_request_is_sent_to_no_more_targets_than_its_route_allows():
    harness = plain_harness([fakes.STATUS_500])
    channel = harness.run(request_at(harness), make_route(max_targets=2))
    assert len(harness.client.sent) == 2
    assert channel.status == 500
    assert channel.body == b'sorry'


def test_attempts_that_reached_no_target_do_not_count():
    harness = plain_harness([fakes.NOT_SENT, fakes.NOT_SENT, fakes.GOOD])
    channel = harness.run(
        request_at(harness), make_route(kind=RouteKind.UNSAFE, max_targets=1)
    )
    assert channel.status == 200


def test_the_deadline_sent_never_increases():
    harness = plain_harness([fakes.CUT_BEFORE_HEAD, fakes.GOOD])
    harness.run(request_at(harness, deadline_ms=900.0), make_route())
    remaining_ms = [
        instructions.deadline_ms
        for _id, instructions, _exchange in harness.client.sent
    ]
    assert remaining_ms[0] <= 900.0
    assert remaining_ms[1] <= remaining_ms[0]


def test_the_route_timeout_bounds_the_wait_of_the_caller():
    harness = plain_harness([fakes.SILENT])
    req = request_at(harness)
    channel = harness.run(req, make_route(timeout_ms=700.0))
    assert channel.refusal.reason is Reason.TIMEOUT
    assert harness.clock.now_ms() - req.arrived_ms <= 700.0 + 250.0


def test_without_targets_the_refusal_is_immediate_and_has_a_retry_time():
    harness = plain_harness([fakes.GOOD], count=0)
    before_ms = harness.clock.now_ms()
    channel = harness.run(request_at(harness), make_route())
    assert channel.status == 503
    assert channel.refusal.retry_after_ms > 0
    assert harness.clock.now_ms() == before_ms


def stream_route(**changes):
    values = {
        'kind': RouteKind.STREAMING,
        'resumable': True,
        'shares': (ServiceShare(ENGINES, 1.0),),
        'timeout_ms': 15_000.0,
        'objective_ms': 800.0,
    }
    return make_route(**(values | changes))


def engine_harness(scripts, count=3):
    return Harness(
        scripts, [make_engine_record(f'e{n}') for n in range(count)]
    )


def event(number):
    return b'id: %d\ndata: x\n\n' % number


def stream(*numbers, end=ExchangeEnd.COMPLETE, tail=b''):
    data = b''.join(event(number) for number in numbers) + tail
    return (make_head(), data, end)


def run_stream(harness, route=None, **changes):
    values = {'generation': make_generation(), 'deadline_ms': 15_000.0}
    req = request_at(harness, **(values | changes))
    return harness.run(req, route or stream_route())


def test_a_stream_continues_elsewhere_after_its_last_complete_event():
    first = stream(1, 2, end=ExchangeEnd.BROKEN, tail=b'id: 3\nda')
    harness = engine_harness([first, stream(3, 4)])
    channel = run_stream(harness)
    assert channel.finished
    assert channel.body == b''.join(event(n) for n in (1, 2, 3, 4))
    resumed = harness.client.sent[1][1]
    assert resumed.last_event_id == 2


# Guards against MIXED: the rejection of a resumption was written, with a head
# of its own, into the stream that the caller was reading.
@pytest.mark.parametrize('status', [200, 204, 301, 400, 404])
def test_a_whole_answer_to_a_resumption_is_not_written_into_the_stream(status):
    rejection = (make_head(status), b'what?', ExchangeEnd.COMPLETE)
    if status == 200:
        rejection = (make_head(encoded=True), b'what?', ExchangeEnd.COMPLETE)
    first = stream(1, end=ExchangeEnd.BROKEN)
    harness = engine_harness([first, rejection])
    channel = run_stream(harness)
    assert channel.body == event(1)
    assert channel.aborted
    assert not channel.finished


def test_events_already_relayed_are_not_sent_again():
    first = stream(1, 2, end=ExchangeEnd.BROKEN)
    harness = engine_harness([first, stream(2, 3)])
    channel = run_stream(harness)
    assert channel.body == b''.join(event(n) for n in (1, 2, 3))


def test_the_caller_keeps_the_head_of_the_first_target():
    first = (
        make_head(fields=(('Seal', 'first'),)),
        event(1),
        ExchangeEnd.BROKEN,
    )
    harness = engine_harness([first, stream(2)])
    started_heads = []
    harness.channel.begin = lambda head: (
        started_heads.append(head)
        or setattr(harness.channel, 'status', head.status)
    )
    run_stream(harness)
    assert [head.fields for head in started_heads] == [(('Seal', 'first'),)]


def test_a_broken_stream_that_cannot_resume_never_looks_complete():
    harness = engine_harness([stream(1, end=ExchangeEnd.BROKEN), stream(1)])
    channel = run_stream(harness, stream_route(resumable=False))
    assert len(harness.client.sent) == 1
    assert channel.aborted
    assert not channel.finished


def test_a_stream_cut_before_its_first_event_was_not_started():
    harness = engine_harness([(make_head(), ExchangeEnd.BROKEN)])
    channel = run_stream(harness, stream_route(resumable=False))
    assert channel.status == 502


# Received bytes of a stream that ended, though orderly, inside an event.
ENDS_INSIDE_AN_EVENT = {
    'in-first-event': b'id: 1\nda',
    'in-second-event': event(1) + b'id: 2\nda',
    'between-lines': event(1) + b'id: 2\n',
    'before-blank-line': event(1) + event(2)[:-1],
}


@pytest.mark.parametrize('framing', list(Framing))
@pytest.mark.parametrize('ends', list(ENDS_INSIDE_AN_EVENT))
def test_a_stream_that_ends_inside_an_event_is_not_finished(ends, framing):
    """A stream that had been broken off reached its caller as complete."""
    data = ENDS_INSIDE_AN_EVENT[ends]
    script = (make_head(framing=framing), data, ExchangeEnd.COMPLETE)
    harness = engine_harness([script])
    channel = run_stream(harness, stream_route(resumable=False))
    assert not channel.finished
    assert channel.aborted or channel.status == 502
    assert channel.aborted == data.startswith(event(1))


def test_a_stream_without_length_that_ends_before_its_first_event_failed():
    """An empty stream whose connection closed was passed on as complete."""
    script = (make_head(framing=Framing.CLOSE), ExchangeEnd.COMPLETE)
    harness = engine_harness([script])
    channel = run_stream(harness, stream_route(resumable=False))
    assert channel.status == 502


# Guards against LOST: the reply to HEAD on a stream's route was taken for a
# stream that had broken off, its targets for lost, and the caller was refused.
def test_the_reply_to_head_is_whole_without_an_event():
    head = make_head(framing=Framing.CLOSE)
    harness = engine_harness([(head, ExchangeEnd.COMPLETE)])
    channel = run_stream(harness, method='HEAD', body=b'')
    assert channel.finished
    assert channel.status == 200
    assert len(harness.client.sent) == 1
    assert harness.ctx.metrics.reasons('gateway_answers_broken') == {}


@pytest.mark.parametrize('ends', list(ENDS_INSIDE_AN_EVENT))
def test_a_resumable_stream_that_ends_inside_an_event_goes_on(ends):
    """A stream that had been broken off reached its caller as complete."""
    data = ENDS_INSIDE_AN_EVENT[ends]
    head = make_head(framing=Framing.CLOSE)
    rest = stream(*range(1 + data.count(event(1)), 4))
    harness = engine_harness([(head, data, ExchangeEnd.COMPLETE), rest])
    channel = run_stream(harness)
    assert channel.finished
    assert channel.body == b''.join(event(n) for n in (1, 2, 3))


@pytest.mark.parametrize('tail', [b'', b'\n', b'\r\n', b': done\n'])
def test_a_stream_may_end_with_its_connection_after_an_event(tail):
    head = make_head(framing=Framing.CLOSE)
    data = event(1) + event(2) + tail
    harness = engine_harness([(head, data, ExchangeEnd.COMPLETE)])
    channel = run_stream(harness, stream_route(resumable=False))
    assert channel.finished
    assert channel.body == data


def test_a_target_that_ends_a_stream_inside_an_event_counts_as_failed():
    script = (make_head(), event(1) + b'id: 2\n', ExchangeEnd.COMPLETE)
    harness = engine_harness([script], count=1)
    run_stream(harness, stream_route(resumable=False))
    (target,) = harness.ctx.directory.all()
    broken = harness.ctx.metrics.reasons('gateway_answers_broken')
    assert broken == {'inside_event': 1}
    (loss,) = [x for x in harness.ctx.loss_log.after(0) if x.loss]
    assert loss.loss == 'e0@1000'
    assert target.load.failure_share() > 0


def test_a_stalled_stream_moves_to_another_target_in_time():
    harness = engine_harness([fakes.SILENT, stream(1)])
    channel = run_stream(harness)
    assert channel.finished
    assert len(harness.client.sent) == 2


def test_a_resuming_caller_gets_only_the_missing_events():
    harness = engine_harness([stream(8, 9)])
    (began_at, *_others) = harness.ctx.directory.all()
    harness.ctx.origins.record('q0', began_at)
    channel = run_stream(harness, last_event_id=8, resumed_id='q0')
    assert channel.body == event(9)
    assert harness.client.sent[0][1].last_event_id == 8


# Guards against CONFIG: equal requests that one target was running when it
# crashed were refused by all entries for two minutes.
@pytest.mark.parametrize('kind', RouteKind)
def test_equal_requests_that_lost_one_target_are_not_refused(kind):
    harness = engine_harness([fakes.CUT_BEFORE_HEAD], count=1)
    route = stream_route(kind=kind, resumable=False, max_targets=1)
    for number in range(8):
        harness.channel = fakes.FakeChannel()
        run_stream(harness, route, id=f'q{number}')
        if harness.channel.refusal is not None:
            assert harness.channel.refusal.reason is not Reason.CRASHES_TARGETS
    assert len(harness.client.sent) >= 3


def test_a_request_that_lost_three_targets_is_refused_everywhere():
    harness = engine_harness([fakes.CUT_BEFORE_HEAD])
    route = stream_route(max_targets=1)
    statuses = []
    for attempt in range(5):
        harness.channel = fakes.FakeChannel()
        statuses.append(run_stream(harness, route, id=f'q{attempt}').status)
    assert statuses == [502, 502, 502, 503, 503]
    assert len(harness.client.sent) == 3


# Guards against MIXED: targets whose answers were malformed counted as lost,
# and equal requests were refused although no target had crashed.
def test_a_request_whose_answers_are_malformed_is_refused_nowhere():
    harness = engine_harness([fakes.MALFORMED], count=8)
    route = stream_route(max_targets=1)
    for number in range(5):
        harness.channel = fakes.FakeChannel()
        channel = run_stream(harness, route, id=f'q{number}')
        assert channel.refusal.reason is Reason.MAY_HAVE_RUN
    assert len(harness.client.sent) == 5


# Guards against MIXED: a target that wrote nothing but malformed answers was
# not held to be at fault.
def test_a_target_whose_answers_are_malformed_gets_no_more_for_a_while():
    harness = plain_harness([fakes.MALFORMED], count=1)
    for number in range(FAILURES_TO_OPEN):
        assert not harness.ctx.circuits.blocked('t0')
        harness.channel = fakes.FakeChannel()
        harness.run(request_at(harness, id=f'q{number}'), make_route())
    assert harness.ctx.circuits.blocked('t0')


@pytest.mark.parametrize(
    'scripts',
    list(itertools.product([fakes.FULL, fakes.WRONG_TARGET], repeat=2)),
)
def test_each_attempt_carries_weight_version_and_salt(scripts):
    harness = engine_harness([*scripts, stream(1)])
    run_stream(harness, stream_route(max_targets=3))
    for _id, instructions, _exchange in harness.client.sent:
        assert instructions.weight_version == 1
        assert instructions.cache_salt == 's'


def test_every_arrival_beyond_the_first_uses_the_retry_allowance():
    """Refusals by another process at the same address are arrivals too."""
    harness = plain_harness([fakes.WRONG_TARGET], count=5)
    allowance = harness.ctx.retries('ledger')
    before = allowance.available(1)
    harness.run(request_at(harness), make_route(max_targets=5))
    sent = len(harness.client.sent)
    assert sent > 1
    # The request itself adds its ratio of one, of which only a share is used.
    assert allowance.available(1) <= before + 1.0 - (sent - 1)


def test_failing_or_silent_targets_do_not_make_requests_late():
    """Poor health of all targets is no reason to refuse a timely request."""
    harness = engine_harness([stream(1)])
    for target in harness.ctx.directory.all():
        for _turn in range(50):
            target.load.record_outcome(failed=True)
        for _run in range(60):
            target.load.open(12_000, 12_000, 7)
    channel = run_stream(harness)
    assert channel.finished
    assert harness.client.sent[0][1].priority == LONG_PROMPT_PRIORITY


def test_a_started_stream_resumes_at_the_highest_priority():
    """Its first event was in time; only a long pause can make it late."""
    first = (
        make_head(),
        event(1),
        lambda: harness.clock.advance(2_000) or ExchangeEnd.BROKEN,
    )
    harness = engine_harness([first, stream(2)])
    channel = run_stream(harness)
    assert channel.finished
    assert harness.client.sent[0][1].priority == LONG_PROMPT_PRIORITY
    assert harness.client.sent[1][1].priority == 0


def test_a_stalled_stream_is_kept_if_it_cannot_move():
    def delayed_event():
        harness.clock.advance(4_000)
        return event(1)

    harness = engine_harness(
        [(make_head(), delayed_event, ExchangeEnd.COMPLETE)]
    )
    channel = run_stream(harness, stream_route(max_targets=1))
    assert channel.finished
    stalled = (make_head(), event(1))
    harness = engine_harness([stalled])
    channel = run_stream(harness, stream_route(max_targets=1))
    assert len(harness.client.sent) == 1
    assert channel.aborted
    assert harness.clock.now_ms() >= 15_000


def test_short_prompts_go_before_long_ones_of_the_same_priority():
    """A team's short and long prompts share the priority of the team."""
    priorities = []
    for tokens in (1_500, 8_000):
        harness = engine_harness([stream(1)])
        generation = make_generation(tokens=tokens, own=400)
        req = request_at(harness, generation=generation, deadline_ms=15_000.0)
        harness.run(req, stream_route(priority=1))
        priorities.append(harness.client.sent[0][1].priority)
    assert priorities == [2, LONG_PROMPT_PRIORITY]


def test_an_urgent_long_prompt_goes_before_a_less_urgent_short_one():
    priorities = []
    for priority, tokens in ((0, 8_000), (1, 1_500)):
        harness = engine_harness([stream(1)])
        generation = make_generation(tokens=tokens, own=400)
        req = request_at(harness, generation=generation, deadline_ms=15_000.0)
        harness.run(req, stream_route(priority=priority))
        priorities.append(harness.client.sent[0][1].priority)
    assert priorities[0] < priorities[1]


def queued_past_the_weights_deadline(harness, resumable):
    """Run a stream that its first target does not begin in time."""
    harness.ctx.freshness.confirm()
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.clock.advance(DEFAULT_WEIGHTS_DEADLINE_MS - 5_000.0)
    harness.ctx.freshness.confirm()
    return run_stream(harness, stream_route(resumable=resumable))


def serving_others(harness):
    """Return a script of a target that answers other requests only."""

    def serve_others():
        harness.clock.advance(400)
        harness.ctx.freshness.confirm()
        for target in harness.ctx.directory.all():
            target.load.record_activity()

    return [serve_others] * 40


def test_a_run_that_has_not_begun_leaves_expired_weights():
    """A queued request must not begin once the bound has passed."""
    harness = engine_harness([], count=2)
    harness.client.set_scripts([serving_others(harness), stream(1)])
    old, new = harness.ctx.directory.all()
    started_ms = harness.clock.now_ms()
    new.refusing_until_ms = started_ms + 12_000.0
    new.weights[MODEL] = 2
    channel = queued_past_the_weights_deadline(harness, resumable=True)
    assert [sent[0] for sent in harness.client.sent] == [old.id, new.id]
    assert harness.client.sent[0][2].cancelled
    assert harness.clock.now_ms() - started_ms < DEFAULT_WEIGHTS_DEADLINE_MS
    assert channel.finished


def test_a_run_that_may_have_begun_on_expired_weights_is_not_called_not_run():
    harness = engine_harness([])
    harness.client.set_scripts([serving_others(harness)])
    channel = queued_past_the_weights_deadline(harness, resumable=False)
    assert len(harness.client.sent) == 1
    assert channel.status == 502


def test_a_target_that_lists_no_weights_is_not_taken_as_outdated():
    harness = engine_harness([], count=1)
    harness.client.set_scripts([[*serving_others(harness)[:20], *stream(1)]])
    (target,) = harness.ctx.directory.all()
    target.weights.clear()
    channel = queued_past_the_weights_deadline(harness, resumable=False)
    assert channel.finished


def test_the_log_has_the_time_that_was_left_for_old_weights(caplog):
    caplog.set_level(logging.INFO)
    harness = engine_harness([stream(1)], count=1)
    harness.ctx.freshness.confirm()
    harness.ctx.desired.set_weight_version(MODEL, 2)
    run_stream(harness, stream_route())
    line = [r for r in caplog.records if r.msg == 'request finished'][-1]
    assert line.weights == 1
    assert line.old_weights_remaining_ms == DEFAULT_WEIGHTS_DEADLINE_MS


# Guards against VERSION: naming a third version prolonged the time of the
# first, although the time for the second was over.
def test_the_log_has_what_was_received_of_a_stream(caplog):
    head = make_head(framing=Framing.CLOSE)
    data = event(1) + b'id: 2\nda'
    harness = engine_harness([(head, data, ExchangeEnd.BROKEN)])
    with caplog.at_level(logging.INFO):
        run_stream(harness, stream_route(resumable=False))
    (line,) = [r for r in caplog.records if r.message == 'request finished']
    assert line.framing == 'close'
    assert line.events == 1
    assert line.trailing_bytes == len(b'id: 2\nda')


def test_a_later_version_does_not_extend_the_time_of_the_oldest_weights():
    harness = engine_harness([stream(1)], count=1)
    harness.ctx.freshness.confirm()
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.clock.advance(4_000)
    harness.ctx.freshness.confirm()
    harness.ctx.desired.set_weight_version(MODEL, 3)
    for _turn in range(12):
        harness.clock.advance((DEFAULT_WEIGHTS_DEADLINE_MS - 3_000) / 12)
        harness.ctx.freshness.confirm()
    channel = run_stream(harness)
    assert not harness.client.sent
    assert channel.status == 503


# Guards against a sound request that is refused for two minutes: three targets
# ended for other reasons while they ran it, though others served it each time.
def test_a_request_that_is_served_each_time_does_not_crash_its_targets():
    scripts = [fakes.CUT_BEFORE_HEAD, fakes.GOOD] * 3 + [fakes.GOOD]
    harness = plain_harness(scripts, count=7)
    route = make_route(max_targets=2)
    for _ in range(4):
        harness.channel = FakeChannel()
        channel = harness.run(request_at(harness), route)
        assert channel.status == 200


# An answer that a target gave without running the request shows nothing.
def test_a_request_that_is_only_rejected_may_crash_its_targets():
    rejected = (make_head(404), b'', ExchangeEnd.COMPLETE)
    scripts = [fakes.CUT_BEFORE_HEAD, rejected] * 3 + [fakes.GOOD]
    harness = plain_harness(scripts, count=7)
    route = make_route(max_targets=2)
    for _ in range(4):
        harness.channel = FakeChannel()
        channel = harness.run(request_at(harness), route)
    assert channel.refusal.reason is Reason.CRASHES_TARGETS
