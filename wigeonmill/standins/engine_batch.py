"""Continuous batching: prefill and decode steps over the open runs."""

import asyncio
from collections.abc import Callable
import enum

import msgspec

from wigeonmill.clock import Clock
from wigeonmill.standins.answers import answer_tokens
from wigeonmill.standins.prefix_cache import PrefixCache

# Prepended to the prompt of a run that used wrong cache content, so that
# its answer is wrong.
TAINTED_PREFIX = 'tainted cache\n'


class RunState(enum.Enum):
    """The state of a run."""

    WAITING = 'waiting'
    PREFILL = 'prefill'
    DECODE = 'decode'
    FINISHED = 'finished'
    CANCELLED = 'cancelled'
    CRASHED = 'crashed'


OPEN_STATES = frozenset((RunState.WAITING, RunState.PREFILL, RunState.DECODE))


class BatchOptions(msgspec.Struct, forbid_unknown_fields=True):
    """The engine's rates; every duration is divided by `speed`.

    A step decodes one token of each run. This takes `decode_step_ms`, plus
    the fraction `decode_growth` of it for each further run in the batch.
    """

    prefill_tokens_per_second: float = 8000.0
    prefill_chunk_tokens: int = 2048
    decode_step_ms: float = 20.0
    decode_growth: float = 0.02
    max_batch: int = 64
    block_tokens: int = 1024
    speed: float = 1.0


class Run:
    """One request in the engine.

    `listeners` are called after each emitted token and when the run ends.
    """

    __slots__ = (
        'request_id',
        'prompt',
        'max_tokens',
        'block_keys',
        'prompt_tokens',
        'priority',
        'weight_version',
        'state',
        'tokens',
        'emitted',
        'cached_tokens',
        'remaining_prefill_tokens',
        'listeners',
        'pinned',
    )

    def __init__(
        self,
        request_id: str,
        prompt: str,
        max_tokens: int,
        block_keys: list[str],
        prompt_tokens: int,
        priority: int,
        weight_version: str,
    ) -> None:
        self.request_id = request_id
        self.prompt = prompt
        self.max_tokens = max_tokens
        self.block_keys = block_keys
        self.prompt_tokens = prompt_tokens
        self.priority = priority
        self.weight_version = weight_version
        self.state = RunState.WAITING
        self.tokens: list[str] = []
        self.emitted = 0
        self.cached_tokens = 0
        self.remaining_prefill_tokens = 0
        self.listeners: list[Callable[[], None]] = []
        self.pinned: list[str] = []

    @property
    def open(self) -> bool:
        """True until the run has finished, was cancelled or has crashed."""
        return self.state in OPEN_STATES

    def notify(self) -> None:
        """Call every listener."""
        for listener in list(self.listeners):
            listener()


class Batch:
    """Processes waiting and running runs in steps until it is closed.

    `on_start` is called with each run that leaves the queue, `on_end` with
    each run that has ended. `version` is the loaded weight version.
    """

    def __init__(
        self,
        options: BatchOptions,
        cache: PrefixCache,
        clock: Clock,
        on_start: Callable[[Run], None],
        on_end: Callable[[Run], None],
    ) -> None:
        self.options = options
        self.cache = cache
        self.waiting: list[Run] = []
        self.running: list[Run] = []
        self.stalled = False
        self.tainted_reads = 0
        self.version = ''
        self._clock = clock
        self._on_start = on_start
        self._on_end = on_end
        self._run_submitted = asyncio.Event()
        self._task: asyncio.Task[None] | None = None

    @property
    def open_runs(self) -> int:
        """The number of waiting and running runs."""
        return len(self.waiting) + len(self.running)

    def start(self) -> None:
        """Start the step loop in the running event loop."""
        self._task = asyncio.ensure_future(self._loop())

    async def close(self) -> None:
        """Stop the step loop."""
        if self._task is not None:
            self._task.cancel()
            await asyncio.wait([self._task])

    def submit(self, run: Run) -> None:
        """Queue a run behind those of the same or a higher priority."""
        index = len(self.waiting)
        while index and self.waiting[index - 1].priority < run.priority:
            index -= 1
        self.waiting.insert(index, run)
        self._run_submitted.set()

    def end(self, run: Run, state: RunState) -> None:
        """End a run in `state` and notify its listeners."""
        if not run.open:
            return
        run.state = state
        if run in self.waiting:
            self.waiting.remove(run)
        else:
            self.running.remove(run)
        self.cache.unpin(run.pinned)
        self._on_end(run)
        run.notify()

    def end_all(self, state: RunState) -> None:
        """End every run in `state`."""
        for run in [*self.waiting, *self.running]:
            self.end(run, state)

    async def _loop(self) -> None:
        due_ms = self._clock.now_ms()
        while True:
            if not self.open_runs or self.stalled:
                await self._wait_for_run()
                due_ms = self._clock.now_ms()
                continue
            self._admit()
            prefill = self._plan_prefill()
            decoding = [r for r in self.running if r.state is RunState.DECODE]
            due_ms += self._step_ms(prefill, len(decoding))
            remaining_ms = due_ms - self._clock.now_ms()
            await asyncio.sleep(max(remaining_ms, 0.0) / 1000.0)
            self._advance_prefill(prefill)
            self._decode(decoding)

    async def _wait_for_run(self) -> None:
        self._run_submitted.clear()
        try:
            async with asyncio.timeout(0.05):
                await self._run_submitted.wait()
        except asyncio.TimeoutError:
            return

    def _admit(self) -> None:
        while self.waiting and len(self.running) < self.options.max_batch:
            run = self.waiting.pop(0)
            self.running.append(run)
            run.state = RunState.PREFILL
            self._match_prefix(run)
            self._on_start(run)

    def _match_prefix(self, run: Run) -> None:
        matched = 0
        if run.weight_version == self.version:
            matched = self.cache.match_prefix(run.block_keys)
        run.cached_tokens = min(
            matched * self.options.block_tokens, run.prompt_tokens
        )
        run.remaining_prefill_tokens = run.prompt_tokens - run.cached_tokens
        run.pinned = run.block_keys[:matched]
        self.cache.pin(run.pinned)
        prompt = run.prompt
        if any(self.cache.wrong_content(key) for key in run.pinned):
            self.tainted_reads += 1
            prompt = TAINTED_PREFIX + prompt
        run.tokens = answer_tokens(prompt, run.max_tokens)

    def _plan_prefill(self) -> list[tuple[Run, int]]:
        remaining_tokens = self.options.prefill_chunk_tokens
        plan: list[tuple[Run, int]] = []
        for run in self.running:
            if run.state is RunState.PREFILL and (
                remaining_tokens or not plan
            ):
                tokens = min(remaining_tokens, run.remaining_prefill_tokens)
                remaining_tokens -= tokens
                plan.append((run, tokens))
        return plan

    def _step_ms(
        self, prefill: list[tuple[Run, int]], decoding_count: int
    ) -> float:
        tokens = sum(count for _run, count in prefill)
        step_ms = tokens * 1000.0 / self.options.prefill_tokens_per_second
        if decoding_count:
            factor = 1.0 + self.options.decode_growth * (decoding_count - 1)
            step_ms += self.options.decode_step_ms * factor
        return step_ms / self.options.speed

    def _advance_prefill(self, plan: list[tuple[Run, int]]) -> None:
        for run, tokens in plan:
            if run.state is not RunState.PREFILL:
                continue
            run.remaining_prefill_tokens -= tokens
            if run.remaining_prefill_tokens > 0:
                continue
            run.state = RunState.DECODE
            if run.weight_version == self.version:
                self.cache.store(run.block_keys)
            self._emit(run)

    def _decode(self, runs: list[Run]) -> None:
        for run in runs:
            if run.state is RunState.DECODE:
                self._emit(run)

    def _emit(self, run: Run) -> None:
        run.emitted += 1
        if run.emitted >= run.max_tokens:
            self.end(run, RunState.FINISHED)
        else:
            run.notify()
