"""Which stage follows, as the leader sees it."""

import dataclasses

import pytest

from wigeonmill.gateway.rollout_evidence import Judgement
from wigeonmill.gateway.rollout_stages import next_stage
from wigeonmill.gateway.rollout_stages import Progress
from wigeonmill.gateway.rollout_stages import Stage

CANARY = Progress(
    Stage.CANARY,
    7_000.0,
    7_000.0,
    12_000.0,
    Judgement.GOOD,
    3,
    3,
    9,
    proven=True,
    moved=False,
    fits=False,
)
EIGHTH = dataclasses.replace(CANARY, stage=Stage.EIGHTH)
THIRD = dataclasses.replace(CANARY, stage=Stage.THIRD)
DEFERRED = dataclasses.replace(CANARY, stage=Stage.DEFERRED)
FULL = dataclasses.replace(
    CANARY, stage=Stage.FULL, elapsed_ms=10_000.0, in_stage_ms=2_000.0
)


@pytest.mark.parametrize(
    'progress, changes, expected',
    (
        (CANARY, {}, Stage.EIGHTH),
        (CANARY, {'elapsed_ms': 3_000.0}, Stage.CANARY),
        (CANARY, {'judgement': Judgement.UNKNOWN}, Stage.CANARY),
        (CANARY, {'judgement': Judgement.SUSPICIOUS}, Stage.CANARY),
        (CANARY, {'judgement': Judgement.BAD}, Stage.ROLLED_BACK),
        (CANARY, {'new_targets': 0}, Stage.CANARY),
        (
            CANARY,
            {'new_targets': 0, 'elapsed_ms': 11_500.0},
            Stage.ROLLED_BACK,
        ),
        (EIGHTH, {}, Stage.THIRD),
        (EIGHTH, {'elapsed_ms': 10_000.0}, Stage.THIRD),
        (EIGHTH, {'elapsed_ms': 11_000.0}, Stage.DEFERRED),
        (EIGHTH, {'proven': False}, Stage.DEFERRED),
        (THIRD, {}, Stage.FULL),
        (THIRD, {'proven': False}, Stage.DEFERRED),
        (DEFERRED, {}, Stage.THIRD),
        (DEFERRED, {'proven': False}, Stage.DEFERRED),
        (DEFERRED, {'moved': True}, Stage.DEFERRED),
        (DEFERRED, {'moved': True, 'old_runs': 0}, Stage.DONE),
        (DEFERRED, {'moved': True, 'elapsed_ms': 11_500.0}, Stage.DONE),
        (DEFERRED, {'elapsed_ms': 11_500.0, 'fits': True}, Stage.DEFERRED),
        (DEFERRED, {'elapsed_ms': 11_700.0}, Stage.ROLLED_BACK),
        (DEFERRED, {'elapsed_ms': 11_700.0, 'fits': True}, Stage.DONE),
        (DEFERRED, {'elapsed_ms': 11_700.0, 'old_targets': 0}, Stage.DONE),
        (DEFERRED, {'judgement': Judgement.SUSPICIOUS}, Stage.DEFERRED),
        (DEFERRED, {'judgement': Judgement.BAD}, Stage.ROLLED_BACK),
        (FULL, {}, Stage.FULL),
        (FULL, {'old_runs': 0}, Stage.DONE),
        (FULL, {'old_runs': 0, 'in_stage_ms': 100.0}, Stage.FULL),
        (FULL, {'elapsed_ms': 11_500.0}, Stage.DONE),
        (FULL, {'judgement': Judgement.BAD}, Stage.ROLLED_BACK),
        (
            FULL,
            {'old_runs': 0, 'judgement': Judgement.SUSPICIOUS},
            Stage.FULL,
        ),
        (FULL, {'stage': Stage.DONE}, Stage.DONE),
        (FULL, {'stage': Stage.ROLLED_BACK}, Stage.ROLLED_BACK),
    ),
)
def test_the_stage_that_follows(progress, changes, expected):
    stage, _why = next_stage(dataclasses.replace(progress, **changes))
    assert stage is expected
