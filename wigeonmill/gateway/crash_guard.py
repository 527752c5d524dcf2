"""Keeps a request that crashes its targets from crashing more of them."""

import collections
from dataclasses import dataclass
import itertools

import xxhash

from wigeonmill.clock import Clock
from wigeonmill.gateway.request import CallerRequest

# Targets that may have been lost under a request before it is refused. The
# platform allows three.
MAX_LOST_TARGETS = 3
# How long losses under a request count.
LOSS_TTL_MS = 120_000.0
MAX_FINGERPRINTS = 4096
# Losses seen by this entry are told to others for so long, and so many at a
# time: when many targets end at once they would fill a slow link.
TOLD_FOR_MS = 10_000.0
MAX_TOLD_AT_ONCE = 32


@dataclass(frozen=True, slots=True)
class OwnLoss:
    """A loss that this entry saw; numbers rise in order."""

    number: int
    at_ms: float
    fingerprint: bytes
    loss: str


class CrashGuard:
    """Losses of targets by the request that ran on them.

    A loss is named by the request attempt and the target, so that entries
    that tell each other of it count it once.
    """

    __slots__ = ('_clock', '_losses', '_own', '_last_number')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._losses: dict[bytes, dict[str, float]] = {}
        self._own: collections.deque[OwnLoss] = collections.deque()
        self._last_number = 0

    def record(self, print_: bytes, loss: str) -> bool:
        """Count a loss that this entry saw; returns whether it was new."""
        if not self.hear(print_, loss):
            return False
        self._last_number += 1
        now_ms = self._clock.now_ms()
        self._own.append(OwnLoss(self._last_number, now_ms, print_, loss))
        return True

    def hear(self, print_: bytes, loss: str) -> bool:
        """Count a loss that another entry saw."""
        losses = self._losses.setdefault(print_, {})
        if loss in losses:
            return False
        losses[loss] = self._clock.now_ms()
        while len(self._losses) > MAX_FINGERPRINTS:
            del self._losses[next(iter(self._losses))]
        return True

    def count(self, print_: bytes) -> int:
        """Return the losses that count now."""
        losses = self._losses.get(print_)
        if not losses:
            return 0
        oldest_ms = self._clock.now_ms() - LOSS_TTL_MS
        return sum(1 for at_ms in losses.values() if at_ms >= oldest_ms)

    def refuses(self, print_: bytes) -> bool:
        """Whether the request may not run any more."""
        return self.count(print_) >= MAX_LOST_TARGETS

    def own_after(self, number: int) -> list[OwnLoss]:
        """Return the next losses to tell one that knows up to `number`."""
        oldest_ms = self._clock.now_ms() - TOLD_FOR_MS
        while self._own and self._own[0].at_ms < oldest_ms:
            self._own.popleft()
        later = (loss for loss in self._own if loss.number > number)
        return list(itertools.islice(later, MAX_TOLD_AT_ONCE))


def request_fingerprint(req: CallerRequest, team: str) -> bytes:
    """Return what stands for a request however often it is sent."""
    digest = xxhash.xxh3_128(req.body)
    digest.update(f'\n{team}\n{req.method} {req.target}'.encode())
    return digest.digest()
