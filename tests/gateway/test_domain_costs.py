"""Costs of other failure domains, and what they may never do."""

from tests.gateway.samples import make_generation
from wigeonmill.gateway.domain_costs import DomainCosts
from wigeonmill.gateway.domain_costs import MAX_COST


def test_nothing_costs_anything_unless_operators_say_so():
    assert DomainCosts('d1').cost('d2', 10**9, make_generation()) == 0.0


def test_bytes_to_other_domains_cost_and_own_ones_do_not():
    costs = DomainCosts('d1', 1.5)
    assert costs.cost('d1', 12_000, make_generation()) == 0.0
    short = costs.cost('d2', 600, None)
    assert 0.0 < short < costs.cost('d2', 12_000, make_generation())


def test_the_longest_body_costs_less_than_a_late_answer():
    assert DomainCosts('d1', 1.5).cost('d2', 10**9, None) <= MAX_COST
