import pytest

from wigeonmill.cache.export_policy import ExportCandidate
from wigeonmill.cache.export_policy import ExportPolicy
from wigeonmill.cache.export_policy import ExportReason
from wigeonmill.cache.export_policy import ExportSettings
from wigeonmill.cache.ghost_list import GhostList
from wigeonmill.cache.import_policy import ImportProgress
from wigeonmill.cache.import_policy import ImportSettings
from wigeonmill.cache.import_policy import plan_after_cut_off
from wigeonmill.cache.import_policy import plan_tiers
from wigeonmill.cache.import_policy import Prefix
from wigeonmill.cache.import_policy import Rates
from wigeonmill.cache.import_policy import should_cut_off
from wigeonmill.cache.link_budget import LinkBudget

SETTINGS = ImportSettings(latency_ms=0.0)
PREFIX = Prefix(10_500, 1000, cached_blocks=2, stored_blocks=6, block_bytes=10)


def _export(limit=1000):
    ghosts = GhostList(100)
    settings = ExportSettings(min_sightings=2)
    policy = ExportPolicy(settings, ghosts, LinkBudget(limit, 0.0))
    return ghosts, policy


def test_a_block_seen_once_is_not_exported_and_one_seen_twice_is():
    ghosts, policy = _export()
    block = ExportCandidate(b'k', 600, prefill_ms=700.0)
    ghosts.record(b'k')
    assert policy.decide(block, 0.0).reason is ExportReason.SEEN_ONCE
    ghosts.record(b'k')
    assert policy.decide(block, 0.0).transfer.size_bytes == 600
    full = policy.decide(block, 0.0)
    assert full.reason is ExportReason.LINK_BUDGET and full.transfer is None


def test_cheap_or_stored_blocks_are_not_exported():
    ghosts, policy = _export()
    for _ in range(2):
        ghosts.record(b'k')
    cheap = ExportCandidate(b'k', 600, prefill_ms=500.0)
    assert policy.decide(cheap, 0.0).reason is ExportReason.LOW_VALUE
    stored = ExportCandidate(b'k', 600, prefill_ms=900.0, stored=True)
    assert policy.decide(stored, 0.0).reason is ExportReason.STORED_ALREADY


def test_exports_are_ranked_by_value_per_byte_then_by_depth():
    ghosts, policy = _export()
    for key, times in ((b'hot', 5), (b'a', 2), (b'b', 2), (b'once', 1)):
        for _ in range(times):
            ghosts.record(key)
    candidates = [
        ExportCandidate(key, 100, 200.0, depth)
        for key, depth in ((b'once', 0), (b'b', 1), (b'a', 0), (b'hot', 3))
    ]
    ordered = [candidate.key for candidate in policy.rank(candidates)]
    assert ordered == [b'hot', b'a', b'b']


def test_ghost_list_is_bounded_and_its_counts_decay():
    ghosts = GhostList(8)
    for _ in range(6):
        ghosts.record(b'hot')
    for at in range(10):
        ghosts.record(bytes([at]))
    assert len(ghosts) == 8
    assert ghosts.count(b'hot') == 0
    assert ghosts.count(bytes([9])) == 1


def test_only_imports_faster_than_recomputation_are_planned():
    quick = Rates(1.0, prefill_ms_per_token=0.1, budget_bytes=1000)
    plan = plan_tiers(PREFIX, quick, SETTINGS)
    assert (plan.cached_tokens, plan.import_tokens) == (2000, 6000)
    assert plan.recompute_tokens == 2500
    assert plan.import_ms == 60.0
    slow = Rates(0.1, prefill_ms_per_token=0.1, budget_bytes=1000)
    assert plan_tiers(PREFIX, slow, SETTINGS).import_blocks == 0
    waiting = Rates(0.1, 0.1, budget_bytes=1000, wait_ms=500.0)
    assert plan_tiers(PREFIX, waiting, SETTINGS).import_blocks == 6
    partly = Rates(0.01, 0.1, budget_bytes=1000, wait_ms=2500.0)
    assert plan_tiers(PREFIX, partly, SETTINGS).import_blocks == 2


def test_budget_bounds_the_import_to_a_leading_part():
    rates = Rates(1.0, prefill_ms_per_token=0.1, budget_bytes=35)
    plan = plan_tiers(PREFIX, rates, SETTINGS)
    assert (plan.import_blocks, plan.recompute_tokens) == (3, 5500)


@pytest.mark.parametrize('rate, cut', [(1.0, False), (0.05, True), (0, True)])
def test_slow_import_is_cut_off_and_the_rest_recomputed(rate, cut):
    progress = ImportProgress(2, 4, 10, 1000, bytes_per_ms=rate)
    assert should_cut_off(progress, 0.1, SETTINGS) is cut
    rates = Rates(1.0, prefill_ms_per_token=0.1, budget_bytes=1000)
    plan = plan_after_cut_off(plan_tiers(PREFIX, rates, SETTINGS), 2)
    assert (plan.import_tokens, plan.recompute_tokens) == (2000, 6500)
