"""Blocks requests that have crashed several targets."""

import collections
from dataclasses import dataclass

import xxhash

from wigeonmill.clock import Clock
from wigeonmill.gateway.request import CallerRequest

# A request is refused after this many targets were lost while running it. The
# platform allows three.
MAX_LOST_TARGETS = 3
# Time for which the loss of a target counts against a request.
LOSS_TTL_MS = 120_000.0
MAX_FINGERPRINTS = 4096
# Losses are passed on to peers as long as they count, the latest ones if there
# are more, and only so many per update: when many targets end at once, their
# losses would fill a slow link.
MAX_KNOWN_LOSSES = 4096
MAX_LOSSES_PER_UPDATE = 32


@dataclass(frozen=True, slots=True)
class KnownLoss:
    """A loss that this entry observed (`local`) or was told of.

    The numbers increase.
    """

    number: int
    at_ms: float
    fingerprint: bytes
    loss: str
    local: bool


class CrashGuard:
    """Tracks the losses of targets by the request that ran on them.

    A loss is identified by the caller's request id and the target, so that it
    counts once, although entries report it to each other.
    """

    __slots__ = ('_clock', '_losses', '_log', 'last_number')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._losses: dict[bytes, dict[str, float]] = {}
        self._log: collections.deque[KnownLoss] = collections.deque(
            maxlen=MAX_KNOWN_LOSSES
        )
        self.last_number = 0

    def record(self, fingerprint: bytes, loss: str) -> bool:
        """Record a loss that this entry observed; return whether it is new."""
        return self._record(fingerprint, loss, local=True)

    def record_remote(self, fingerprint: bytes, loss: str) -> bool:
        """Record a loss that any entry observed; return whether it is new."""
        return self._record(fingerprint, loss, local=False)

    def _record(self, fingerprint: bytes, loss: str, local: bool) -> bool:
        losses = self._losses.setdefault(fingerprint, {})
        if loss in losses:
            return False
        now_ms = self._clock.now_ms()
        losses[loss] = now_ms
        while len(self._losses) > MAX_FINGERPRINTS:
            del self._losses[next(iter(self._losses))]
        self.last_number += 1
        self._log.append(
            KnownLoss(self.last_number, now_ms, fingerprint, loss, local)
        )
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

    def losses_after(self, number: int, all_to: int = 0) -> list[KnownLoss]:
        """Return the next losses for a peer that has them up to `number`.

        Up to number `all_to` they include those that others observed, which
        a process that has just started was not told of by them.
        """
        oldest_ms = self._clock.now_ms() - LOSS_TTL_MS
        while self._log and self._log[0].at_ms < oldest_ms:
            self._log.popleft()
        later: list[KnownLoss] = []
        for loss in reversed(self._log):
            if loss.number <= number:
                break
            if loss.local or loss.number <= all_to:
                later.append(loss)
        later.reverse()
        return later[:MAX_LOSSES_PER_UPDATE]


def request_fingerprint(req: CallerRequest, team: str) -> bytes:
    """Return a fingerprint that is the same for repeats of a request."""
    digest = xxhash.xxh3_128(req.body)
    digest.update(f'\n{team}\n{req.method} {req.target}'.encode())
    return digest.digest()
