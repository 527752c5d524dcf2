"""What is learned of targets, with few and with many entries."""

import pytest

from wigeonmill.gateway.estimates import Estimates
from wigeonmill.gateway.estimates import OWN_SAMPLES
from wigeonmill.gateway.estimates import TargetEstimates

FAST_MS_PER_TOKEN = 0.009
SLOW_MS_PER_TOKEN = 0.03


def learn(estimates, ms_per_token, samples):
    for number in range(samples):
        tokens = 1_000 + 700 * (number % 9)
        estimates.add_first_token(tokens, 20.0 + ms_per_token * tokens)


def test_an_entry_that_rarely_sends_to_a_target_learns_from_its_service():
    """68 entries share 37 engines: a few samples a minute for each pair."""
    service = Estimates()
    targets = [TargetEstimates(service) for _target in range(37)]
    for target in targets:
        learn(target, FAST_MS_PER_TOKEN, 4)
    fresh = TargetEstimates(service)
    assert fresh.line()[1] == pytest.approx(FAST_MS_PER_TOKEN, rel=0.1)


def test_a_target_with_enough_samples_is_judged_by_its_own():
    service = Estimates()
    fast, slow = TargetEstimates(service), TargetEstimates(service)
    learn(fast, FAST_MS_PER_TOKEN, 4 * OWN_SAMPLES)
    learn(slow, SLOW_MS_PER_TOKEN, 4 * OWN_SAMPLES)
    assert fast.line()[1] == pytest.approx(FAST_MS_PER_TOKEN, rel=0.1)
    assert slow.line()[1] == pytest.approx(SLOW_MS_PER_TOKEN, rel=0.1)


def test_the_duration_of_runs_is_learned_from_the_service():
    service = Estimates()
    for _target in range(37):
        target = TargetEstimates(service)
        for _run in range(3):
            target.add_run(2_400, 150.0, delayed=False)
    assert TargetEstimates(service).runs.run_ms < 300.0


def test_a_delayed_run_does_not_lengthen_the_expected_wait_for_slots():
    estimates = TargetEstimates()
    for _run in range(40):
        estimates.add_run(2_400, 200.0, delayed=False)
        estimates.add_run(2_400, 5_000.0, delayed=True)
    assert estimates.runs.run_ms < 250.0
