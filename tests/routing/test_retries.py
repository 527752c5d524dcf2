import pytest

from wigeonmill.clock import ManualClock
from wigeonmill.routing.retries import Attempts
from wigeonmill.routing.retries import may_retry
from wigeonmill.routing.retries import RetryBudget
from wigeonmill.routing.retries import RetryDenial
from wigeonmill.routing.retries import RetryReason


def _decide(reason, attempts, budget=None, expected_ms=0.0):
    clock = ManualClock(100.0)
    budget = budget or RetryBudget()
    return may_retry(reason, attempts, budget, clock, expected_ms)


@pytest.mark.parametrize('reason', list(RetryReason))
def test_started_non_idempotent_request_is_never_retried(reason):
    attempts = Attempts(1000.0, idempotent=False, may_have_started=True)
    denial = _decide(reason, attempts).unwrap_err()
    assert denial is RetryDenial.MAY_HAVE_RUN


def test_stalled_non_idempotent_request_counts_as_started():
    attempts = Attempts(1000.0, idempotent=False)
    denial = _decide(RetryReason.STALLED_FIRST_TOKEN, attempts).unwrap_err()
    assert denial is RetryDenial.MAY_HAVE_RUN


@pytest.mark.parametrize(
    'attempts, denial',
    [
        (Attempts(120.0, True), RetryDenial.DEADLINE),
        (Attempts(1000.0, True, attempts=4), RetryDenial.ATTEMPTS),
        (Attempts(1000.0, True, crashes=2), RetryDenial.CRASHES),
    ],
)
def test_denied_retry_leaves_the_budget_unchanged(attempts, denial):
    budget = RetryBudget()
    before = budget.available
    outcome = _decide(RetryReason.REFUSED, attempts, budget, 50.0)
    assert outcome.unwrap_err() is denial
    assert budget.available == before


def test_retries_are_limited_to_a_ratio_of_successes():
    budget = RetryBudget(ratio=0.1, initial=0.0)
    for _success in range(105):
        budget.record_success()
    attempts = Attempts(1000.0, True)
    outcomes = [
        _decide(RetryReason.UNREACHABLE, attempts, budget) for _ in range(40)
    ]
    assert sum(outcome.is_ok() for outcome in outcomes) == 10
    assert outcomes[-1].unwrap_err() is RetryDenial.BUDGET
