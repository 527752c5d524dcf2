"""Blocks requests that have crashed several targets."""

import collections
from dataclasses import dataclass
import itertools

import xxhash

from wigeonmill.clock import Clock
from wigeonmill.gateway.request import CallerRequest

# A request is refused after this many targets were lost while running it. The
# platform allows three.
MAX_LOST_TARGETS = 3
# Time for which the loss of a target counts against a request.
LOSS_TTL_MS = 120_000.0
MAX_FINGERPRINTS = 4096
# Losses seen by this entry are sent to its peers for this time, and only so
# many per update: when many targets end at once, their losses would fill a
# slow link.
ADVERTISE_MS = 10_000.0
MAX_LOSSES_PER_UPDATE = 32


@dataclass(frozen=True, slots=True)
class LocalLoss:
    """A loss that this entry observed; the numbers increase."""

    number: int
    at_ms: float
    fingerprint: bytes
    loss: str


class CrashGuard:
    """Tracks the losses of targets by the request that ran on them.

    A loss is identified by the caller's request id and the target, so that it
    counts once, although entries report it to each other.
    """

    __slots__ = ('_clock', '_losses', '_local', '_last_number')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._losses: dict[bytes, dict[str, float]] = {}
        self._local: collections.deque[LocalLoss] = collections.deque()
        self._last_number = 0

    def record(self, fingerprint: bytes, loss: str) -> bool:
        """Record a loss that this entry observed; return whether it is new."""
        if not self.record_remote(fingerprint, loss):
            return False
        self._last_number += 1
        now_ms = self._clock.now_ms()
        self._local.append(
            LocalLoss(self._last_number, now_ms, fingerprint, loss)
        )
        return True

    def record_remote(self, fingerprint: bytes, loss: str) -> bool:
        """Record a loss that any entry observed; return whether it is new."""
        losses = self._losses.setdefault(fingerprint, {})
        if loss in losses:
            return False
        losses[loss] = self._clock.now_ms()
        while len(self._losses) > MAX_FINGERPRINTS:
            del self._losses[next(iter(self._losses))]
        return True

    def count(self, fingerprint: bytes) -> int:
        """Return the number of unexpired losses."""
        losses = self._losses.get(fingerprint)
        if not losses:
            return 0
        oldest_ms = self._clock.now_ms() - LOSS_TTL_MS
        return sum(1 for at_ms in losses.values() if at_ms >= oldest_ms)

    def refuses(self, fingerprint: bytes) -> bool:
        """Whether the request must not run any more."""
        return self.count(fingerprint) >= MAX_LOST_TARGETS

    def local_losses_after(self, number: int) -> list[LocalLoss]:
        """Return the next losses for a peer that has them up to `number`."""
        oldest_ms = self._clock.now_ms() - ADVERTISE_MS
        while self._local and self._local[0].at_ms < oldest_ms:
            self._local.popleft()
        later = (loss for loss in self._local if loss.number > number)
        return list(itertools.islice(later, MAX_LOSSES_PER_UPDATE))


def request_fingerprint(req: CallerRequest, team: str) -> bytes:
    """Return a fingerprint that is the same for repeats of a request."""
    digest = xxhash.xxh3_128(req.body)
    digest.update(f'\n{team}\n{req.method} {req.target}'.encode())
    return digest.digest()
