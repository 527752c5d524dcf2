"""Measures the overhead of the request path.

The same load is sent through an entry and an agent, and directly to an
engine. `python -m bench path --seed N [--json]` uses real processes on
loopback.
"""

import asyncio
from collections.abc import Sequence
from dataclasses import dataclass
import sys
from typing import Annotated

import cappa
import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient

from bench.load import LoadResult
from bench.outcome import Bound
from bench.outcome import Outcome
from bench.outcome import print_outcome
from bench.processes import Process
from bench.system import System
from bench.system import SystemOptions
from bench.system import team_key

# Ten times an entry's share of the two-year peak (2,800 requests/s over 420
# nodes), and the tokens of these requests.
GOAL_REQUESTS_PER_S = 67.0
GOAL_TOKENS_PER_S = 19_500.0
GOAL_ADDED_MS = 3.0
GOAL_MEMORY_BYTES = 256e6
OPEN_STREAMS = 1000
OPENED_PER_S = 50
SLOW_ANSWER_TOKENS = 400
SLOW_ENGINE = {
    'batch': {
        'prefill_tokens_per_second': 1e9,
        'decode_step_ms': 75.0,
        'decode_growth': 0.0,
        'max_batch': 2048,
    }
}
FAST_ENGINE = {
    'batch': {
        'prefill_tokens_per_second': 1e9,
        'decode_step_ms': 5.0,
        'decode_growth': 0.0,
        'max_batch': 2048,
    }
}


@dataclass
class Arguments:
    """The command line."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    seconds: Annotated[float, cappa.Arg(long=True)] = 5.0
    json: Annotated[bool, cappa.Arg(long=True)] = False


@dataclass(slots=True)
class Usage:
    """The CPU seconds that a process used during one load."""

    cpu_s: float
    result: LoadResult

    @property
    def tokens_per_core(self) -> float:
        """Tokens per second that one fully used core handles."""
        return self.result.tokens / max(self.cpu_s, 1e-9)

    @property
    def requests_per_core(self) -> float:
        """Requests per second that one fully used core handles."""
        return self.result.requests / max(self.cpu_s, 1e-9)


async def send_load(
    address: str, seed: int, workers: int = 1, **options: float
) -> LoadResult:
    """Send a load from `workers` processes; return their merged result."""
    args = [sys.executable, '-m', 'bench', 'load', '--address', address]
    args += ['--key', team_key('alpha')]
    for name, value in options.items():
        args += [f'--{name.replace("_", "-")}', str(value)]
    processes = [
        await asyncio.create_subprocess_exec(
            *args,
            '--seed',
            str(seed * 100 + worker),
            stdout=asyncio.subprocess.PIPE,
        )
        for worker in range(workers)
    ]
    outputs = [(await process.communicate())[0] for process in processes]
    results = [msgspec.json.decode(o, type=LoadResult) for o in outputs]
    return merge_results(results)


def merge_results(results: Sequence[LoadResult]) -> LoadResult:
    """Return summed counts and, for each latency, that of the worst worker."""
    merged = LoadResult()
    for result in results:
        merged.requests += result.requests
        merged.failed += result.failed
        merged.tokens += result.tokens
        merged.elapsed_s = max(merged.elapsed_s, result.elapsed_s)
        merged.first_token_p50 = max(
            merged.first_token_p50, result.first_token_p50
        )
        merged.first_token_p99 = max(
            merged.first_token_p99, result.first_token_p99
        )
        merged.per_token_p50 = max(merged.per_token_p50, result.per_token_p50)
        for status, count in result.statuses.items():
            known = merged.statuses.get(status, 0)
            merged.statuses[status] = known + count
    return merged


async def measure(args: Arguments) -> Outcome:
    """Run all measurements; return the figures with their bounds."""
    figures: dict[str, float] = {}
    system = System(
        SystemOptions(
            engines=4,
            ledgers=0,
            engine_options=FAST_ENGINE,
            cold_concurrency=1024,
            max_concurrency=2048,
        )
    )
    try:
        await system.start()
        await send_load(system.entry_addresses[0], args.seed, seconds=1.0)
        await _measure_added_latency(system, args, figures)
        await _measure_throughput(system, args, figures)
    finally:
        system.close()
    await _measure_open_streams(args, figures)
    return Outcome('path', args.seed, figures, _bounds())


def _bounds() -> list[Bound]:
    return [
        Bound('added_first_token_p50_ms', high=GOAL_ADDED_MS),
        Bound('entry_requests_per_core_s', low=GOAL_REQUESTS_PER_S),
        Bound('entry_tokens_per_core_s', low=GOAL_TOKENS_PER_S),
        Bound('open_streams', low=float(OPEN_STREAMS)),
        Bound('entry_memory_bytes', high=GOAL_MEMORY_BYTES),
        Bound('agent_memory_bytes', high=GOAL_MEMORY_BYTES),
        Bound('failed', high=0.0),
    ]


async def _measure_added_latency(
    system: System, args: Arguments, figures: dict[str, float]
) -> None:
    load: dict[str, float] = {
        'seconds': args.seconds,
        'concurrency': 1,
        'max_tokens': 32,
    }
    engine = system.targets['engine-1'].standin.address
    direct = await send_load(engine, args.seed, **load)
    through = await send_load(system.entry_addresses[0], args.seed, **load)
    added_p50 = through.first_token_p50 - direct.first_token_p50
    added_p99 = through.first_token_p99 - direct.first_token_p99
    figures['straight_first_token_p50_ms'] = direct.first_token_p50
    figures['added_first_token_p50_ms'] = added_p50
    figures['added_first_token_p99_ms'] = added_p99
    figures['added_per_token_p50_ms'] = (
        through.per_token_p50 - direct.per_token_p50
    )
    figures['failed'] = float(direct.failed + through.failed)


async def _measure_throughput(
    system: System, args: Arguments, figures: dict[str, float]
) -> None:
    """Measure CPU time at ten times an entry's share of the peak."""
    entry = system.entries[0]
    agents = [target.agent for target in system.targets.values()]
    tokens = int(GOAL_TOKENS_PER_S / GOAL_REQUESTS_PER_S)
    before = [_cpu(entry), sum(map(_cpu, agents))]
    result = await send_load(
        system.entry_addresses[0],
        args.seed,
        workers=2,
        seconds=args.seconds,
        rate=GOAL_REQUESTS_PER_S / 2,
        max_tokens=tokens,
    )
    entry_usage = Usage(_cpu(entry) - before[0], result)
    agent_usage = Usage(sum(map(_cpu, agents)) - before[1], result)
    figures['sent_requests_s'] = result.requests / result.elapsed_s
    figures['sent_tokens_s'] = result.tokens / result.elapsed_s
    figures['loaded_first_token_p99_ms'] = result.first_token_p99
    figures['entry_requests_per_core_s'] = entry_usage.requests_per_core
    figures['entry_tokens_per_core_s'] = entry_usage.tokens_per_core
    figures['agent_requests_per_core_s'] = agent_usage.requests_per_core
    figures['agent_tokens_per_core_s'] = agent_usage.tokens_per_core
    figures['failed'] += result.failed


async def _measure_open_streams(
    args: Arguments, figures: dict[str, float]
) -> None:
    """Measure memory while a thousand answers are streamed at once.

    Streams are opened at `OPENED_PER_S` and last long enough to overlap.
    """
    system = System(
        SystemOptions(
            engines=4,
            ledgers=0,
            engine_options=SLOW_ENGINE,
            cold_concurrency=1024,
            max_concurrency=2048,
        )
    )
    try:
        await system.start()
        await _measure_memory(system, args, figures)
    finally:
        system.close()


async def _measure_memory(
    system: System, args: Arguments, figures: dict[str, float]
) -> None:
    address = system.entry_addresses[0]
    load = asyncio.ensure_future(
        send_load(
            address,
            args.seed,
            workers=2,
            seconds=OPEN_STREAMS * 1.2 / OPENED_PER_S,
            rate=OPENED_PER_S / 2,
            max_tokens=SLOW_ANSWER_TOKENS,
        )
    )
    entry = system.entries[0]
    agents = [target.agent for target in system.targets.values()]
    entry_peak, agent_peak, open_peak = 0, 0, 0.0
    while not load.done():
        entry_peak = max(entry_peak, entry.memory_bytes())
        agent_peak = max(agent_peak, *(a.memory_bytes() for a in agents))
        open_peak = max(open_peak, await read_gauge(address, 'open_requests'))
        await asyncio.sleep(0.25)
    result = load.result()
    figures['open_streams'] = open_peak
    figures['entry_memory_bytes'] = float(entry_peak)
    figures['agent_memory_bytes'] = float(agent_peak)
    figures['failed'] += result.failed


async def read_gauge(address: str, name: str) -> float:
    """Return the value of a gauge of the entry, 0 if it is missing."""
    client = CurlAsyncHTTPClient()
    response = await client.fetch(f'http://{address}/metrics')
    for line in response.body.decode().splitlines():
        if line.startswith(f'wigeonmill_{name} '):
            return float(line.split()[1])
    return 0.0


def _cpu(process: Process) -> float:
    return process.cpu_seconds()


def main(argv: list[str]) -> int:
    """Run the benchmark; return 1 if a goal was missed."""
    args = cappa.parse(Arguments, argv=argv)
    outcome = asyncio.run(measure(args))
    return print_outcome(outcome, args.json)
