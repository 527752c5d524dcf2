"""Blocks requests that have crashed several targets."""

from dataclasses import dataclass
from dataclasses import field
from dataclasses import replace
from math import inf

import xxhash

from wigeonmill.clock import Clock
from wigeonmill.gateway.loss_events import count_events
from wigeonmill.gateway.loss_events import LossTimes
from wigeonmill.gateway.loss_events import LossWitness
from wigeonmill.gateway.loss_log import LOSS_TTL_MS
from wigeonmill.gateway.loss_log import LossLog
from wigeonmill.gateway.loss_log import SERVED
from wigeonmill.gateway.request import CallerRequest

# A request is refused after this many targets were lost while running it. The
# platform allows three.
MAX_LOST_TARGETS = 3
MAX_FINGERPRINTS = 4096


@dataclass(slots=True)
class _Suspect:
    """A request under which targets were lost, by their lifetimes.

    Losses before the last run that was served don't count and have no time.
    """

    losses: dict[str, LossTimes] = field(default_factory=dict)
    served_ms: float = -inf


class CrashGuard:
    """Tracks the losses of targets by the request that ran on them.

    Equal requests have one fingerprint. The loss of a target is identified by
    its lifetime, so that it counts once, however many of them it was running,
    and although entries report it to each other.
    """

    __slots__ = ('_clock', '_suspects', '_log', '_witness')

    def __init__(
        self, clock: Clock, log: LossLog, witness: LossWitness
    ) -> None:
        self._clock = clock
        self._suspects: dict[bytes, _Suspect] = {}
        self._log = log
        self._witness = witness

    def record(
        self, fingerprint: bytes, lifetime: str, ran_ms: float = 0.0
    ) -> bool:
        """Record a loss that this entry observed; return whether it is new.

        The request had run there for `ran_ms`.
        """
        now_ms = self._clock.now_ms()
        return self._record(fingerprint, lifetime, now_ms, ran_ms, local=True)

    def record_remote(
        self,
        fingerprint: bytes,
        lifetime: str,
        age_ms: float = 0.0,
        ran_ms: float = 0.0,
    ) -> bool:
        """Record what any entry observed `age_ms` ago, likewise."""
        at_ms = self._clock.now_ms() - age_ms
        return self._record(fingerprint, lifetime, at_ms, ran_ms, local=False)

    def _record(
        self,
        fingerprint: bytes,
        lifetime: str,
        at_ms: float,
        ran_ms: float,
        local: bool,
    ) -> bool:
        suspect = self._suspect(fingerprint)
        times = self._witness.times(lifetime, at_ms, ran_ms)
        known = suspect.losses.get(lifetime)
        if known is not None:
            if times.began_ms < known.began_ms:
                known = replace(known, began_ms=times.began_ms)
                suspect.losses[lifetime] = known
            return False
        if not local and at_ms <= suspect.served_ms:
            times = replace(times, at_ms=-inf)
        suspect.losses[lifetime] = times
        self._log.add_request(fingerprint, lifetime, local, at_ms, ran_ms)
        return True

    def _suspect(self, fingerprint: bytes) -> _Suspect:
        suspect = self._suspects.setdefault(fingerprint, _Suspect())
        while len(self._suspects) > MAX_FINGERPRINTS:
            del self._suspects[next(iter(self._suspects))]
        return suspect

    def record_served(self, fingerprint: bytes) -> None:
        """Record that a target has answered a request and lives on.

        The losses so far had another reason.
        """
        if fingerprint in self._suspects:
            self._clear(fingerprint, self._clock.now_ms(), local=True)

    def record_served_remote(self, fingerprint: bytes, age_ms: float) -> None:
        """Record that a target of another entry answered `age_ms` ago.

        The losses before it may still have to be told.
        """
        at_ms = self._clock.now_ms() - age_ms
        self._clear(fingerprint, at_ms, local=False)

    def _clear(self, fingerprint: bytes, at_ms: float, local: bool) -> None:
        suspect = self._suspect(fingerprint)
        if at_ms <= suspect.served_ms:
            return
        suspect.served_ms = at_ms
        cleared = [
            lifetime
            for lifetime, loss in suspect.losses.items()
            if -inf < loss.at_ms <= at_ms
        ]
        for lifetime in cleared:
            loss = suspect.losses[lifetime]
            suspect.losses[lifetime] = replace(loss, at_ms=-inf)
        if cleared:
            self._log.add_request(fingerprint, SERVED, local, at_ms)

    def _counting(self, fingerprint: bytes) -> list[LossTimes]:
        """Return the unexpired losses since the request was served."""
        suspect = self._suspects.get(fingerprint)
        if suspect is None:
            return []
        oldest_ms = self._clock.now_ms() - LOSS_TTL_MS
        return [
            loss for loss in suspect.losses.values() if loss.at_ms >= oldest_ms
        ]

    def count(self, fingerprint: bytes) -> int:
        """Return the number of targets whose loss counts."""
        return len(self._counting(fingerprint))

    def refuses(self, fingerprint: bytes) -> bool:
        """Whether the request must not run any more.

        A single event, such as the loss of a failure domain, is no reason,
        however many targets it took.
        """
        losses = self._counting(fingerprint)
        return len(losses) >= MAX_LOST_TARGETS and count_events(losses) > 1


def request_fingerprint(req: CallerRequest, team: str) -> bytes:
    """Return a fingerprint that is the same for repeats of a request."""
    digest = xxhash.xxh3_128(req.body)
    digest.update(f'\n{team}\n{req.method} {req.target}'.encode())
    return digest.digest()
