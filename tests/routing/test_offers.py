from dataclasses import replace

from wigeonmill.routing.offers import choose_offer
from wigeonmill.routing.offers import NO_TARGET
from wigeonmill.routing.offers import TargetOffer
from wigeonmill.routing.offers import TargetRefusal


def _offer(target, ttft_ms, cached=0, fetchable=0):
    return TargetOffer(target, 8192, cached, fetchable, 0.0, ttft_ms)


def test_lowest_expected_time_wins():
    offers = [_offer('a', 900.0), _offer('b', 700.0)]
    assert choose_offer(offers).unwrap().target == 'b'


def test_recomputation_outweighs_a_small_gain():
    offers = [_offer('cold', 690.0), _offer('warm', 700.0, cached=8192)]
    assert choose_offer(offers).unwrap().target == 'warm'


def test_fetching_costs_less_than_computing_but_more_than_memory():
    computed = _offer('computed', 700.0)
    fetched = _offer('fetched', 700.0, fetchable=8192)
    cached = _offer('cached', 700.0, cached=8192)
    assert choose_offer([computed, fetched]).unwrap().target == 'fetched'
    assert choose_offer([fetched, cached]).unwrap().target == 'cached'


def test_random_target_must_be_clearly_better():
    chosen = _offer('chosen', 750.0)
    for ttft_ms, winner in ((700.0, 'chosen'), (600.0, 'random')):
        random_offer = replace(
            _offer('random', ttft_ms), chosen_at_random=True
        )
        assert choose_offer([chosen, random_offer]).unwrap().target == winner


def test_refusal_with_the_shortest_retry_delay_is_returned():
    refusals = [
        TargetRefusal('a', 'overload', 900),
        TargetRefusal('b', 'cold', 250),
    ]
    refusal = choose_offer([], refusals).unwrap_err()
    assert (refusal.reason, refusal.retry_after_ms) == ('cold', 250)
    assert choose_offer([]).unwrap_err().reason == NO_TARGET
