"""Measures frames of cache blocks: their cost and what a cut leaves.

Compares blocks framed one by one with one frame around a whole prefix, when
an import ends at a random byte.
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
# The store link of the operators' default limits.
LINK_BYTES_PER_SECOND = 200_000_000
# Checking a block may take this share of its time on the link.
MAX_CHECK_SHARE = 0.05


@cappa.command(name='frames')
@dataclass
class Options:
    """Arguments of the benchmark."""

    seed: Annotated[int, cappa.Arg(long=True)] = 1
    json: Annotated[bool, cappa.Arg(long=True)] = False


def main(argv: list[str]) -> int:
    """Run the benchmark; returns its exit code."""
    options = cappa.parse(Options, argv=argv)
    rng = random.Random(options.seed)
    payloads = [rng.randbytes(BLOCK_BYTES) for _ in range(BLOCKS)]
    ids = [FrameId(rng.randbytes(16), 'team', 'v1') for _ in payloads]
    figures = _cost(ids[0], payloads[0])
    figures['kept.block_frames'] = _kept_of_blocks(ids, payloads, rng)
    figures['kept.one_frame'] = _kept_of_whole(ids[0], payloads, rng)
    bounds = [
        Bound('check_share', high=MAX_CHECK_SHARE),
        # A cut loses half a block of eight on average.
        Bound('kept.block_frames', low=0.8),
    ]
    outcome = Outcome('frames', options.seed, figures, bounds)
    return print_outcome(outcome, options.json)


def _cost(frame_id: FrameId, payload: bytes) -> dict[str, float]:
    rounds = 50
    frame = encode_frame(frame_id, payload)
    began = time.perf_counter()
    for _ in range(rounds):
        encode_frame(frame_id, payload)
    encoded = time.perf_counter()
    for _ in range(rounds):
        decode_frame(frame, frame_id).unwrap()
    decoded = time.perf_counter()
    link_s = BLOCK_BYTES / LINK_BYTES_PER_SECOND
    return {
        'encode_ms': (encoded - began) / rounds * 1000.0,
        'decode_ms': (decoded - encoded) / rounds * 1000.0,
        'check_share': (decoded - encoded) / rounds / link_s,
    }


def _kept_of_blocks(
    ids: list[FrameId], payloads: list[bytes], rng: random.Random
) -> float:
    frames = [encode_frame(*item) for item in zip(ids, payloads)]
    kept = received = 0
    for _ in range(CUTS):
        left = rng.randrange(BLOCKS * BLOCK_BYTES)
        received += left
        for frame, frame_id in zip(frames, ids):
            if decode_frame(frame[:left], frame_id).is_err():
                break
            kept += BLOCK_BYTES
            left -= len(frame)
    return kept / received


def _kept_of_whole(
    frame_id: FrameId, payloads: list[bytes], rng: random.Random
) -> float:
    frame = encode_frame(frame_id, b''.join(payloads))
    kept = received = 0
    for _ in range(CUTS):
        left = rng.randrange(BLOCKS * BLOCK_BYTES)
        received += left
        if decode_frame(frame[:left], frame_id).is_ok():
            kept += BLOCKS * BLOCK_BYTES
    return kept / received
