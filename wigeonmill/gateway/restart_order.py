"""Lets callers that can be answered in time go first after a restart.

After a restart of all entries the requests that were open return together
with new ones, and most of them are late already. Those that a target short of
room can still answer in time go first, and the late ones right after them.
"""

from wigeonmill.clock import Clock
from wigeonmill.gateway.admission import has_returned


def used_before_ms(deadline_ms: float, timeout_ms: float) -> float:
    """Return the time that a caller has used up in earlier tries, at least.

    Callers wait for as long as the route allows, `timeout_ms`. One that
    returns states what is left to it.
    """
    if not has_returned(deadline_ms, timeout_ms):
        return 0.0
    return timeout_ms - deadline_ms


class RestartOrder:
    """Whether earlier tries of callers count, for a time after the start."""

    __slots__ = ('_clock', '_until_ms')

    def __init__(
        self, clock: Clock, duration_ms: float, uptime_ms: float
    ) -> None:
        """Create the order of a process that has run for `uptime_ms`."""
        self._clock = clock
        self._until_ms = clock.boot_ms() + duration_ms - uptime_ms

    @property
    def applies(self) -> bool:
        """Whether the process has started within the duration."""
        return self._clock.boot_ms() < self._until_ms
