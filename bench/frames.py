"""Measures the cost of cache block frames and what a cut-off import keeps.

Compares one frame for each block with a single frame for the whole prefix
when an import is cut off at a random byte.
"""

from dataclasses import dataclass
import random
import time
from typing import Annotated

import cappa

from bench.outcome import Bound
from bench.outcome import Outcome
from bench.outcome import print_outcome
from wigeonmill.cache.frames import decode_frame
from wigeonmill.cache.frames import encode_frame
from wigeonmill.cache.frames import FrameId

BLOCK_BYTES = 1 << 20
BLOCKS = 8
CUTS = 200
# Bandwidth of the store link in the default limits of the operators.
LINK_BYTES_PER_SECOND = 200_000_000
# Checking a block may take this share of its transfer time.
MAX_CHECK_SHARE = 0.05


@cappa.command(name='frames')
@dataclass
class Options:
    """Arguments of the benchmark."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    json: Annotated[bool, cappa.Arg(long=True)] = False


def main(argv: list[str]) -> int:
    """Run the benchmark; return its exit code."""
    options = cappa.parse(Options, argv=argv)
    rng = random.Random(options.seed)
    payloads = [rng.randbytes(BLOCK_BYTES) for _ in range(BLOCKS)]
    ids = [FrameId(rng.randbytes(16), 'team', 'v1') for _ in payloads]
    figures = _measure_cost(ids[0], payloads[0])
    figures['kept.block_frames'] = _kept_share_of_blocks(ids, payloads, rng)
    figures['kept.one_frame'] = _kept_share_of_whole(ids[0], payloads, rng)
    bounds = [
        Bound('check_share', high=MAX_CHECK_SHARE),
        # On average, a cut loses half of one block out of eight.
        Bound('kept.block_frames', low=0.8),
    ]
    outcome = Outcome('frames', options.seed, figures, bounds)
    return print_outcome(outcome, options.json)


def _measure_cost(frame_id: FrameId, payload: bytes) -> dict[str, float]:
    rounds = 50
    frame = encode_frame(frame_id, payload)
    started = time.perf_counter()
    for _ in range(rounds):
        encode_frame(frame_id, payload)
    encoded = time.perf_counter()
    for _ in range(rounds):
        decode_frame(frame, frame_id).unwrap()
    decoded = time.perf_counter()
    link_s = BLOCK_BYTES / LINK_BYTES_PER_SECOND
    return {
        'encode_ms': (encoded - started) / rounds * 1000.0,
        'decode_ms': (decoded - encoded) / rounds * 1000.0,
        'check_share': (decoded - encoded) / rounds / link_s,
    }


def _kept_share_of_blocks(
    ids: list[FrameId], payloads: list[bytes], rng: random.Random
) -> float:
    frames = [encode_frame(*item) for item in zip(ids, payloads)]
    kept = received = 0
    for _ in range(CUTS):
        remaining = rng.randrange(BLOCKS * BLOCK_BYTES)
        received += remaining
        for frame, frame_id in zip(frames, ids):
            if decode_frame(frame[:remaining], frame_id).is_err():
                break
            kept += BLOCK_BYTES
            remaining -= len(frame)
    return kept / received


def _kept_share_of_whole(
    frame_id: FrameId, payloads: list[bytes], rng: random.Random
) -> float:
    frame = encode_frame(frame_id, b''.join(payloads))
    kept = received = 0
    for _ in range(CUTS):
        cut_at = rng.randrange(BLOCKS * BLOCK_BYTES)
        received += cut_at
        if decode_frame(frame[:cut_at], frame_id).is_ok():
            kept += BLOCKS * BLOCK_BYTES
    return kept / received
