import asyncio

import pytest
from result import Ok

from tests.claims.explorer import explore
from tests.claims.explorer import SteppedTransport
from wigeonmill.claims.grouped import GroupPolicy
from wigeonmill.claims.grouped import make_grouped_store
from wigeonmill.claims.head_writer import HeadWriter
from wigeonmill.claims.journal import JournalPolicy
from wigeonmill.claims.journal import new_head
from wigeonmill.claims.journal import ShardJournal
from wigeonmill.claims.owners import OwnersPolicy
from wigeonmill.claims.record import decode_record
from wigeonmill.claims.retention import RetentionPolicy
from wigeonmill.claims.shard import ShardPolicy
from wigeonmill.claims.single_key import SingleKeyClaimStore
from wigeonmill.metrics import Metrics


def single_key_store(store_class):
    def make(scenario, kv, holder, rng, new_token):
        policy = RetentionPolicy()
        return store_class(
            kv, scenario.clock, Metrics(), holder, rng, new_token, policy
        )

    make.layout = 'single_key'
    return make


def grouped_store(scenario, kv, holder, rng, new_token):
    journal = JournalPolicy(flush_interval_ms=0.0, segment_bytes=1)
    policy = GroupPolicy(
        shards=1,
        owners=OwnersPolicy(takeover_ms=0.0, silent_ms=0.0),
        shard=ShardPolicy(journal=journal),
    )
    transport = SteppedTransport(scenario, holder.name)
    return make_grouped_store(
        kv,
        transport,
        scenario.clock,
        Metrics(),
        holder,
        holder.name,
        rng,
        new_token,
        policy,
    )


grouped_store.layout = 'grouped/1'


class TrustsLostReplies(SingleKeyClaimStore):
    """Treats a write without a reply as a granted claim."""

    async def _write(self, attempt, next_write, lease):
        version = await super()._write(attempt, next_write, lease)
        return version or (1 if attempt.in_doubt else 0)


class VoidsByDelete(SingleKeyClaimStore):
    """Deletes the key instead of writing a tombstone."""

    async def _replace(self, claim, record):
        if record.answer is not None:
            return await super()._replace(claim, record)
        read = await self._kv.get(claim.key)
        entry = read.ok()
        if entry and decode_record(entry.value).token == claim.token:
            await self._kv.delete(claim.key, entry.version)
        return Ok(None)


class NeverVoids(SingleKeyClaimStore):
    """Does not void a claim in doubt after the deadline."""

    async def void_abandoned(self, attempt):
        return


class WritesWithoutComparing(SingleKeyClaimStore):
    """Overwrites another attempt's claim."""

    async def _write(self, attempt, next_write, lease):
        read = await self._kv.get(next_write.key)
        entry = read.ok()
        next_write.expected_version = entry.version if entry else 0
        return await super()._write(attempt, next_write, lease)


@pytest.mark.parametrize(
    'claimers, faults, min_states', [('ab', 3, 24_000), ('abc', 1, 1_200)]
)
def test_single_key_claims_hold_in_every_state(claimers, faults, min_states):
    states = explore(single_key_store(SingleKeyClaimStore), claimers, faults)
    print(f'{len(claimers)} claimers, {faults} faults: {states} states')
    assert states >= min_states


@pytest.mark.parametrize('claimers, faults, min_states', [('ab', 2, 108_000)])
def test_grouped_claims_hold_in_every_state(claimers, faults, min_states):
    states = explore(grouped_store, claimers, faults, crash_idle=True)
    print(f'{len(claimers)} claimers, {faults} faults: {states} states')
    assert states >= min_states


@pytest.mark.parametrize(
    'broken, violation',
    [
        (TrustsLostReplies, 'dispatched twice'),
        (VoidsByDelete, 'key stays claimed'),
        (NeverVoids, 'key stays claimed'),
        (WritesWithoutComparing, 'dispatched twice'),
    ],
)
def test_exploration_finds_the_fault_of_a_broken_store(broken, violation):
    with pytest.raises(AssertionError, match=violation):
        explore(single_key_store(broken), 'ab', 3)


class TrustsUnansweredWrite(HeadWriter):
    """Treats a head write without a reply as committed."""

    async def read_back(self, head):
        self._adopt(head, self.version)
        return True


class WritesUnfenced(HeadWriter):
    """Overwrites the head even if another process owns the shard."""

    async def swap(self, head):
        read = await self._kv.get(self._key)
        if read.is_ok() and read.ok_value is not None:
            self.version = read.ok_value.version
        return await super().swap(head)


class GrantsBeforeCommit(ShardJournal):
    """Reports an entry as durable while its write is in progress."""

    async def append(self, name, record):
        asyncio.ensure_future(super().append(name, record))
        return True


@pytest.mark.parametrize(
    'part, broken, violation',
    [
        ('journal.HeadWriter', TrustsUnansweredWrite, 'answer lost'),
        ('journal.HeadWriter', WritesUnfenced, 'dispatched twice'),
        ('opener.ShardJournal', GrantsBeforeCommit, 'answer lost'),
    ],
)
def test_exploration_finds_the_fault_of_a_broken_journal(
    part, broken, violation, monkeypatch
):
    monkeypatch.setattr(f'wigeonmill.claims.{part}', broken)
    with pytest.raises(AssertionError, match=violation):
        explore(grouped_store, 'ab', 2, crash_idle=True)


def test_exploration_finds_a_takeover_that_drops_the_journal(monkeypatch):
    def drop_entries(tenure, owner, address, old):
        return new_head(tenure, owner, address, None)

    monkeypatch.setattr('wigeonmill.claims.opener.new_head', drop_entries)
    with pytest.raises(AssertionError, match='answer lost'):
        explore(grouped_store, 'ab', 2, crash_idle=True)
