"""Random schedules of faults: every engine has new weights in time."""

import random

import pytest

from tests.gateway.rollout_world import Fault
from tests.gateway.rollout_world import LEASE_MS
from tests.gateway.rollout_world import RolloutWorld
from tests.virtual_time import run_virtual

LEADER_FAULTS = (
    'leader killed',
    'leader frozen',
    'leader cut off',
    'all entries killed',
)
OTHER_FAULTS = (
    'order unanswered',
    'engine crashed',
    'engine silent',
    'store down',
    'store slow',
)
# Engines, the time of a load in ms, the bound of the deployment in ms, and
# the number of schedules to play.
LAYOUTS = [
    (6, 430.0, 8_000.0, 110),
    (9, 1_800.0, 15_000.0, 30),
    (37, 1_800.0, 20_000.0, 8),
]
# An engine that came back this shortly before the bound may still be loading.
SETTLED_MS = 3_000.0


def make_faults(rng, deadline_ms):
    """Return two faults, at most one of them of the leader.

    The second leader must wait for the engines that the first one ordered. If
    it is lost too, those engines may miss the bound.
    """
    kinds = [rng.choice(LEADER_FAULTS + OTHER_FAULTS)]
    kinds.append(rng.choice(OTHER_FAULTS))
    return [
        Fault(kind, rng.uniform(0.0, deadline_ms / 2), rng.uniform(0.5, 6.0))
        for kind in kinds
    ]


def play(seed, engines, load_ms, deadline_ms, faults):
    world = RolloutWorld(seed, engines, load_ms, deadline_ms, faults)
    run_virtual(world.clock, world.run())
    return world


@pytest.mark.parametrize(
    ('engines', 'load_ms', 'deadline_ms', 'schedules'), LAYOUTS
)
def test_two_overlapping_faults_leave_no_engine_behind(
    engines, load_ms, deadline_ms, schedules
):
    missed = []
    for seed in range(schedules):
        faults = make_faults(random.Random(seed), deadline_ms)
        world = play(seed, engines, load_ms, deadline_ms, faults)
        late = world.late_engines(SETTLED_MS)
        if late:
            missed.append((seed, faults, late))
    assert not missed


@pytest.mark.parametrize(
    ('engines', 'load_ms', 'deadline_ms', 'schedules'), LAYOUTS
)
def test_two_lost_leaders_never_take_turns_within_the_lease(
    engines, load_ms, deadline_ms, schedules
):
    for seed in range(schedules // 2):
        rng = random.Random(seed)
        faults = [
            Fault(
                rng.choice(LEADER_FAULTS),
                rng.uniform(0.0, deadline_ms / 2),
                rng.uniform(0.5, 6.0),
            )
            for _fault in range(2)
        ]
        world = play(seed, engines, load_ms, deadline_ms, faults)
        assert world.closest_turns_ms() >= LEASE_MS, (seed, faults)
