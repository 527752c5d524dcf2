import random

import pytest

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.team_shares import fair_level
from wigeonmill.gateway.team_shares import MAX_TEAMS
from wigeonmill.gateway.team_shares import MAX_TOLD_TEAMS
from wigeonmill.gateway.team_shares import ServedSessions
from wigeonmill.gateway.team_shares import TeamShares
from wigeonmill.gateway.team_shares import TeamWork

S = 'engines'
TICK_MS = 20.0
UPDATE_TICKS = 25


def test_the_level_cuts_only_the_largest():
    assert fair_level([1.0, 2.0, 9.0], 6.0) == 3.0
    assert fair_level([1.0, 2.0], 3.0) == 2.0
    assert fair_level([], 0.0) == 0.0


def test_no_team_is_above_its_share_while_all_are_served():
    shares = TeamShares(ManualClock())
    for team, work in (('large', 90.0), ('small', 1.0)):
        shares.record_asked(S, team, work)
        shares.record_served(S, team, work)
    assert not shares.is_above(S, 'large')


def test_a_team_is_above_its_share_while_others_miss_theirs():
    shares = TeamShares(ManualClock())
    for team, asked, served in (('large', 90.0, 40.0), ('small', 9.0, 1.0)):
        shares.record_asked(S, team, asked)
        shares.record_served(S, team, served)
    assert shares.is_above(S, 'large')
    assert not shares.is_above(S, 'small')


def test_totals_of_a_service_are_told_after_a_shortage_only():
    clock = ManualClock()
    shares = TeamShares(clock)
    for number in range(MAX_TOLD_TEAMS + 4):
        shares.record_asked(S, f't{number}', 1.0 + number)
    assert shares.to_tell() == []
    shares.record_shortage(S)
    told = shares.to_tell()
    assert len(told) == MAX_TOLD_TEAMS
    assert told[0].team == f't{MAX_TOLD_TEAMS + 3}'
    clock.advance(4_000.0)
    assert shares.to_tell() == []


def test_what_a_lost_entry_told_ages_and_ends():
    clock = ManualClock()
    shares = TeamShares(clock)
    shares.record_asked(S, 'small', 10.0)
    shares.apply('e2', [TeamWork(S, 'large', 80.0, 40.0)])
    assert shares.is_above(S, 'large')
    clock.advance(6_001.0)
    assert shares.ratio(S, 'large') == 0.0


def test_invalid_amounts_are_left_out():
    shares = TeamShares(ManualClock())
    shares.apply('e2', [TeamWork(S, 'large', float('nan'), -1.0)])
    assert shares.ratio(S, 'large') == 0.0


def test_the_number_of_teams_is_bounded():
    clock = ManualClock()
    shares = TeamShares(clock)
    for number in range(MAX_TEAMS + 10):
        shares.record_served(S, f't{number}', 1.0)
    assert shares.ratio(S, f't{MAX_TEAMS + 5}') == 0.0


def test_idle_teams_are_searched_for_once_a_second():
    clock = ManualClock()
    shares = TeamShares(clock)
    for number in range(MAX_TEAMS):
        shares.record_asked(S, f't{number}', 1.0)

    def new_counts_at(now_ms):
        clock.advance(now_ms - clock.now_ms())
        shares.record_asked(S, 'new', 1.0)
        shares.record_served(S, 'new', 1.0)
        clock.advance(100.0)
        return shares.ratio(S, 'new') > 0

    # The others are idle after 8.6 s.
    assert not new_counts_at(8_500.0)
    assert not new_counts_at(9_000.0)
    assert new_counts_at(9_600.0)


def test_what_lost_entries_told_is_dropped_without_any_request():
    clock = ManualClock()
    shares = TeamShares(clock)
    for number in range(50):
        shares.apply(f'e{number}', [TeamWork(S, 't', 5.0, 5.0)])
        clock.advance(1_000.0)
    # What is older than six seconds has no effect any more.
    assert len(shares._told) <= 7


def test_sessions_are_forgotten_in_the_order_of_their_answers():
    sessions = ServedSessions()
    for number in range(4_097):
        sessions.record(f's{number}')
    assert not sessions.has('s0')
    assert sessions.has('s4096')
    assert not sessions.has('')


class Burst:
    """One team bursts to ten times its usual load beside 23 small ones.

    Entries order their requests by what they know; the service serves as many
    in a tick as it has room for. What waits for longer than 400 ms is lost.
    """

    def __init__(self, entries, seed=1, loss=0.0, restarts=False, frozen=0):
        self.rng = random.Random(seed)
        self.clock = ManualClock(1_000.0)
        self.shares = [TeamShares(self.clock) for _each in range(entries)]
        self.loss, self.restarts, self.frozen = loss, restarts, frozen
        self.asked = dict.fromkeys(range(24), 0)
        self.served = dict.fromkeys(range(24), 0)

    def run(self, ticks=400, room=4):
        waiting = []
        for tick in range(ticks):
            self.clock.advance(TICK_MS)
            if tick == ticks // 2 and self.restarts:
                self.shares[0] = TeamShares(self.clock)
            # The small teams ask for 2.3 a tick in all, the large for 20.
            for team in range(24):
                rate = 20.0 if team == 0 else 0.1
                count = int(rate) + (self.rng.random() < rate % 1.0)
                for _each in range(count):
                    entry = self.rng.randrange(len(self.shares))
                    self.shares[entry].record_asked(S, str(team), 1.0)
                    waiting.append((team, entry, tick))
                    self.asked[team] += 1
            waiting = [item for item in waiting if tick - item[2] < 20]
            waiting.sort(key=self.standing)
            for team, entry, _tick in waiting[:room]:
                self.shares[entry].record_served(S, str(team), 1.0)
                self.served[team] += 1
            waiting = waiting[room:]
            if tick % UPDATE_TICKS == 0:
                self.tell()

    def standing(self, item):
        team, entry, tick = item
        return self.shares[entry].is_above(S, str(team)), tick

    def tell(self):
        for number, sender in enumerate(self.shares[self.frozen :]):
            sender.record_shortage(S)
            rows = sender.to_tell()
            for receiver in self.shares:
                if receiver is not sender and self.rng.random() >= self.loss:
                    receiver.apply(f'e{number}', rows)


FAILURES = ({}, {'loss': 0.5}, {'restarts': True}, {'loss': 1.0})


@pytest.mark.parametrize(
    ('entries', 'failure'),
    [(entries, each) for entries in (1, 10, 100) for each in FAILURES]
    + [(10, {'frozen': 1}), (100, {'frozen': 1})],
)
def test_one_team_bursts_to_ten_times_its_usual_load_beside_23_small_ones(
    entries, failure
):
    burst = Burst(entries, **failure)
    burst.run(ticks=400 if entries < 100 else 150)
    overall = sum(burst.served.values()) / sum(burst.asked.values())
    small_asked = sum(burst.asked[team] for team in range(1, 24))
    small_served = sum(burst.served[team] for team in range(1, 24))
    for team, asked in burst.asked.items():
        assert burst.served[team] >= overall / 4 * asked, team
    # They ask for less than a fair share, so the burst is not theirs to pay.
    assert small_served / small_asked >= overall
