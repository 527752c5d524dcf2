"""Tests of suspicions of silent targets, which entries tell each other."""

import collections
from dataclasses import replace
import heapq
import random
import zlib

import pytest

from tests.gateway.samples import ENGINES
from tests.gateway.samples import make_engine_record
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import Fleet
from wigeonmill.gateway.picker import Demand
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.request import Generation
from wigeonmill.gateway.suspicion_exchange import SuspicionExchange
from wigeonmill.gateway.suspicions import CONNECT_MS
from wigeonmill.gateway.suspicions import MAX_PROBE_CREDIT
from wigeonmill.gateway.suspicions import PROBE_INTERVAL_MS
from wigeonmill.gateway.suspicions import PROBE_SHARE
from wigeonmill.gateway.suspicions import PROBERS
from wigeonmill.gateway.suspicions import Silence
from wigeonmill.gateway.suspicions import Suspicions
from wigeonmill.gateway.suspicions import TOLD_TTL_MS
from wigeonmill.gateway.targets import Directory
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import TargetSilence
from wigeonmill.routing.circuit import CircuitBreakers

ENTRIES = 29
TARGETS = 26
REQUESTS_PER_S = 230
ANSWER_MS = 60.0
DEADLINE_MS = 3_000.0
TICK_MS = 100.0
UPDATE_MS = 430.0
SILENT_IDS = [f'e{n}' for n in range(6)]
SILENT_FROM_MS = 3_000.0
SILENT_TO_MS = 17_000.0
END_MS = 21_000.0


class Entry:
    """What one entry knows of silent targets, and its choice of targets."""

    def __init__(self, clock, number=0, targets=TARGETS):
        self.name = f'entry {number}'
        self.number = number
        self.directory = Directory(clock)
        fleet = Fleet(lambda: ENTRIES, self._is_selected)
        self.suspicions = Suspicions(clock, Metrics(), self.directory, fleet)
        self.exchange = SuspicionExchange(self.directory, self.suspicions)
        for n in range(targets):
            record = make_engine_record(f'e{n}', address=f'{n}:1', slots=64)
            self.directory.apply(record)
        rng = random.Random(number)
        self.picker = Picker(
            clock,
            rng,
            self.directory,
            CircuitBreakers(clock, rng),
            lambda _domain: False,
            None,
            self.suspicions,
        )

    def _is_selected(self, key, count):
        ranked = sorted(
            range(ENTRIES), key=lambda n: zlib.crc32(f'{key} {n}'.encode())
        )
        return self.number in ranked[:count]

    def target(self, target_id='e0'):
        return self.directory.get(target_id)

    def suspects(self, target_id='e0'):
        return self.suspicions.is_suspected(self.target(target_id))

    def tell(self, *others):
        for other in others:
            other.exchange.apply(self.name, self.exchange.to_send())

    def pick(self):
        demand = Demand(
            service=ENGINES,
            cold_per_s=0.0,
            entry_count=ENTRIES,
            remaining_ms=DEADLINE_MS,
            objective_ms=800.0,
            objective_remaining_ms=800.0,
            generation=Generation('m', 500, 4, ()),
        )
        return self.picker.pick(demand).unwrap()

    def send(self, target):
        request = target.load.open(500, 500, 0, expected_ms=ANSWER_MS)
        self.suspicions.record_sent(target, request)
        return request


def observe(clock, entry, time_ms):
    """Let an entry look for silent targets for a time."""
    for _turn in range(int(time_ms / TICK_MS)):
        entry.suspicions.observe()
        clock.advance(TICK_MS)


def make_entries(count):
    clock = ManualClock(1_000_000.0)
    return clock, [Entry(clock, n) for n in range(count)]


def fall_silent(clock, entry, target=None):
    request = entry.send(target or entry.target())
    observe(clock, entry, 1_300.0)
    return request


def test_a_suspicion_outlives_its_request_until_a_byte_comes():
    clock, (entry,) = make_entries(1)
    request = fall_silent(clock, entry)
    entry.target().load.close(request)
    assert entry.suspects()
    observe(clock, entry, 5_000.0)
    assert entry.suspects()
    entry.target().load.record_activity()
    assert not entry.suspects()
    observe(clock, entry, 5_000.0)
    assert not len(entry.suspicions)


def test_a_full_target_may_take_the_expected_time():
    clock, (entry,) = make_entries(1)
    entry.target().load.open(0, 0, 0, expected_ms=1_000.0)
    observe(clock, entry, 2_600.0)
    assert not entry.suspects()
    observe(clock, entry, 300.0)
    assert entry.suspects()


def test_an_entry_that_stood_still_suspects_nobody():
    clock, (entry,) = make_entries(1)
    entry.suspicions.observe()
    entry.send(entry.target())
    clock.advance(3_000.0)
    entry.suspicions.observe()
    assert not entry.suspects()


def test_a_link_that_is_cut_for_one_entry_counts_for_that_one_alone():
    clock, (cut, other, third) = make_entries(3)
    fall_silent(clock, cut)
    cut.tell(other, third)
    assert cut.suspects()
    assert not other.suspects()
    other.target().load.record_activity()
    other.tell(cut, third)
    assert cut.suspects()
    # It tries its link at once, and goes on avoiding it.
    assert cut.suspicions.to_send()


def test_others_are_not_told_of_a_short_silence():
    clock, (entry,) = make_entries(1)
    entry.send(entry.target())
    observe(clock, entry, 1_000.0)
    assert entry.suspects()
    assert not entry.suspicions.to_send()
    # A connection that is not accepted leaves no doubt.
    sent_ms = clock.now_ms() - CONNECT_MS
    entry.suspicions.record_unreached(entry.target(), sent_ms + 300.0)
    assert not entry.suspicions.to_send()
    entry.suspicions.record_unreached(entry.target(), sent_ms)
    assert entry.suspicions.to_send()


def test_two_tellers_count_until_somebody_hears_the_target():
    clock, (a, b, hearer, other) = make_entries(4)
    fall_silent(clock, a)
    fall_silent(clock, b)
    for teller in (a, b):
        teller.tell(hearer, other)
    assert hearer.suspects()
    assert other.suspects()
    hearer.target().load.record_activity()
    assert not hearer.suspects()
    hearer.tell(other)
    assert not other.suspects()


def test_one_teller_counts_for_an_entry_that_waits_itself():
    clock, (teller, waiting) = make_entries(2)
    fall_silent(clock, teller)
    waiting.send(waiting.target())
    # As long as was expected, and a moment more.
    clock.advance(250.0)
    teller.tell(waiting)
    assert not waiting.suspects()
    clock.advance(ANSWER_MS)
    teller.tell(waiting)
    assert waiting.suspects()


@pytest.mark.parametrize('lost', ['entry', 'update'])
def test_news_of_a_lost_entry_expires(lost):
    """Neither an entry that is gone nor one that restarts is waited for."""
    clock, (a, b, hearer) = make_entries(3)
    fall_silent(clock, a)
    fall_silent(clock, b)
    a.tell(hearer)
    b.tell(hearer)
    assert hearer.suspects()
    if lost == 'entry':
        restarted = Entry(clock, 0)
        restarted.tell(hearer)
        assert not hearer.suspects()
    clock.advance(TOLD_TTL_MS + 1)
    assert not hearer.suspects()


def test_news_of_other_lifetimes_and_malformed_news_are_ignored():
    clock, (entry,) = make_entries(1)
    started_ms = entry.target().started_at_ms
    for sender in ('x', 'y'):
        entry.exchange.apply(
            sender,
            [
                TargetSilence('e0', started_ms + 1, 900),
                TargetSilence('unknown', started_ms, 900),
                TargetSilence(),
                TargetSilence('e0', started_ms, None, -5),
            ],
        )
    assert not entry.suspects()
    entry.suspicions.apply('x', [Silence('e0', started_ms, -5.0)] * 100)
    assert not entry.suspects()


def test_a_request_that_must_not_run_twice_is_no_probe_at_first():
    clock, (entry,) = make_entries(1)
    request = fall_silent(clock, entry)
    entry.target().load.close(request)
    may_probe = entry.suspicions.may_probe
    clock.advance(2_000.0)
    assert may_probe(entry.target(), True, 800.0)
    assert not may_probe(entry.target(), False, 800.0)
    assert not may_probe(entry.target(), True, 200.0)
    clock.advance(2_000.0)
    assert may_probe(entry.target(), False, 800.0)
    entry.send(entry.target())
    clock.advance(20_000.0)
    # One at a time.
    assert not may_probe(entry.target(), True, 800.0)


class Fleetwide:
    """29 entries send to 26 targets, six of which fall silent for 14 s.

    `accepts` tells whether silent targets accept connections.
    """

    def __init__(self, seed, accepts, silent_ids=SILENT_IDS):
        self.rng = random.Random(seed)
        self.clock = ManualClock(0.0)
        self.entries = [Entry(self.clock, n) for n in range(ENTRIES)]
        self.accepts = accepts
        self.silent_ids = silent_ids
        self.events = []
        self.arrivals = []
        self.lost = []
        self.heard_ms = collections.defaultdict(list)

    def at(self, at_ms, call):
        heapq.heappush(self.events, (at_ms, len(self.events), id(call), call))

    def is_silent(self, target):
        now_ms = self.clock.now_ms()
        return (
            target.id in self.silent_ids
            and SILENT_FROM_MS <= now_ms < SILENT_TO_MS
        )

    def run(self):
        for entry in self.entries:
            self.at(self.rng.uniform(0, TICK_MS), self._ticks(entry))
            for other in self.entries:
                if other is not entry:
                    at_ms = self.rng.uniform(0, UPDATE_MS)
                    self.at(at_ms, self._updates(entry, other))
        self.at(0.0, self._request)
        while self.clock.now_ms() < END_MS:
            at_ms, _number, _id, call = heapq.heappop(self.events)
            self.clock.set_ms(at_ms)
            call()

    def _ticks(self, entry):
        def tick():
            entry.suspicions.observe()
            self.at(self.clock.now_ms() + TICK_MS, tick)

        return tick

    def _updates(self, entry, other):
        def update():
            entry.tell(other)
            self.at(self.clock.now_ms() + UPDATE_MS, update)

        return update

    def _request(self):
        wait_ms = self.rng.expovariate(REQUESTS_PER_S / 1_000.0)
        self.at(self.clock.now_ms() + wait_ms, self._request)
        entry = self.rng.choice(self.entries)
        target = entry.pick().target
        request = entry.send(target)
        now_ms = self.clock.now_ms()
        self.arrivals.append((now_ms, target.id))

        def answer():
            if self.is_silent(target) and self.clock.now_ms() < end_ms:
                self.at(min(end_ms, SILENT_TO_MS + 1.0), answer)
                return
            if self.is_silent(target):
                self.lost.append(now_ms)
            else:
                target.load.record_activity()
                self.heard_ms[target.id].append(self.clock.now_ms())
            target.load.record_first_token(request)
            target.load.close(request)

        def unreached():
            target.load.close(request)
            entry.suspicions.record_unreached(target, now_ms)

        end_ms = now_ms + DEADLINE_MS
        if self.is_silent(target) and target.suspected and not self.accepts:
            self.at(now_ms + CONNECT_MS, unreached)
        else:
            self.at(now_ms + ANSWER_MS, answer)


@pytest.mark.parametrize('accepts', [False, True])
@pytest.mark.parametrize('seed', [1, 2])
def test_six_of_26_targets_fall_silent_under_29_entries(seed, accepts):
    """From 2 s on only probes go there, and a return is found in a second.

    The probes are those of two entries for each target, once a second.
    """
    fleet = Fleetwide(seed, accepts)
    fleet.run()
    from_ms = SILENT_FROM_MS + 2_000.0
    sent = [
        target_id
        for at_ms, target_id in fleet.arrivals
        if from_ms <= at_ms < SILENT_TO_MS and target_id in SILENT_IDS
    ]
    seconds = (SILENT_TO_MS - from_ms) / 1_000.0
    per_target = PROBERS * (seconds * 1_000.0 / PROBE_INTERVAL_MS + 1)
    assert max(collections.Counter(sent).values()) <= per_target
    for target_id in SILENT_IDS:
        back = [t for t in fleet.heard_ms[target_id] if t >= SILENT_TO_MS]
        found_ms = min(back) - SILENT_TO_MS
        assert found_ms <= PROBE_INTERVAL_MS + CONNECT_MS + ANSWER_MS
    late = [
        target_id
        for at_ms, target_id in fleet.arrivals
        if at_ms >= SILENT_TO_MS + 2_000.0
    ]
    served = sum(1 for target_id in late if target_id in SILENT_IDS)
    mean = len(late) * len(SILENT_IDS) / TARGETS
    assert served >= mean / 2


def test_a_target_that_pauses_for_a_moment_stays_in_service(monkeypatch):
    """A pause shorter than what counts as silence moves no request."""
    monkeypatch.setattr(f'{__name__}.SILENT_TO_MS', SILENT_FROM_MS + 600.0)
    monkeypatch.setattr(f'{__name__}.END_MS', SILENT_FROM_MS + 2_000.0)
    fleet = Fleetwide(1, accepts=True)
    fleet.run()
    assert not any(len(entry.suspicions) for entry in fleet.entries)


def test_a_target_that_starts_anew_takes_no_suspicion_along():
    clock, (entry,) = make_entries(1)
    fall_silent(clock, entry)
    assert entry.suspicions.to_send()
    record = make_engine_record('e0', address='0:1', slots=64)
    entry.directory.apply(
        replace(record, started_at_ms=record.started_at_ms + 1)
    )
    entry.suspicions.observe()
    assert not len(entry.suspicions)
    assert not entry.suspicions.to_send()


def test_an_entry_that_is_cut_off_from_most_targets_probes_few_times():
    """Of its requests, a quarter at most goes to targets behind the cut."""
    clock, (entry, *others) = make_entries(5)
    cut = [entry.target(f'e{n}') for n in range(12)]
    for target in cut:
        fall_silent(clock, entry, target)
    probes = requests = 0
    for _second in range(30):
        for target in cut:
            for other in others:
                other.target(target.id).load.record_activity()
        others[0].tell(entry)
        for _request in range(6):
            observe(clock, entry, 100.0)
            target = entry.pick().target
            requests += 1
            request = entry.send(target)
            if target in cut:
                probes += 1
            else:
                target.load.record_activity()
            target.load.close(request)
        clock.advance(400.0)
    assert probes <= requests * PROBE_SHARE + MAX_PROBE_CREDIT
