"""Losses of several targets with one cause count as one event."""

import pytest

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.loss_events import count_events
from wigeonmill.gateway.loss_events import DOMAIN_LOSS_MS
from wigeonmill.gateway.loss_events import LossTimes
from wigeonmill.gateway.loss_events import LossWitness
from wigeonmill.gateway.loss_events import MAX_MOMENT_MS
from wigeonmill.gateway.loss_events import SAME_MOMENT_MS


def losses_at(*times_ms, **others):
    return [LossTimes(at_ms, 0.0, **others) for at_ms in times_ms]


def test_no_losses_are_no_event():
    assert count_events([]) == 0


def test_losses_of_one_moment_are_one_event_wherever_they_are():
    domains = [LossTimes(1_000.0, 0.0, f'd{number}') for number in range(3)]
    assert count_events(domains) == 1
    assert count_events(losses_at(1_003.0, 1_000.0, 1_006.0)) == 1
    assert count_events(losses_at(1_000.0, 1_000.0 + SAME_MOMENT_MS)) == 2
    later = LossTimes(1_001.0, 1_000.0)
    assert count_events([*losses_at(1_000.0), later]) == 2


def test_a_moment_does_not_go_on_for_ever():
    times_ms = [1_000.0 + number for number in range(int(MAX_MOMENT_MS))]
    assert count_events(losses_at(*times_ms)) == 1
    times_ms.append(1_000.0 + MAX_MOMENT_MS)
    assert count_events(losses_at(*times_ms)) == 2


def test_a_domain_that_serves_nothing_in_between_is_lost_once():
    last_ms = 1_000.0 + DOMAIN_LOSS_MS
    lost = losses_at(1_000.0, 1_100.0, last_ms, domain='d0')
    assert count_events(lost) == 1
    assert count_events([*lost, *losses_at(last_ms + 1, domain='d0')]) == 2
    elsewhere = losses_at(1_050.0, 1_150.0, domain='d1')
    assert count_events([*lost, *elsewhere]) == 2


def test_a_domain_that_serves_in_between_is_not_lost():
    first = LossTimes(1_000.0, 0.0, 'd0', domain_served_ms=900.0)
    second = LossTimes(1_100.0, 0.0, 'd0', domain_served_ms=1_050.0)
    assert count_events([first, second]) == 2


# Guards against BUDGET: a request that goes on at another target of the domain
# and ends it as well.
def test_a_target_that_got_a_run_after_the_loss_was_still_there():
    first = LossTimes(1_000.0, 900.0, 'd0')
    second = LossTimes(1_100.0, 1_001.0, 'd0')
    assert count_events([first, second]) == 2


def test_targets_of_unknown_domains_have_none_in_common():
    assert count_events(losses_at(1_000.0, 1_100.0)) == 2


@pytest.mark.parametrize('domain', ['d0', 'd1'])
def test_the_witness_knows_what_was_served_in_a_domain(domain):
    clock = ManualClock(500.0)
    witness = LossWitness(clock, {'t0@1': 'd0'}.get)
    witness.record_served(domain)
    clock.advance(100.0)
    times = witness.times('t0@1', 550.0, 30.0)
    assert (times.at_ms, times.began_ms, times.domain) == (550.0, 520.0, 'd0')
    served_ms = 500.0 if domain == 'd0' else float('-inf')
    assert times.domain_served_ms == served_ms
