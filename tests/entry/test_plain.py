"""What callers of plain services are told about runs."""

import pytest

from wigeonmill.entry.errors import ApiError
from wigeonmill.entry.errors import Reason
from wigeonmill.entry.plain import final_error
from wigeonmill.routing.retries import Attempts

FULL = ApiError(Reason.OVERLOADED, 'all targets are busy', 400)
RAN = ApiError(Reason.TARGET_ERROR, 'status 500', 0, not_run=False)


@pytest.mark.parametrize('error', [FULL, RAN])
def test_a_refusal_of_the_first_target_is_passed_on(error):
    assert final_error(error, Attempts(1_000.0, True)) is error


def test_a_later_refusal_does_not_deny_an_earlier_run():
    """The first target lost its connection; the second one is full."""
    attempts = Attempts(1_000.0, True)
    attempts.may_have_started = True
    error = final_error(FULL, attempts)
    assert error.reason is Reason.OUTCOME_UNKNOWN
    assert not error.not_run
    assert final_error(RAN, attempts) is RAN
