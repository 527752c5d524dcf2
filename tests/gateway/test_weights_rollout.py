"""Engines get the weights that were named, whatever becomes of orders."""

import asyncio
import random

from result import Err
from result import Ok

from tests.gateway.samples import make_engine_record
from tests.gateway.samples import MODEL
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.context import FIRST_LISTING_MS
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.engine_orders import EngineReport
from wigeonmill.gateway.engine_orders import OrderOutcome
from wigeonmill.gateway.own_records import RolloutRecord
from wigeonmill.gateway.rollout_notice import note_rollout
from wigeonmill.gateway.rollout_notice import RolloutNotice
from wigeonmill.gateway.weights_rollout import WeightsRollout
from wigeonmill.metrics import Metrics
from wigeonmill.providers.fetch import FetchError
from wigeonmill.standins.memory_key_value import KvFaults
from wigeonmill.standins.memory_key_value import MemoryKeyValue

DEADLINE_MS = 15_000.0
LOAD_MS = 1_800.0
LEASE_MS = 3_000.0


class Engine:
    """Loads weights for a time; checks fences and counts like the real one."""

    def __init__(self, clock):
        self.clock = clock
        self.version = 1
        self.started_ms = 1_000
        self.orders = 0
        self.fence = 0
        self.loading = None
        self.lose_answers = 0
        self.late = []
        self.down = False
        self.cut = []

    def settle(self):
        if self.loading and self.clock.now_ms() >= self.loading[1]:
            self.version, self.loading = self.loading[0], None

    def report(self):
        self.settle()
        return EngineReport(
            self.started_ms,
            {MODEL: self.version},
            self.loading is not None,
            self.orders,
            0,
        )

    def take(self, order):
        self.settle()
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
        return OrderOutcome.ACCEPTED


class Orders:
    def __init__(self, engines):
        self.engines = engines

    async def report(self, target):
        engine = self.engines[target.id]
        if engine.down:
            return Err(FetchError('down', sent=False))
        return Ok(engine.report())

    async def load_weights(self, target, order):
        engine = self.engines[target.id]
        if engine.lose_answers:
            engine.lose_answers -= 1
            engine.late.append(order)
            return OrderOutcome.UNKNOWN
        return engine.take(order)


class Leader:
    def __init__(self, fence=5, turn_over=True):
        self.is_leader = True
        self.turn_over = turn_over
        self.fence = fence
        self.stepped_down = ''

    @property
    def may_order(self):
        return self.is_leader and self.turn_over

    def step_down(self, why):
        self.stepped_down = why
        self.is_leader = False


class World:
    def __init__(self, monkeypatch, count=9, known_since_start=False):
        self.clock = ManualClock()
        self.ctx = GatewayContext(
            self.clock, random.Random(1), Metrics(), RetryLimits(), lambda: 1
        )
        self.engines = {f'e{n}': Engine(self.clock) for n in range(count)}
        for id_ in self.engines:
            self.ctx.directory.take(make_engine_record(id_))
        if not known_since_start:
            self.clock.advance(FIRST_LISTING_MS + 1)
        self.keys = MemoryKeyValue(self.clock, KvFaults())
        self.leader = Leader()
        self.rollout = self.make_rollout()
        self.most_loading = 0

        async def sleep(seconds):
            self.clock.advance(seconds * 1000.0)

        monkeypatch.setattr(asyncio, 'sleep', sleep)

    def make_rollout(self):
        return WeightsRollout(
            self.ctx,
            self.leader,
            Orders(self.engines),
            RolloutNotice(self.ctx, self.leader, self.keys),
            'a',
            DEADLINE_MS,
        )

    def run_for(self, time_ms):
        until_ms = self.clock.now_ms() + time_ms
        while self.clock.now_ms() < until_ms:
            asyncio.run(self.rollout.step())
            loading = [e for e in self.engines.values() if e.loading]
            self.most_loading = max(self.most_loading, len(loading))
            self.clock.advance(100)

    def versions(self):
        for engine in self.engines.values():
            engine.settle()
        return {engine.version for engine in self.engines.values()}


def test_all_engines_load_a_third_at_a_time(monkeypatch):
    world = World(monkeypatch)
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(12_000)
    assert world.versions() == {2}
    assert world.most_loading == 3
    assert {engine.orders for engine in world.engines.values()} == {1}


def test_an_order_without_an_answer_is_given_again_and_runs_once(monkeypatch):
    world = World(monkeypatch, count=1)
    engine = world.engines['e0']
    engine.lose_answers = 1
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(8_000)
    assert world.versions() == {2}
    # The first one is carried out late: the engine counts it out.
    assert engine.take(engine.late[0]) is not OrderOutcome.ACCEPTED
    assert engine.orders == 1


def test_an_engine_that_restarts_while_it_loads_is_ordered_again(monkeypatch):
    world = World(monkeypatch, count=1)
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(1_000)
    engine = world.engines['e0']
    engine.loading, engine.orders, engine.fence = None, 0, 0
    engine.started_ms += 1
    world.run_for(8_000)
    assert world.versions() == {2}


def test_an_engine_out_of_reach_does_not_hold_up_the_others(monkeypatch):
    world = World(monkeypatch, count=3)
    world.engines['e1'].down = True
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(8_000)
    assert world.versions() == {1, 2}
    world.engines['e1'].down = False
    world.run_for(4_000)
    assert world.versions() == {2}


def test_a_new_leader_goes_on_and_a_fenced_one_steps_down(monkeypatch):
    world = World(monkeypatch)
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(2_000)
    old, old_leader = world.rollout, world.leader
    world.leader = Leader(fence=9)
    world.rollout = world.make_rollout()
    world.run_for(12_000)
    assert world.versions() == {2}
    world.ctx.wanted.want_weights(MODEL, 3)
    world.rollout = old
    orders = [engine.orders for engine in world.engines.values()]
    world.run_for(2_000)
    assert old_leader.stepped_down
    assert orders == [engine.orders for engine in world.engines.values()]


def test_a_leader_that_an_engine_fences_off_steps_down(monkeypatch):
    world = World(monkeypatch, count=1)
    world.engines['e0'].fence = world.leader.fence + 1
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(1_000)
    assert world.leader.stepped_down


def test_a_new_leader_orders_at_once_what_its_predecessor_left_alone(
    monkeypatch,
):
    # A leader was frozen amid a rollout; waiting out its turn for every
    # engine took 3 s of the 10 s that new weights may take.
    world = World(monkeypatch)
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(300)
    touched = {id_ for id_, e in world.engines.items() if e.orders}
    assert touched
    lost_ms = world.clock.now_ms()
    world.leader = Leader(fence=9, turn_over=False)
    world.rollout = world.make_rollout()
    world.run_for(2_500)
    untouched = [e for id_, e in world.engines.items() if id_ not in touched]
    assert any(engine.orders for engine in untouched)
    assert world.clock.now_ms() - lost_ms < LEASE_MS


def test_a_new_leader_leaves_alone_what_its_predecessor_ordered(monkeypatch):
    world = World(monkeypatch)
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(300)
    touched = [e for e in world.engines.values() if e.orders]
    world.ctx.wanted.want_weights(MODEL, 3)
    world.leader = Leader(fence=9, turn_over=False)
    world.rollout = world.make_rollout()
    world.run_for(20_000)
    assert {engine.orders for engine in touched} == {1}
    world.leader.turn_over = True
    world.run_for(4_000)
    assert world.versions() == {3}


def test_no_engine_is_ordered_that_the_record_does_not_name(monkeypatch):
    world = World(monkeypatch)
    world.ctx.wanted.want_weights(MODEL, 2)
    world.keys.faults.lose_requests = 1
    asyncio.run(world.rollout.step())
    assert not any(engine.orders for engine in world.engines.values())
    world.run_for(12_000)
    assert world.versions() == {2}


def test_a_late_write_of_the_predecessor_changes_nothing(monkeypatch):
    world = World(monkeypatch)
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(300)
    old = world.rollout
    world.leader = Leader(fence=9, turn_over=False)
    world.rollout = world.make_rollout()
    world.run_for(300)
    counts = [engine.orders for engine in world.engines.values()]
    asyncio.run(old.step())
    assert counts == [engine.orders for engine in world.engines.values()]


def test_a_later_version_overtakes_one_under_way(monkeypatch):
    world = World(monkeypatch)
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(1_500)
    world.ctx.wanted.want_weights(MODEL, 3)
    world.run_for(16_000)
    assert world.versions() == {3}


def test_streams_are_waited_for_while_there_is_time(monkeypatch):
    world = World(monkeypatch, count=1)
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(4_000)
    assert world.engines['e0'].cut == [False]


def test_streams_are_cut_when_little_time_is_left(monkeypatch):
    world = World(monkeypatch, count=1)
    world.engines['e0'].down = True
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(DEADLINE_MS / 2)
    world.engines['e0'].down = False
    world.run_for(4_000)
    assert world.engines['e0'].cut == [True]


def test_a_process_that_starts_does_not_know_how_much_is_left(monkeypatch):
    world = World(monkeypatch, count=1, known_since_start=True)
    world.ctx.wanted.want_weights(MODEL, 2)
    world.run_for(4_000)
    assert world.engines['e0'].cut == [True]


def test_entries_leave_loading_engines_alone_until_they_have_the_weights():
    clock = ManualClock()
    ctx = GatewayContext(
        clock, random.Random(1), Metrics(), RetryLimits(), lambda: 1
    )
    for id_ in ('e0', 'e1'):
        ctx.directory.take(make_engine_record(id_))
    record = RolloutRecord(MODEL, 2, ['e0'], {'e1': 2})
    note_rollout(ctx, record, 8_000.0)
    first, second = ctx.directory.get('e0'), ctx.directory.get('e1')
    assert first.is_loading(clock.now_ms())
    assert second.weights == {MODEL: 2}
    ctx.directory.take(make_engine_record('e0', version=2, heartbeat=2))
    assert not first.is_loading(clock.now_ms())
