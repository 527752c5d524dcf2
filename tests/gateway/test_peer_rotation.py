"""News reach all entries of several failure domains within their time."""

import random

import pytest

from wigeonmill.gateway.peer_rotation import PeerRotation
from wigeonmill.gateway.peers import MAX_PEERS_PER_ROUND
from wigeonmill.gateway.peers import UPDATE_INTERVAL_MS

ENTRIES = {f'a{n}': f'd{n % 3}' for n in range(29)}
NEWS_MS = 2_000.0
LOST_SHARE = 0.2


def far_of(name):
    return {one for one in ENTRIES if ENTRIES[one] != ENTRIES[name]}


@pytest.mark.parametrize('seed', range(20))
@pytest.mark.parametrize('prefers_own', [False, True])
def test_news_reach_all_in_2_s_with_a_domain_cut_and_losses(seed, prefers_own):
    """Domains d0 and d1 do not reach each other; a fifth is lost."""
    rng = random.Random(seed)
    rotations = {n: PeerRotation(rng, prefers_own) for n in ENTRIES}
    informed = {rng.choice(list(ENTRIES))}
    spent_ms = 0.0
    while len(informed) < len(ENTRIES):
        spent_ms += UPDATE_INTERVAL_MS
        assert spent_ms <= NEWS_MS
        before = set(informed)
        for name, rotation in rotations.items():
            known = sorted(set(ENTRIES) - {name})
            peers = rotation.next(known, (), far_of(name), MAX_PEERS_PER_ROUND)
            for peer in peers:
                if {ENTRIES[name], ENTRIES[peer]} == {'d0', 'd1'}:
                    continue
                if name in before and rng.random() >= LOST_SHARE:
                    informed.add(peer)
                if peer in before and rng.random() >= LOST_SHARE:
                    informed.add(name)


def test_every_peer_gets_its_turn_and_most_updates_stay_inside():
    rotation = PeerRotation(random.Random(3), prefers_own=True)
    known = sorted(set(ENTRIES) - {'a0'})
    far = far_of('a0')
    seen, outside, total = set(), 0, 0
    for _turn in range(10):
        chosen = rotation.next(known, (), far, MAX_PEERS_PER_ROUND)
        assert len(chosen) == len(set(chosen)) == MAX_PEERS_PER_ROUND
        seen.update(chosen)
        outside += len(far & set(chosen))
        total += len(chosen)
    assert seen == set(known)
    assert outside * 2 < total


def test_an_entry_alone_in_its_domain_keeps_its_number_of_peers():
    rotation = PeerRotation(random.Random(3), prefers_own=True)
    known = [f'x{n}' for n in range(12)]
    chosen = rotation.next(known, ('x1',), set(known), MAX_PEERS_PER_ROUND)
    assert len(chosen) == MAX_PEERS_PER_ROUND
    assert 'x1' not in chosen
