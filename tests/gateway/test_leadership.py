"""Only one entry at a time gives orders, even if leases and clocks fail."""

import asyncio

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.leadership import Leadership
from wigeonmill.gateway.own_records import LEADER_KEY
from wigeonmill.standins.memory_key_value import KvFaults
from wigeonmill.standins.memory_key_value import MemoryKeyValue

TERM_MS = 1_500.0
TAKEOVER_DELAY_MS = 3_000.0


class SuspendedClock(ManualClock):
    """A clock whose monotonic time stops while the machine is suspended."""

    def __init__(self):
        super().__init__()
        self.suspended_ms = 0.0

    def boot_ms(self):
        return self.now_ms() + self.suspended_ms


class Entry:
    def __init__(self, keys, clock, name):
        self.keys = keys
        self.clock = clock
        self.leadership = Leadership(
            keys, clock, name, TERM_MS, TAKEOVER_DELAY_MS
        )

    def step(self):
        async def once():
            known = (await self.keys.get(LEADER_KEY)).unwrap()
            await self.leadership.step(known)

        asyncio.run(once())
        return self.leadership.may_order


def run_for(clock, entries, time_ms, step_ms=200.0):
    """Step all entries; return time, entry and fence of each order."""
    orders = []
    for _step in range(int(time_ms / step_ms)):
        for entry in entries:
            if entry.step():
                orders.append((clock.now_ms(), entry, entry.leadership.fence))
        clock.advance(step_ms)
    return orders


def make_clock_and_keys():
    clock = SuspendedClock()
    keys = MemoryKeyValue(clock, KvFaults())
    return clock, keys


def test_the_first_order_waits_for_the_takeover_delay():
    clock, keys = make_clock_and_keys()
    entry = Entry(keys, clock, 'a')
    orders = run_for(clock, [entry], 5_000)
    assert orders[0][0] >= TAKEOVER_DELAY_MS


def test_two_leaders_orders_are_separated_by_the_takeover_delay():
    clock, keys = make_clock_and_keys()
    first, second = Entry(keys, clock, 'a'), Entry(keys, clock, 'b')
    before = run_for(clock, [first, second], 6_000)
    assert {entry for _ms, entry, _fence in before} == {first}
    after = run_for(clock, [second], 12_000)
    assert after
    assert after[0][0] - before[-1][0] >= TAKEOVER_DELAY_MS
    assert after[0][2] > before[-1][2]


def test_a_suspended_leader_may_not_order():
    clock, keys = make_clock_and_keys()
    entry = Entry(keys, clock, 'a')
    run_for(clock, [entry], 5_000)
    assert entry.leadership.may_order
    clock.suspended_ms += TERM_MS
    assert not entry.leadership.may_order


def test_a_leader_that_fails_to_renew_stops_before_its_lease_expires():
    clock, keys = make_clock_and_keys()
    entry = Entry(keys, clock, 'a')
    run_for(clock, [entry], 5_000)
    clock.advance(TERM_MS * 0.9)
    assert not entry.leadership.may_order


def test_a_restarted_leader_may_order_without_delay():
    clock, keys = make_clock_and_keys()
    entry = Entry(keys, clock, 'a')
    run_for(clock, [entry], 5_000)
    fence = entry.leadership.fence
    again = Entry(keys, clock, 'a')
    assert again.step()
    assert again.leadership.fence > fence


def test_a_leader_that_steps_down_leads_again_after_its_lease_expires():
    clock, keys = make_clock_and_keys()
    entry = Entry(keys, clock, 'a')
    run_for(clock, [entry], 5_000)
    entry.leadership.step_down('test')
    assert not entry.step()
    orders = run_for(clock, [entry], 12_000)
    assert orders


# Guards against ONE: a leader whose lease a restore had lost gave orders until
# its next renewal, or for good if its lease id was given out again.
def test_a_restore_ends_the_term_before_the_next_order():
    clock, keys = make_clock_and_keys()
    entry = Entry(keys, clock, 'a')
    run_for(clock, [entry], 4_000)
    assert entry.leadership.may_order
    entry.leadership.key_value_restored()
    assert not entry.leadership.is_leader


def test_a_lease_from_before_a_restore_makes_no_leader():
    clock, keys = make_clock_and_keys()
    entry = Entry(keys, clock, 'a')
    grant = keys.grant_lease

    async def grant_and_restore(ttl_ms):
        granted = await grant(ttl_ms)
        entry.leadership.key_value_restored()
        return granted

    keys.grant_lease = grant_and_restore
    entry.step()
    assert not entry.leadership.is_leader


# Guards against a service that grants no lease shorter than a stated time with
# a fraction, so that no entry ever leads.
def test_a_term_with_a_fraction_is_rounded_up():
    clock, keys = make_clock_and_keys()
    asked = []
    grant = keys.grant_lease

    async def grant_lease(ttl_ms):
        asked.append(ttl_ms)
        return await grant(ttl_ms)

    keys.grant_lease = grant_lease
    entry = Entry(keys, clock, 'e0')
    entry.leadership = Leadership(keys, clock, 'e0', 1_500.5, 0.0)
    entry.step()
    assert asked == [1_501]
