"""Transfers cache blocks between the engine and the store VMs."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
import secrets

from result import Ok

from wigeonmill.agent.engine_cache import EngineCacheClient
from wigeonmill.agent.estimator import Estimator
from wigeonmill.agent.store_pool import StorePool
from wigeonmill.cache.decider import CacheDecider
from wigeonmill.cache.decider import ExportOrder
from wigeonmill.cache.decider import Speeds
from wigeonmill.cache.frames import decode_frame
from wigeonmill.cache.frames import encode_frame
from wigeonmill.cache.frames import frame_name
from wigeonmill.cache.frames import FrameId
from wigeonmill.cache.import_policy import ImportProgress
from wigeonmill.cache.import_policy import ImportSettings
from wigeonmill.cache.import_policy import should_cut_off
from wigeonmill.cache.tiers import TierPlan
from wigeonmill.clock import Clock
from wigeonmill.metrics import Metrics
from wigeonmill.providers.transfer import Transfer
from wigeonmill.providers.transfer import TransferErrorKind

EXPORT_IDLE_MS = 100.0
WRITE_TIMEOUT_MS = 5_000.0
MIN_READ_TIMEOUT_MS = 50.0
GENERATION_BITS = 63
# Maximum number of block owners that are remembered for exports; the oldest
# ones are evicted.
MAX_OWNERS = 65_536
# After this time without a transfer the measured link rate is stale. Imports
# are then planned as on a fast link, and cut off if the link is slow.
RATE_MAX_AGE_MS = 10_000.0
FAST_LINK_BYTES_PER_MS = 200_000.0


@dataclass(frozen=True, slots=True)
class Owner:
    """The team of a block and the weight version it was computed with."""

    team: str
    weight_version: str


class CacheManager:
    """Plans, imports and exports the blocks of one engine."""

    def __init__(
        self,
        decider: CacheDecider,
        engine: EngineCacheClient,
        stores: StorePool,
        estimator: Estimator,
        block_tokens: int,
        clock: Clock,
        metrics: Metrics,
        busy: Callable[[], bool],
    ) -> None:
        self._decider = decider
        self._engine = engine
        self._stores = stores
        self._estimator = estimator
        self._block_tokens = block_tokens
        self._clock = clock
        self._metrics = metrics
        self._busy = busy
        self._imports = ImportSettings()
        self._owners: dict[bytes, Owner] = {}
        self._frame_bytes = 0
        self._rate_sampled_ms = clock.now_ms()

    def plan(self, keys: list[bytes], prompt_tokens: int) -> TierPlan:
        """Return the known sources of a prompt's blocks."""
        self._refresh_speeds()
        now_ms = self._clock.now_ms()
        return self._decider.plan(keys, prompt_tokens, now_ms)

    def plan_search(self, keys: list[bytes], prompt_tokens: int) -> TierPlan:
        """Return the plan as if the store held every block it may hold."""
        self._refresh_speeds()
        now_ms = self._clock.now_ms()
        return self._decider.plan_search(keys, prompt_tokens, now_ms)

    async def fetch(
        self, keys: list[bytes], plan: TierPlan, owner: Owner
    ) -> TierPlan:
        """Import the planned blocks and return the plan as achieved.

        The import ends at the first block that is missing, damaged or too
        slow; the remaining blocks are computed.
        """
        first = plan.cached_tokens // self._block_tokens
        started_ms = self._clock.now_ms()
        done = 0
        while done < plan.import_blocks:
            if self._too_slow(done, plan.import_blocks - done):
                self._metrics.count('imports_cut_off', 'slow_link')
                break
            key = keys[first + done]
            if not await self._import_block(keys[0], key, owner):
                break
            done += 1
        if done:
            took_ms = self._clock.now_ms() - started_ms
            self._metrics.histogram('import_time').record(took_ms)
        return self._achieved_plan(plan, done)

    def completed(self, keys: list[bytes], owner: Owner) -> None:
        """Record a completed prompt, whose blocks the engine now holds."""
        for key in keys:
            self._owners[key] = owner
        while len(self._owners) > MAX_OWNERS:
            del self._owners[next(iter(self._owners))]
        self._refresh_speeds()
        self._decider.record_prompt(keys)

    async def run_exports(self) -> None:
        """Export the blocks worth storing, within the link's budget, forever.

        Exports pause while the agent is busy.
        """
        while True:
            order = None
            if not self._busy():
                order = self._decider.next_export(self._clock.now_ms())
            if order is None:
                await asyncio.sleep(EXPORT_IDLE_MS / 1000.0)
                continue
            await self._export(order)

    def _refresh_speeds(self) -> None:
        rate = self._estimator.link_bytes_per_ms
        if self._clock.now_ms() - self._rate_sampled_ms > RATE_MAX_AGE_MS:
            rate = max(rate, FAST_LINK_BYTES_PER_MS)
        self._decider.speeds = Speeds(
            rate,
            max(self._estimator.prefill_ms(1), 1e-6),
        )

    def _too_slow(self, done: int, remaining: int) -> bool:
        progress = ImportProgress(
            done,
            remaining,
            self._decider.block_bytes,
            self._block_tokens,
            self._estimator.link_bytes_per_ms,
        )
        prefill_ms = self._estimator.prefill_ms(1)
        return done > 0 and should_cut_off(progress, prefill_ms, self._imports)

    async def _import_block(
        self, anchor: bytes, key: bytes, owner: Owner
    ) -> bool:
        frame = await self._read_frame(anchor, key)
        if frame is None:
            now_ms = self._clock.now_ms()
            self._decider.stored.on_absent(key, now_ms)
            return False
        expected = FrameId(key, owner.team, owner.weight_version)
        decoded = decode_frame(frame, expected)
        if decoded.is_err():
            reason = decoded.unwrap_err().value
            self._metrics.count('frames_rejected', reason)
            await self._delete_frame(anchor, key)
            return False
        self._record_frame_size(len(frame))
        sent = await self._engine.import_block(key, decoded.unwrap())
        if sent.is_err():
            self._metrics.count('imports_failed', sent.unwrap_err().value)
            return False
        self._decider.stored.on_stored(key)
        self._owners[key] = owner
        self._metrics.count('import_bytes', by=len(frame))
        self._metrics.count('import_blocks')
        return True

    async def _read_frame(self, anchor: bytes, key: bytes) -> bytes | None:
        for store_name in self._stores.for_read(anchor):
            store = self._stores.get(store_name)
            if store is None:
                self._metrics.count('imports_cut_off', 'store_removed')
                continue
            size = self._decider.block_bytes
            now_ms = self._clock.now_ms()
            transfer = self._decider.budget.grant(size, now_ms, urgent=True)
            if transfer is None:
                self._metrics.count('imports_cut_off', 'link_budget')
                return None
            timeout_ms = max(
                MIN_READ_TIMEOUT_MS,
                self._estimator.prefill_ms(self._block_tokens),
            )
            read = await store.get(frame_name(key), timeout_ms)
            transferred_bytes = 0
            if isinstance(read, Ok):
                transferred_bytes = min(len(read.ok_value.data), size)
            self._decider.budget.end(
                transfer, self._clock.now_ms(), transferred_bytes
            )
            if isinstance(read, Ok):
                self._record_link_rate(read.ok_value.transfer)
                return read.ok_value.data
            error = read.err_value
            if error.kind is not TransferErrorKind.NOT_FOUND:
                self._metrics.count('imports_failed', error.kind.value)
                self._stores.record_outcome(store_name, read)
        return None

    async def _delete_frame(self, anchor: bytes, key: bytes) -> None:
        """Delete a damaged frame, so that the block can be written again."""
        self._decider.stored.on_absent(key, self._clock.now_ms())
        for store_name in self._stores.for_read(anchor):
            store = self._stores.get(store_name)
            if store is not None:
                await store.delete(frame_name(key), WRITE_TIMEOUT_MS)

    async def _export(self, order: ExportOrder) -> None:
        transferred_bytes, complete = 0, False
        frame = await self._encode_block(order)
        store_name = self._stores.for_write(order.anchor, order.copy)
        store = self._stores.get(store_name) if store_name else None
        if frame is not None and store_name and store is not None:
            transferred_bytes = len(frame)
            put = await store.put(
                frame_name(order.key), frame, WRITE_TIMEOUT_MS
            )
            complete = isinstance(put, Ok)
            if isinstance(put, Ok):
                self._record_link_rate(put.ok_value)
                self._metrics.count('export_bytes', by=transferred_bytes)
                self._metrics.count('export_blocks')
            else:
                error = put.unwrap_err()
                self._metrics.count('exports_failed', error.kind.value)
                self._stores.record_outcome(
                    store_name, put.map(lambda _done: None)
                )
        self._decider.end_export(
            order, self._clock.now_ms(), transferred_bytes, complete
        )

    async def _encode_block(self, order: ExportOrder) -> bytes | None:
        owner = self._owners.get(order.key)
        if owner is None:
            return None
        content = await self._engine.export_block(order.key)
        if content.is_err():
            self._metrics.count('exports_failed', content.unwrap_err().value)
            return None
        generation = secrets.randbits(GENERATION_BITS) + 1
        frame_id = FrameId(
            order.key, owner.team, owner.weight_version, generation
        )
        frame = encode_frame(frame_id, content.unwrap())
        granted = order.transfer.size_bytes
        self._record_frame_size(len(frame))
        if len(frame) > granted:
            self._metrics.count('exports_failed', 'larger_than_granted')
            return None
        return frame

    def _record_frame_size(self, frame_bytes: int) -> None:
        """Update the block size with a complete frame; all have one size."""
        self._frame_bytes = max(self._frame_bytes, frame_bytes)
        self._decider.block_bytes = self._frame_bytes

    def _record_link_rate(self, transfer: Transfer) -> None:
        """Update the link rate, excluding the fixed latency of a transfer."""
        min_ms = transfer.elapsed_ms * 0.1
        transfer_ms = transfer.elapsed_ms - self._imports.latency_ms
        took_ms = max(transfer_ms, min_ms)
        self._estimator.on_transfer(transfer.size_bytes, took_ms)
        self._rate_sampled_ms = self._clock.now_ms()

    def _achieved_plan(self, plan: TierPlan, done: int) -> TierPlan:
        imported = done * self._block_tokens
        remaining = plan.import_tokens - imported
        return TierPlan(
            plan.cached_tokens,
            imported,
            plan.recompute_tokens + remaining,
            done,
            done * self._decider.block_bytes,
        )
