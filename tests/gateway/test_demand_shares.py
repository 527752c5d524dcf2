"""Demand for limits that all entries have in common is uneven."""

import random

import pytest

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryAllowance
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.demand_shares import Claim
from wigeonmill.gateway.demand_shares import DemandShares
from wigeonmill.gateway.demand_shares import EQUAL_PART
from wigeonmill.gateway.demand_shares import MAX_CLAIM
from wigeonmill.gateway.demand_shares import MIN_CLAIM
from wigeonmill.gateway.demand_shares import VALID_MS

SERVICE = 's'
STEP_MS = 100.0
WINDOW_MS = 2_000.0
# Without requests, so that the slack alone allows retries.
LIMITS = RetryLimits(ratio=0.0, slack=98.0, window_ms=WINDOW_MS)


class Entry:
    """An entry with its demand, and replies that are on their way to it."""

    def __init__(self, fleet, name):
        self.fleet = fleet
        self.name = name
        self.frozen_until_ms = 0.0
        self.cut_until_ms = 0.0
        self.replies = []
        self.peers = []
        self.demand = 0.0
        self.start()

    def start(self):
        clock = self.fleet.clock
        self.shares = DemandShares(
            clock, self.fleet.count, lambda _name: True, enabled=True
        )
        self.allowance = RetryAllowance(clock, LIMITS)
        self.replies.clear()

    @property
    def frozen(self):
        return self.fleet.clock.now_ms() < self.frozen_until_ms


class Fleet:
    """Entries that ask a few peers at each step; replies are lost or late."""

    def __init__(self, count, rng, faults):
        self.clock = ManualClock(1_000_000.0)
        self.rng = rng
        self.faults = faults
        self.size = count
        self.entries = [Entry(self, f'e{n}') for n in range(count)]
        self.retries = []
        self.change_demand()

    def count(self):
        return self.size

    def change_demand(self):
        for entry in self.entries:
            entry.demand = self.rng.choice((0.0, 0.5, 2.0, 8.0))

    def step(self):
        self.clock.advance(STEP_MS)
        if self.faults:
            self.break_some()
        awake = [entry for entry in self.entries if not entry.frozen]
        for entry in awake:
            for _request in range(self.requests(entry)):
                entry.shares.record_request(SERVICE)
            self.receive(entry)
            self.ask(entry)
            entry.shares.observe()

    def requests(self, entry):
        whole = int(entry.demand)
        return whole + (self.rng.random() < entry.demand - whole)

    def ask(self, entry):
        if not entry.peers:
            others = [e for e in self.entries if e is not entry]
            entry.peers = self.rng.sample(others, len(others))
        now_ms = self.clock.now_ms()
        if now_ms < entry.cut_until_ms:
            # Others still ask it.
            return
        # Six per 200 ms.
        for peer in entry.peers[-3:]:
            asked_ms = now_ms
            if peer.frozen or self.rng.random() < 0.2 * self.faults:
                continue
            claims = peer.shares.claims_to_tell()
            late_ms = self.rng.uniform(0.0, 500.0) * self.faults
            entry.replies.append(
                (now_ms + late_ms, peer.name, claims, asked_ms)
            )
        del entry.peers[-3:]

    def receive(self, entry):
        now_ms = self.clock.now_ms()
        due = [reply for reply in entry.replies if reply[0] <= now_ms]
        entry.replies = [r for r in entry.replies if r[0] > now_ms]
        for _at, sender, claims, asked_ms in due:
            entry.shares.apply(sender, claims, asked_ms)

    def break_some(self):
        rng = self.rng
        if rng.random() < 0.05:
            self.change_demand()
        for entry in self.entries:
            if rng.random() < 0.005:
                entry.frozen_until_ms = self.clock.now_ms() + rng.uniform(
                    500.0, 8_000.0
                )
            if rng.random() < 0.005:
                entry.cut_until_ms = self.clock.now_ms() + 10_000.0
            if rng.random() < 0.003:
                entry.start()

    def parts(self):
        return [
            entry.shares.part(SERVICE, 0.0)
            for entry in self.entries
            if not entry.frozen
        ]

    def retry_all(self):
        """Let each entry retry as often as it may."""
        for entry in self.entries:
            if entry.frozen:
                continue
            part = entry.shares.part(SERVICE, WINDOW_MS)
            while entry.allowance.try_acquire(1.0 / part):
                self.retries.append(self.clock.now_ms())


SIZES = [1, 2, 3, 4, 5, 8, 13, 29, 60, 150, 400]


def seconds_for(count):
    return 40.0 if count <= 60 else 14.0


# Load: the traffic moves from entry to entry while some of them stand still,
# are restarted or don't hear each other.
@pytest.mark.parametrize('count', SIZES)
def test_the_parts_of_all_entries_are_at_most_the_whole(count):
    fleet = Fleet(count, random.Random(count), faults=1)
    for _step in range(int(seconds_for(count) * 1_000.0 / STEP_MS)):
        fleet.step()
        assert sum(fleet.parts()) <= 1.0 + 1e-9


@pytest.mark.parametrize('count', [1, 2, 5, 29, 60])
def test_retries_of_all_entries_stay_within_the_slack_in_any_window(count):
    fleet = Fleet(count, random.Random(count + 1), faults=1)
    for _step in range(int(seconds_for(count) * 1_000.0 / STEP_MS)):
        fleet.step()
        fleet.retry_all()
    for start_ms in set(fleet.retries):
        end_ms = start_ms + WINDOW_MS
        used = sum(1 for ms in fleet.retries if start_ms <= ms < end_ms)
        assert used <= LIMITS.slack


# Load: one entry of 29 has a third of the traffic, and another none.
def test_an_entry_with_more_demand_gets_a_larger_part():
    fleet = Fleet(29, random.Random(7), faults=0)
    for entry in fleet.entries:
        entry.demand = 0.5
    fleet.entries[0].demand = 8.0
    fleet.entries[1].demand = 0.0
    for _step in range(150):
        fleet.step()
    parts = fleet.parts()
    assert parts[0] > 2.0 / 29
    assert parts[1] < 1.0 / 29
    # Most of a limit is in use by then.
    assert sum(parts) > 0.9


def make_shares(enabled, count=5):
    clock = ManualClock(1_000_000.0)
    shares = DemandShares(
        clock, lambda: count, lambda _name: True, enabled=enabled
    )
    return clock, shares


def test_parts_are_equal_if_switched_off():
    _clock, shares = make_shares(enabled=False)
    shares.record_request(SERVICE)
    shares.apply('e2', [Claim(SERVICE, 64, 99)], 0.0)
    assert shares.part(SERVICE, WINDOW_MS) == 1.0 / 5
    assert shares.claims_to_tell() == []


# Guards against a part that grows before the others have heard of it.
def test_a_larger_claim_is_used_once_a_smaller_one_is_not_valid():
    clock, shares = make_shares(enabled=True, count=2)
    clock.advance(VALID_MS)
    shares.apply('e2', [Claim(SERVICE, 16, 40)], clock.boot_ms())
    shares.part(SERVICE, 0.0)
    shares.claims_to_tell()
    for _request in range(400):
        shares.record_request(SERVICE)
    before = shares.part(SERVICE, 0.0)
    clock.advance(VALID_MS / 2)
    for _request in range(400):
        shares.record_request(SERVICE)
    shares.apply('e2', [Claim(SERVICE, 16, 40)], clock.boot_ms())
    shares.observe()
    assert shares.part(SERVICE, 0.0) <= before + 1e-9
    for _step in range(6):
        clock.advance(500.0)
        shares.apply('e2', [Claim(SERVICE, 16, 40)], clock.boot_ms())
        shares.record_request(SERVICE)
        shares.observe()
    assert shares.part(SERVICE, 0.0) > before


def equal(count):
    return EQUAL_PART / count


# Guards against a process whose predecessor has told less than it uses.
def test_an_entry_that_has_just_started_uses_the_smallest_claim():
    clock, shares = make_shares(enabled=True, count=2)
    for _request in range(400):
        shares.record_request(SERVICE)
    shares.apply('e2', [Claim(SERVICE, 16, 4)], clock.boot_ms())
    by_demand = MIN_CLAIM / (MIN_CLAIM + 16)
    assert shares.part(SERVICE, 0.0) == pytest.approx(
        equal(2) + (1.0 - EQUAL_PART) * by_demand
    )


# Guards against an entry that uses more while this one can't ask it.
def test_an_entry_whose_claim_is_not_known_counts_as_the_largest():
    clock, shares = make_shares(enabled=True, count=3)
    clock.advance(VALID_MS)
    shares.record_request(SERVICE)
    shares.apply('e2', [Claim(SERVICE, 16, 4)], clock.boot_ms())
    used = shares.claims_to_tell()[0].amount
    by_demand = used / (used + 16 + MAX_CLAIM)
    assert shares.part(SERVICE, 0.0) == pytest.approx(
        equal(3) + (1.0 - EQUAL_PART) * by_demand
    )


# Guards against an entry that is counted with less than the part in force
# comes from, because its demand has fallen since.
def test_a_claim_that_is_told_covers_the_part_in_force():
    clock, shares = make_shares(enabled=True, count=2)
    clock.advance(VALID_MS)
    for _request in range(100):
        shares.record_request(SERVICE)
    shares.apply('e2', [Claim(SERVICE, 16, 20)], clock.boot_ms())
    shares.observe()
    in_force = shares.part(SERVICE, 0.0)
    shares.apply('e2', [Claim(SERVICE, 16, 900)], clock.boot_ms())
    told = shares.claims_to_tell()[0].amount
    assert shares.part(SERVICE, 0.0) == in_force
    by_demand = told / (told + 16)
    assert in_force <= equal(2) + (1.0 - EQUAL_PART) * by_demand + 1e-9
