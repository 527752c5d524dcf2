"""Requests with a prompt part that crashes targets stop reaching them."""

import pytest

from tests.gateway import fakes
from tests.gateway.fakes import make_head
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import MODEL
from tests.gateway.test_request_run import engine_harness
from tests.gateway.test_request_run import event
from tests.gateway.test_request_run import run_stream
from tests.gateway.test_request_run import stream_route
from wigeonmill.gateway.context import AnswerLimits
from wigeonmill.gateway.request import Generation
from wigeonmill.gateway.request import PromptPart
from wigeonmill.gateway.target_client import ExchangeEnd

BAD = 'bad'
CRASH = (ExchangeEnd.BROKEN,)
INTERVAL_MS = 1_000.0
# The platform allows this many requests after the fifth crash.
MAX_CRASHES = 5 + 3


class Fleet:
    """One entry whose targets crash under requests with the part `bad`."""

    def __init__(self):
        self.harness = engine_harness([fakes.SILENT], count=8)
        self.requests = 0
        self.crashes = 0

    def send(self, *shared, model=MODEL, script=None):
        """Send a request with these shared parts; return its channel."""
        self.requests += 1
        own = f'own {self.requests}'
        parts = tuple(PromptPart(part, 500) for part in (*shared, own))
        generation = Generation(model, 500 * len(parts), 64, parts)
        if script is None:
            head = make_head(request_id=f'q{self.requests}')
            whole = (head, event(1), ExchangeEnd.COMPLETE)
            script = CRASH if BAD in shared else whole
        harness = self.harness
        harness.client.set_scripts([script])
        sent_before = len(harness.client.sent)
        harness.channel = fakes.FakeChannel()
        channel = run_stream(
            harness,
            stream_route(resumable=False),
            id=f'q{self.requests}',
            body=b'%d' % self.requests,
            generation=generation,
        )
        if len(harness.client.sent) > sent_before and script == CRASH:
            self._restart(harness.client.sent[-1][0])
        harness.clock.advance(INTERVAL_MS)
        return channel

    def restart_all(self):
        for target in list(self.harness.ctx.directory.all()):
            self._restart(target.id)

    def _restart(self, target_id):
        self.crashes += 1
        record = make_engine_record(
            target_id, started_at_ms=1_000 + self.crashes
        )
        self.harness.ctx.directory.apply(record)


# Guards against BUDGET: no two requests with the part were alike, so each of
# them crashed one more target.
@pytest.mark.parametrize('position', [0, 1])
def test_requests_that_share_a_crashing_part_stop_reaching_targets(position):
    fleet = Fleet()
    statuses = []
    for number in range(50):
        shared = [f'other {number}']
        shared.insert(position, BAD)
        statuses.append(fleet.send(*shared).status)
        fleet.send(f'other {number}', 'sound')
    assert fleet.crashes <= MAX_CRASHES
    assert statuses[-40:] == [503] * 40


# Guards against BUDGET: an answer that was no run cleared the part.
@pytest.mark.parametrize(
    'answer',
    [
        (make_head(400, 'q4', sealed=False), b'no', ExchangeEnd.COMPLETE),
        (make_head(503, 'q4', not_run=True), b'', ExchangeEnd.COMPLETE),
        (make_head(500, 'q4'), b'error', ExchangeEnd.COMPLETE),
        (make_head(200, 'q4'), ExchangeEnd.COMPLETE),
    ],
)
def test_an_answer_without_a_run_does_not_clear_a_part(answer):
    fleet = Fleet()
    for number in range(3):
        fleet.send(f'other {number}', BAD)
    fleet.send('other 3', BAD, script=answer)
    for number in range(20):
        fleet.send(f'other {number}', 'sound')
    assert fleet.send('other 4', BAD).status == 503


# Guards against LOST: a target that wrote without end, until the gateway shut
# the connection, was counted as ended, and a sound part was refused.
@pytest.mark.parametrize('ends', [True, False])
def test_a_part_is_not_blamed_for_answers_that_are_too_long(ends):
    fleet = Fleet()
    fleet.harness.ctx.answer_limits = AnswerLimits(event=5_000)
    for number in range(5):
        head = make_head(request_id=f'q{fleet.requests + 1}')
        part = ExchangeEnd.BROKEN if ends else b'x' * 10_000
        fleet.send('shared', f'subject {number}', script=(head, part))
        for other in range(20):
            fleet.send(f'other {other}', 'sound')
    quarantined = fleet.harness.ctx.metrics.reasons('gateway_part_quarantines')
    assert ('crashes' in quarantined) == ends


@pytest.mark.parametrize('survives', [True, False])
def test_a_stream_that_breaks_off_late_clears_its_parts(survives):
    fleet = Fleet()

    def wait():
        fleet.harness.clock.advance(2_000.0 if survives else 0.0)
        return event(2)

    for _ in range(3):
        for number in range(10):
            fleet.send(f'other {number}', 'sound')
        head = make_head(request_id=f'q{fleet.requests + 1}')
        script = (head, event(1), wait, ExchangeEnd.BROKEN)
        fleet.send('shared', 'subject', script=script)
        fleet.restart_all()
    status = fleet.send('shared', 'subject').status
    assert status == (200 if survives else 503)
