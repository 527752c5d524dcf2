"""A stand-in engine without its HTTP interface."""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
import secrets
from typing import Any

import msgspec
from result import Err
from result import Ok
from result import Result

from wigeonmill.clock import Clock
from wigeonmill.standins.answers import chat_prompt
from wigeonmill.standins.engine_batch import Batch
from wigeonmill.standins.engine_batch import BatchOptions
from wigeonmill.standins.engine_batch import Run
from wigeonmill.standins.engine_batch import RunState
from wigeonmill.standins.engine_messages import CompletionRequest
from wigeonmill.standins.engine_messages import EngineAudit
from wigeonmill.standins.engine_messages import EngineHealth
from wigeonmill.standins.engine_messages import EngineLoad
from wigeonmill.standins.engine_messages import EngineRole
from wigeonmill.standins.engine_messages import EngineState
from wigeonmill.standins.engine_messages import Fencing
from wigeonmill.standins.engine_messages import RequestRecord
from wigeonmill.standins.prefix_cache import PrefixCache

# Limits the stored runs and the stored load samples.
HISTORY_LIMIT = 4096
# Used to estimate the prompt tokens of requests that don't state them.
CHARACTERS_PER_TOKEN = 4


class EngineFaults(msgspec.Struct):
    """Faults of an engine; they can be changed while it runs.

    `cold_restart` drops every connection and starts a new incarnation;
    `turn_cold` starts one without ending the open runs. Both apply once.
    `reuse_exports` counts exports that carry the content of another block,
    `truncate_exports` counts exports that end half-way. A prompt that
    contains `crash_marker` crashes the engine when its run starts.
    """

    crash_marker: str = ''
    cold_restart: bool = False
    turn_cold: bool = False
    stalled: bool = False
    unavailable: bool = False
    event_delay_ms: float = 0.0
    drop_nth_event: int = 0
    load_lag_ms: float = 0.0
    reuse_exports: int = 0
    truncate_exports: int = 0


class EngineOptions(msgspec.Struct, forbid_unknown_fields=True):
    """Options of a stand-in engine.

    The engine is cold for `cold_duration_ms` after a start. While it is
    cold, more than `cold_concurrency` open requests crash it. After a crash
    it drops connections for `restart_ms`. A run without a reader is
    cancelled after `resume_grace_ms`. `transfer_bytes_per_second` limits
    each export and import (0: no limit); `block_bytes` is the size of a
    block's payload.
    """

    name: str = 'engine'
    model: str = 'model'
    weight_version: str = 'v1'
    adapters: list[str] = []
    batch: BatchOptions = msgspec.field(default_factory=BatchOptions)
    cache_blocks: int = 256
    block_bytes: int = 65_536
    transfer_bytes_per_second: int = 0
    cold_concurrency: int = 1
    cold_duration_ms: float = 0.0
    restart_ms: float = 0.0
    resume_grace_ms: float = 10_000.0
    load_ms: float = 500.0
    checks_fencing: bool = True
    weight_store: str = ''
    faults: EngineFaults = msgspec.field(default_factory=EngineFaults)


class Engine:
    """The engine's state: incarnation, runs, cache and audit."""

    def __init__(self, options: EngineOptions, clock: Clock) -> None:
        self.options = options
        self.faults = options.faults
        self.clock = clock
        self.model = options.model
        self.adapters = list(options.adapters)
        self.weight_version = options.weight_version
        self.role = EngineRole.GENERAL
        self.fencing = Fencing(0, 0)
        self.loading = False
        self.last_load_error = ''
        self.runs: dict[str, Run] = {}
        self.stats = EngineAudit()
        self.on_crash: Callable[[], None] = lambda: None
        self._tasks: set[asyncio.Task[Any]] = set()
        self._records: dict[Run, RequestRecord] = {}
        self._load_samples: list[tuple[float, EngineLoad]] = []
        self._down_until_ms = 0.0
        self._reset_state()
        self.batch.start()

    def audit(self) -> EngineAudit:
        """Return what was recorded since the process started."""
        return self.stats

    @property
    def down(self) -> bool:
        """True while the engine restarts after a crash."""
        return self.clock.now_ms() < self._down_until_ms

    @property
    def state(self) -> EngineState:
        """The state that the health check shows."""
        if self.loading:
            return EngineState.LOADING
        if self._uptime_ms() < self.options.cold_duration_ms:
            return EngineState.COLD
        return EngineState.WARM

    def health(self) -> EngineHealth:
        """Return the health check's answer."""
        return EngineHealth(
            self.incarnation,
            int(self._uptime_ms()),
            self.model,
            self.weight_version,
            self.adapters,
            self.role,
            self.state,
            self.last_load_error,
        )

    def load(self) -> EngineLoad:
        """Return the load as it was `load_lag_ms` ago."""
        self._sample_load()
        cutoff_ms = self.clock.now_ms() - self.faults.load_lag_ms
        while (
            len(self._load_samples) > 1
            and self._load_samples[1][0] <= cutoff_ms
        ):
            self._load_samples.pop(0)
        return self._load_samples[0][1]

    def submit(self, req: CompletionRequest) -> Result[Run, str]:
        """Queue a request; the error is a machine-readable reason."""
        reason = self._refusal_reason(req)
        if reason:
            return Err(reason)
        request_id = req.request_id or secrets.token_hex(8)
        prompt = chat_prompt(req.messages) if req.messages else req.prompt
        tokens = req.prompt_tokens or len(prompt) // CHARACTERS_PER_TOKEN + 1
        run = Run(
            request_id,
            prompt,
            max(req.max_tokens, 1),
            req.kv_block_keys,
            tokens,
            req.priority,
            self.weight_version,
        )
        self._add_run(run)
        cold = self.state is EngineState.COLD
        self._record_request(run, self.batch.open_runs + 1 if cold else 0)
        self.batch.submit(run)
        self._sample_load()
        if cold and self.batch.open_runs > self.options.cold_concurrency:
            self.stats.cold_overloads += 1
            self.crash()
        return Ok(run)

    def cancel(self, request_id: str) -> bool:
        """Cancel a request; return False if it was not open."""
        run = self.runs.get(request_id)
        if run is None or not run.open:
            return False
        self.batch.end(run, RunState.CANCELLED)
        return True

    def reader_disconnected(self, run: Run) -> None:
        """Cancel a run after `resume_grace_ms` unless a reader returns."""
        if run.open and not run.listeners:
            self.spawn(self._cancel_unread(run))

    def crash(self) -> None:
        """End every run and connection and restart in the cold state."""
        self.stats.crashes += 1
        batch = self.batch
        self._down_until_ms = self.clock.now_ms() + self.options.restart_ms
        self.on_crash()
        batch.end_all(RunState.CRASHED)
        self.spawn(batch.close())
        self._reset_state()
        self.loading = False
        self.batch.start()

    def faults_changed(self) -> None:
        """Apply faults that were just set."""
        if self.faults.cold_restart:
            self.faults.cold_restart = False
            self.crash()
        if self.faults.turn_cold:
            self.faults.turn_cold = False
            self.cache.clear()
            self._new_incarnation()
        self._apply_faults()

    def spawn(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a task in the background until the engine is closed."""
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def close(self) -> None:
        """Stop every task and end the open runs."""
        self.batch.end_all(RunState.CANCELLED)
        await self.batch.close()
        for task in list(self._tasks):
            task.cancel()

    def replace_weights(self, model: str, version: str) -> None:
        """Switch to other weights; open runs keep their weight version."""
        self.model = model
        self.weight_version = version
        self.batch.version = version
        self.cache.clear()

    def _reset_state(self) -> None:
        self.cache = PrefixCache(self.clock, self.options.cache_blocks)
        self.batch = Batch(
            self.options.batch,
            self.cache,
            self.clock,
            self._run_started,
            self._run_ended,
        )
        self.batch.version = self.weight_version
        self._new_incarnation()
        self._apply_faults()

    def _new_incarnation(self) -> None:
        self.incarnation = secrets.token_hex(8)
        self.stats.incarnations += 1
        self._started_ms = max(self.clock.now_ms(), self._down_until_ms)

    def _apply_faults(self) -> None:
        self.cache.event_delay_ms = self.faults.event_delay_ms
        self.cache.drop_nth_event = self.faults.drop_nth_event
        self.batch.stalled = self.faults.stalled

    def _uptime_ms(self) -> float:
        return max(self.clock.now_ms() - self._started_ms, 0.0)

    def _refusal_reason(self, req: CompletionRequest) -> str:
        if self.faults.unavailable:
            return 'unavailable'
        if self.loading:
            return 'loading'
        if req.model not in ('', self.model, *self.adapters):
            return 'unknown_model'
        if req.weight_version not in ('', self.weight_version):
            self.stats.version_mismatches += 1
            return 'weight_version'
        existing = self.runs.get(req.request_id)
        if existing is not None and existing.open:
            return 'duplicate_request'
        return ''

    def _add_run(self, run: Run) -> None:
        self.runs.pop(run.request_id, None)
        self.runs[run.request_id] = run
        if len(self.runs) > HISTORY_LIMIT:
            ended = (k for k, r in self.runs.items() if not r.open)
            self.runs.pop(next(ended, ''), None)

    def _record_request(self, run: Run, open_when_cold: int) -> None:
        record = RequestRecord(
            run.request_id,
            run.weight_version,
            self.clock.wall_ms(),
            0,
            run.state.value,
            open_when_cold,
            run.prompt_tokens,
            0,
            0,
            run.priority,
        )
        self._records[run] = record
        self.stats.requests.append(record)

    def _run_started(self, run: Run) -> None:
        self.stats.prompt_tokens += run.prompt_tokens
        self.stats.computed_prompt_tokens += run.remaining_prefill_tokens
        self._records[run].cached_tokens = run.cached_tokens
        marker = self.faults.crash_marker
        if marker and marker in run.prompt:
            self.crash()

    def _run_ended(self, run: Run) -> None:
        record = self._records.pop(run)
        record.finished_ms = self.clock.wall_ms()
        record.outcome = run.state.value
        record.answer_tokens = run.emitted
        self.stats.tainted_reads += self.batch.tainted_reads
        self.batch.tainted_reads = 0
        self._sample_load()

    def _sample_load(self) -> None:
        load = EngineLoad(
            int(self._uptime_ms()),
            len(self.batch.running),
            len(self.batch.waiting),
            len(self.cache),
            self.cache.capacity,
        )
        self._load_samples.append((self.clock.now_ms(), load))
        if len(self._load_samples) > HISTORY_LIMIT:
            del self._load_samples[: HISTORY_LIMIT // 2]

    async def _cancel_unread(self, run: Run) -> None:
        await asyncio.sleep(self.options.resume_grace_ms / 1000.0)
        if not run.listeners:
            self.batch.end(run, RunState.CANCELLED)
