"""Tests that what has arrived is used by a loop that comes to it late."""

import pytest

from tests.gateway.fakes import make_head
from tests.gateway.fakes import Pause
from tests.gateway.samples import MODEL
from tests.gateway.test_silent_targets import assert_whole
from tests.gateway.test_silent_targets import END
from tests.gateway.test_silent_targets import engine_harness
from tests.gateway.test_silent_targets import event
from tests.gateway.test_silent_targets import run_stream
from tests.gateway.test_silent_targets import STREAM
from tests.gateway.test_silent_targets import WHOLE_STREAM
from wigeonmill.gateway.context import DEFAULT_WEIGHTS_DEADLINE_MS

STEP_MS = 100.0
LATE_MS = STREAM['timeout_ms'] + 100.0


class Late:
    """A part that a loop passes on `ms` after it and the next ones came."""

    def __init__(self, part, ms=LATE_MS):
        self.part = part
        self.ms = ms


def late_harness(script, versions=('v1', 'v1')):
    harness = engine_harness([], versions)

    def take(item):
        if not isinstance(item, Late):
            return item

        def take_late():
            for _step in range(int(item.ms / STEP_MS)):
                harness.clock.advance(STEP_MS)
                # The key-value service stays within reach.
                harness.ctx.freshness.confirm()
            return item.part

        return take_late

    harness.client.set_scripts([[take(item) for item in script]])
    return harness


# Guards against LOST: parts of a stream that had arrived were dropped when a
# late loop had passed the deadline before it came to them.
@pytest.mark.parametrize(
    'script',
    [
        (Late(make_head()), WHOLE_STREAM, END),
        (make_head(), Late(event(1)), event(2), event(3) + event(4), END),
        (make_head(), Late(WHOLE_STREAM), END),
    ],
    ids=['after-head', 'after-event', 'before-end'],
)
@pytest.mark.parametrize('resumable', [True, False])
def test_what_arrived_before_a_late_loop_is_passed_on(script, resumable):
    harness = late_harness(script)
    run_stream(harness, resumable=resumable)
    assert_whole(harness)


# A deadline still ends the wait for what has not arrived.
def test_a_late_loop_waits_for_nothing_more():
    parts = (make_head(), Late(event(1)), event(2), Pause(1.0), event(3))
    harness = late_harness(parts)
    started_ms = harness.clock.now_ms()
    run_stream(harness)
    assert harness.channel.body == event(1) + event(2)
    assert harness.channel.aborted
    assert harness.clock.now_ms() - started_ms == LATE_MS
    assert len(harness.client.sent) == 1


# Guards against LOST: the first event on weights that had expired meanwhile
# had arrived, so that the run had begun in time.
def test_an_event_that_arrived_before_weights_expired_is_passed_on():
    harness = late_harness((Late(make_head(), 3_100.0), WHOLE_STREAM, END))
    for target in harness.ctx.directory.all():
        target.weights[MODEL] = 1
    harness.ctx.freshness.confirm()
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.clock.advance(DEFAULT_WEIGHTS_DEADLINE_MS - 3_000.0)
    harness.ctx.freshness.confirm()
    run_stream(harness)
    assert_whole(harness)
