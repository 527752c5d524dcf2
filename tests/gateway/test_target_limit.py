"""Tests which of the statements about a target's limit holds."""

from math import inf

import pytest

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.target_limit import LimitStatement
from wigeonmill.gateway.target_limit import REPORT_ENDED_MS
from wigeonmill.gateway.target_limit import TargetLimit


def make_limit(*statements, clock=None):
    limit = TargetLimit(clock or ManualClock(1_000.0))
    for statement in statements:
        limit.apply(LimitStatement(*statement))
    return limit


# Guards against LIMIT: answers overtake each other, and an outdated one must
# not end or raise the limit that a later one has named.
@pytest.mark.parametrize(
    ('statements', 'per_s'),
    [
        ([(4.0, 0.0, 10.0)], 4.0),
        # The request was sent after the limit was known, or before.
        ([(4.0, 0.0, 10.0), (inf, 11.0, 20.0)], inf),
        ([(4.0, 0.0, 10.0), (inf, 9.0, 20.0)], 4.0),
        ([(4.0, 0.0, 10.0), (9.0, 11.0, 20.0)], 9.0),
        ([(4.0, 0.0, 10.0), (9.0, 9.0, 20.0)], 4.0),
        # A lower limit holds unless it is outdated for certain.
        ([(4.0, 5.0, 10.0), (1.0, 0.0, 20.0)], 1.0),
        ([(4.0, 5.0, 10.0), (1.0, 0.0, 4.0)], 4.0),
        ([(inf, 5.0, 10.0), (1.0, 0.0, 7.0)], 1.0),
        ([(inf, 5.0, 10.0), (1.0, 0.0, 4.0)], inf),
        # Each confirmation moves the time from which an end counts.
        ([(4.0, 0.0, 10.0), (4.0, 2.0, 30.0), (inf, 20.0, 40.0)], 4.0),
        ([(0.0, 0.0, 10.0)], 0.0),
    ],
)
def test_of_two_statements_the_later_one_holds(statements, per_s):
    assert make_limit(*statements).per_s == per_s


# Guards against a limit that a call without a known time ends.
def test_a_statement_without_a_time_ends_nothing():
    assert make_limit((4.0, 0.0, 10.0), (inf, -inf, 20.0)).per_s == 4.0
    assert make_limit((4.0, -inf, 10.0), (inf, 11.0, 20.0)).per_s == inf


def test_only_what_an_entry_was_told_itself_is_reported():
    clock = ManualClock(1_000.0)
    assert make_limit(clock=clock).to_report() is None
    own = LimitStatement(4.0, 0.0, 10.0)
    assert make_limit((4.0, 0.0, 10.0)).to_report() == own
    limit = make_limit((4.0, 0.0, 10.0, True))
    assert limit.to_report() is None
    limit.apply(own)
    assert limit.to_report() == own


def test_the_end_of_a_limit_is_reported_for_a_time():
    clock = ManualClock(1_000.0)
    ended = (inf, 11.0, 20.0)
    limit = make_limit((4.0, 0.0, 10.0), ended, clock=clock)
    assert limit.to_report() == LimitStatement(*ended)
    clock.advance(REPORT_ENDED_MS)
    assert limit.to_report() is None


# Guards against two entries that confirm an old limit to each other for good.
def test_a_report_of_a_peer_is_not_reported_back():
    limit = make_limit((4.0, 0.0, 10.0), (4.0, 5.0, 90.0, True))
    assert limit.to_report() == LimitStatement(4.0, 0.0, 10.0)
    assert not limit.apply(LimitStatement(inf, 20.0, 30.0))
