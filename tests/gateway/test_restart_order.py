"""Callers return together with new ones after all entries have restarted."""

import pytest

from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import NoCache
from tests.gateway.samples import make_generation
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.samples import make_target
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.picker import Pick
from wigeonmill.gateway.relay import Relay
from wigeonmill.gateway.restart_order import RestartOrder
from wigeonmill.gateway.restart_order import used_before_ms
from wigeonmill.gateway.run_terms import RunTerms
from wigeonmill.metrics import Metrics


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


def level_of(deadline_ms, restart_order_ms, priority=0):
    """Return the level of a request that a target could answer at once."""
    clock = ManualClock()
    ctx = GatewayContext(
        clock,
        None,
        Metrics(),
        RetryLimits(),
        lambda: 1,
        restart_order_ms=restart_order_ms,
    )
    req = make_request(deadline_ms=deadline_ms, generation=make_generation())
    route = make_route(
        objective_ms=400.0, timeout_ms=3_000.0, priority=priority
    )
    relay = Relay(FakeChannel(), clock, None)
    terms = RunTerms(ctx, NoCache(), relay, req, route, None)
    return terms.priority(Pick(make_target(clock), 50.0, 0, 0.0, 0.0))


def test_a_caller_that_returns_late_goes_after_others_of_its_kind():
    new = level_of(3_000.0, 6_000.0)
    late = level_of(1_900.0, 6_000.0)
    assert new < late
    # It still goes before kinds of less urgent priority.
    assert late < level_of(3_000.0, 6_000.0, priority=1)


def test_a_caller_that_can_still_be_in_time_keeps_its_place():
    assert level_of(2_700.0, 6_000.0) == level_of(3_000.0, 6_000.0)


def test_earlier_tries_do_not_count_without_the_setting():
    assert level_of(1_900.0, 0.0) == level_of(3_000.0, 0.0)
