from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.agent.fair_queue import FairQueue
from wigeonmill.agent.fair_queue import WorkAhead
from wigeonmill.agent.team_queue import Lane
from wigeonmill.agent.team_queue import QueueEntry

SHORT_TOKENS = 100
OVERTAKE_TOKENS = 1000


def _entry(id_, team, cost=10, weight=1, priority=0, deadline=1e9, now=0.0):
    lane = Lane.SHORT if cost <= SHORT_TOKENS else Lane.LONG
    return QueueEntry(id_, team, weight, priority, cost, deadline, now, lane)


def _always(_entry):
    return True


@given(st.integers(1, 4), st.integers(1, 4), st.integers(1, 50))
def test_backlogged_teams_share_by_weight(one, other, cost):
    queue = FairQueue(1000, OVERTAKE_TOKENS)
    for number in range(200):
        queue.push(_entry(number, 'a', cost, one))
        queue.push(_entry(1000 + number, 'b', cost, other))
    served = Counter(queue.pop(_always).team for _ in range(100))
    share = 100 * one / (one + other)
    assert abs(served['a'] - share) <= max(one, other) + 1


@given(st.lists(st.integers(1, 2000), min_size=1, max_size=30))
def test_flood_of_one_team_does_not_starve_another(costs):
    queue = FairQueue(1000, OVERTAKE_TOKENS)
    for number in range(300):
        queue.push(_entry(number, 'flood', 50))
    for number, cost in enumerate(costs):
        queue.push(_entry(1000 + number, 'small', cost))
    flood = 0
    last = 1000 + len(costs) - 1
    while (entry := queue.pop(_always)).id != last:
        flood += entry.cost if entry.team == 'flood' else 0
    assert flood <= sum(costs) + 50


def test_short_entries_overtake_a_blocked_long_one_that_goes_next():
    queue = FairQueue(10, OVERTAKE_TOKENS)
    queue.push(_entry(1, 'a', cost=5000))
    queue.push(_entry(2, 'a', cost=10))
    queue.push(_entry(3, 'b', cost=10))
    queue.push(_entry(4, 'b', cost=10))

    def _short(entry):
        return entry.lane is Lane.SHORT

    assert [queue.pop(_short).id for _ in range(2)] == [2, 3]
    queue.push(_entry(5, 'a', cost=10))
    assert queue.pop(_always).id in (1, 4)
    assert {queue.pop(_always).id for _ in range(2)} <= {1, 4, 5}


def test_higher_priority_goes_first_but_does_not_starve_the_rest():
    queue = FairQueue(10, OVERTAKE_TOKENS)
    queue.push(_entry(1, 'a', now=0.0))
    queue.push(_entry(2, 'a', priority=1, now=5.0))
    queue.push(_entry(3, 'a', priority=1, now=20_000.0))
    assert [queue.pop(_always).id for _ in range(3)] == [2, 1, 3]


def test_expired_entries_are_removed():
    queue = FairQueue(10, OVERTAKE_TOKENS)
    queue.push(_entry(1, 'a', deadline=50.0))
    queue.push(_entry(2, 'a', deadline=500.0))
    assert [entry.id for entry in queue.expire(50.0)] == [1]
    assert (len(queue), queue.cost) == (1, 10)
    assert queue.pop(_always).id == 2
    assert queue.pop(_always) is None


def test_full_queue_displaces_entries_of_the_flooding_team():
    queue = FairQueue(4, OVERTAKE_TOKENS)
    for number in range(4):
        assert queue.push(_entry(number, 'flood')).ok_value is None
    assert queue.push(_entry(9, 'flood')).is_err()
    assert queue.push(_entry(10, 'small')).ok_value.id == 3
    assert len(queue) == 4


def test_work_ahead_counts_only_earlier_entries():
    queue = FairQueue(1000, OVERTAKE_TOKENS)
    for number in range(100):
        queue.push(_entry(number, 'flood', 50))
    queue.push(_entry(200, 'other', 5000))
    for _ in range(3):
        queue.pop(lambda entry: entry.team == 'flood')
    assert queue.work_ahead('small', 1, Lane.SHORT) == WorkAhead(0, 0)
    assert queue.work_ahead('small', 1, Lane.LONG) == WorkAhead(5000, 1)
    assert queue.work_ahead('flood', 1, Lane.SHORT) == WorkAhead(97 * 50, 97)
