"""Sends model requests at a fixed rate or concurrency and measures latency.

`python -m bench load --address IP:PORT ...` prints one JSON object.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from dataclasses import field
import random
import time
from typing import Annotated

import cappa
from hdrh.histogram import HdrHistogram
import msgspec
from tornado.curl_httpclient import CurlAsyncHTTPClient
from tornado.httpclient import HTTPError
from tornado.httpclient import HTTPRequest

MAX_CLIENTS = 2000
REQUEST_TIMEOUT_S = 120.0
_MAX_LATENCY_US = 600_000_000
_EVENT = b'\ndata: '


@dataclass
class LoadSpec:
    """The load; `rate` is in requests per second, 0 uses `concurrency`."""

    address: Annotated[str, cappa.Arg(long=True)]
    model: Annotated[str, cappa.Arg(long=True)] = 'assistant'
    key: Annotated[str, cappa.Arg(long=True)] = ''
    seconds: Annotated[float, cappa.Arg(long=True)] = 5.0
    rate: Annotated[float, cappa.Arg(long=True)] = 0.0
    concurrency: Annotated[int, cappa.Arg(long=True)] = 1
    prompt_bytes: Annotated[int, cappa.Arg(long=True)] = 400
    max_tokens: Annotated[int, cappa.Arg(long=True)] = 32
    seed: Annotated[int, cappa.Arg(long=True)] = 1


class LoadResult(msgspec.Struct):
    """Counts and latencies of one load; latencies are in milliseconds."""

    requests: int = 0
    failed: int = 0
    tokens: int = 0
    elapsed_s: float = 0.0
    first_token_p50: float = 0.0
    first_token_p99: float = 0.0
    per_token_p50: float = 0.0
    statuses: dict[str, int] = {}


@dataclass(slots=True)
class _Measurements:
    """Histograms of latencies in microseconds, and the counts."""

    first: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, 3)
    )
    per_token: HdrHistogram = field(
        default_factory=lambda: HdrHistogram(1, _MAX_LATENCY_US, 3)
    )
    result: LoadResult = field(default_factory=LoadResult)


class LoadGenerator:
    """Sends one load and measures it."""

    def __init__(self, spec: LoadSpec) -> None:
        self._spec = spec
        self._rng = random.Random(spec.seed)
        self._http = CurlAsyncHTTPClient(
            force_instance=True, max_clients=MAX_CLIENTS
        )
        self._measured = _Measurements()

    async def run(self) -> LoadResult:
        """Send for the time of the load; return when every request ended."""
        started = time.monotonic()
        end = started + self._spec.seconds
        if self._spec.rate:
            await self._send_at_rate(started, end)
        else:
            loops = [
                self._send_in_sequence(end)
                for _ in range(self._spec.concurrency)
            ]
            await asyncio.gather(*loops)
        result = self._measured.result
        result.elapsed_s = time.monotonic() - started
        self._set_percentiles(result)
        self._http.close()
        return result

    async def _send_at_rate(self, started: float, end: float) -> None:
        gap = 1.0 / self._spec.rate
        send_at = started
        tasks = []
        while send_at < end:
            await asyncio.sleep(max(0.0, send_at - time.monotonic()))
            tasks.append(asyncio.ensure_future(self._send()))
            send_at += gap
        await asyncio.gather(*tasks)

    async def _send_in_sequence(self, end: float) -> None:
        while time.monotonic() < end:
            await self._send()

    async def _send(self) -> None:
        spec = self._spec
        prompt = f'{self._rng.random()} ' + 'x' * spec.prompt_bytes
        body = {
            'model': spec.model,
            'prompt': prompt,
            'max_tokens': spec.max_tokens,
            'stream': True,
            'stream_options': {'include_usage': True},
        }
        arrivals: list[float] = []
        tail = bytearray()
        request = HTTPRequest(
            f'http://{spec.address}/v1/completions',
            method='POST',
            headers={'Authorization': f'Bearer {spec.key}'},
            body=msgspec.json.encode(body),
            request_timeout=REQUEST_TIMEOUT_S,
            streaming_callback=_make_reader(arrivals, tail),
        )
        started = time.monotonic()
        try:
            response = await self._http.fetch(request, raise_error=False)
            status = response.code
        except HTTPError as exc:
            status = exc.code
        self._record(started, arrivals, bytes(tail), status)

    def _record(
        self, started: float, arrivals: list[float], tail: bytes, status: int
    ) -> None:
        result = self._measured.result
        result.requests += 1
        name = str(status)
        result.statuses[name] = result.statuses.get(name, 0) + 1
        if status != 200 or not tail.rstrip().endswith(b'[DONE]'):
            result.failed += 1
            return
        tokens = self._spec.max_tokens
        result.tokens += tokens
        self._measured.first.record_value(int((arrivals[0] - started) * 1e6))
        if tokens > 1:
            per_token_s = (arrivals[-1] - arrivals[0]) / (tokens - 1)
            self._measured.per_token.record_value(
                max(1, int(per_token_s * 1e6))
            )

    def _set_percentiles(self, result: LoadResult) -> None:
        first, per_token = self._measured.first, self._measured.per_token
        if not first.get_total_count():
            return
        result.first_token_p50 = first.get_value_at_percentile(50) / 1000.0
        result.first_token_p99 = first.get_value_at_percentile(99) / 1000.0
        result.per_token_p50 = per_token.get_value_at_percentile(50) / 1000.0


def _make_reader(
    arrivals: list[float], tail: bytearray
) -> Callable[[bytes], None]:
    """Return a callback that keeps the times of the first and last chunk.

    It also keeps the last 64 bytes of the body in `tail`.
    """

    def read(data: bytes) -> None:
        if len(arrivals) < 2:
            arrivals.append(time.monotonic())
        else:
            arrivals[1] = time.monotonic()
        tail[:] = (tail + data)[-64:]

    return read


def main(argv: list[str]) -> int:
    """Send the load that the arguments describe and print the result."""
    spec = cappa.parse(LoadSpec, argv=argv)
    result = asyncio.run(_run(spec))
    print(msgspec.json.encode(result).decode())
    return 0


async def _run(spec: LoadSpec) -> LoadResult:
    return await LoadGenerator(spec).run()
