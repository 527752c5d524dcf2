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
    """Domains d0 and d1 do not reach each other; a fifth is lost.

    Models news that both sides of every update tell and pass on. Losses are
    told first hand only, and records by the one peer that is asked.
    """
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


@pytest.mark.parametrize('sizes', [(28, 1), (26, 3), (90, 10), (10, 10, 9)])
def test_no_more_updates_cross_than_in_the_plain_rotation(sizes):
    """Beyond the plain rotation's mean, 3 standard deviations are noise."""
    domains = {
        f'{n}-{i}': n for n, size in enumerate(sizes) for i in range(size)
    }
    rng, turns = random.Random(5), 200
    into = dict.fromkeys(domains, 0)
    asked = dict.fromkeys(range(len(sizes)), 0)
    for name in domains:
        rotation = PeerRotation(rng, prefers_own=True)
        known = sorted(set(domains) - {name})
        far = {one for one in known if domains[one] != domains[name]}
        for _turn in range(turns):
            chosen = rotation.next(known, (), far, MAX_PEERS_PER_ROUND)
            for peer in far.intersection(chosen):
                into[peer] += 1
            if chosen[0] in far:
                asked[domains[chosen[0]]] += 1
    for domain, size in enumerate(sizes):
        pairs = size * (len(domains) - size) * turns / (len(domains) - 1)
        total = sum(into[one] for one in into if domains[one] == domain)
        plain = pairs * MAX_PEERS_PER_ROUND
        assert total <= plain + 3 * plain**0.5
        assert asked[domain] <= pairs + 3 * pairs**0.5


@pytest.mark.parametrize('seed', range(20))
def test_urgent_news_reach_every_pair_as_in_the_plain_rotation(seed):
    """A fifth of the messages is lost; each pair is told first hand."""
    spent = []
    for prefers_own in (False, True):
        rng, draws = random.Random(seed), random.Random(seed)
        rotation = PeerRotation(rng, prefers_own)
        known = sorted(set(ENTRIES) - {'a0'})
        told, turns = set(), 0
        while told < set(known):
            turns += 1
            for peer in rotation.next(
                known, (), far_of('a0'), MAX_PEERS_PER_ROUND, True
            ):
                if draws.random() >= LOST_SHARE:
                    told.add(peer)
        spent.append(turns)
    assert spent[1] <= spent[0]
