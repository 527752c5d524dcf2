"""Tests of two attempts of one stream that are under way together."""

import pytest

from tests.gateway import fakes
from tests.gateway.fakes import make_head
from tests.gateway.fakes import Pause
from tests.gateway.samples import ENGINES
from tests.gateway.test_silent_targets import assert_whole
from tests.gateway.test_silent_targets import END
from tests.gateway.test_silent_targets import engine_harness
from tests.gateway.test_silent_targets import event
from tests.gateway.test_silent_targets import LAST_BEFORE_SILENCE
from tests.gateway.test_silent_targets import rest_after
from tests.gateway.test_silent_targets import run_stream
from tests.gateway.test_silent_targets import silent_stream
from tests.gateway.test_silent_targets import WHOLE_STREAM
from wigeonmill.gateway.allowances import RetryAllowance
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.target_client import ExchangeEnd
from wigeonmill.gateway.target_load import TargetLoad
from wigeonmill.routing.circuit import CircuitBreakers

WHERE = ['before-head', 'between-events']


class BrokenError(Exception):
    pass


def fail(*args):
    raise BrokenError


def assert_released(harness):
    """Check that no target works on, or is counted as doing so."""
    assert all(sent[2].cancelled for sent in harness.client.sent)
    targets = list(harness.ctx.directory.all())
    assert [t.load.own_runs() for t in targets] == [0] * len(targets)


# Guards against LOST: an error of the gateway in the attempt at the second
# target ended the stream of the first, and left the second one running.
@pytest.mark.parametrize('where', WHERE)
def test_an_error_in_the_second_attempt_leaves_the_first(where):
    second = (Pause(200.0), fail)
    harness = engine_harness([silent_stream(where, 2_500.0), second])
    run_stream(harness)
    assert_whole(harness)
    assert_released(harness)


@pytest.mark.parametrize('where', WHERE)
@pytest.mark.parametrize('method', ['send', 'pick'])
def test_an_error_as_the_second_attempt_starts_leaves_the_first(
    where, method, monkeypatch
):
    harness = engine_harness([silent_stream(where, 2_500.0), fakes.SILENT])
    owner = {'send': harness.client, 'pick': harness.picker}[method]
    calls = [getattr(owner, method)]
    monkeypatch.setattr(
        type(owner),
        method,
        lambda self, *args: (calls.pop() if calls else fail)(*args),
    )
    run_stream(harness)
    assert_whole(harness)
    assert_released(harness)


# Guards against LOST: an error of the gateway in the records of an attempt
# that had failed ended the stream of the other one.
@pytest.mark.parametrize('where', WHERE)
def test_an_error_as_an_attempt_ends_leaves_the_other(where, monkeypatch):
    second = fakes.CUT_BEFORE_HEAD
    harness = engine_harness([silent_stream(where, 2_500.0), second])
    monkeypatch.setattr(CircuitBreakers, 'record_failure', fail)
    run_stream(harness)
    assert_whole(harness)
    assert_released(harness)


# Guards against LOST: such an error as an attempt took over left neither of
# the two, since the other one had been cancelled.
@pytest.mark.parametrize('where', WHERE)
def test_an_error_as_an_attempt_takes_over_leaves_it(where, monkeypatch):
    last = LAST_BEFORE_SILENCE[where]
    harness = engine_harness([silent_stream(where, 6_000.0), rest_after(last)])
    record_outcome = TargetLoad.record_outcome
    monkeypatch.setattr(
        TargetLoad,
        'record_outcome',
        lambda self, failed: (
            fail() if failed else record_outcome(self, failed)
        ),
    )
    run_stream(harness)
    assert_whole(harness)
    assert_released(harness)


# Guards against LOST: an error as one of two attempts was closed ended the
# stream of the other one.
@pytest.mark.parametrize('where', WHERE)
@pytest.mark.parametrize('what', ['overtaken', 'failed'])
def test_an_error_closing_an_attempt_leaves_the_other(
    where, what, monkeypatch
):
    last = LAST_BEFORE_SILENCE[where]
    scripts = {
        'overtaken': [silent_stream(where, 6_000.0), rest_after(last)],
        'failed': [silent_stream(where, 2_500.0), fakes.CUT_BEFORE_HEAD],
    }
    harness = engine_harness(scripts[what])
    cancel = fakes.FakeExchange.cancel
    closed = []

    def fail_once(self):
        closed.append(self)
        (fail if len(closed) == 1 else cancel)(self)

    monkeypatch.setattr(fakes.FakeExchange, 'cancel', fail_once)
    run_stream(harness)
    assert harness.channel.finished
    assert harness.channel.body == WHOLE_STREAM
    # Later ones are closed all the same.
    assert len(closed) == 2
    assert closed[1].cancelled
    targets = list(harness.ctx.directory.all())
    assert [t.load.own_runs() for t in targets] == [0] * len(targets)


def test_an_error_in_the_only_attempt_ends_its_run():
    harness = engine_harness([(make_head(), event(1), fail)])
    with pytest.raises(BrokenError):
        run_stream(harness)
    assert_released(harness)


def test_a_head_that_cannot_be_sent_leaves_the_first():
    bad_head = make_head(fields=(('X-Bad', ''),))
    harness = engine_harness(
        [silent_stream('before-head', 2_500.0), (bad_head, event(1), END)]
    )
    begin = harness.channel.begin
    harness.channel.begin = lambda head: (
        fail() if head.fields == bad_head.fields else begin(head)
    )
    run_stream(harness)
    assert_whole(harness)
    assert_released(harness)


# Guards against LOST: an answer of the second target that is no stream
# replaced the stream that the first one was about to write.
@pytest.mark.parametrize('status', [302, 400, 404, 413])
def test_a_rejection_by_the_second_target_leaves_the_first(status):
    harness = engine_harness(
        [
            silent_stream('before-head', 1_600.0),
            (make_head(status), b'no', END),
        ]
    )
    run_stream(harness)
    assert_whole(harness)


# Guards against LOST: the first target was left for one that had written
# nothing but a comment.
@pytest.mark.parametrize('where', WHERE)
@pytest.mark.parametrize('data', [b': ping\n\n', b'retry: 10\n\n'])
@pytest.mark.parametrize('end', [(ExchangeEnd.BROKEN,), ()])
def test_a_comment_of_the_second_target_leaves_the_first(where, data, end):
    second = (make_head(), data, *end)
    harness = engine_harness([silent_stream(where, 1_600.0), second])
    run_stream(harness)
    assert_whole(harness)


def test_comments_are_passed_on_once_there_is_one_attempt():
    comment = b': ping\n\n'
    script = (make_head(), comment, event(1), comment, END)
    harness = engine_harness([script])
    assert run_stream(harness).body == comment + event(1) + comment


def test_comments_without_end_are_limited_beside_another_attempt():
    second = (make_head(), *[b': ping\n\n' * 10_000] * 100)
    harness = engine_harness([silent_stream('before-head', 1_600.0), second])
    run_stream(harness)
    assert_whole(harness)
    broken = harness.ctx.metrics.reasons('gateway_answers_broken')
    assert broken == {'event_too_long': 1}


def broken_after(first, last):
    """Return a script that writes some events and then breaks."""
    data = b''.join(event(n) for n in range(first, last + 1))
    return (make_head(), data, ExchangeEnd.BROKEN)


def sent_to(harness):
    return [sent[0] for sent in harness.client.sent]


# Guards against LOST: a stream was given up when the target that had overtaken
# the other one broke, although that one was sound and had been left for it.
@pytest.mark.parametrize('where', WHERE)
@pytest.mark.parametrize('first_breaks', [False, True])
def test_a_stream_goes_back_to_the_target_that_was_overtaken(
    where, first_breaks
):
    last = LAST_BEFORE_SILENCE[where]
    first = silent_stream(where, 6_000.0)
    second = broken_after(last + 1, last + 1)
    if first_breaks:
        opening = first[: 2 * (last > 0)]
        first = (*opening, Pause(1_500.0), *broken_after(last + 1, last + 1))
        second = fakes.SILENT
    harness = engine_harness([first, second, rest_after(last + 1)])
    run_stream(harness)
    assert_whole(harness)
    one, other, again = sent_to(harness)
    assert one != other
    assert again == (other if first_breaks else one)
    assert harness.client.sent[2][1].last_event_id == last + 1


def test_a_stream_goes_to_another_target_before_one_that_was_overtaken():
    scripts = [
        silent_stream('between-events', 6_000.0),
        broken_after(3, 3),
        rest_after(3),
    ]
    harness = engine_harness(scripts, versions=['v1'] * 3)
    run_stream(harness, max_targets=3)
    assert_whole(harness)
    assert len(set(sent_to(harness))) == 3


# Going back is a retry like others (BUDGET, ORDER).
def test_a_stream_goes_back_within_the_retry_budget():
    scripts = [silent_stream('between-events', 6_000.0), broken_after(3, 3)]
    harness = engine_harness(scripts)
    limits = RetryLimits(ratio=0.0, slack=1.5)
    allowance = RetryAllowance(harness.clock, limits)
    harness.clock.advance(limits.window_ms)
    harness.ctx._retries[ENGINES] = allowance
    run_stream(harness)
    assert harness.channel.aborted
    assert len(harness.client.sent) == 2


@pytest.mark.parametrize('max_targets', [2, 3])
def test_a_stream_goes_back_to_a_target_once(max_targets):
    scripts = [silent_stream('between-events', 6_000.0)]
    scripts += [broken_after(3, 3), broken_after(4, 4)]
    harness = engine_harness(scripts)
    run_stream(harness, max_targets=max_targets)
    assert harness.channel.aborted
    assert harness.channel.body == WHOLE_STREAM
    assert len(harness.client.sent) == 3
    assert len(set(sent_to(harness))) == 2


def test_a_stream_does_not_go_back_to_other_software():
    scripts = [silent_stream('before-head', 6_000.0), broken_after(1, 1)]
    harness = engine_harness([*scripts, rest_after(1)], versions=('v1', 'v2'))
    run_stream(harness)
    assert harness.channel.aborted
    assert harness.channel.body == event(1)
    assert len(harness.client.sent) == 2


def breaking_stream(where, pause_ms):
    """Return a script that is silent for a time and then breaks."""
    opening = silent_stream(where, 0.0)[: 2 * (where != 'before-head')]
    return (*opening, Pause(pause_ms), ExchangeEnd.BROKEN)


NOT_RUN = {
    'unreachable': fakes.NOT_SENT,
    'full': fakes.FULL,
    'wrong-target': fakes.WRONG_TARGET,
}


# Guards against LOST: targets that had not run a stream, asked beside a silent
# one, used up its attempts, so that none was left when the silent one broke.
@pytest.mark.parametrize('where', WHERE)
@pytest.mark.parametrize('what', list(NOT_RUN))
def test_targets_that_ran_nothing_use_up_no_attempts(where, what):
    last = LAST_BEFORE_SILENCE[where]
    scripts = [breaking_stream(where, 2_500.0), *[NOT_RUN[what]] * 4]
    harness = engine_harness([*scripts, rest_after(last)], versions=['v1'] * 6)
    run_stream(harness, max_targets=6)
    assert_whole(harness)
    assert len(set(sent_to(harness))) == 6


# Guards against LOST: the only other target was asked beside the silent one in
# vain, and not again when the silent one broke.
@pytest.mark.parametrize('where', WHERE)
@pytest.mark.parametrize('what', list(NOT_RUN))
def test_a_target_that_ran_nothing_is_asked_again_when_the_first_breaks(
    where, what
):
    last = LAST_BEFORE_SILENCE[where]
    scripts = [breaking_stream(where, 2_500.0), NOT_RUN[what]]
    harness = engine_harness([*scripts, rest_after(last)])
    run_stream(harness)
    assert_whole(harness)
    first, second, again = sent_to(harness)
    assert first != second == again


# Guards against BUDGET: a target that had not been reached beside a silent one
# was returned to when the route allowed no further target.
@pytest.mark.parametrize('what', ['unreachable', 'wrong-target'])
@pytest.mark.parametrize('max_targets', [2, 3])
def test_returns_do_not_exceed_the_number_of_targets(what, max_targets):
    broken = [broken_after(n, n) for n in range(1, max_targets)]
    scripts = [silent_stream('before-head', 6_000.0), NOT_RUN[what], *broken]
    # Long enough for a target that refused the request to be picked again.
    scripts[2] = (*scripts[2][:-1], Pause(1_500.0), scripts[2][-1])
    harness = engine_harness(
        [*scripts, rest_after(max_targets - 1)],
        versions=['v1'] * (max_targets + 1),
    )
    run_stream(harness, max_targets=max_targets)
    assert_whole(harness)
    first, unreached, *later = sent_to(harness)
    assert unreached not in later
    assert later[-1] == first
    assert len({first, *later}) == max_targets


def test_a_second_target_is_asked_again_if_the_first_refused_beside_it():
    scripts = [(Pause(1_500.0), *fakes.FULL)]
    scripts += [(Pause(1_000.0), *broken_after(1, 1)), rest_after(1)]
    harness = engine_harness(scripts)
    run_stream(harness)
    assert_whole(harness)
    first, second, again = sent_to(harness)
    assert second != first == again


# What is asked in vain stays bounded (BUDGET).
@pytest.mark.parametrize('what', list(NOT_RUN))
def test_targets_asked_in_vain_are_bounded(what):
    scripts = [breaking_stream('before-head', 4_000.0), NOT_RUN[what]]
    harness = engine_harness(scripts, versions=['v1'] * 20)
    beside = []
    breaks_at_ms = harness.clock.now_ms() + 4_000.0
    send = harness.client.send

    def record(*args):
        beside.append(harness.clock.now_ms() < breaks_at_ms)
        return send(*args)

    harness.client.send = record
    run_stream(harness, max_targets=20)
    assert harness.channel.status == 502
    assert beside.count(True) == 5
    assert beside.count(False) == 4
