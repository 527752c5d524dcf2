"""Homes of shared prompt parts, as all entries see them."""

import random

from tests.gateway.samples import make_generation
from wigeonmill.gateway.part_homes import HOMES
from wigeonmill.gateway.part_homes import PartHomes
from wigeonmill.gateway.part_homes import reading_at

TARGETS = [f'e{number}' for number in range(26)]
SUBJECTS = [make_generation(f's{number}') for number in range(200)]


def test_all_entries_agree_in_whatever_order_they_know_the_targets():
    other = list(TARGETS)
    random.Random(5).shuffle(other)
    for generation in SUBJECTS:
        homes = PartHomes().homes(generation, TARGETS)
        assert len(set(homes)) == HOMES
        assert PartHomes().homes(generation, other) == homes


def test_parts_of_a_lost_target_move_to_their_second_home_alone():
    before = [PartHomes().homes(one, TARGETS) for one in SUBJECTS]
    after = [PartHomes().homes(one, TARGETS[1:]) for one in SUBJECTS]
    for old, new in zip(before, after, strict=True):
        if old[0] == 'e0':
            assert new[0] == old[1]
        else:
            assert new[0] == old[0]


def test_a_prompt_without_shared_parts_has_no_home():
    assert PartHomes().homes(None, TARGETS) == ()


def test_what_stores_hold_is_read_nowhere():
    generation = SUBJECTS[0]
    for position in (0, 1, None):
        stored = reading_at(position, generation, 8_500)
        assert (stored.tokens, stored.repeated) == (1_000, 0)


def test_what_no_store_holds_is_read_needlessly_but_at_its_home():
    new = [reading_at(at, SUBJECTS[0], 0) for at in (0, 1, None)]
    assert [reading.tokens for reading in new] == [1_000, 9_500, 9_500]
    assert new[0].repeated == 0
    assert new[1].repeated < new[2].repeated == 8_500
