"""Takes over a shard: reads its journal and fences the previous owner."""

import random

from result import Err
from result import Ok
from result import Result

from wigeonmill.claims.backoff import Backoff
from wigeonmill.claims.journal import new_head
from wigeonmill.claims.journal import ShardJournal
from wigeonmill.claims.model import Holder
from wigeonmill.claims.model import TokenFactory
from wigeonmill.claims.retention import RetentionLease
from wigeonmill.claims.segment import decode_head
from wigeonmill.claims.segment import decode_segment
from wigeonmill.claims.segment import encode_head
from wigeonmill.claims.segment import Head
from wigeonmill.claims.segment import head_key
from wigeonmill.claims.segment import page_prefix
from wigeonmill.claims.segment import SealedSegment
from wigeonmill.claims.shard import ShardOwner
from wigeonmill.claims.shard import ShardPolicy
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.providers.key_value import KeyValue
from wigeonmill.providers.key_value import KvEntry
from wigeonmill.providers.key_value import KvError
from wigeonmill.providers.key_value import KvErrorKind

TAKEOVERS = 'claim_takeovers'


class ShardOpener:
    """Takes shards over for one process."""

    def __init__(
        self,
        kv: KeyValue,
        clock: Clock,
        metrics: Metrics,
        rng: random.Random,
        holder: Holder,
        address: str,
        new_token: TokenFactory,
        retention: RetentionLease,
        policy: ShardPolicy,
    ) -> None:
        self._kv = kv
        self._clock = clock
        self._metrics = metrics
        self._rng = rng
        self._holder = holder
        self._address = address
        self._new_token = new_token
        self._retention = retention
        self._policy = policy

    async def open(
        self, shard: int, entry: KvEntry | None
    ) -> Result[ShardOwner | None, KvError]:
        """Take over the shard whose head was read as `entry`.

        The result is None if another process took it over first.
        """
        old = decode_head(entry.value) if entry else None
        version = entry.version if entry else 0
        sealed = await self._load_sealed(shard, old)
        if isinstance(sealed, Err):
            return sealed
        tenure = self._new_token()
        head = new_head(tenure, self._holder, self._address, old)
        swapped = await self._swap(shard, version, head)
        if not isinstance(swapped, Ok) or not swapped.ok_value:
            return Ok(None) if isinstance(swapped, Ok) else swapped
        self._metrics.count(TAKEOVERS)
        return Ok(
            self._make_owner(shard, head, swapped.ok_value, sealed.ok_value)
        )

    async def _load_sealed(
        self, shard: int, head: Head | None
    ) -> Result[list[SealedSegment], KvError]:
        """Return the segments linked from the head, newest first."""
        if head is None or not head.previous:
            return Ok([])
        values: dict[str, bytes] = {}
        chain: list[SealedSegment] = []
        key = head.previous
        while key:
            if key not in values:
                listed = await self._kv.list_prefix(page_prefix(shard, key))
                if isinstance(listed, Err):
                    return listed
                values = {entry.key: entry.value for entry in listed.ok_value}
            if key not in values:
                break
            chain.append(decode_segment(values[key]))
            key = chain[-1].previous
        return Ok(chain)

    async def _swap(
        self, shard: int, version: int, head: Head
    ) -> Result[int, KvError]:
        """Return the version of the new head, 0 if another process won."""
        backoff = Backoff(self._rng)
        while True:
            swapped = await self._kv.compare_and_swap(
                head_key(shard), version, encode_head(head)
            )
            if isinstance(swapped, Ok):
                return swapped
            if swapped.err_value.kind is KvErrorKind.UNAVAILABLE:
                return swapped
            read = await self._kv.get(head_key(shard))
            if isinstance(read, Ok):
                found = read.ok_value
                if found and decode_head(found.value).tenure == head.tenure:
                    return Ok(found.version)
                if (found.version if found else 0) != version:
                    return Ok(0)
            await backoff.pause()

    def _make_owner(
        self,
        shard: int,
        head: Head,
        version: int,
        sealed: list[SealedSegment],
    ) -> ShardOwner:
        journal = ShardJournal(
            self._kv,
            self._clock,
            self._metrics,
            self._rng,
            self._retention,
            self._policy.journal,
            shard,
            head,
            version,
        )
        journal.load_sealed(sealed)
        return ShardOwner(self._clock, self._policy, journal)
