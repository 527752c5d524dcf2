from dataclasses import replace

import pytest

from wigeonmill.gateway.admission import Applicant
from wigeonmill.gateway.admission import decide
from wigeonmill.gateway.admission import engine_level
from wigeonmill.gateway.admission import has_returned
from wigeonmill.gateway.admission import retry_after_ms
from wigeonmill.gateway.admission import Room
from wigeonmill.gateway.admission import Size
from wigeonmill.gateway.admission import Standing
from wigeonmill.gateway.admission import Verdict
from wigeonmill.gateway.admission import waited_ms
from wigeonmill.gateway.admission import Why

FULL = Room(has_room=False, refused_ms=0.0, starts_ms=300.0)
FREE = Room(has_room=True, refused_ms=0.0, starts_ms=50.0)
APPLICANT = Applicant(
    objective_ms=400.0, in_time_ms=400.0, remaining_ms=3_000.0
)
NEW = Standing(2, False, False, True, False, 2_000, 100.0)


def test_nothing_is_held_or_refused_while_a_target_has_room():
    # Even if the estimate says that it comes too late.
    hurried = replace(APPLICANT, in_time_ms=-9.0, remaining_ms=1.0)
    assert decide(FREE, hurried).verdict is Verdict.SEND


def test_a_hold_lasts_a_quarter_of_the_objective_in_all():
    first = decide(FULL, APPLICANT)
    assert (first.verdict, first.hold_ms) == (Verdict.HOLD, 100.0)
    again = decide(FULL, replace(APPLICANT, held_ms=70.0))
    assert again.hold_ms == 30.0
    # It doesn't take the memory of a run, but comes back.
    held = decide(FULL, replace(APPLICANT, held_ms=100.0))
    assert (held.verdict, held.why) == (Verdict.REFUSE, Why.LATE)


def test_what_would_be_late_is_told_at_once_when_to_return():
    late = decide(FULL, replace(APPLICANT, in_time_ms=299.0))
    assert (late.verdict, late.why) == (Verdict.REFUSE, Why.LATE)


def test_who_returned_waits_for_room_since_a_second_refusal_loses_it():
    returned = replace(APPLICANT, in_time_ms=-500.0, returned=True)
    first = decide(FULL, returned)
    # Callers leave a stream without any event after four objectives.
    assert (first.verdict, first.hold_ms) == (Verdict.HOLD, 1_200.0)
    held = replace(returned, remaining_ms=1_800.0, held_ms=1_200.0)
    # Without room it would be preempted, or preempt others.
    assert decide(FULL, held).verdict is Verdict.REFUSE


@pytest.mark.parametrize('returned', [False, True])
def test_a_hopeless_request_is_refused_and_never_held(returned):
    hopeless = replace(APPLICANT, remaining_ms=299.0, returned=returned)
    assert decide(FULL, hopeless).why is Why.HOPELESS


def test_a_hold_leaves_the_time_that_the_start_takes():
    assert decide(FULL, replace(APPLICANT, remaining_ms=345.0)).hold_ms == 20.0


def test_targets_that_refuse_have_no_room():
    room = replace(FREE, refused_ms=150.0)
    assert decide(room, APPLICANT).verdict is Verdict.HOLD
    # They may have a slot that the entry does not know of.
    held = replace(APPLICANT, held_ms=100.0)
    assert decide(room, held).verdict is Verdict.SEND


@pytest.mark.parametrize(
    'later',
    [
        replace(NEW, rank=3, session_served=False, arrived_ms=0.0),
        replace(NEW, is_late=True, is_new=False),
        replace(NEW, above_share=True, is_new=False),
        replace(NEW, session_served=True, tokens=1),
        replace(NEW, tokens=9_000, arrived_ms=0.0),
    ],
)
def test_what_goes_first(later):
    assert NEW < later


def test_callers_that_return_go_first_when_all_return_at_once():
    returned = replace(NEW, is_new=False, tokens=9_000, arrived_ms=900.0)
    assert sorted([NEW, returned]) == [returned, NEW]
    assert returned > replace(NEW, rank=1)


def test_a_repeat_is_known_by_the_time_that_its_caller_has_left():
    assert has_returned(2_600.0, timeout_ms=3_000.0)
    # The shortest time after a refusal, in a long deadline.
    assert has_returned(14_600.0, timeout_ms=15_000.0)
    assert not has_returned(3_167.0, timeout_ms=3_000.0)


def test_the_objective_counts_from_the_first_attempt():
    assert waited_ms(2_600.0, timeout_ms=3_000.0) == 400.0
    assert waited_ms(3_167.0, timeout_ms=3_000.0) == 0.0
    # Nobody returns so late: it is a short deadline of the caller's own.
    assert waited_ms(1_000.0, timeout_ms=3_000.0) == 0.0


def test_levels_keep_the_configured_order_and_the_size_and_share_within_it():
    def levels(priority, in_use, above_share=False):
        return [
            engine_level(priority, in_use, size, above_share) for size in Size
        ]

    assert levels(0, [0, 2]) == [0, 1, 2]
    assert levels(0, [0, 2], above_share=True) == [1, 1, 3]
    assert levels(2, [0, 2]) == [4, 5, 6]
    assert levels(1, [0, 1, 2]) == [2, 2, 3]
    assert levels(9, range(10)) == [7, 7, 7]


def test_large_prompts_of_the_hurried_kind_go_before_runs_that_can_wait():
    # Else the largest tenth of them would stand behind all long runs.
    for in_use in ([0], [0, 1], [0, 1, 2], [0, 1, 2, 3]):
        assert engine_level(0, in_use, Size.LONG, True) < engine_level(
            0, in_use, Size.CAN_WAIT, False
        )


def test_refused_callers_return_when_room_is_expected_spread_over_time():
    # All at once after a refusal, they would be refused again.
    times_ms = [retry_after_ms(9_000.0, 6_000.0, n / 99) for n in range(100)]
    assert max(times_ms) == 2_000.0  # A third of the time that is left.
    assert min(times_ms) == pytest.approx(1_200.0)
    assert sum(ms < 1_600.0 for ms in times_ms) == 50
    assert retry_after_ms(100.0, 6_000.0, 0.5) == 400.0
