"""Transfers of blocks while the store VMs change."""

import asyncio

from result import Err

from wigeonmill.agent.cache_manager import CacheManager
from wigeonmill.agent.cache_manager import Owner
from wigeonmill.agent.estimator import Estimator
from wigeonmill.cache.decider import CacheDecider
from wigeonmill.cache.decider import DeciderSettings
from wigeonmill.cache.decider import Speeds
from wigeonmill.cache.link_budget import LinkBudget
from wigeonmill.cache.tiers import TierPlan
from wigeonmill.clock import ManualClock
from wigeonmill.metrics import Metrics
from wigeonmill.providers.transfer import TransferError
from wigeonmill.providers.transfer import TransferErrorKind

BLOCK_TOKENS = 1_000


class ShrinkingPool:
    """Two store VMs; the second is removed while the first is read."""

    def __init__(self):
        self.names = ['vm-1', 'vm-2']
        self.failed = []

    def for_read(self, anchor):
        return list(self.names)

    def get(self, name):
        return FailingStore(self) if name in self.names else None

    def record_outcome(self, name, outcome):
        self.failed.append(name)


class FailingStore:
    def __init__(self, pool):
        self._pool = pool

    async def get(self, name, timeout_ms):
        self._pool.names.remove('vm-2')
        return Err(TransferError(TransferErrorKind.UNAVAILABLE, 'down'))


def test_a_store_removed_during_a_read_only_ends_the_import():
    clock = ManualClock()
    pool = ShrinkingPool()
    metrics = Metrics()
    decider = CacheDecider(
        DeciderSettings(BLOCK_TOKENS, 100),
        LinkBudget(1_000_000),
        Speeds(10.0, prefill_ms_per_token=0.5),
    )
    manager = CacheManager(
        decider,
        None,
        pool,
        Estimator(),
        BLOCK_TOKENS,
        clock,
        metrics,
        lambda: False,
    )
    plan = TierPlan(0, BLOCK_TOKENS, 0, import_blocks=1, import_bytes=100)
    fetched = manager.fetch([b'k' * 16], plan, Owner('team', 'v1'))
    achieved = asyncio.run(fetched)
    assert achieved.import_tokens == 0
    assert achieved.recompute_tokens == BLOCK_TOKENS
    assert pool.failed == ['vm-1']
