from bench.policy_sim.block_cache import BlockCache
from bench.policy_sim.engine import EngineRun
from bench.policy_sim.engine import FakeEngine
from bench.policy_sim.engine import RunEnd
from bench.policy_sim.events import EventLoop
from bench.policy_sim.model import EngineSpec
from bench.policy_sim.model import SimRequest
from bench.policy_sim.model import SimTeam
from bench.policy_sim.store import StoreLink

SPEC = EngineSpec(10_000, 512, 10.0, 0.0, 8, 4, 2, 3, 1000.0)
TEAM = SimTeam('a', 1.0, True)


class _EngineHarness:
    def __init__(self):
        self.loop = EventLoop()
        self.engine = FakeEngine('e', 'd', SPEC, self.loop)
        self.first_ms = {}
        self.ends = []

    def submit(self, number, blocks=(), tokens=2048, priority=0):
        req = SimRequest(
            number, 0.0, TEAM, 'k', priority, blocks, tokens, 5, 1e9
        )
        run = EngineRun(
            req,
            req.keys('v1'),
            lambda r: self.first_ms.update({number: self.loop.now_ms()}),
            lambda r, end: self.ends.append((number, end)),
        )
        return self.engine.submit(run)


def test_cached_prefix_is_not_computed_again():
    harness = _EngineHarness()
    harness.submit(1, ('x', 'y'))
    harness.loop.run(1000.0)
    harness.submit(2, ('x', 'y'))
    harness.loop.run(2000.0)
    assert 200.0 < harness.first_ms[1] < 260.0
    assert harness.first_ms[2] - 1000.0 < 20.0
    assert harness.engine.counts.computed_tokens == 2049 - 1


def test_urgent_run_overtakes_a_long_one():
    harness = _EngineHarness()
    harness.submit(1, tokens=8192)
    harness.submit(2, tokens=256, priority=1)
    harness.loop.run(2000.0)
    assert harness.first_ms[2] < 100.0 < harness.first_ms[1]


def test_overloaded_cold_engine_crashes_and_loses_its_runs():
    harness = _EngineHarness()
    harness.engine.turn_cold()
    for number in range(3):
        harness.submit(number)
    harness.loop.run(10.0)
    assert harness.engine.counts.cold_overloads == 1
    assert [end for _number, end in harness.ends] == [RunEnd.LOST] * 3
    assert not harness.submit(4)


def test_cache_evicts_the_oldest_block_that_is_not_pinned():
    cache = BlockCache(2)
    cache.store([b'a'])
    cache.pin([b'a'])
    cache.store([b'b'])
    cache.store([b'c'])
    assert cache.keys() == [b'a', b'c']


def test_link_counts_the_bytes_of_each_second():
    loop = EventLoop()
    link = StoreLink(loop, 100.0)
    link.transfer(150, lambda: None)
    link.transfer(50, lambda: None)
    loop.run(3000.0)
    assert link.seconds == {0: 100.0, 1: 100.0}
