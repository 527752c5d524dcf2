"""A numbered log of what entries tell each other about lost targets."""

import collections
from dataclasses import dataclass
from dataclasses import field
from math import inf

from wigeonmill.clock import Clock

# Time for which the loss of a target counts.
LOSS_TTL_MS = 120_000.0
# Losses are passed on to peers as long as they count, the latest ones if there
# are more, and only so many per update: when many targets end at once, their
# losses would fill a slow link.
MAX_KNOWN_LOSSES = 4096
MAX_LOSSES_PER_UPDATE = 32
# In place of the lost target, if the run was served.
SERVED = ''


@dataclass(frozen=True, slots=True)
class RunOutcome:
    """How a run on some prompt parts ended: its target was lost or served it.

    The parts are identified by their keys. `lifetime` identifies the target
    that was lost and its start; it is empty if the run was served. `ran_ms` is
    the time for which the run had lasted when its target was lost.
    """

    keys: tuple[bytes, ...]
    lifetime: str = ''
    ran_ms: float = 0.0


@dataclass(frozen=True, slots=True)
class KnownLoss:
    """A loss that this entry observed (`local`) or was told of.

    The numbers increase. A loss concerns a whole request by its `fingerprint`,
    or else the parts of a prompt by `outcome`. Of a request, `loss` is the
    lifetime of the target, or `SERVED`, and `ran_ms` the time of the lost run.
    """

    number: int
    at_ms: float
    fingerprint: bytes
    loss: str
    local: bool
    outcome: RunOutcome | None = field(default=None)
    ran_ms: float = 0.0


class LossLog:
    """The latest losses, to be passed on to other entries."""

    __slots__ = ('_clock', '_losses', 'last_number', 'last_local_ms')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._losses: collections.deque[KnownLoss] = collections.deque(
            maxlen=MAX_KNOWN_LOSSES
        )
        self.last_number = 0
        # When the last target was lost that this entry itself observed.
        self.last_local_ms = -inf

    def add_request(
        self,
        fingerprint: bytes,
        loss: str,
        local: bool,
        at_ms: float,
        ran_ms: float = 0.0,
    ) -> None:
        """Add how a run of a request ended at `at_ms`, after `ran_ms`."""
        self.last_number += 1
        if local and loss != SERVED:
            self.last_local_ms = self._clock.now_ms()
        self._losses.append(
            KnownLoss(
                self.last_number,
                at_ms,
                fingerprint,
                loss,
                local,
                ran_ms=ran_ms,
            )
        )

    def add_parts(
        self, outcome: RunOutcome, at_ms: float, local: bool
    ) -> None:
        """Add how a run on some prompt parts ended at `at_ms`."""
        self.last_number += 1
        if local and outcome.lifetime:
            self.last_local_ms = self._clock.now_ms()
        self._losses.append(
            KnownLoss(self.last_number, at_ms, b'', '', local, outcome)
        )

    def after(self, number: int, all_to: int = 0) -> list[KnownLoss]:
        """Return the next losses for a peer that has them up to `number`.

        Up to number `all_to` they include those that others observed, which
        a process that has just started was not told of by them.
        """
        oldest_ms = self._clock.now_ms() - LOSS_TTL_MS
        while self._losses and self._losses[0].at_ms < oldest_ms:
            self._losses.popleft()
        later: list[KnownLoss] = []
        for loss in reversed(self._losses):
            if loss.number <= number:
                break
            if loss.local or loss.number <= all_to:
                later.append(loss)
        later.reverse()
        return later[:MAX_LOSSES_PER_UPDATE]
