"""Tests that entries tell each other of targets that leave."""

import random

import pytest

from tests.gateway.samples import make_record
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.leaving_exchange import LeavingExchange
from wigeonmill.gateway.leaving_exchange import MAX_UNKNOWN
from wigeonmill.gateway.target_notices import Notice
from wigeonmill.gateway.target_notices import REPORT_LEAVING_MS
from wigeonmill.metrics import Metrics
from wigeonmill.protocol.gen.inner.ttypes import LeavingTarget

BORN_MS = 1_000


class Entry:
    def __init__(self, clock, records=('t1',)):
        self.ctx = GatewayContext(
            clock, random.Random(1), Metrics(), RetryLimits(), lambda: 2
        )
        self.exchange = LeavingExchange(self.ctx.directory, self.ctx.notices)
        for id_ in records:
            self.ctx.directory.apply(make_record(id_, started_at_ms=BORN_MS))

    def target(self, id_='t1'):
        return self.ctx.directory.get(id_)

    def offered(self):
        return [t.id for t in self.ctx.directory.of_service('ledger')]


@pytest.fixture
def clock():
    return ManualClock(10_000.0)


def told(clock):
    """Return an entry that a target told that it leaves."""
    entry = Entry(clock)
    entry.ctx.notices.record(entry.target(), Notice(leaving=True), 'answer')
    return entry


# Load: one of two entries was told by an answer; the store is away.
def test_peers_send_nothing_more_to_a_target_that_leaves(clock):
    peer = Entry(clock, ('t1', 't2'))
    assert peer.offered() == ['t1', 't2']
    updates = told(clock).exchange.to_send()
    # The update comes twice.
    peer.exchange.apply(updates)
    peer.exchange.apply(updates)
    assert peer.offered() == ['t2']
    assert peer.ctx.metrics.reasons('target_notices') == {'leaving': 1}
    # Each entry tells only what it was told itself.
    assert peer.exchange.to_send() == []


def test_the_next_lifetime_of_the_target_does_not_leave(clock):
    peer = Entry(clock, ())
    peer.ctx.directory.apply(make_record('t1', started_at_ms=BORN_MS + 1))
    peer.exchange.apply(told(clock).exchange.to_send())
    assert peer.offered() == ['t1']


def test_a_target_whose_record_comes_later_leaves_as_well(clock):
    peer = Entry(clock, ())
    peer.exchange.apply(told(clock).exchange.to_send())
    peer.ctx.directory.apply(make_record('t1', started_at_ms=BORN_MS))
    assert peer.offered() == []
    peer.ctx.directory.apply(make_record('t1', started_at_ms=BORN_MS + 1))
    assert peer.offered() == ['t1']


def test_it_is_told_for_a_time(clock):
    entry = told(clock)
    clock.advance(REPORT_LEAVING_MS + 1.0)
    assert entry.exchange.to_send() == []


def test_malformed_and_too_many_items_are_ignored(clock):
    peer = Entry(clock)
    many = [LeavingTarget(f'x{n}', BORN_MS) for n in range(MAX_UNKNOWN + 9)]
    peer.exchange.apply([LeavingTarget(), LeavingTarget('t1'), *many])
    assert peer.offered() == ['t1']
    assert len(peer.ctx.notices._kept) == MAX_UNKNOWN


# Load: targets leave all the time, and no peer is to be told.
def test_what_is_to_be_told_ends_though_nobody_is_told(clock):
    entry = Entry(clock, [f't{n}' for n in range(200)])
    for number in range(200):
        clock.advance(1_000.0)
        target = entry.target(f't{number}')
        entry.ctx.notices.record(target, Notice(leaving=True), 'answer')
    kept = entry.ctx.notices._told_leaving
    assert len(kept) <= REPORT_LEAVING_MS / 1_000.0 + 1


# Load: a peer repeats that targets without a record leave.
def test_repeated_updates_push_no_kept_notice_out(clock):
    entry = Entry(clock, ())
    notices = entry.ctx.notices
    for number in range(MAX_UNKNOWN):
        notices.keep_leaving(f'u{number}', BORN_MS)
    before = list(notices._kept)
    updates = [LeavingTarget(id_, BORN_MS) for id_ in before]
    for _ in range(20):
        entry.exchange.apply(updates)
    assert list(notices._kept) == before
