"""Tests of the exchange with a target, without a network."""

import asyncio

import pytest

from tests.gateway.fakes import make_head
from tests.gateway.samples import make_request
from tests.gateway.samples import make_target
from tests.virtual_time import VirtualTimeLoop
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.target_client import DEADLINE_MARGIN_MS
from wigeonmill.gateway.target_client import Instructions
from wigeonmill.gateway.target_client import LATE_HEAD_MS
from wigeonmill.gateway.target_client import TargetClient
from wigeonmill.gateway.target_notices import Notice
from wigeonmill.gateway.target_notices import TargetNotices
from wigeonmill.metrics import Metrics
from wigeonmill.providers.transfers import ReplyHead
from wigeonmill.providers.transfers import TransferEnd

CLOSED_MS = 2_000.0
TIME_MS = 500.0
RESTING = Notice(closed_ms=CLOSED_MS)


class FakeTransfers:
    """Keeps the sink of each transfer; nothing is sent."""

    def __init__(self):
        self.sinks = []
        self.calls = []
        self.done = False

    def start(self, call, sink, acknowledges=False):
        self.sinks.append(sink)
        self.calls.append(call)
        return self

    def cancel(self):
        self.done = True

    def release(self, size):
        pass


class FakeCodec:
    """Decodes every head as a refusal with one notice."""

    def __init__(self, notice):
        self._notice = notice

    def request_fields(self, req, instructions):
        return ()

    def answer_head(self, head):
        return make_head(head.status, notice=self._notice)

    def is_answer_to(self, req, head):
        return head.get('request-id') in (None, req.id)


class World:
    """A client with one target whose answers carry `notice`."""

    def __init__(self, notice=RESTING):
        self.clock = ManualClock(1_000.0)
        self.metrics = Metrics()
        self.transfers = FakeTransfers()
        notices = TargetNotices(self.clock, self.metrics, lambda: 0.0)
        codec = FakeCodec(notice)
        self.client = TargetClient(self.transfers, codec, self.clock, notices)
        self.target = make_target(self.clock)

    def send(self):
        return self.client.send(
            make_request(), self.target, Instructions('t1', TIME_MS), True
        )

    def receive_head(self, status=503):
        self.transfers.sinks[-1].on_head(ReplyHead(status, ()))

    @property
    def closed_for_ms(self):
        return max(0.0, self.target.closed_until_ms - self.clock.now_ms())


@pytest.mark.parametrize('suspected', [False, True])
def test_a_suspected_target_gets_its_requests_on_new_connections(suspected):
    """A machine that is lost accepts none, and what was not sent may retry."""
    world = World()
    world.target.suspected = suspected
    world.send()
    assert (world.transfers.calls[0].max_idle_s == 0) is suspected


# Guards against REFUSED: the refusal of the first time came once more, while
# the target ran the request.
@pytest.mark.parametrize('again', [False, True])
def test_a_request_is_sent_again_to_a_target_on_a_new_connection(again):
    world = World()
    world.client.send(
        make_request(), world.target, Instructions('t1', TIME_MS), True, again
    )
    assert (world.transfers.calls[0].max_idle_s == 0) is again


# Guards against a target that is closed, limited or taken for leaving by what
# it said some requests ago.
def test_a_notice_in_another_requests_answer_says_nothing():
    world = World()
    exchange = world.send()
    fields = (('Request-Id', 'earlier'),)
    world.transfers.sinks[-1].on_head(ReplyHead(503, fields))
    head = asyncio.run(exchange.next(world.clock.now_ms() + 1.0))
    assert head.foreign
    assert world.closed_for_ms == 0.0


# Guards against a notice that is lost because nobody reads the answer.
@pytest.mark.parametrize('end', [None, TransferEnd.BROKEN])
def test_a_notice_counts_although_its_answer_is_never_read(end):
    world = World()
    exchange = world.send()
    world.receive_head()
    if end is not None:
        world.transfers.sinks[-1].on_end(end, 'reset')
    exchange.cancel()
    assert world.closed_for_ms == CLOSED_MS
    assert world.metrics.reasons('target_notices') == {'closed': 1}


# Guards against a time that begins anew when the answer is read.
def test_a_notice_is_applied_once_at_its_arrival():
    world = World()
    exchange = world.send()
    world.receive_head()
    world.clock.advance(500.0)
    asyncio.run(exchange.next(world.clock.now_ms() + 1.0))
    assert world.closed_for_ms == CLOSED_MS - 500.0
    assert world.metrics.reasons('target_notices') == {'closed': 1}


# Guards against a way to a target that no choice of targets has checked.
def test_a_request_to_a_target_that_wants_none_is_counted_and_logged(caplog):
    world = World()
    world.send()
    assert world.metrics.reasons('requests_unwanted') == {}
    world.receive_head()
    world.send()
    world.clock.advance(CLOSED_MS)
    world.send()
    world.target.draining = True
    world.send()
    counts = world.metrics.reasons('requests_unwanted')
    assert counts == {'closed': 1, 'leaving': 1}
    lines = [r for r in caplog.records if r.message == 'request unwanted']
    assert [(r.target, r.why) for r in lines] == [
        ('t1', 'closed'),
        ('t1', 'leaving'),
    ]


# Guards against work at a target for a caller that has left.
def test_a_request_given_up_early_is_cancelled_at_once():
    world = World()
    exchange = world.send()
    world.clock.advance(TIME_MS - DEADLINE_MARGIN_MS - 1.0)
    exchange.cancel()
    assert world.transfers.done


# Guards against a notice that comes as the time of its request is over.
@pytest.mark.parametrize('answers', [True, False])
def test_a_request_given_up_at_its_deadline_may_still_be_refused(answers):
    world = World()
    loop = VirtualTimeLoop(world.clock)

    async def run():
        exchange = world.send()
        await asyncio.sleep(TIME_MS / 1_000.0)
        exchange.cancel()
        assert not world.transfers.done
        if answers:
            world.receive_head()
            return
        await asyncio.sleep(LATE_HEAD_MS / 1_000.0 + 0.01)

    loop.run_until_complete(run())
    loop.close()
    assert world.transfers.done
    expected_ms = CLOSED_MS if answers else 0.0
    assert world.closed_for_ms == pytest.approx(expected_ms)
