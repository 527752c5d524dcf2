"""Rollouts of good and bad versions on a manual clock, by seeded schedules.

The checker counts by the words of the platform's rule: a bad version gets at
most a tenth of all requests between the order and its time, and 50 more, and
no request that was sent later than 5 s after its 50th bad answer.
"""

from bisect import bisect_left
import heapq
import itertools
import random

import pytest

from tests.gateway.samples import make_record
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.rollout_evidence import Judgement
from wigeonmill.gateway.rollout_evidence import OLD
from wigeonmill.gateway.rollout_evidence import Tally
from wigeonmill.gateway.rollout_stages import Stage
from wigeonmill.gateway.service_rollout import RolloutLimits
from wigeonmill.gateway.service_rollout import RolloutOrder
from wigeonmill.gateway.service_rollout import ServiceRollout
from wigeonmill.gateway.software_rollout import next_record
from wigeonmill.gateway.targets import Target

SHARE, SLACK, ROLLBACK_MS = 0.1, 50, 5_000.0
DURATION_MS = 12_000.0
TICK_MS = 20.0
# The term of the leader's lease, and the longest time to notice its end and
# to take the leadership.
TAKEOVER_MS = 3_300.0
ROUTES = (('common', 0.7), ('flaky', 0.2), ('rare', 0.1))
FLAKY_SHARE = 1 / 7
# A route of a service with fewer requests a second than this has too few in
# the time of an order to tell a bad version from chance: under a tenth of
# them at 12 s makes less than six.
DECIDABLE_PER_S = 30
# Some versions are bad under load only: with half of the requests of a time.
LOADED_PART = 0.5
LOADED_MS = 500.0
FAULTS = ('good', 'fails', 'slow', 'fails_later', 'slow_later', 'one_route')


class Fleet:
    """Entries with late and lost updates, one leader, and both versions."""

    def __init__(
        self,
        rng,
        fault,
        per_s,
        entries,
        lost_at,
        lossy,
        duration_ms=DURATION_MS,
    ):
        self.duration_ms = duration_ms
        # Times between which all versions take several times as long.
        self.busy_ms = (0.0, 0.0)
        self.rng = rng
        self.fault = fault
        self.per_s = per_s
        self.lost_at = lost_at
        self.lossy = lossy
        self.clock = ManualClock(1_000_000.0)
        self.start_ms = self.clock.now_ms()
        old_count, new_count = rng.choice(((3, 3), (8, 4), (10, 10), (29, 29)))
        self.targets = [
            Target(
                make_record(
                    f't{n}',
                    software_version='v1' if n < old_count else 'v2',
                    failure_domain=f'd{n % 3}',
                ),
                self.clock,
            )
            for n in range(old_count + new_count)
        ]
        self.affected = rng.uniform(0.4, 1.0)
        self.factor = rng.uniform(4.0, 8.0)
        self.bad_from_ms = self.start_ms
        if fault.endswith('_later'):
            self.bad_from_ms += rng.uniform(0.1, 0.4) * duration_ms
        order = RolloutOrder('s', 'v2', duration_ms, 7)
        limits = RolloutLimits(SHARE, SLACK, ROLLBACK_MS)
        selected = rng.sample(range(entries), entries)
        self.entries = [
            ServiceRollout(
                order,
                limits,
                f'e{n}',
                entries,
                lambda count, n=n: selected[n] < count,
                joined_late=False,
                now_ms=self.start_ms,
            )
            for n in range(entries)
        ]
        for entry in self.entries:
            entry.observe(self.clock.now_ms(), self.targets)
        self.order_numbers = itertools.count()
        self.events = []
        self.record = None
        self.leader = 0
        self.leader_from_ms = self.start_ms
        if lost_at == 'ordered':
            self.leader_from_ms += TAKEOVER_MS
        self.all_arrivals = 0
        self.new_sent_ms = []
        self.bad_answers_ms = []
        self.ended = None
        self.open_old = 0

    def after(self, delay_ms, action, *args):
        due_ms = self.clock.now_ms() + delay_ms
        heapq.heappush(
            self.events, (due_ms, next(self.order_numbers), action, args)
        )

    def play(self):
        end_ms = self.start_ms + 1.2 * self.duration_ms
        tick = 0
        debt = 0.0
        while self.clock.now_ms() < end_ms:
            self.clock.advance(TICK_MS)
            tick += 1
            while self.events and self.events[0][0] <= self.clock.now_ms():
                _, _, action, args = heapq.heappop(self.events)
                action(*args)
            debt += self.rng.expovariate(1.0) * self.per_s * TICK_MS / 1000.0
            while debt >= 1.0:
                debt -= 1.0
                self.send()
            if tick % 10 == 0:
                self.exchange()
            if tick % 5 == 0:
                self.lead()
            if self.ended and not self.events:
                break

    def send(self):
        entry = self.rng.choice(self.entries)
        route = self.rng.choices(*zip(*ROUTES))[0]
        chosen = entry.filter(route, False, None, 100.0, self.clock.now_ms())
        allowed = [t for t in self.targets if chosen.allows(t)]
        target = self.rng.choice(allowed)
        is_new = target.software_version == 'v2'
        entry.limit.record(route, is_new)
        now_ms = self.clock.now_ms()
        if now_ms < self.start_ms + self.duration_ms:
            self.all_arrivals += 1
        failed = route == 'flaky' and self.rng.random() < FLAKY_SHARE
        took_ms = self.rng.lognormvariate(0.0, 0.4) * 100.0
        if self.busy_ms[0] <= now_ms < self.busy_ms[1]:
            took_ms *= 4.0
        bad = False
        if is_new:
            self.new_sent_ms.append(now_ms)
            bad = self.is_affected(route)
            if bad and 'slow' in self.fault:
                took_ms *= self.factor
            failed = failed or (bad and 'slow' not in self.fault)
        else:
            self.open_old += 1
        self.after(
            took_ms, self.answer, entry, route, target, failed, took_ms, bad
        )

    def is_affected(self, route):
        now_ms = self.clock.now_ms()
        if self.fault == 'good' or now_ms < self.bad_from_ms:
            return False
        if self.fault.endswith('_loaded'):
            lately = bisect_left(self.new_sent_ms, now_ms - LOADED_MS)
            sent = len(self.new_sent_ms) - lately
            if sent < LOADED_PART * self.per_s * LOADED_MS / 1000.0:
                return False
        if self.fault == 'one_route' and route != 'rare':
            return False
        return self.rng.random() < self.affected

    def answer(self, entry, route, target, failed, took_ms, bad):
        is_new = target.software_version == 'v2'
        if not is_new:
            self.open_old -= 1
        if bad:
            self.bad_answers_ms.append(self.clock.now_ms())
        where = target.id if is_new else OLD
        entry.evidence.record(route, where, failed, took_ms, took_ms)

    def exchange(self):
        """Let some judge; tell the leader and others what each has counted."""
        now_ms = self.clock.now_ms()
        leader = self.entries[self.leader]
        some = self.rng.sample(self.entries, min(31, len(self.entries)))
        for entry in (leader, *some):
            entry.observe(now_ms, self.targets)
            if entry.finding.judgement is Judgement.BAD and entry.condemn():
                self.spread_verdict()
        for number, entry in enumerate(self.entries):
            totals = {
                key: Tally(tally.answers, tally.failed, tally.slow)
                for key, tally in entry.evidence.counts.items()
            }
            times = entry.evidence.times()
            for peer in (leader, self.rng.choice(self.entries)):
                if self.lossy and self.rng.random() < 0.4:
                    continue
                delay_ms = self.rng.uniform(2, 800 if self.lossy else 50)
                self.after(
                    delay_ms, peer.fleet.replace, f'e{number}', totals, times
                )

    def spread_verdict(self):
        for peer in self.entries:
            delay_ms = self.rng.uniform(2, 800 if self.lossy else 50)
            self.after(delay_ms, peer.condemn)

    def lead(self):
        now_ms = self.clock.now_ms()
        if now_ms < self.leader_from_ms or self.ended:
            return
        leader = self.entries[self.leader]
        old_target = next(
            t for t in self.targets if t.software_version == 'v1'
        )
        old_target.load._open = dict.fromkeys(range(self.open_old))
        planned = next_record(
            leader,
            self.record,
            self.clock.wall_ms(),
            leader.order_age_ms(now_ms),
            self.targets,
            True,
        )
        if planned is None:
            return
        self.record = planned
        stage = Stage(planned.stage)
        for entry in self.entries:
            self.after(
                self.rng.uniform(4, 60 if len(self.entries) <= 8 else 1_000),
                self.tell,
                entry,
                planned,
            )
        if stage.is_final:
            self.ended = stage, now_ms - self.start_ms
        if stage.value == self.lost_at:
            self.leader = (self.leader + 1) % len(self.entries)
            self.leader_from_ms = now_ms + TAKEOVER_MS

    def tell(self, entry, record):
        if record is self.record or not entry.bad:
            entry.apply_stage(Stage(record.stage), record.from_versions)

    def exposure(self):
        """Return the requests beyond the rule's share, and the late ones."""
        end_ms = self.start_ms + self.duration_ms
        new = sum(at < end_ms for at in self.new_sent_ms)
        over = new - SHARE * self.all_arrivals - SLACK
        late = 0
        if len(self.bad_answers_ms) >= 50:
            last_ms = sorted(self.bad_answers_ms)[49] + ROLLBACK_MS
            late = sum(at > last_ms for at in self.new_sent_ms)
        return over, late


LOST_AT = ('', 'canary', 'eighth', 'third', 'full')
LOADS = (
    (5, 1),
    (5, 100),
    (30, 4),
    (60, 31),
    (200, 8),
    (600, 31),
    (600, 100),
)
SCHEDULES = [
    (fault, per_s, entries, lost_at, (number + len(lost_at)) % 2 == 1)
    for fault in FAULTS
    for number, (per_s, entries) in enumerate(LOADS)
    for lost_at in LOST_AT
] + [
    (fault, per_s, entries, lost_at, number % 2 == 0)
    for lost_at in ('ordered', 'deferred')
    for fault in FAULTS
    for number, (per_s, entries) in enumerate(LOADS)
]


@pytest.mark.parametrize(
    'number',
    range(len(SCHEDULES)),
    ids=lambda n: '-'.join(map(str, SCHEDULES[n])),
)
def test_the_rule_and_the_time_hold(number):
    fault, per_s, entries, lost_at, lossy = SCHEDULES[number]
    rng = random.Random(number)
    fleet = Fleet(rng, fault, per_s, entries, lost_at, lossy)
    fleet.play()
    stage, took_ms = fleet.ended or (None, 0.0)
    if fault == 'good':
        assert stage is Stage.DONE
        assert took_ms <= DURATION_MS
        return
    over, late = fleet.exposure()
    assert over <= 0
    assert late == 0
    rare = dict(ROUTES)['rare'] if fault == 'one_route' else 1.0
    if per_s * rare >= DECIDABLE_PER_S:
        assert stage is Stage.ROLLED_BACK


@pytest.mark.parametrize('seed', range(2))
@pytest.mark.parametrize('load', LOADS[2:])
@pytest.mark.parametrize('fault', ('fails_loaded', 'slow_loaded'))
def test_a_version_that_is_bad_under_load_only_keeps_to_the_rule(
    fault, load, seed
):
    fleet = Fleet(random.Random(seed), fault, *load, '', False)
    fleet.play()
    assert fleet.exposure()[0] <= 0


def play_long_full(seed, busy):
    """Play a good version that one long request keeps at full share for 4 s.

    If `busy`, 2 s of them are slow for all versions.
    """
    fleet = Fleet(
        random.Random(seed), 'good', 600, 31, '', False, duration_ms=16_000.0
    )
    fleet.open_old = 1
    if busy:
        fleet.busy_ms = fleet.start_ms + 11_500.0, fleet.start_ms + 13_500.0
    fleet.play()
    return fleet


@pytest.mark.parametrize('busy', (False, True))
@pytest.mark.parametrize('seed', range(6))
def test_a_good_version_that_is_full_for_long_is_done(seed, busy):
    fleet = play_long_full(seed, busy)
    stage, took_ms = fleet.ended
    assert stage is Stage.DONE
    assert took_ms <= fleet.duration_ms
