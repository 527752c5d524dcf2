"""Fakes of targets and callers, and a harness that runs one request."""

import asyncio
import random

from tests.gateway.samples import make_state
from tests.virtual_time import run_virtual
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.cache_plan import CachePlan
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.extra_work import ExtraWorkLimits
from wigeonmill.gateway.held_bytes import Holding
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.request_run import RequestRun
from wigeonmill.gateway.target_client import ExchangeEnd
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


NOT_SENT = (ExchangeEnd.NOT_SENT,)
FULL = (make_head(503, sealed=False, not_run=True), ExchangeEnd.COMPLETE)
WRONG_TARGET = (
    make_head(421, sealed=False, wrong_target=True),
    ExchangeEnd.COMPLETE,
)
CUT_BEFORE_HEAD = (ExchangeEnd.BROKEN,)
MALFORMED = (ExchangeEnd.MALFORMED,)
CUT_IN_BODY = (make_head(), b'par', ExchangeEnd.BROKEN)
STATUS_500 = (make_head(500), b'sorry', ExchangeEnd.COMPLETE)
UNSEALED = (make_head(sealed=False), b'forged', ExchangeEnd.COMPLETE)
OTHER_REQUEST = (
    make_head(request_id='q0'),
    b'not yours',
    ExchangeEnd.COMPLETE,
)
UNMARKED_503 = (make_head(503, sealed=False), ExchangeEnd.COMPLETE)
GOOD = (make_head(), b'whole', ExchangeEnd.COMPLETE)
SILENT = ()


class Pause:
    """A part of a script: nothing arrives for `ms`."""

    def __init__(self, ms):
        self.ms = ms


class FakeExchange:
    """Returns scripted parts, then nothing until the deadline."""

    def __init__(self, clock, target, parts, on_head):
        self._clock = clock
        self._target = target
        self._on_head = on_head
        self._parts = list(parts)
        self._silent_until_ms = None
        self.sent_ms = clock.now_ms()
        self.message = ''
        self.cancelled = False
        # When reading was paused, and when it went on.
        self.paused_ms = []
        self.resumed_ms = []

    def pause(self):
        self._target.load.pause_reading()
        self.paused_ms.append(self._clock.now_ms())
        return True

    def resume(self):
        self._target.load.resume_reading()
        self.resumed_ms.append(self._clock.now_ms())

    async def next(self, until_ms):
        if self._parts and isinstance(self._parts[0], Pause):
            now_ms = self._clock.now_ms()
            if self._silent_until_ms is None:
                self._silent_until_ms = now_ms + self._parts[0].ms
            await self._sleep(min(until_ms, self._silent_until_ms))
            if self._clock.now_ms() < self._silent_until_ms:
                return None
            self._silent_until_ms = None
            self._parts.pop(0)
        if self._parts:
            part = self._parts.pop(0)
            if callable(part):
                return part()
            if not isinstance(part, ExchangeEnd):
                self._target.load.record_activity()
            if isinstance(part, TargetHead):
                self._on_head(part)
            return part
        await self._sleep(until_ms)
        return None

    async def _sleep(self, until_ms):
        wait_ms = until_ms - self._clock.now_ms()
        if wait_ms > 0:
            await asyncio.sleep(wait_ms / 1000.0)

    def cancel(self):
        self.cancelled = True


class FakeClient:
    """Uses the next of `scripts` for each request; the last one repeats."""

    def __init__(self, clock, scripts, notices):
        self._clock = clock
        self._notices = notices
        self._scripts = list(scripts)
        self.sent = []

    def set_scripts(self, scripts):
        self._scripts = list(scripts)

    def send(self, req, target, instructions, idempotent, again=False):
        self._notices.record_sent(target, req.id)
        turn = min(len(self.sent), len(self._scripts) - 1)

        def on_head(head):
            self._notices.record(
                target, head.notice, 'answer', req.id, exchange.sent_ms
            )

        exchange = FakeExchange(
            self._clock, target, self._scripts[turn], on_head
        )
        self.sent.append((target.id, instructions, exchange))
        return exchange


class FakeChannel:
    """Stores the answer to the caller."""

    def __init__(self):
        self.closed = False
        self.unsent_bytes = 0
        self.ended = ''
        self.holding = Holding(self._end, lambda: self.unsent_bytes)
        self.status = None
        self.refusal = None
        self.body = b''
        self.finished = False
        self.aborted = False

    def _end(self, why):
        self.ended = why

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
    """A cache planner that plans no transfers."""

    def fetchable_tokens(self, req, team, version):
        return 0

    def plan(self, req, team, target, version):
        return CachePlan(salt='s')


class Harness:
    """A gateway context with fake targets that runs single requests."""

    def __init__(
        self, scripts, records, state=None, extra_work=ExtraWorkLimits()
    ):
        self.clock = ManualClock(1_000_000.0)
        limits = RetryLimits(ratio=1.0, slack=100.0)
        self.ctx = GatewayContext(
            self.clock,
            random.Random(1),
            Metrics(),
            limits,
            lambda: 1,
            extra_work=extra_work,
        )
        self.ctx.desired.adopt(state or make_state())
        for service in self.ctx.desired.state.services:
            self.ctx.retries(service)
        # The full retry slack is available after one window.
        self.clock.advance(limits.window_ms)
        for record in records:
            self.ctx.directory.apply(record)
        self.client = FakeClient(self.clock, scripts, self.ctx.notices)
        self.channel = FakeChannel()
        self.picker = Picker(
            self.clock,
            random.Random(1),
            self.ctx.directory,
            self.ctx.circuits,
            self.ctx.desired.is_domain_closed,
        )

    def run(self, req, route, team=None):
        run_virtual(self.clock, self.start(req, route, team))
        return self.channel

    async def start(self, req, route, team=None):
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
        await run.run()
