"""Rollouts from the order to the status, and what they do to requests."""

import asyncio

import pytest

from tests.gateway.fakes import GOOD
from tests.gateway.fakes import Harness
from tests.gateway.fakes import MALFORMED
from tests.gateway.fakes import NOT_SENT
from tests.gateway.fakes import STATUS_500
from tests.gateway.samples import LEDGER
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.rollout_evidence import OLD
from wigeonmill.gateway.rollout_evidence import Tally
from wigeonmill.gateway.rollout_stages import Stage
from wigeonmill.gateway.service_rollout import RolloutOrder
from wigeonmill.gateway.software_rollout import SoftwareRolloutLeader
from wigeonmill.gateway.stream_origins import StreamOrigin
from wigeonmill.gateway.targets import Loading
from wigeonmill.protocol.gen.inner.ttypes import RolloutReport
from wigeonmill.standins.memory_key_value import MemoryKeyValue

ORDER = RolloutOrder(LEDGER, 'v2', 10_000.0, 5)
RECORD_KEY = f'wigeonmill/rollouts/{LEDGER}'


class Statuses:
    def encode(self, service, stage, to):
        return f'status/{service}', f'{stage.value} {to}'.encode()


class Leadership:
    is_leader = True


class World(Harness):
    """An entry that may lead, with both versions of a service."""

    def __init__(self, *scripts, versions=('v1', 'v1', 'v2', 'v2', 'v2')):
        records = [
            make_record(f't{n}', software_version=version)
            for n, version in enumerate(versions, 1)
        ]
        super().__init__(scripts or (GOOD,), records)
        self.ctx.freshness.confirm()
        self.keys = MemoryKeyValue(ManualClock())
        self.mirror = Mirror()
        self.mirror.subscribe(self._on_record)
        self.rollouts = self.ctx.rollouts
        self.leader = self.make_leader()

    def make_leader(self):
        return SoftwareRolloutLeader(
            self.clock,
            self.ctx.freshness,
            self.ctx.metrics,
            self.rollouts,
            self.ctx.directory,
            Leadership(),
            self.keys,
            self.mirror,
            Statuses(),
            lambda service: service == LEDGER,
        )

    def _on_record(self, record):
        if record.key.startswith('wigeonmill/rollouts/'):
            self.rollouts.update(record)

    def lead(self, seconds=0.0):
        for _ in range(int(seconds * 10) + 1):
            self.clock.advance(100.0)
            self.ctx.freshness.confirm()
            self.rollouts.observe()
            asyncio.run(self.leader.step())

    def status(self, service=LEDGER):
        record = self.mirror.get(f'status/{service}')
        return record.value.decode() if record else None

    def send(self):
        request = make_request(arrived_ms=self.clock.now_ms())
        self.run(request, make_route())
        return [sent[0] for sent in self.client.sent]


def test_a_good_version_is_done_in_time():
    world = World()
    world.rollouts.start(ORDER)
    world.lead()
    assert world.status() == 'canary v2'
    world.lead(9.8)
    assert world.status() == 'done v2'


def test_the_old_version_gets_nothing_after_done():
    world = World()
    world.rollouts.start(ORDER)
    world.lead(9.8)
    assert world.send()[0] in ('t3', 't4', 't5')


# Guards against a service without any target after a rollout: those of the new
# version had been replaced by some of the version before.
def test_targets_of_the_version_before_serve_if_no_others_are_left():
    world = World()
    world.rollouts.start(ORDER)
    world.lead(9.8)
    for target_id in ('t3', 't4', 't5'):
        world.ctx.directory.remove(target_id)
    assert world.send()[0] in ('t1', 't2')


def test_a_version_that_another_entry_calls_bad_gets_nothing():
    world = World(STATUS_500)
    told = []
    world.rollouts.on_verdict = told.append
    world.rollouts.start(ORDER)
    report = RolloutReport(LEDGER, ORDER.revision, 'e2', True, [])
    assert world.rollouts.apply_reports([report])
    assert not world.rollouts.apply_reports([report])
    assert told == [LEDGER]
    assert sorted(world.send()) == ['t1', 't2']
    world.lead()
    assert world.status() == 'rolled_back v2'


def test_a_verdict_that_comes_before_its_order_counts():
    world = World()
    report = RolloutReport(LEDGER, ORDER.revision, 'e2', True, [])
    world.rollouts.apply_reports([report])
    world.rollouts.start(ORDER)
    assert world.rollouts.get(LEDGER).bad


def test_a_new_leader_goes_on_from_the_stage():
    world = World()
    world.rollouts.start(ORDER)
    world.lead(6.0)
    assert world.status() == 'eighth v2'
    world.leader = world.make_leader()
    world.lead(3.8)
    assert world.status() == 'done v2'


def test_a_later_order_replaces_the_rollout_and_its_version():
    world = World(versions=('v1', 'v2', 'v3'))
    world.rollouts.start(ORDER)
    world.lead()
    world.rollouts.start(RolloutOrder(LEDGER, 'v3', 10_000.0, 9))
    world.lead()
    assert world.status() == 'canary v3'
    chosen = world.rollouts.filter(LEDGER, 'r', True, None)
    allowed = [chosen.allows(t) for t in world.ctx.directory.all()]
    assert allowed == [True, False, False]
    assert not world.rollouts.is_replaced(
        RolloutOrder(LEDGER, 'v3', 10_000.0, 9)
    )
    assert world.rollouts.is_replaced(ORDER)


def test_without_the_store_the_new_version_gets_nothing():
    world = World()
    world.rollouts.start(ORDER)
    world.lead()
    world.clock.advance(3_500.0)
    chosen = world.rollouts.filter(LEDGER, 'r', False, None)
    assert not any(
        one.allows(world.ctx.directory.get('t3'))
        for one in (chosen, chosen.fallback)
        if one is not None
    )


def test_the_status_comes_once_the_store_is_back():
    world = World()
    world.keys.faults.outage = True
    world.rollouts.start(ORDER)
    world.lead(1.0)
    assert world.status() is None
    world.keys.faults.outage = False
    world.lead(1.0)
    assert world.status() == 'canary v2'


@pytest.mark.parametrize(
    'order',
    (
        RolloutOrder(LEDGER, 'v2', 0.0, 5),
        RolloutOrder('unknown', 'v2', 10_000.0, 5),
    ),
)
def test_an_order_that_can_not_be_kept_goes_back(order):
    world = World()
    world.rollouts.start(order)
    world.lead()
    assert world.status(order.service) == 'rolled_back v2'


def test_a_version_that_never_comes_goes_back():
    world = World(versions=('v1', 'v1'))
    world.rollouts.start(ORDER)
    world.lead(9.0)
    assert world.status() == 'canary v2'
    world.lead(0.8)
    assert world.status() == 'rolled_back v2'


def test_an_order_for_the_only_version_is_done_at_once():
    world = World(versions=('v2', 'v2'))
    world.rollouts.start(ORDER)
    world.lead()
    assert world.status() == 'done v2'


@pytest.mark.parametrize(
    'bad, version, expected',
    (
        (False, 'v1', ['v1']),
        (False, 'v2', ['v2']),
        (True, 'v1', ['v1']),
        (True, 'v2', ['v1']),
    ),
)
def test_a_stream_goes_on_at_its_version_unless_that_is_bad(
    bad, version, expected
):
    world = World(versions=('v1', 'v2'))
    world.rollouts.start(ORDER)
    if bad:
        world.rollouts.get(LEDGER).condemn()
    origin = StreamOrigin(LEDGER, version)
    chosen = world.rollouts.filter(LEDGER, 'r', False, origin)
    allowed = [
        t.software_version
        for t in world.ctx.directory.all()
        if chosen.allows(t)
    ]
    assert allowed == expected


def test_a_failure_counts_and_a_lost_connection_does_not():
    world = World(NOT_SENT, STATUS_500, versions=('v1', 'v1'))
    world.rollouts.start(ORDER)
    world.send()
    counts = world.rollouts.get(LEDGER).evidence.counts
    assert counts == {('r', OLD): Tally(1, 1, 0)}


# Guards against a version that writes malformed answers and is called good.
def test_a_malformed_answer_counts_as_a_failure():
    world = World(MALFORMED, versions=('v1',))
    world.rollouts.start(ORDER)
    world.send()
    counts = world.rollouts.get(LEDGER).evidence.counts
    assert counts == {('r', OLD): Tally(1, 1, 0)}


@pytest.mark.parametrize('state', ('cold', 'loading'))
def test_a_target_that_is_cold_or_loads_weights_does_not_count(state):
    world = World(STATUS_500, versions=('v1',))
    world.rollouts.start(ORDER)
    target = world.ctx.directory.get('t1')
    if state == 'cold':
        target.cold_until_ms = world.clock.now_ms() + 60_000.0
    else:
        target.weights['m'] = 1
        world.ctx.desired.set_weight_version('m', 2)
        target.loading = Loading('m', 2, world.clock.now_ms() + 60_000.0)
    world.send()
    assert not world.rollouts.get(LEDGER).evidence.counts


def test_a_malformed_record_changes_nothing():
    world = World()
    world.rollouts.start(ORDER)
    world.rollouts.update(Record(RECORD_KEY, 9, b'{'))
    world.lead()
    assert world.status() == 'canary v2'


@pytest.mark.parametrize('running', (False, True))
def test_a_malformed_order_leaves_the_requests_as_they_are(running):
    world = World(versions=('v1', 'v2') if running else ('v1', 'v1'))
    if running:
        world.rollouts.start(ORDER)
        world.lead()
    before = world.rollouts.get(LEDGER)
    world.rollouts.start(RolloutOrder(LEDGER, 'v1', 0.0, 9))
    world.lead()
    assert world.status() == 'rolled_back v1'
    assert world.rollouts.get(LEDGER) is before
    assert world.send()
    if running:
        assert not before.bad
        assert not before.left_out


def test_the_time_before_the_first_record_counts():
    world = World()
    world.rollouts.start(ORDER)
    world.clock.advance(4_000.0)
    world.lead(5.8)
    assert world.status() == 'done v2'


def test_the_new_version_is_a_way_out_only_within_its_limit():
    world = World(versions=('v2',))
    world.rollouts.start(ORDER)
    rollout = world.rollouts.get(LEDGER)
    rollout.apply_stage(Stage.EIGHTH)
    sent = 0
    for _ in range(200):
        chosen = world.rollouts.filter(LEDGER, 'r', False, None)
        if not chosen.only and chosen.fallback is not None:
            sent += 1
            rollout.limit.record('r', True)
    assert sent <= 50
    rollout.apply_stage(Stage.FULL)
    world.clock.advance(3_500.0)
    chosen = world.rollouts.filter(LEDGER, 'r', False, None)
    assert not chosen.only
    assert chosen.fallback is None


def test_a_rollout_that_is_over_counts_no_requests():
    world = World()
    world.rollouts.start(ORDER)
    world.lead(9.8)
    target = world.ctx.directory.get('t3')
    assert world.rollouts.begin('r', target, None) is None


def test_an_unproven_version_gets_nothing_after_a_withdrawal():
    world = World(versions=('v1', 'v2'))
    world.rollouts.start(ORDER)
    world.lead()
    world.rollouts.withdraw(LEDGER)
    world.lead()
    chosen = world.rollouts.filter(LEDGER, 'r', False, None)
    allowed = [chosen.allows(t) for t in world.ctx.directory.all()]
    assert allowed == [True, False]
    assert chosen.fallback is None


def test_a_withdrawn_version_is_forgotten_with_its_targets():
    world = World(versions=('v1', 'v1'))
    world.rollouts.start(ORDER)
    world.rollouts.withdraw(LEDGER)
    world.lead()
    assert world.rollouts.get(LEDGER) is None
