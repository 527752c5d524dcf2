"""Targets that follow a script and callers that keep what they got."""

import asyncio
import random

from tests.gateway.samples import make_state
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.cache_plan import CachePlan
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.request_run import RequestRun
from wigeonmill.gateway.target_client import SendEnd
from wigeonmill.gateway.target_client import TargetHead
from wigeonmill.metrics import Metrics


def make_head(status=200, request_id='q1', **changes):
    values = {
        'sealed': True,
        'not_run': False,
        'wrong_target': False,
        'fields': (('Seal', 'x'),),
    }
    return TargetHead(status, request_id, **(values | changes))


NOT_SENT = (SendEnd.NOT_SENT,)
FULL = (make_head(503, sealed=False, not_run=True), SendEnd.COMPLETE)
ELSEWHERE = (make_head(421, sealed=False, wrong_target=True), SendEnd.COMPLETE)
CUT_BEFORE = (SendEnd.BROKEN,)
CUT_AMID = (make_head(), b'par', SendEnd.BROKEN)
FAILED = (make_head(500), b'sorry', SendEnd.COMPLETE)
UNSEALED = (make_head(sealed=False), b'forged', SendEnd.COMPLETE)
OTHERS = (make_head(request_id='q0'), b'not yours', SendEnd.COMPLETE)
SHEDS_UNSAID = (make_head(503, sealed=False), SendEnd.COMPLETE)
GOOD = (make_head(), b'whole', SendEnd.COMPLETE)
SILENT = ()


class FakeSend:
    """Gives out a script; then nothing until the time is over."""

    def __init__(self, clock, target, parts):
        self._clock = clock
        self._target = target
        self._parts = list(parts)
        self.message = ''
        self.cancelled = False

    async def next(self, until_ms):
        if self._parts:
            part = self._parts.pop(0)
            if callable(part):
                return part()
            if not isinstance(part, SendEnd):
                self._target.load.record_activity()
            return part
        self._clock.set_ms(max(until_ms, self._clock.now_ms()))
        return None

    def cancel(self):
        self.cancelled = True


class FakeClient:
    """Sends follow `scripts` in turn; the last one repeats."""

    def __init__(self, clock, scripts):
        self._clock = clock
        self._scripts = list(scripts)
        self.sent = []

    def send(self, req, target, instructions, idempotent):
        turn = min(len(self.sent), len(self._scripts) - 1)
        send = FakeSend(self._clock, target, self._scripts[turn])
        self.sent.append((target.id, instructions, send))
        return send


class FakeChannel:
    """Keeps the answer."""

    def __init__(self):
        self.closed = False
        self.status = None
        self.refusal = None
        self.body = b''
        self.finished = False
        self.aborted = False

    def refuse(self, refusal):
        assert self.status is None
        self.refusal = refusal
        self.status = refusal.status

    def answer(self, head, body):
        assert self.status is None
        self.status = head.status
        self.body = body
        self.finished = True

    def begin(self, head):
        assert self.status is None
        self.status = head.status

    def send(self, data):
        assert self.status is not None
        self.body += data

    def finish(self):
        self.finished = True

    def abort(self):
        self.aborted = True


class NoCache:
    """Plans nothing."""

    def fetchable_tokens(self, req, team, version):
        return 0

    def plan(self, req, team, target, version):
        return CachePlan(salt='s')


class World:
    """A context with targets, and the run of one request in it."""

    def __init__(self, scripts, records, state=None):
        self.clock = ManualClock(1_000_000.0)
        limits = RetryLimits(ratio=1.0, slack=100.0)
        self.ctx = GatewayContext(
            self.clock, random.Random(1), Metrics(), limits, lambda: 1
        )
        self.ctx.wanted.adopt(state or make_state())
        for service in self.ctx.wanted.state.services:
            self.ctx.retries(service)
        # The share of the retry slack has grown to the whole by now.
        self.clock.advance(limits.window_ms)
        for record in records:
            self.ctx.directory.apply(record)
        self.client = FakeClient(self.clock, scripts)
        self.channel = FakeChannel()
        self.picker = Picker(
            self.clock,
            random.Random(1),
            self.ctx.directory,
            self.ctx.circuits,
            self.ctx.wanted.domain_closed,
        )

    def run(self, req, route, team=None):
        run = RequestRun(
            self.ctx,
            self.client,
            self.picker,
            NoCache(),
            req,
            route,
            team,
            self.channel,
        )
        asyncio.run(run.run())
        return self.channel
