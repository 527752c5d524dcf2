import asyncio
import random

import pytest
from result import Err
from result import Ok

from wigeonmill.claims.model import Answered
from wigeonmill.claims.model import Claimed
from wigeonmill.claims.model import ClaimRequest
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import InProgress
from wigeonmill.claims.model import make_answer
from wigeonmill.claims.model import RefusalReason
from wigeonmill.claims.model import REFUSALS
from wigeonmill.claims.model import request_digest
from wigeonmill.claims.model import Unknown
from wigeonmill.claims.single_key import make_single_key_store
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.standins.memory_key_value import KvFaults
from wigeonmill.standins.memory_key_value import MemoryKeyValue

ANSWER = make_answer(200, [], b'credited 5')
DIGEST = request_digest('POST', '/credits', b'5')


class Setup:
    """Stores of several processes over one key-value service."""

    def __init__(self):
        self.clock = Clock()
        self.faults = KvFaults()
        self.kv = MemoryKeyValue(self.clock, self.faults)
        self.metrics = Metrics()

    def store(self, name='a', incarnation=1):
        holder = Holder(name, incarnation)
        rng = random.Random(1)
        return make_single_key_store(
            self.kv, self.clock, self.metrics, holder, rng
        )


def request(team='kitchen', digest=DIGEST, deadline_ms=2000.0, wait_ms=0.0):
    return ClaimRequest(team, 'ledger', 'k1', digest, deadline_ms, wait_ms)


def run(scenario):
    setup = Setup()
    asyncio.run(scenario(setup))


def test_answer_is_replayed_and_the_call_never_dispatched_again():
    async def scenario(setup):
        claim = (await setup.store('a').claim(request())).unwrap()
        assert isinstance(claim, Claimed)
        assert (await setup.store('a').record(claim, ANSWER)).is_ok()
        again = await setup.store('b').claim(request())
        assert again == Ok(Answered(ANSWER))

    run(scenario)


def test_one_of_many_concurrent_claims_is_granted():
    async def scenario(setup):
        stores = [setup.store(str(n)) for n in range(8)]
        found = await asyncio.gather(*(s.claim(request()) for s in stores))
        kinds = sorted(type(x.unwrap()).__name__ for x in found)
        assert kinds == ['Claimed'] + ['InProgress'] * 7

    run(scenario)


def test_other_team_with_the_same_key_has_its_own_claim():
    async def scenario(setup):
        store = setup.store()
        first = await store.claim(request('kitchen'))
        second = await store.claim(request('bar'))
        assert isinstance(first.unwrap(), Claimed)
        assert isinstance(second.unwrap(), Claimed)

    run(scenario)


def test_key_reused_for_another_body_is_refused_and_counted():
    async def scenario(setup):
        store = setup.store()
        await store.claim(request())
        other = request_digest('POST', '/credits', b'6')
        refused = await store.claim(request(digest=other))
        assert isinstance(refused, Err)
        assert refused.err_value.reason is RefusalReason.KEY_REUSED
        assert refused.err_value.not_run
        assert setup.metrics.value(REFUSALS, 'key_reused') == 1

    run(scenario)


@pytest.mark.parametrize('fault', ['lose_replies', 'lose_requests'])
def test_lost_writes_are_resolved_by_reading_back(fault):
    async def scenario(setup):
        store = setup.store()
        await store.claim(request('warm-up'))
        setattr(setup.faults, fault, 2)
        claim = (await store.claim(request())).unwrap()
        assert isinstance(claim, Claimed)
        setattr(setup.faults, fault, 1)
        assert (await store.record(claim, ANSWER)).is_ok()
        assert await store.claim(request()) == Ok(Answered(ANSWER))

    run(scenario)


def test_outage_is_retried_to_the_deadline_then_refused_as_not_run():
    async def scenario(setup):
        store = setup.store()
        setup.faults.outage = True
        started_ms = setup.clock.now_ms()
        refused = await store.claim(request(deadline_ms=150.0))
        assert setup.clock.now_ms() - started_ms >= 149.0
        assert refused.unwrap_err().reason is RefusalReason.STORE_OUTAGE
        assert refused.unwrap_err().not_run
        setup.faults.outage = False
        await store.close()
        assert isinstance((await store.claim(request())).unwrap(), Claimed)

    run(scenario)


def test_claim_in_doubt_at_the_deadline_is_voided():
    async def scenario(setup):
        store = setup.store()
        await store.claim(request('warm-up'))
        setup.faults.delay_ms = 80.0
        setup.faults.lose_replies = 1
        refused = await store.claim(request(deadline_ms=100.0))
        assert refused.unwrap_err().not_run
        setup.faults.delay_ms = 0.0
        await store.close()
        claim = await setup.store('b').claim(request())
        assert isinstance(claim.unwrap(), Claimed)

    run(scenario)


def test_restarted_holder_finds_its_old_claim_unknown():
    async def scenario(setup):
        await setup.store('a', incarnation=1).claim(request())
        found = await setup.store('b').claim(request())
        assert isinstance(found.unwrap(), InProgress)
        found = await setup.store('a', incarnation=2).claim(request())
        assert found == Ok(Unknown(Holder('a', 1)))

    run(scenario)


def test_waiting_caller_gets_the_answer_of_the_holder():
    async def scenario(setup):
        claim = (await setup.store('a').claim(request())).unwrap()
        waiter = asyncio.ensure_future(
            setup.store('b').claim(request(wait_ms=1000.0))
        )
        await asyncio.sleep(0.05)
        await setup.store('a').record(claim, ANSWER)
        assert await waiter == Ok(Answered(ANSWER))

    run(scenario)


def test_voided_claim_frees_the_key():
    async def scenario(setup):
        store = setup.store()
        claim = (await store.claim(request())).unwrap()
        assert (await store.void(claim)).is_ok()
        again = (await setup.store('b').claim(request())).unwrap()
        assert isinstance(again, Claimed)
        assert (await store.record(claim, ANSWER)).is_err()

    run(scenario)


def test_large_body_is_stored_as_length_and_digest_only():
    answer = make_answer(200, [], b'x' * 100_000)
    assert not answer.body_kept
    assert answer.body == b''
    assert answer.body_length == 100_000
