"""Entries of one fleet send to a target that names a limit for a time.

Their answers overtake each other, they learn of the limit at different times
and from each other, and some of them start anew.
"""

import bisect
import heapq
import itertools
from math import inf
import random

import pytest

from tests.gateway.samples import LEDGER
from tests.gateway.samples import make_record
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.limit_exchange import LimitExchange
from wigeonmill.gateway.target_notices import Notice
from wigeonmill.metrics import Metrics
from wigeonmill.routing.rendezvous import rank
from wigeonmill.routing.rendezvous import WeightedTarget

NAMED_MS = 3_000.0
ENDED_MS = 23_000.0
END_MS = 40_000.0
CONTACT_MS = 3_000.0
TOLD_MS = 500.0
WINDOW_MS = 4_000.0
UPDATE_MS = 200.0
PEERS_PER_UPDATE = 6
CONNECT_MS = 350.0
# Time from the end of a limit until every entry knows it.
KNOWN_MS = 15_000.0


class Entry:
    """One process, which knows the others by name."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.started_ms = fleet.clock.now_ms()
        self.ctx = GatewayContext(
            fleet.clock,
            fleet.rng,
            Metrics(),
            RetryLimits(),
            lambda: len(fleet.names),
            is_selected=self._is_selected,
        )
        self.ctx.directory.apply(make_record('t1'))
        self.exchange = LimitExchange(
            fleet.clock, self.ctx.directory, self.ctx.notices
        )

    @property
    def target(self):
        return self.ctx.directory.of_service(LEDGER)[0]

    def _is_selected(self, key, count):
        chosen = self.fleet.selected(key, count)
        return self.name in chosen


class Fleet:
    """The entries, their callers and the target, in virtual time."""

    def __init__(self, seed, count, per_s):
        self.clock = ManualClock()
        self.rng = random.Random(seed)
        self.per_s = per_s
        self.names = [f'e{n}' for n in range(count)]
        self.entries = {name: Entry(self, name) for name in self.names}
        self._selected = {}
        self._events = []
        self._numbers = itertools.count()
        self.told_ms = {}
        self.first_named_ms = inf
        # Arrivals at the target: time, entry and the start of its process.
        self.arrivals = []

    def selected(self, key, count):
        chosen = self._selected.get((key, count))
        if chosen is None:
            names = [WeightedTarget(name, '') for name in self.names]
            best = rank(key.encode(), names, count)
            chosen = self._selected[key, count] = {e.name for e in best}
        return chosen

    def at(self, delay_ms, action, *args):
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(
            self._events, (due_ms, next(self._numbers), action, args)
        )

    def run(self, requests_per_s):
        self._ask(requests_per_s)
        for name in self.names:
            self.at(self.rng.uniform(0.0, UPDATE_MS), self._update, name)
        self.at(self.rng.uniform(5_000.0, 9_000.0), self._restart)
        while self._events and self._events[0][0] < END_MS:
            due_ms, _number, action, args = heapq.heappop(self._events)
            self.clock.set_ms(max(due_ms, self.clock.now_ms()))
            action(*args)

    def _ask(self, requests_per_s):
        """A caller's request arrives at an entry."""
        entry = self.entries[self.rng.choice(self.names)]
        self.at(
            self.rng.expovariate(requests_per_s / 1_000.0),
            self._ask,
            requests_per_s,
        )
        target = entry.target
        if target.limit_wait_ms() > 0:
            return
        entry.ctx.notices.record_sent(target, 'q1')
        connects = self.rng.random() < 0.1
        delay_ms = self.rng.uniform(0.0, CONNECT_MS if connects else 2.0)
        self.at(delay_ms, self._arrive, entry, self.clock.now_ms())

    def _arrive(self, entry, sent_ms):
        now_ms = self.clock.now_ms()
        self.arrivals.append((now_ms, entry.name, entry.started_ms))
        self.at(self.rng.expovariate(1 / 200.0), self._answer, entry, sent_ms)

    def _answer(self, entry, sent_ms):
        now_ms = self.clock.now_ms()
        per_s = inf
        if NAMED_MS <= now_ms < ENDED_MS:
            per_s = self.per_s
            self.first_named_ms = min(self.first_named_ms, now_ms)
        is_late = self.rng.random() < 0.05
        delay_ms = self.rng.uniform(0.0, 800.0 if is_late else 3.0)
        self.at(delay_ms, self._read, entry, per_s, sent_ms)

    def _read(self, entry, per_s, sent_ms):
        if self.entries[entry.name] is not entry:
            return
        if per_s < inf:
            self.told_ms.setdefault(
                (entry.name, entry.started_ms), self.clock.now_ms()
            )
        notice = Notice(limit_per_s=per_s)
        entry.ctx.notices.record(entry.target, notice, 'answer', 'q1', sent_ms)

    def _update(self, name):
        """An entry sends its update to some others."""
        self.at(UPDATE_MS, self._update, name)
        others = [other for other in self.names if other != name]
        count = min(len(others), PEERS_PER_UPDATE)
        found = self.entries[name].exchange.to_send()
        for other in self.rng.sample(others, count):
            is_late = self.rng.random() < 0.05
            delay_ms = self.rng.uniform(0.0, 450.0 if is_late else 5.0)
            self.at(delay_ms, self._learn, other, found)

    def _learn(self, name, found):
        self.entries[name].exchange.apply(found)

    def _restart(self):
        name = self.rng.choice(self.names)
        self.entries[name] = Entry(self, name)
        self.at(self.rng.uniform(1_000.0, 6_000.0), self._restart)

    def most_in_window(self):
        """Return the most requests of entries that had been told."""
        times = [
            at_ms
            for at_ms, name, started_ms in self.arrivals
            if self.first_named_ms + CONTACT_MS <= at_ms < ENDED_MS
            and at_ms >= self.told_ms.get((name, started_ms), inf) + TOLD_MS
            and at_ms >= started_ms + CONTACT_MS
        ]
        return max(
            (
                bisect.bisect_left(times, start_ms + WINDOW_MS) - index
                for index, start_ms in enumerate(times)
            ),
            default=0,
        )

    def used_share(self):
        """Return the share of the limit that was used."""
        from_ms = self.first_named_ms + CONTACT_MS
        count = sum(from_ms <= at_ms < ENDED_MS for at_ms, *_ in self.arrivals)
        return count / (self.per_s * (ENDED_MS - from_ms) / 1_000.0)


# Guards against LIMIT: many entries exceed the limit of a target together,
# leave it unused, or keep it after its end.
@pytest.mark.parametrize(
    ('count', 'per_s'),
    [
        (1, 1.0),
        (2, 0.5),
        (5, 1.0),
        (5, 3.9),
        (6, 20.0),
        (30, 0.5),
        (30, 3.9),
        (68, 1.0),
        (68, 20.0),
        (200, 2.0),
    ],
)
@pytest.mark.parametrize('seed', [1])
def test_a_fleet_keeps_the_limit_of_a_target_for_as_long_as_it_says_so(
    seed, count, per_s
):
    fleet = Fleet(seed, count, per_s)
    fleet.run(requests_per_s=max(4.0 * per_s, 5.0 * count, 20.0))
    assert fleet.most_in_window() <= 1.5 * per_s * WINDOW_MS / 1_000.0 + 5
    assert fleet.used_share() >= 0.5
    assert fleet.clock.now_ms() > ENDED_MS + KNOWN_MS
    limited = [
        entry.name
        for entry in fleet.entries.values()
        if entry.target.limit.per_s < inf
    ]
    assert limited == []
    for entry in fleet.entries.values():
        unwanted = entry.ctx.metrics.reasons('requests_unwanted')
        assert unwanted == {}
