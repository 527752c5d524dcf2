from collections import Counter
import random

import pytest

from wigeonmill.routing.candidates import CandidatePicker
from wigeonmill.routing.candidates import RoutableTarget
from wigeonmill.routing.rendezvous import rank
from wigeonmill.routing.rendezvous import WeightedTarget

DOMAINS = ('mobile-bay', 'baton-rouge', 'biloxi')


def _targets(count=9, **flags):
    return [
        RoutableTarget(f'engine-{i}', DOMAINS[i % 3], **flags)
        for i in range(count)
    ]


def _keys(number):
    return [f'{number}-{block}'.encode() for block in range(4)]


def _picker(targets):
    return CandidatePicker(targets, random.Random(1))


def test_weight_sets_the_share_of_keys():
    targets = [
        WeightedTarget('a', 'x', 1.0),
        WeightedTarget('b', 'x', 3.0),
    ]
    wins = Counter(
        rank(f'{i}'.encode(), targets, 1)[0].name for i in range(4000)
    )
    assert wins['b'] / wins['a'] == pytest.approx(3.0, rel=0.15)


def test_candidates_are_in_different_failure_domains_plus_one():
    targets = {t.name: t for t in _targets()}
    picker = _picker(list(targets.values()))
    for number in range(200):
        names = picker.pick(_keys(number))
        assert len(set(names)) == 4
        domains = {targets[name].failure_domain for name in names[:3]}
        assert len(domains) == 3


def test_same_prefix_gets_same_candidates_in_every_process():
    one = CandidatePicker(_targets(), random.Random(1))
    other = CandidatePicker(_targets()[::-1], random.Random(2))
    for number in range(100):
        keys = _keys(number)
        longer = keys + [b'more']
        assert one.pick(keys)[:3] == other.pick(longer)[:3]


def test_removed_domain_moves_only_its_own_prefixes():
    before = _picker(_targets())
    rest = [t for t in _targets() if t.failure_domain != 'biloxi']
    after = _picker(rest)
    removed = {t.name for t in _targets()} - {t.name for t in rest}
    for number in range(300):
        kept = [n for n in before.pick(_keys(number))[:3] if n not in removed]
        assert set(kept) <= set(after.pick(_keys(number))[:3])


@pytest.mark.parametrize(
    'flags',
    [
        {'in_service': False},
        {'suspect': True},
        {'leaving': True},
        {'circuit_open': True},
        {'weight': 0.0},
    ],
)
def test_unroutable_targets_are_never_picked(flags):
    spare = RoutableTarget('spare', 'biloxi')
    picker = _picker([*_targets(6, **flags), spare])
    assert picker.pick(_keys(1)) == ['spare']


def test_excluded_and_blocked_targets_are_not_picked():
    picker = _picker(_targets(40))
    first = picker.pick(_keys(7))
    second = picker.pick(_keys(7), excluded=first)
    assert not set(first) & set(second)
    assert len(second) == 4
    only = picker.pick(_keys(7), blocked=lambda name: name != 'engine-31')
    assert only[0] == 'engine-31'


def test_no_targets_gives_no_candidates():
    assert _picker([]).pick(_keys(1)) == []
