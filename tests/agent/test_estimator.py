import random

import pytest

from wigeonmill.agent.estimator import Estimator
from wigeonmill.agent.estimator import Workload
from wigeonmill.routing.linear_fit import LinearFit


def _trained_estimator(rate, overhead_ms, seed=1):
    rng = random.Random(seed)
    estimator = Estimator()
    for _ in range(200):
        tokens = rng.randint(50, 20_000)
        noise = rng.uniform(0.95, 1.05)
        took_ms = (overhead_ms + tokens / rate) * noise
        estimator.on_first_token(tokens, took_ms)
    return estimator


def test_prefill_rate_and_overhead_are_learned():
    estimator = _trained_estimator(rate=4.0, overhead_ms=80.0)
    assert estimator.prefill_ms(4000) == pytest.approx(1000.0, rel=0.05)
    assert estimator.first_token_ms(8000) == pytest.approx(2080.0, rel=0.05)


def test_wait_is_the_longer_of_prefill_and_slot():
    estimator = _trained_estimator(rate=4.0, overhead_ms=0.0)
    for _ in range(200):
        estimator.on_finished(2000.0, 101, 1000.0)
    busy = Workload(prefill_ahead=4000, slots_free=2, limit=4)
    assert estimator.estimate(busy, 0, 0.0).wait_ms == pytest.approx(
        1000.0, rel=0.05
    )
    full = Workload(slots_ahead=3, slots_free=0, limit=4)
    assert estimator.estimate(full, 0, 0.0).wait_ms == pytest.approx(
        2000.0, rel=0.05
    )
    assert estimator.decode_ms(100) == pytest.approx(1000.0, rel=0.05)


def test_import_overlaps_with_the_wait():
    estimator = _trained_estimator(rate=4.0, overhead_ms=0.0)
    busy = Workload(prefill_ahead=4000)
    shorter = estimator.estimate(busy, 400, 500.0)
    longer = estimator.estimate(busy, 400, 3000.0)
    assert shorter.first_token_ms == pytest.approx(1100.0, rel=0.05)
    assert longer.first_token_ms == pytest.approx(3100.0, rel=0.05)


def test_link_rate_converges_to_the_rate_of_transfers():
    estimator = Estimator()
    for _ in range(100):
        estimator.on_transfer(1_000_000, 1000.0)
    assert estimator.link_bytes_per_ms == pytest.approx(1000.0, rel=0.05)


def test_fit_never_goes_negative():
    fit = LinearFit(10.0, 0.1, 100.0)
    for x, y in ((10, 100), (1000, 1), (5000, 0)):
        fit.add(x, y)
    assert fit.predict(1e6) >= 0.0
    assert fit.predict(0.0) >= 0.0
