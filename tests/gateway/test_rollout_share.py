"""What one entry, and all of them together, send to an unproven version."""

import random

import pytest

from wigeonmill.gateway.rollout_share import entry_slack
from wigeonmill.gateway.rollout_share import ShareLimit


# The platform allows a tenth of all requests, and 50 more.
@pytest.mark.parametrize('entries', (1, 2, 7, 31, 100, 400))
def test_all_entries_together_stay_below_the_share(entries):
    rng = random.Random(entries)
    limits = [
        ShareLimit(
            0.1,
            entry_slack(50, entries, lambda count, n=n: n < count),
            rng.random(),
        )
        for n in range(entries)
    ]
    for sent in range(1, 3_000):
        limit = rng.choice(limits)
        limit.record('r', limit.allows())
        assert sum(one.new_arrivals for one in limits) <= 0.1 * sent + 50


def test_an_entry_without_slack_sends_nothing_at_first():
    limit = ShareLimit(0.1, 0)
    assert not limit.allows()
    assert not limit.wants_sample('r', 0.0, {})


def test_a_request_that_did_not_arrive_gives_no_room():
    limit = ShareLimit(0.1, 0)
    for _ in range(20):
        limit.record('r', False)
    assert limit.allows()
    for _ in range(20):
        limit.retract('r', False)
    assert not limit.allows()


def test_a_rare_route_is_tried_as_often_as_a_common_one():
    rng = random.Random(1)
    limit = ShareLimit(0.1, 20)
    tries = {'common': 0, 'rare': 0}
    for _ in range(2_000):
        route = 'rare' if rng.random() < 0.05 else 'common'
        is_new = limit.wants_sample(route, 0.5, {})
        limit.record(route, is_new)
        tries[route] += is_new
    assert tries['rare'] >= 40
    assert tries['common'] >= 40


# 30 requests a second for 12 s: the platform allows 36 and 50 more.
@pytest.mark.parametrize(
    'elapsed_ms, expected', ((6_000, False), (11_000, True))
)
def test_all_later_requests_fit_near_the_end(elapsed_ms, expected):
    limit = ShareLimit(0.1, 20)
    for number in range(30 * elapsed_ms // 1_000):
        limit.record('r', number < 40)
    rest_ms = 12_000.0 - elapsed_ms
    assert limit.has_room_for_all(elapsed_ms, rest_ms, 50.0) is expected


def test_all_later_requests_of_a_quiet_service_fit_at_once():
    limit = ShareLimit(0.1, 20)
    limit.record('r', False)
    assert limit.has_room_for_all(1_000.0, 11_000.0, 50.0)


def test_requests_without_a_target_count_among_those_to_come():
    limit = ShareLimit(0.1, 20)
    for _ in range(5):
        limit.record('r', True)
    limit.asked = 90
    assert not limit.has_room_for_all(3_000.0, 2_000.0, 50.0)
    limit.asked = 5
    assert limit.has_room_for_all(3_000.0, 2_000.0, 50.0)
