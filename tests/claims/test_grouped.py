import asyncio
import random

import pytest
from result import Err
from result import Ok

from wigeonmill.claims.grouped import GroupPolicy
from wigeonmill.claims.grouped import make_grouped_store
from wigeonmill.claims.journal import JournalPolicy
from wigeonmill.claims.journal import ShardJournal
from wigeonmill.claims.messages import TransportError
from wigeonmill.claims.model import Answered
from wigeonmill.claims.model import Claimed
from wigeonmill.claims.model import ClaimRequest
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import InProgress
from wigeonmill.claims.model import make_answer
from wigeonmill.claims.model import MAX_STORED_ANSWER_BYTES
from wigeonmill.claims.model import RefusalReason
from wigeonmill.claims.model import REFUSALS
from wigeonmill.claims.model import Unknown
from wigeonmill.claims.opener import TAKEOVERS
from wigeonmill.claims.owners import OwnersPolicy
from wigeonmill.claims.retention import RetentionPolicy
from wigeonmill.claims.shard import ShardPolicy
from wigeonmill.claims.single_key import make_single_key_store
from wigeonmill.clock import ManualClock
from wigeonmill.metrics import Metrics
from wigeonmill.standins.memory_key_value import KvFaults
from wigeonmill.standins.memory_key_value import MemoryKeyValue

DIGEST = b'd' * 32
ANSWER = make_answer(200, [], b'credited')
HOUR_MS = 3600 * 1000

# Event loop iterations that a write takes. With a time in ms, the number of
# writes would depend on the load of the machine.
WRITE_ITERATIONS = 20


class Cluster:
    """Stores of several processes; those in `dead` are unreachable."""

    def __init__(self, max_keys=1000, segment_bytes=1000):
        self.clock = ManualClock(1.0)
        self.faults = KvFaults()
        self.kv = MemoryKeyValue(self.clock, self.faults)
        self.metrics = Metrics()
        self.dead = set()
        self.stores = {}
        journal = JournalPolicy(0.0, segment_bytes=segment_bytes)
        self.policy = GroupPolicy(
            shards=1,
            owners=OwnersPolicy(takeover_ms=0.0),
            shard=ShardPolicy(max_keys=max_keys, journal=journal),
            retention=RetentionPolicy(HOUR_MS, HOUR_MS // 4),
        )

    def store(self, name, incarnation=1):
        store = make_grouped_store(
            self.kv,
            self,
            self.clock,
            self.metrics,
            Holder(name, incarnation),
            name,
            random.Random(1),
            policy=self.policy,
        )
        self.stores[name] = store
        return store

    async def ask(self, address, request, timeout_ms):
        if address in self.dead:
            return Err(TransportError('refused', False))
        return Ok(await self.stores[address].serve(request))


def request(key='k', digest=DIGEST, deadline_ms=2000.0):
    return ClaimRequest('team', 'ledger', key, digest, deadline_ms)


def run(scenario, *args, **kwargs):
    asyncio.run(scenario(Cluster(*args, **kwargs)))


async def answer_all(store, keys, answer=ANSWER):
    async def answer_one(key):
        claim = (await store.claim(request(key))).unwrap()
        assert (await store.record(claim, answer)).is_ok()

    await asyncio.gather(*(answer_one(key) for key in keys))


async def check_takeover_keeps_answers(cluster):
    first = cluster.store('a')
    for n in range(60):
        await answer_all(first, [f'k{n}'])
    assert isinstance((await first.claim(request('open'))).ok(), Claimed)
    segments = await cluster.kv.list_prefix('wigeonmill/claims/journal/')
    assert len(segments.unwrap()) > 100
    cluster.dead.add('a')
    second = cluster.store('b')
    for n in range(60):
        found = await second.claim(request(f'k{n}'))
        assert found == Ok(Answered(ANSWER))
    found = await second.claim(request('open'))
    assert isinstance(found.ok(), InProgress)
    cluster.clock.advance(10_000)
    found = await second.claim(request('open'))
    assert found == Ok(Unknown(Holder('a', 1)))


def test_new_owner_knows_every_claim_and_answer():
    run(check_takeover_keeps_answers, segment_bytes=1)


def test_unsealed_segments_would_lose_answers(monkeypatch):
    async def discard(journal):
        return ''

    monkeypatch.setattr(ShardJournal, '_seal', discard)
    with pytest.raises(AssertionError):
        run(check_takeover_keeps_answers, segment_bytes=1)


def test_concurrent_claims_of_one_key_grant_one():
    async def scenario(cluster):
        stores = [cluster.store(name) for name in 'abcdef']
        found = await asyncio.gather(*(s.claim(request()) for s in stores))
        kinds = sorted(type(x.unwrap()).__name__ for x in found)
        assert kinds == ['Claimed'] + ['InProgress'] * 5

    run(scenario)


def test_many_claims_share_a_write():
    async def scenario(cluster):
        store = cluster.store('a')
        write = cluster.kv.compare_and_swap

        async def slow_write(*args, **kwargs):
            for _iteration in range(WRITE_ITERATIONS):
                await asyncio.sleep(0)
            return await write(*args, **kwargs)

        cluster.kv.compare_and_swap = slow_write
        await answer_all(store, [f'k{n}' for n in range(200)])
        assert cluster.kv.calls['cas'] < 20

    run(scenario, segment_bytes=100_000)


def test_values_stay_within_the_limit_of_the_service():
    async def scenario(cluster):
        large = make_answer(200, [], b'x' * MAX_STORED_ANSWER_BYTES)
        store = cluster.store('a')
        await answer_all(store, [f'k{n}' for n in range(150)], large)
        found = await store.claim(request('k149'))
        assert found == Ok(Answered(large))

    run(scenario, segment_bytes=32_768)


def test_process_that_stops_hands_its_shard_over():
    async def scenario(cluster):
        first = cluster.store('a')
        await answer_all(first, ['k'])
        await first.close()
        second = cluster.store('b')
        assert await second.claim(request()) == Ok(Answered(ANSWER))
        assert cluster.metrics.value(TAKEOVERS) == 2
        assert (await first.claim(request())).is_ok()

    run(scenario)


def test_replaced_process_does_not_take_its_shard_back():
    async def scenario(cluster):
        old = cluster.store('a', incarnation=1)
        await answer_all(old, ['k'])
        new = cluster.store('a', incarnation=2)
        for _ in range(3):
            assert await new.claim(request()) == Ok(Answered(ANSWER))
            assert await old.claim(request()) == Ok(Answered(ANSWER))
        await answer_all(new, ['k2'])
        await answer_all(old, ['k3'])
        assert cluster.metrics.value(TAKEOVERS) == 2

    run(scenario)


def test_full_shard_refuses_new_keys_until_retention_expires():
    async def scenario(cluster):
        store = cluster.store('a')
        await answer_all(store, [f'k{n}' for n in range(20)])
        refused = (await store.claim(request('new'))).unwrap_err()
        assert refused.reason is RefusalReason.STORE_FULL
        assert refused.not_run and refused.key_checked
        assert cluster.metrics.value(REFUSALS, 'store_full') == 1
        assert (await store.claim(request('k3'))).is_ok()
        cluster.clock.advance(2 * HOUR_MS)
        assert (await store.claim(request('new'))).is_ok()

    run(scenario, max_keys=20, segment_bytes=300)


def test_outage_is_refused_as_not_run_and_leaves_no_claim():
    async def scenario(cluster):
        store = cluster.store('a')
        await answer_all(store, ['warm-up'])
        cluster.faults.outage = True
        refused = await store.claim(request(deadline_ms=50.0))
        assert refused.unwrap_err().reason is RefusalReason.STORE_OUTAGE
        assert refused.unwrap_err().not_run
        cluster.faults.outage = False
        await store.close()
        found = await cluster.store('b').claim(request())
        assert isinstance(found.unwrap(), Claimed)

    run(scenario)


def test_reused_key_is_refused_and_another_team_has_its_own_key():
    async def scenario(cluster):
        store = cluster.store('a')
        await answer_all(store, ['k'])
        other = await cluster.store('b').claim(request(digest=b'e' * 32))
        assert other.unwrap_err().reason is RefusalReason.KEY_REUSED
        foreign = ClaimRequest('other', 'ledger', 'k', DIGEST, 1000.0)
        assert isinstance((await store.claim(foreign)).unwrap(), Claimed)

    run(scenario)


def test_other_layout_is_refused_before_any_claim():
    async def scenario(cluster):
        await answer_all(cluster.store('a'), ['k'])
        cluster.policy = GroupPolicy(shards=2)
        refused = (await cluster.store('b').claim(request())).unwrap_err()
        assert refused.reason is RefusalReason.OTHER_LAYOUT
        assert refused.not_run
        single = make_single_key_store(
            cluster.kv,
            cluster.clock,
            cluster.metrics,
            Holder('c', 1),
            random.Random(1),
        )
        refused = (await single.claim(request())).unwrap_err()
        assert refused.reason is RefusalReason.OTHER_LAYOUT
        assert cluster.metrics.value(REFUSALS, 'other_layout') == 2

    run(scenario)
