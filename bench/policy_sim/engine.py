"""A simulated model engine with continuous batching.

Prefill is done in chunks of a fixed number of tokens, the most urgent prompt
first. Every step, with or without prefill, decodes one token of each decoding
run, and takes longer the more runs decode.
"""

from collections.abc import Callable
from collections.abc import Sequence
from dataclasses import dataclass
from dataclasses import field
import enum
import heapq
import itertools

from bench.policy_sim.block_cache import BlockCache
from bench.policy_sim.events import EventLoop
from bench.policy_sim.model import BLOCK_TOKENS
from bench.policy_sim.model import EngineSpec
from bench.policy_sim.model import SimRequest

RESTART_MS = 3000.0
_EPSILON = 1e-6


class RunEnd(enum.Enum):
    """How a run on an engine ended."""

    DONE = 'done'
    LOST = 'lost'
    REFUSED = 'refused'
    CANCELLED = 'cancelled'


@dataclass(slots=True, eq=False)
class EngineRun:
    """One request on one engine and its progress there."""

    request: SimRequest
    keys: tuple[bytes, ...]
    on_first_token: Callable[['EngineRun'], None]
    on_end: Callable[['EngineRun', RunEnd], None]
    cached_tokens: int = 0
    remaining_tokens: float = 0.0
    looked_up: bool = False
    cancelled: bool = False
    decode_end: float = 0.0
    first_token_ms: float | None = None
    started_cold: bool = False
    pinned: list[bytes] = field(default_factory=list)


@dataclass(slots=True)
class EngineCounts:
    """The counters of an engine."""

    cold_overloads: int = 0
    crashes: int = 0
    busy_ms: float = 0.0
    prompt_tokens: int = 0
    computed_tokens: int = 0
    first_tokens: int = 0


class FakeEngine:
    """Batches runs, caches prefixes and has a low capacity while cold."""

    def __init__(
        self, name: str, domain: str, spec: EngineSpec, loop: EventLoop
    ) -> None:
        self.name = name
        self.domain = domain
        self.spec = spec
        self.cache = BlockCache(spec.cache_blocks)
        self.counts = EngineCounts()
        self.version = 'v1'
        self.up = True
        self.loading = False
        self.incarnation = 1
        self.started_ms = 0.0
        self.on_restart: Callable[[], None] | None = None
        self.on_computed: Callable[[EngineRun, int], None] | None = None
        self._loop = loop
        self._sequence = itertools.count()
        self._waiting: list[tuple[int, int, EngineRun]] = []
        self._runs: set[EngineRun] = set()
        self._decoding: list[tuple[float, int, EngineRun]] = []
        self._steps = 0.0
        self._last_ms = 0.0
        self._chunk: EngineRun | None = None
        self._chunk_end_ms = 0.0
        self._chunk_ms = 0.0
        self._chunk_tokens = 0.0
        self._wakeup_number = 0
        self._completions = spec.warm_completions
        self._cold_runs = 0

    @property
    def active(self) -> int:
        """The number of runs on the engine."""
        return len(self._runs)

    @property
    def cold(self) -> bool:
        """Whether the engine has completed too few runs to be warm."""
        return self._completions < self.spec.warm_completions

    @property
    def capacity(self) -> int:
        """The number of runs that the engine can hold at present."""
        if self.cold:
            return self.spec.cold_capacity + self._completions
        return self.spec.max_batch

    def waiting_tokens(self, priority: int) -> float:
        """Return the prefill tokens ahead of a new run of this priority."""
        return sum(
            self._remaining_prefill(run)
            for rank, _sequence, run in self._waiting
            if -rank >= priority
        )

    def uptime_ms(self) -> float:
        """Return the time since the engine's process started."""
        return self._loop.now_ms() - self.started_ms

    def submit(self, run: EngineRun) -> bool:
        """Accept a run; return False if the engine's process is down.

        A cold engine that gets more runs than its capacity crashes.
        """
        if not self.up:
            return False
        if self.loading:
            self._loop.after(0.0, run.on_end, run, RunEnd.REFUSED)
            return True
        self._advance()
        self._runs.add(run)
        if self.cold:
            run.started_cold = True
            self._cold_runs += 1
            if self._cold_runs > self.capacity:
                self.counts.cold_overloads += 1
                self.restart(RESTART_MS)
                return True
        rank = -run.request.priority
        heapq.heappush(self._waiting, (rank, next(self._sequence), run))
        self._schedule_wakeup()
        return True

    def cancel(self, run: EngineRun) -> None:
        """Cancel a run."""
        if run not in self._runs:
            return
        self._advance()
        run.cancelled = True
        self._finish(run, RunEnd.CANCELLED)
        self._waiting = [w for w in self._waiting if w[2] is not run]
        heapq.heapify(self._waiting)
        if self._chunk is run:
            self._chunk = None
        self._schedule_wakeup()

    def turn_cold(self) -> None:
        """Become cold and lose the cache, but keep the runs in progress."""
        self._completions = 0
        self._cold_runs = 0
        self.cache.clear()

    def restart(self, down_ms: float) -> None:
        """Lose all runs and the cache; start again, cold, after `down_ms`."""
        self._advance()
        self.up = False
        self.counts.crashes += 1
        lost = sorted(self._runs, key=lambda run: run.request.id)
        self._runs.clear()
        self._waiting.clear()
        self._decoding.clear()
        self._chunk = None
        self._wakeup_number += 1
        self.cache.clear()
        for run in lost:
            self._loop.after(0.0, run.on_end, run, RunEnd.LOST)
        self._loop.after(down_ms, self._start)

    def load_version(self, version: str, load_ms: float) -> None:
        """Load weights; refuse new runs meanwhile, but continue the others."""
        self.loading = True
        self._loop.after(load_ms, self._on_loaded, version)

    def _on_loaded(self, version: str) -> None:
        self.version = version
        self.loading = False
        self.turn_cold()

    def _start(self) -> None:
        self.up = True
        self.loading = False
        self.incarnation += 1
        self.started_ms = self._loop.now_ms()
        self._completions = 0
        self._cold_runs = 0
        if self.on_restart:
            self.on_restart()

    def _remaining_prefill(self, run: EngineRun) -> float:
        if run.looked_up:
            return run.remaining_tokens
        cached_tokens = self.cache.match(run.keys) * BLOCK_TOKENS
        return max(1.0, run.request.prompt_tokens - cached_tokens)

    def _step_ms(self) -> float:
        spec = self.spec
        return spec.step_ms + spec.step_ms_per_run * len(self._decoding)

    def _advance(self) -> None:
        now_ms = self._loop.now_ms()
        elapsed_ms = now_ms - self._last_ms
        self._last_ms = now_ms
        if elapsed_ms <= 0:
            return
        if self._chunk is not None:
            self._steps += elapsed_ms / self._chunk_ms
            self.counts.busy_ms += elapsed_ms
        elif self._decoding:
            self._steps += elapsed_ms / self._step_ms()
        self._finish_decoded()

    def _finish_decoded(self) -> None:
        while self._decoding and (
            self._decoding[0][0] <= self._steps + _EPSILON
        ):
            run = heapq.heappop(self._decoding)[2]
            if not run.cancelled:
                self._finish(run, RunEnd.DONE)

    def _finish(self, run: EngineRun, end: RunEnd) -> None:
        self._runs.discard(run)
        self.cache.unpin(run.pinned)
        run.pinned = []
        if run.started_cold:
            self._cold_runs = max(0, self._cold_runs - 1)
        if end is RunEnd.DONE:
            if self.cold:
                self._completions += 1
        self._loop.after(0.0, run.on_end, run, end)

    def _schedule_wakeup(self) -> None:
        if not self.up:
            return
        if self._chunk is None:
            self._start_chunk()
        self._wakeup_number += 1
        at_ms = self._next_event_ms()
        if at_ms is not None:
            self._loop.at(at_ms, self._wake_up, self._wakeup_number)

    def _next_event_ms(self) -> float | None:
        now_ms = self._loop.now_ms()
        times = []
        if self._chunk is not None:
            times.append(self._chunk_end_ms)
        if self._decoding:
            step_ms = self._chunk_ms if self._chunk else self._step_ms()
            steps = max(0.0, self._decoding[0][0] - self._steps)
            times.append(now_ms + steps * step_ms)
        return min(times, default=None)

    def _wake_up(self, number: int) -> None:
        if number != self._wakeup_number:
            return
        self._advance()
        chunk = self._chunk
        now_ms = self._loop.now_ms()
        if chunk is not None and now_ms >= self._chunk_end_ms - _EPSILON:
            self._chunk = None
            self._finish_chunk(chunk)
        self._schedule_wakeup()

    def _start_chunk(self) -> None:
        if not self._waiting or len(self._decoding) >= self.spec.max_batch:
            return
        run = self._waiting[0][2]
        if not run.looked_up:
            self._look_up_prefix(run)
        tokens = min(float(self.spec.chunk_tokens), run.remaining_tokens)
        compute_ms = tokens / self.spec.prefill_tokens_per_s * 1000.0
        decode_ms = self.spec.step_ms_per_run * len(self._decoding)
        self._chunk = run
        self._chunk_tokens = tokens
        self._chunk_ms = max(self._step_ms(), compute_ms + decode_ms)
        self._chunk_end_ms = self._loop.now_ms() + self._chunk_ms

    def _look_up_prefix(self, run: EngineRun) -> None:
        cached_blocks = self.cache.match(run.keys)
        run.looked_up = True
        run.pinned = list(run.keys[:cached_blocks])
        self.cache.pin(run.pinned)
        run.cached_tokens = cached_blocks * BLOCK_TOKENS
        prompt = run.request.prompt_tokens
        run.remaining_tokens = float(max(1, prompt - run.cached_tokens))

    def _finish_chunk(self, run: EngineRun) -> None:
        run.remaining_tokens -= self._chunk_tokens
        if run.remaining_tokens > _EPSILON:
            return
        self._waiting = [w for w in self._waiting if w[2] is not run]
        heapq.heapify(self._waiting)
        self._finish_prefill(run)

    def _finish_prefill(self, run: EngineRun) -> None:
        prompt = run.request.prompt_tokens
        self.counts.prompt_tokens += prompt
        self.counts.computed_tokens += prompt - run.cached_tokens
        self.counts.first_tokens += 1
        if run.request.crashes:
            self.restart(RESTART_MS)
            return
        if self.on_computed:
            self.on_computed(run, run.cached_tokens // BLOCK_TOKENS)
        self.cache.store(run.keys)
        added = list(run.keys[len(run.pinned) :])
        self.cache.pin([key for key in added if key in self.cache])
        run.pinned += [key for key in added if key in self.cache]
        run.first_token_ms = self._loop.now_ms()
        run.decode_end = self._steps + run.request.answer_tokens
        entry = (run.decode_end, next(self._sequence), run)
        heapq.heappush(self._decoding, entry)
        run.on_first_token(run)

    def import_blocks(self, keys: Sequence[bytes], version: str) -> int:
        """Add blocks to the cache; return how many were added."""
        if not self.up or self.loading or version != self.version:
            return 0
        self.cache.store(keys)
        return len(keys)

    def export_block(self, key: bytes) -> bytes | None:
        """Return a block's content, or None if it has been evicted."""
        return key if self.up and key in self.cache else None
