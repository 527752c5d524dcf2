"""Blocks requests that have crashed several targets."""

from math import inf

import xxhash

from wigeonmill.clock import Clock
from wigeonmill.gateway.loss_log import LOSS_TTL_MS
from wigeonmill.gateway.loss_log import LossLog
from wigeonmill.gateway.request import CallerRequest

# A request is refused after this many targets were lost while running it. The
# platform allows three.
MAX_LOST_TARGETS = 3
MAX_FINGERPRINTS = 4096


class CrashGuard:
    """Tracks the losses of targets by the request that ran on them.

    A loss is identified by the caller's request id and the target, so that it
    counts once, although entries report it to each other.
    """

    __slots__ = ('_clock', '_losses', '_log')

    def __init__(self, clock: Clock, log: LossLog) -> None:
        self._clock = clock
        self._losses: dict[bytes, dict[str, float]] = {}
        self._log = log

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
        losses[loss] = self._clock.now_ms()
        while len(self._losses) > MAX_FINGERPRINTS:
            del self._losses[next(iter(self._losses))]
        self._log.add_request(fingerprint, loss, local)
        return True

    def record_served(self, fingerprint: bytes) -> None:
        """Record that a target has answered a request and lives on.

        The losses so far had another reason. Other entries, which are told of
        the losses only, go on counting them.
        """
        known = self._losses.get(fingerprint)
        if known:
            # Peers may tell them again.
            self._losses[fingerprint] = dict.fromkeys(known, -inf)

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


def request_fingerprint(req: CallerRequest, team: str) -> bytes:
    """Return a fingerprint that is the same for repeats of a request."""
    digest = xxhash.xxh3_128(req.body)
    digest.update(f'\n{team}\n{req.method} {req.target}'.encode())
    return digest.digest()
