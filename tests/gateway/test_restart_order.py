"""Callers return together with new ones after all entries have restarted."""

import pytest

from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import NoCache
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.relay import Relay
from wigeonmill.gateway.restart_order import RestartOrder
from wigeonmill.gateway.restart_order import used_before_ms
from wigeonmill.gateway.run_terms import RunTerms
from wigeonmill.metrics import Metrics

ROUTE = make_route(objective_ms=400.0, timeout_ms=3_000.0)


@pytest.mark.parametrize(
    ('deadline_ms', 'used_ms'),
    [
        (3_000.0, 0.0),
        # What a first try has lost on its way.
        (2_990.0, 0.0),
        (1_900.0, 1_100.0),
        # The caller waits longer than the route.
        (15_000.0, 0.0),
    ],
)
def test_what_a_caller_has_used_is_what_its_time_lacks(deadline_ms, used_ms):
    assert used_before_ms(deadline_ms, 3_000.0) == used_ms


def test_the_order_ends_after_its_time_with_the_start_included():
    clock = ManualClock()
    order = RestartOrder(clock, duration_ms=6_000.0, uptime_ms=700.0)
    clock.advance(5_200.0)
    assert order.applies
    clock.advance(200.0)
    assert not order.applies


def test_it_is_off_by_default():
    assert not RestartOrder(ManualClock(), 0.0, 0.0).applies


def remaining_objective(deadline_ms, restart_order_ms):
    clock = ManualClock()
    ctx = GatewayContext(
        clock,
        None,
        Metrics(),
        RetryLimits(),
        lambda: 1,
        restart_order_ms=restart_order_ms,
    )
    req = make_request(deadline_ms=deadline_ms)
    relay = Relay(FakeChannel(), clock, None)
    terms = RunTerms(ctx, NoCache(), relay, req, ROUTE, None)
    return terms.demand(()).objective_remaining_ms


def test_a_caller_that_returns_late_is_late_after_a_restart_only():
    assert remaining_objective(1_900.0, 6_000.0) == -700.0
    assert remaining_objective(3_000.0, 6_000.0) == 400.0
    assert remaining_objective(1_900.0, 0.0) == 400.0
