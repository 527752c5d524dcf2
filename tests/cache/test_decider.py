from wigeonmill.cache.decider import CacheDecider
from wigeonmill.cache.decider import DeciderSettings
from wigeonmill.cache.decider import Speeds
from wigeonmill.cache.export_policy import ExportSettings
from wigeonmill.cache.link_budget import LinkBudget

KEYS = [bytes([at]) for at in range(6)]


def _decider(limit=1000, min_sightings=2, **changes):
    settings = DeciderSettings(1000, 100, **changes)
    speeds = Speeds(10.0, prefill_ms_per_token=0.5)
    exports = ExportSettings(min_sightings)
    decider = CacheDecider(settings, LinkBudget(limit), speeds, exports)
    decider.view.on_listing('a', 0, KEYS[:4])
    return decider


def _export_all(decider, now_ms=0.0, copies=False):
    exported = []
    while (order := decider.next_export(now_ms)) is not None:
        decider.end_export(order, now_ms, 100, whole=True)
        if order.copy == copies:
            exported.append(order.key)
    return exported


def test_second_use_exports_cached_blocks_within_the_budget():
    decider = _decider()
    decider.record_prompt(KEYS)
    assert _export_all(decider) == []
    decider.record_prompt(KEYS)
    assert _export_all(decider) == KEYS[:4]
    decider.record_prompt(KEYS)
    assert _export_all(decider) == []


def test_first_use_exports_when_a_block_needs_one_sighting():
    decider = _decider(min_sightings=1)
    decider.record_prompt(KEYS)
    assert _export_all(decider) == KEYS[:4]


def test_a_second_copy_is_written_when_no_first_one_is_pending():
    decider = _decider(min_sightings=1)
    decider.record_prompt(KEYS)
    assert _export_all(decider, copies=True) == KEYS[:1]
    assert _export_all(decider, 1000.0, copies=True) == KEYS[1:4]


def test_budget_spreads_exports_over_seconds_in_the_order_of_the_chain():
    decider = _decider(limit=400)
    for _ in range(2):
        decider.record_prompt(KEYS)
    assert _export_all(decider) == KEYS[:2]
    assert _export_all(decider, 999.0) == []
    assert _export_all(decider, 1000.0) == KEYS[2:4]


def test_evicted_blocks_are_imported_after_the_cached_prefix():
    decider = _decider()
    for key in KEYS[:4]:
        decider.stored.on_stored(key)
    decider.view.on_listing('a', 0, KEYS[:1])
    plan = decider.plan(KEYS, 6500, now_ms=0.0)
    assert (plan.cached_tokens, plan.import_tokens) == (1000, 3000)
    assert plan.recompute_tokens == 2500
    assert decider.probe(KEYS, 0.0) == KEYS[4]


def test_a_missing_block_is_not_probed_again_at_once():
    decider = _decider()
    decider.stored.on_absent(KEYS[4], 0.0)
    assert decider.probe(KEYS, 9_999.0) is None
    assert decider.probe(KEYS, 10_000.0) == KEYS[4]
    assert decider.probe(KEYS[:4], 0.0) is None


def test_memory_is_bounded():
    decider = _decider(stored_keys=3, export_queue=2)
    decider.record_prompt(KEYS)
    decider.record_prompt(KEYS)
    assert len(_export_all(decider)) <= 2
    for key in KEYS:
        decider.stored.on_stored(key)
    assert len(decider.stored) == 3
