"""Counts the events that took targets; one may take several.

A machine or a whole failure domain that is lost takes all its targets, and
with them every run there, whatever the requests were. A request that crashes
targets ends one after the other.
"""

from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass
from math import inf

from wigeonmill.clock import Clock

# Losses of one event may be noticed this far apart, one after the other.
SAME_MOMENT_MS = 4.0
MAX_MOMENT_MS = 100.0
# The same within a failure domain that serves nothing in between.
DOMAIN_LOSS_MS = 250.0


@dataclass(frozen=True, slots=True)
class LossTimes:
    """When and where a target was lost.

    `began_ms` is when the run that was lost with it was sent, and
    `domain_served_ms` when a run was last served in its failure domain, whose
    name is empty if not known.
    """

    at_ms: float
    began_ms: float
    domain: str = ''
    domain_served_ms: float = -inf

    def is_of_domain_loss(self, first: 'LossTimes') -> bool:
        """Whether the loss of the whole domain, seen by `first`, was it."""
        return (
            bool(self.domain)
            and self.began_ms < first.at_ms
            and self.at_ms - first.at_ms <= DOMAIN_LOSS_MS
            and self.domain_served_ms <= first.at_ms
        )


def count_events(losses: Iterable[LossTimes]) -> int:
    """Return how many separate events account for the losses.

    A target that was sent the run after an event was still there.
    """
    count = 0
    first_ms = last_ms = -inf
    first_of_domain: dict[str, LossTimes] = {}
    for loss in sorted(losses, key=lambda loss: loss.at_ms):
        first = first_of_domain.get(loss.domain)
        if first is not None and loss.is_of_domain_loss(first):
            continue
        first_of_domain[loss.domain] = loss
        if (
            loss.began_ms >= first_ms
            or loss.at_ms - last_ms >= SAME_MOMENT_MS
            or loss.at_ms - first_ms >= MAX_MOMENT_MS
        ):
            count += 1
            first_ms = loss.at_ms
        last_ms = loss.at_ms
    return count


class LossWitness:
    """Tells when and where targets were lost, and what went on there."""

    __slots__ = ('_clock', '_domain_of', '_served_ms')

    def __init__(
        self, clock: Clock, domain_of: Callable[[str], str] = lambda _: ''
    ) -> None:
        """Create the witness of an entry.

        `domain_of` returns the failure domain of a lifetime, which is empty
        if the target is not known.
        """
        self._clock = clock
        self._domain_of = domain_of
        self._served_ms: dict[str, float] = {}

    def record_served(self, domain: str) -> None:
        """Record that a run was served in a failure domain."""
        self._served_ms[domain] = self._clock.now_ms()

    def times(self, lifetime: str, at_ms: float, ran_ms: float) -> LossTimes:
        """Return the times of a loss at `at_ms`, of a run of `ran_ms`."""
        domain = self._domain_of(lifetime)
        served_ms = self._served_ms.get(domain, -inf)
        return LossTimes(at_ms, at_ms - ran_ms, domain, served_ms)
