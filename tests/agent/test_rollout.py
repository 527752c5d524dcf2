from dataclasses import replace

from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.agent.rollout import limit_share
from wigeonmill.agent.rollout import Order
from wigeonmill.agent.rollout import OrderKind
from wigeonmill.agent.rollout import plan_rollout
from wigeonmill.agent.rollout import RolloutSettings
from wigeonmill.agent.rollout import TargetPhase
from wigeonmill.agent.rollout import TargetReport

DOMAINS = ('a', 'b', 'c')


def _fleet(count=9):
    return [
        TargetReport(
            f't{number}', DOMAINS[number % 3], 'v1', TargetPhase.SERVING
        )
        for number in range(count)
    ]


def _execute(target, order):
    if order.kind is OrderKind.DRAIN:
        return replace(target, phase=TargetPhase.DRAINING)
    if order.kind is OrderKind.LOAD:
        return replace(
            target,
            phase=TargetPhase.LOADING,
            weight_version=order.weight_version,
        )
    return replace(target, phase=TargetPhase.SERVING, limit_share=0.2)


def _advance(target):
    if target.phase is TargetPhase.LOADING:
        return replace(target, phase=TargetPhase.DRAINING)
    share = min(1.0, target.limit_share + 0.4)
    return replace(target, limit_share=share)


@given(
    st.integers(3, 12), st.integers(1, 3), st.randoms(use_true_random=False)
)
def test_rollout_ends_with_enough_serving_and_few_loads(count, loads, rng):
    fleet = {target.name: target for target in _fleet(count)}
    settings = RolloutSettings(concurrent_loads=loads)
    for _ in range(400):
        reports = list(fleet.values())
        plan = plan_rollout(reports, 'v2', frozenset(), settings)
        if plan.done:
            return
        for order in plan.orders:
            # Lost orders are issued again by the next plan.
            if rng.random() < 0.7:
                fleet[order.target] = _execute(fleet[order.target], order)
        phases = [target.phase for target in fleet.values()]
        assert phases.count(TargetPhase.LOADING) <= loads
        serving = phases.count(TargetPhase.SERVING)
        needed = min(count * settings.min_serving_share, count - 1)
        assert serving >= needed
        fleet = {name: _advance(target) for name, target in fleet.items()}
    raise AssertionError('the rollout does not end')


def test_small_service_drains_one_at_a_time_once_all_are_warm():
    fleet = _fleet(3)
    settings = RolloutSettings(3)
    orders = plan_rollout(fleet, 'v2', frozenset(), settings).orders
    assert [order.target for order in orders] == ['t0']
    cold = [replace(fleet[0], limit_share=0.2), *fleet[1:]]
    assert plan_rollout(cold, 'v2', frozenset(), settings).orders == ()


def test_drains_spread_over_failure_domains():
    settings = RolloutSettings(3, min_serving_share=0.6)
    plan = plan_rollout(_fleet(), 'v2', frozenset(), settings)
    assert [order.target for order in plan.orders] == ['t0', 't1', 't2']


def test_nothing_is_drained_while_a_domain_is_down():
    fleet = [
        replace(target, phase=TargetPhase.DOWN)
        if target.failure_domain in ('a', 'b')
        else target
        for target in _fleet()
    ]
    plan = plan_rollout(fleet, 'v2', frozenset(), RolloutSettings(3))
    assert plan.orders == () and not plan.done


def test_a_load_waits_for_runs_and_for_a_slot():
    drained = replace(_fleet()[0], phase=TargetPhase.DRAINING)
    settings = RolloutSettings(1)
    busy = [replace(drained, running=1), *_fleet()[1:]]
    assert plan_rollout(busy, 'v2', frozenset(), settings).orders == ()
    fleet = [drained, *_fleet()[1:]]
    held = frozenset({'t5'})
    assert plan_rollout(fleet, 'v2', held, settings).orders == ()
    load = Order(OrderKind.LOAD, 't0', 'v2')
    for slots in (frozenset(), frozenset({'t0'})):
        assert plan_rollout(fleet, 'v2', slots, settings).orders == (load,)


def test_full_capacity_is_available_once_the_limit_exceeds_mean_runs():
    running = [30, 30, 30, 10]
    assert limit_share(4, running) < 0.2
    assert limit_share(31, running) < 1.0
    assert limit_share(32, running) == 1.0
    assert limit_share(1, [0, 0]) == 1.0
