"""Rollouts of weights complete even if orders or leaders are lost."""

import asyncio
import random

import pytest
from result import Err
from result import Ok

from tests.gateway.samples import make_engine_record
from tests.gateway.samples import MODEL
from tests.virtual_time import VirtualTimeLoop
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.engine_orders import EngineReport
from wigeonmill.gateway.engine_orders import OrderOutcome
from wigeonmill.gateway.own_records import RolloutRecord
from wigeonmill.gateway.rollout_notice import apply_rollout
from wigeonmill.gateway.rollout_notice import RolloutPublisher
from wigeonmill.gateway.target_notices import Notice
from wigeonmill.gateway.weights_rollout import WeightsRollout
from wigeonmill.metrics import Metrics
from wigeonmill.providers.fetch import FetchError
from wigeonmill.standins.memory_key_value import KvFaults
from wigeonmill.standins.memory_key_value import MemoryKeyValue

DEADLINE_MS = 15_000.0
LOAD_MS = 1_800.0
LEASE_MS = 3_000.0


class FakeEngine:
    """Simulates loading time and checks fences and order counts."""

    def __init__(self, clock, model=MODEL):
        self.clock = clock
        self.model = model
        self.version = 1
        self.started_ms = 1_000
        self.orders = 0
        self.fence = 0
        self.loading = None
        self.delay_orders = 0
        self.late_orders = []
        self.down = False
        self.streams_end_ms = 0.0
        self.ordered_ms = []
        self.cut = []

    def finish_loading(self):
        if self.loading and self.clock.now_ms() >= self.loading[1]:
            self.version, self.loading = self.loading[0], None

    def report(self):
        self.finish_loading()
        return EngineReport(
            self.started_ms,
            {self.model: self.version},
            self.loading is not None,
            self.orders,
            waiting=0,
            running=int(self.clock.now_ms() < self.streams_end_ms),
        )

    def accept(self, order):
        self.finish_loading()
        if order.fence < self.fence:
            return OrderOutcome.FENCED
        self.fence = order.fence
        if order.version == self.version:
            return OrderOutcome.ALREADY_DONE
        if self.loading or order.expected_orders != self.orders:
            return OrderOutcome.CONFLICT
        self.orders += 1
        self.loading = (order.version, self.clock.now_ms() + LOAD_MS)
        self.cut.append(order.cut_streams)
        self.ordered_ms.append(self.clock.now_ms())
        return OrderOutcome.ACCEPTED


class FakeOrders:
    def __init__(self, engines):
        self.engines = engines
        self.reports = 0
        # The target and the time of each call.
        self.calls = []

    async def report(self, target):
        self.reports += 1
        self._record_call(target)
        engine = self.engines[target.id]
        if engine.down:
            return Err(FetchError('down', sent=False))
        return Ok(engine.report())

    async def load_weights(self, target, order):
        self._record_call(target)
        engine = self.engines[target.id]
        if engine.delay_orders:
            engine.delay_orders -= 1
            engine.late_orders.append(order)
            return OrderOutcome.UNKNOWN
        return engine.accept(order)

    def _record_call(self, target):
        now_ms = self.engines[target.id].clock.now_ms()
        self.calls.append((target.id, now_ms))


class FakeLeader:
    def __init__(self, fence=5, delay_over=True):
        self.is_leader = True
        self.delay_over = delay_over
        self.fence = fence
        self.stepped_down = ''

    @property
    def may_order(self):
        return self.is_leader and self.delay_over

    def step_down(self, why):
        self.stepped_down = why
        self.is_leader = False


class Harness:
    def __init__(self, count=9, just_started=False):
        self.clock = ManualClock()
        self.ctx = GatewayContext(
            self.clock, random.Random(1), Metrics(), RetryLimits(), lambda: 1
        )
        self.engines = {f'e{n}': FakeEngine(self.clock) for n in range(count)}
        for id_ in self.engines:
            self.ctx.directory.apply(make_engine_record(id_))
        if not just_started:
            self.ctx.freshness.confirm()
        self.keys = MemoryKeyValue(self.clock, KvFaults())
        self.leader = FakeLeader()
        self.orders = FakeOrders(self.engines)
        self.rollout = self.make_rollout()
        self.max_loading = 0
        self.loop = VirtualTimeLoop(self.clock)

    def make_rollout(self):
        return WeightsRollout(
            self.ctx,
            self.leader,
            self.orders,
            RolloutPublisher(self.ctx, self.leader, self.keys),
            'a',
            DEADLINE_MS,
        )

    def run_for(self, time_ms):
        self.loop.run_until_complete(self._run_for(time_ms))

    def step(self, rollout):
        self.loop.run_until_complete(rollout.step())

    def close(self):
        self.rollout.close()
        self.loop.run_until_complete(asyncio.sleep(0))
        self.loop.close()

    async def _run_for(self, time_ms):
        until_ms = self.clock.now_ms() + time_ms
        while self.clock.now_ms() < until_ms:
            await self.rollout.step()
            loading = [e for e in self.engines.values() if e.loading]
            self.max_loading = max(self.max_loading, len(loading))
            await asyncio.sleep(0.1)

    def versions(self):
        for engine in self.engines.values():
            engine.finish_loading()
        return {engine.version for engine in self.engines.values()}


@pytest.fixture
def make_harness():
    harnesses = []

    def make(**options):
        harnesses.append(Harness(**options))
        return harnesses[-1]

    yield make
    for harness in harnesses:
        harness.close()


def test_at_most_a_third_of_the_engines_load_at_a_time(make_harness):
    harness = make_harness()
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(12_000)
    assert harness.versions() == {2}
    assert harness.max_loading == 3
    assert {engine.orders for engine in harness.engines.values()} == {1}


def test_engines_that_wait_for_their_turn_are_not_polled(make_harness):
    """Each report is charged as a probe."""
    harness = make_harness(count=37)
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(DEADLINE_MS)
    assert harness.versions() == {2}
    load_polls = 37 * (LOAD_MS + 1_000.0) / 100.0
    assert harness.orders.reports <= load_polls + 10 * 37


def test_two_models_roll_out_at_the_same_time(make_harness):
    harness = make_harness(count=6)
    other = make_engine_record('x0', weights={'other': 1})
    harness.ctx.directory.apply(other)
    harness.engines['x0'] = FakeEngine(harness.clock, 'other')
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.ctx.desired.set_weight_version('other', 2)
    harness.run_for(DEADLINE_MS)
    assert harness.versions() == {2}
    assert {engine.orders for engine in harness.engines.values()} == {1}


def test_an_order_without_a_response_is_repeated_and_runs_once(make_harness):
    harness = make_harness(count=1)
    engine = harness.engines['e0']
    engine.delay_orders = 1
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(8_000)
    assert harness.versions() == {2}
    # The first order arrives late; its expected order count is outdated.
    assert engine.accept(engine.late_orders[0]) is not OrderOutcome.ACCEPTED
    assert engine.orders == 1


def test_an_engine_that_restarts_while_loading_is_ordered_again(make_harness):
    harness = make_harness(count=1)
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(1_000)
    engine = harness.engines['e0']
    engine.loading, engine.orders, engine.fence = None, 0, 0
    engine.started_ms += 1
    harness.run_for(8_000)
    assert harness.versions() == {2}


def test_an_unreachable_engine_does_not_delay_the_others(make_harness):
    harness = make_harness(count=3)
    harness.engines['e1'].down = True
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(8_000)
    assert harness.versions() == {1, 2}
    harness.engines['e1'].down = False
    harness.run_for(4_000)
    assert harness.versions() == {2}


# Guards against reports and orders to an engine that asked for rest.
@pytest.mark.parametrize('closes_at_ms', [0, 300, 1_500])
def test_an_engine_that_rests_gets_no_calls_and_its_weights_later(
    make_harness, closes_at_ms
):
    harness = make_harness(count=3)
    harness.ctx.desired.set_weight_version(MODEL, 2)
    if closes_at_ms:
        harness.run_for(closes_at_ms)
    now_ms = harness.clock.now_ms()
    closed = Notice(closed_ms=3_000.0)
    target = harness.ctx.directory.get('e0')
    harness.ctx.notices.record(target, closed, 'answer')
    harness.orders.calls.clear()
    harness.run_for(3_000)
    resting = [t for id_, t in harness.orders.calls if id_ == 'e0']
    assert [t for t in resting if now_ms <= t < now_ms + 3_000.0] == []
    harness.run_for(DEADLINE_MS - harness.clock.now_ms())
    assert harness.versions() == {2}
    assert {engine.orders for engine in harness.engines.values()} == {1}


def test_a_new_leader_continues_and_a_fenced_leader_steps_down(make_harness):
    harness = make_harness()
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(2_000)
    old, old_leader = harness.rollout, harness.leader
    harness.leader = FakeLeader(fence=9)
    harness.rollout = harness.make_rollout()
    harness.run_for(12_000)
    assert harness.versions() == {2}
    harness.ctx.desired.set_weight_version(MODEL, 3)
    harness.rollout = old
    orders = [engine.orders for engine in harness.engines.values()]
    harness.run_for(2_000)
    assert old_leader.stepped_down
    assert orders == [engine.orders for engine in harness.engines.values()]


def test_a_leader_steps_down_when_an_engine_reports_a_higher_fence(
    make_harness,
):
    harness = make_harness(count=1)
    harness.engines['e0'].fence = harness.leader.fence + 1
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(1_000)
    assert harness.leader.stepped_down


def test_a_new_leader_orders_engines_without_recent_orders_immediately(
    make_harness,
):
    # A leader froze during a rollout. Waiting for the takeover delay before
    # ordering any engine took 3 s of the 10 s allowed for new weights.
    harness = make_harness()
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(300)
    ordered = {id_ for id_, e in harness.engines.items() if e.orders}
    assert ordered
    takeover_ms = harness.clock.now_ms()
    harness.leader = FakeLeader(fence=9, delay_over=False)
    harness.rollout = harness.make_rollout()
    harness.run_for(2_500)
    not_ordered = [
        e for id_, e in harness.engines.items() if id_ not in ordered
    ]
    assert any(engine.orders for engine in not_ordered)
    assert harness.clock.now_ms() - takeover_ms < LEASE_MS


def test_a_new_leader_waits_for_engines_its_predecessor_ordered(make_harness):
    harness = make_harness()
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(300)
    ordered = [e for e in harness.engines.values() if e.orders]
    harness.ctx.desired.set_weight_version(MODEL, 3)
    harness.leader = FakeLeader(fence=9, delay_over=False)
    harness.rollout = harness.make_rollout()
    harness.run_for(20_000)
    assert {engine.orders for engine in ordered} == {1}
    harness.leader.delay_over = True
    harness.run_for(4_000)
    assert harness.versions() == {3}


def test_no_engine_is_ordered_before_the_record_names_it(make_harness):
    harness = make_harness()
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.keys.faults.lose_requests = 1
    harness.step(harness.rollout)
    assert not any(engine.orders for engine in harness.engines.values())
    harness.run_for(12_000)
    assert harness.versions() == {2}


def test_a_late_write_by_the_predecessor_fails(make_harness):
    harness = make_harness()
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(300)
    old = harness.rollout
    harness.leader = FakeLeader(fence=9, delay_over=False)
    harness.rollout = harness.make_rollout()
    harness.run_for(300)
    counts = [engine.orders for engine in harness.engines.values()]
    harness.step(old)
    assert counts == [engine.orders for engine in harness.engines.values()]


def test_a_later_version_replaces_one_in_progress(make_harness):
    harness = make_harness()
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(1_500)
    harness.ctx.desired.set_weight_version(MODEL, 3)
    harness.run_for(16_000)
    assert harness.versions() == {3}


def test_an_order_waits_for_streams_while_time_remains(make_harness):
    harness = make_harness(count=1)
    engine = harness.engines['e0']
    engine.streams_end_ms = harness.clock.now_ms() + 2_000
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(4_000)
    assert engine.cut == [False]
    assert engine.ordered_ms[0] >= engine.streams_end_ms


def test_an_order_cuts_streams_when_little_time_remains(make_harness):
    harness = make_harness(count=1)
    harness.engines['e0'].down = True
    harness.engines['e0'].streams_end_ms = float('inf')
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(DEADLINE_MS / 2)
    harness.engines['e0'].down = False
    harness.run_for(4_000)
    assert harness.engines['e0'].cut == [True]


def test_an_order_cuts_streams_when_the_version_age_is_unknown(make_harness):
    harness = make_harness(count=1, just_started=True)
    harness.engines['e0'].streams_end_ms = float('inf')
    harness.ctx.desired.set_weight_version(MODEL, 2)
    harness.run_for(4_000)
    assert harness.engines['e0'].cut == [True]


def test_entries_avoid_loading_engines_until_they_have_the_weights():
    clock = ManualClock()
    ctx = GatewayContext(
        clock, random.Random(1), Metrics(), RetryLimits(), lambda: 1
    )
    for id_ in ('e0', 'e1'):
        ctx.directory.apply(make_engine_record(id_))
    record = RolloutRecord(MODEL, 2, ['e0'], {'e1': 2})
    apply_rollout(ctx, record, 8_000.0)
    first, second = ctx.directory.get('e0'), ctx.directory.get('e1')
    assert first.is_loading(clock.now_ms())
    assert second.weights == {MODEL: 2}
    ctx.directory.apply(make_engine_record('e0', version=2, heartbeat=2))
    assert not first.is_loading(clock.now_ms())
