from collections import Counter

from wigeonmill.cache.placement import place_for_write
from wigeonmill.cache.placement import PlacementSettings
from wigeonmill.cache.placement import places_for_read
from wigeonmill.cache.placement import rank_stores
from wigeonmill.cache.placement import StoreState

SETTINGS = PlacementSettings()
STORES = [StoreState(f'store-{at}') for at in range(6)]
ANCHORS = [at.to_bytes(16, 'big') for at in range(600)]


def test_any_agent_finds_blocks_that_another_wrote():
    for anchor in ANCHORS:
        written = place_for_write(anchor, STORES, SETTINGS)
        found = places_for_read(anchor, STORES[::-1], SETTINGS)
        assert found[0] == written


def test_blocks_spread_and_the_loss_of_a_vm_moves_only_its_blocks():
    first = {a: rank_stores(a, STORES)[0].name for a in ANCHORS}
    assert min(Counter(first.values()).values()) > 60
    for anchor in ANCHORS:
        remaining = rank_stores(anchor, STORES[1:])[0].name
        assert remaining == first[anchor] or first[anchor] == 'store-0'


def test_writes_skip_full_and_dead_stores_and_reads_find_full_ones():
    anchor = ANCHORS[0]
    ranked = rank_stores(anchor, STORES)
    best, second = ranked[0].name, ranked[1].name
    full = [
        StoreState(s.name, fill=1.0) if s.name == best else s for s in STORES
    ]
    assert place_for_write(anchor, full, SETTINGS).name == second
    names = [s.name for s in places_for_read(anchor, full, SETTINGS)]
    assert names == [best, second]
    dead = [StoreState(s.name, alive=False) for s in STORES]
    assert place_for_write(anchor, dead, SETTINGS) is None
    copy = place_for_write(anchor, STORES, SETTINGS, copy=True)
    assert copy.name == second
    assert places_for_read(anchor, dead, SETTINGS) == []
