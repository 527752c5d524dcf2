"""Tests of the pace that targets report, and of many entries that use it."""

import collections
import heapq
import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.gateway.samples import ENGINES
from tests.gateway.samples import make_engine_record
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.picker import Demand
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.request import Generation
from wigeonmill.gateway.target_load import PeerLoad
from wigeonmill.gateway.target_load import TargetLoad
from wigeonmill.gateway.target_pace import MAX_AGE_MS
from wigeonmill.gateway.target_pace import MAX_PACE
from wigeonmill.gateway.target_pace import MIN_PACE
from wigeonmill.gateway.target_pace import TargetPace
from wigeonmill.gateway.target_pace import usual_ms
from wigeonmill.gateway.targets import Directory
from wigeonmill.routing.circuit import CircuitBreakers

ENTRIES = 29
TARGETS = 25
REQUESTS_PER_S = 190
DURATION_S = 12
# A pair of entries hears of each other at this interval.
UPDATE_MS = 430.0
# A machine is slow for 15 % of the time, in spells of this mean time.
SLOW_PACE = 2.5
SLOW_MS = 300.0
USUAL_MS = 1_700.0
WINDOW_MS = 500.0


def make_pace(*statements):
    clock = ManualClock()
    pace = TargetPace(clock, random.Random(1))
    for stated, wait_ms in statements:
        pace.record(stated)
        clock.advance(wait_ms)
    return clock, pace


def test_a_pace_gives_way_to_the_usual_with_its_age():
    clock = ManualClock()
    rng = random.Random(1)
    paces = [TargetPace(clock, rng) for _entry in range(200)]
    for pace in paces:
        pace.record(2.5)
    used = []
    while clock.now_ms() <= MAX_AGE_MS:
        used.append(sum(1 for pace in paces if pace.latest() != 1.0))
        clock.advance(50.0)
    assert used[0] == len(paces)
    assert used == sorted(used, reverse=True)
    assert all(pace.latest() == 1.0 for pace in paces)


def test_one_statement_among_many_is_smoothed():
    _clock, pace = make_pace(*[(1.0, 10.0)] * 20, (5.0, 0.0))
    assert 1.0 < pace.seen() < 2.0


def test_older_news_of_others_does_not_replace_a_statement():
    _clock, pace = make_pace((2.0, 100.0))
    pace.record_remote(1.0, 150.0)
    assert pace.seen() == 2.0
    pace.record_remote(1.0, 0.0)
    assert pace.seen() < 2.0


@given(st.floats(0.0, 1e18))
def test_absurd_statements_are_bounded(stated):
    _clock, pace = make_pace((stated, 0.0))
    assert MIN_PACE <= pace.latest() <= MAX_PACE
    assert MIN_PACE <= pace.to_report()[0] <= MAX_PACE


@given(st.floats(0.0, 20_000.0), st.floats(MIN_PACE, MAX_PACE))
def test_the_usual_time_is_the_inverse_of_the_expected_time(usual, stated):
    _clock, pace = make_pace((stated, 0.0))
    assert usual_ms(pace.stretch(usual), stated) == pytest.approx(usual)


def test_samples_of_a_slow_target_do_not_distort_its_estimate():
    clock = ManualClock()
    load = TargetLoad(clock)
    for _turn in range(60):
        load.record_report(None, 2.0)
        request = load.open(0, 0, 0)
        clock.advance(8.0 + 2.0 * 82.0)
        load.record_report(None, 2.0)
        load.record_whole_answer(request, 6)
        load.close(request)
    clock.advance(MAX_AGE_MS + 1)
    assert load.whole_answer_ms(6) == pytest.approx(90.0, rel=0.1)


class Machine:
    """A machine that is shared, so that its pace changes."""

    def __init__(self, rng):
        self.slow = [(0.0, False)]
        at_ms = 0.0
        while at_ms < DURATION_S * 1_000.0:
            at_ms += rng.expovariate(1 / USUAL_MS)
            self.slow.append((at_ms, True))
            at_ms += rng.expovariate(1 / SLOW_MS)
            self.slow.append((at_ms, False))

    def pace_at(self, now_ms):
        while len(self.slow) > 1 and self.slow[1][0] <= now_ms:
            self.slow.pop(0)
        return SLOW_PACE if self.slow[0][1] else 1.0


def make_machines(rng):
    return {f'e{n}': Machine(rng) for n in range(TARGETS)}


class Entry:
    def __init__(self, clock, name):
        self.name = name
        self.directory = Directory(clock)
        for n in range(TARGETS):
            self.directory.apply(make_engine_record(f'e{n}', address=f'{n}:1'))
        rng = random.Random(name)
        for target in self.directory.all():
            target.load.pace = TargetPace(clock, rng)
        self.picker = Picker(
            clock,
            rng,
            self.directory,
            CircuitBreakers(clock, rng),
            lambda _domain: False,
        )

    def receive(self, other, now_ms, paces_told):
        for target in other.directory.all():
            own = self.directory.get(target.id).load
            runs, waiting = target.load.own_runs(), target.load.waiting_tokens
            own.set_peer_load(
                other.name, PeerLoad(runs, (), tuple(waiting), now_ms)
            )
            report = target.load.pace.to_report()
            if paces_told and report is not None:
                own.pace.record_remote(*report)


def simulate(seed, paces_told):
    """Return the mean time of work, and the targets picked by window."""
    rng = random.Random(seed)
    clock = ManualClock(0.0)
    entries = [Entry(clock, f'entry {n}') for n in range(ENTRIES)]
    machines = make_machines(rng)
    pairs = [(a, b) for a in entries for b in entries if a is not b]
    updates = [(rng.uniform(0, UPDATE_MS), n) for n in range(len(pairs))]
    heapq.heapify(updates)
    ends, picked, took_ms = [], [], []
    for _turn in range(DURATION_S * REQUESTS_PER_S):
        clock.advance(rng.expovariate(REQUESTS_PER_S / 1_000.0))
        now_ms = clock.now_ms()
        for item in [item for item in ends if item[0] <= now_ms]:
            ends.remove(item)
            _end_ms, target, request = item
            pace = machines[target.id].pace_at(now_ms)
            target.load.record_report(None, pace if paces_told else None)
            target.load.record_first_token(request)
            target.load.close(request)
        while updates[0][0] <= now_ms:
            due_ms, number = heapq.heappop(updates)
            to, sender = pairs[number]
            to.receive(sender, now_ms, paces_told)
            heapq.heappush(updates, (due_ms + UPDATE_MS, number))
        tokens = rng.choice((500, 500, 500, 2_800))
        demand = Demand(
            service=ENGINES,
            cold_per_s=0.0,
            entry_count=ENTRIES,
            remaining_ms=4_000.0,
            objective_ms=100.0,
            objective_remaining_ms=100.0,
            generation=Generation('m', tokens, 4, ()),
        )
        target = rng.choice(entries).picker.pick(demand).unwrap().target
        request = target.load.open(tokens, tokens, 0)
        work_ms = 25.0 + 0.015 * tokens
        work_ms *= machines[target.id].pace_at(now_ms)
        took_ms.append(work_ms)
        picked.append((now_ms, target.id))
        ends.append((now_ms + work_ms, target, request))
    return sum(took_ms) / len(took_ms), picked


def busiest_to_mean(picked):
    """Return the arrivals at the busiest target to the mean, by window."""
    windows = collections.defaultdict(collections.Counter)
    for at_ms, target_id in picked:
        windows[at_ms // WINDOW_MS][target_id] += 1
    ratios = [
        max(counts.values()) * TARGETS / counts.total()
        for counts in windows.values()
    ]
    return sum(ratios) / len(ratios)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_entries_use_the_pace_without_running_to_one_target(seed):
    """29 entries see 25 targets whose pace changes many times a second.

    They must gain by it, and load no target more than a random choice of equal
    targets does.
    """
    usual_ms_without, _picked = simulate(seed, paces_told=False)
    mean_ms, picked = simulate(seed, paces_told=True)
    rng = random.Random(seed)
    at_random = [
        (at_ms, f'e{rng.randrange(TARGETS)}') for at_ms, _target_id in picked
    ]
    assert mean_ms < usual_ms_without
    assert busiest_to_mean(picked) <= busiest_to_mean(at_random)
