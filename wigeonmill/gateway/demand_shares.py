"""This entry's part of limits that all entries have in common, by demand.

Each entry tells the others a claim per service, its demand relative to the
mean, and promises not to use a larger one while that is valid. An entry's
part is its claim over the sum of all. As nobody counts another one with less
than what it uses, the parts of all entries add up to 1 at most, however old
or incomplete their knowledge is: a claim that is not known, or no longer
valid, counts as the largest.
"""

import collections
from collections.abc import Callable
from collections.abc import Iterable
from dataclasses import dataclass

from wigeonmill.clock import Clock
from wigeonmill.gateway.sliding_window import SlidingWindow

# The claim of an entry with the mean demand, and the bounds of claims.
MEAN_CLAIM = 16
MIN_CLAIM = 4
MAX_CLAIM = 64
# Part of a limit that is divided equally, so that an entry that has just
# started, or knows of no other, can use some of it.
EQUAL_PART = 0.25
# How long a told claim is valid. In large fleets a peer is asked less often
# than that, and a part of each limit is not used.
VALID_MS = 4_000.0
# Time for which a computed part is in force.
TICK_MS = 500.0
DEMAND_WINDOW_MS = 4_000.0
# Added to each demand in requests, so that claims of entries with few of them
# don't follow chance.
SMOOTHING = 4.0


@dataclass(frozen=True, slots=True)
class Claim:
    """What an entry claims of the limits of a service.

    `requests` is its demand in the last `DEMAND_WINDOW_MS`.
    """

    service: str
    amount: int
    requests: int


class _Heard:
    """The last claim of another entry, valid until a time."""

    __slots__ = ('amount', 'requests', 'until_ms')

    def __init__(self, amount: int, requests: int, until_ms: float) -> None:
        self.amount = amount
        self.requests = requests
        self.until_ms = until_ms


class _Service:
    """The claims on the limits of one service, and this entry's parts."""

    __slots__ = ('demand', 'heard', 'told_until_ms', 'parts', 'used')

    def __init__(self, clock: Clock) -> None:
        self.demand = SlidingWindow(clock, DEMAND_WINDOW_MS)
        # By entry.
        self.heard: dict[str, _Heard] = {}
        # Until when each told claim is valid at most, by its amount.
        self.told_until_ms: dict[int, float] = {}
        # When each part came into force.
        self.parts: collections.deque[tuple[float, float]] = (
            collections.deque()
        )
        # The claim that the last of them came from.
        self.used = MIN_CLAIM


class DemandShares:
    """The claims of all entries as far as this one knows them.

    Times are of the clock that includes time spent suspended.
    """

    __slots__ = (
        '_clock',
        '_entry_count',
        '_is_counted',
        'enabled',
        '_starting_until_ms',
        '_services',
    )

    def __init__(
        self,
        clock: Clock,
        entry_count: Callable[[], int],
        is_counted: Callable[[str], bool],
        enabled: bool = False,
    ) -> None:
        """Create the claims of an entry that has just started.

        `is_counted` tells whether `entry_count` includes an entry.
        """
        self._clock = clock
        self._entry_count = entry_count
        self._is_counted = is_counted
        self.enabled = enabled
        # The process before this one may have told a smaller claim.
        self._starting_until_ms = clock.boot_ms() + VALID_MS
        self._services: dict[str, _Service] = {}

    def record_request(self, service: str) -> None:
        """Count a request for a service as demand."""
        if self.enabled:
            self._service(service).demand.add()

    def claims_to_tell(self) -> list[Claim]:
        """Return this entry's claims, which bind it while they are valid.

        They may be told only in an answer to another entry's update.
        """
        until_ms = self._clock.boot_ms() + VALID_MS
        claims = []
        for name, service in self._services.items():
            # The part in force must not exceed what others count.
            amount = max(self._wanted(service), service.used)
            service.told_until_ms[amount] = until_ms
            claims.append(Claim(name, amount, service.demand.count()))
        return claims

    def apply(
        self, sender: str, claims: Iterable[Claim], asked_ms: float
    ) -> None:
        """Replace the claims of an entry that was asked at `asked_ms`.

        It may have answered at any time since then.
        """
        if not self.enabled:
            return
        for claim in claims:
            amount = min(MAX_CLAIM, max(MIN_CLAIM, claim.amount))
            requests = max(0, claim.requests)
            self._service(claim.service).heard[sender] = _Heard(
                amount, requests, asked_ms + VALID_MS
            )

    def observe(self) -> None:
        """Compute the parts that are due; called many times per tick."""
        for service in self._services.values():
            self._update(service)

    def part(self, name: str, window_ms: float) -> float:
        """Return this entry's part of a limit over windows of a length.

        It is the smallest one of the last window, so that limits hold also
        in windows in which parts move from one entry to another.
        """
        if not self.enabled:
            return 1.0 / max(1, self._entry_count())
        service = self._service(name)
        self._update(service)
        oldest_ms = self._clock.boot_ms() - window_ms
        parts = service.parts
        # The first one has to cover the begin of the window.
        while len(parts) > 1 and parts[1][0] <= oldest_ms:
            parts.popleft()
        if parts[0][0] > oldest_ms:
            return min(self._floor(), min(part for _at, part in parts))
        return min(part for _at, part in parts)

    def _update(self, service: _Service) -> None:
        now_ms = self._clock.boot_ms()
        parts = service.parts
        if parts:
            due_ms = parts[-1][0] + TICK_MS
            if now_ms < due_ms:
                return
            if now_ms >= due_ms + TICK_MS:
                # The process was suspended. What it knew has expired.
                parts.append((due_ms, self._floor()))
        parts.append((now_ms, self._compute(service, now_ms)))

    def _compute(self, service: _Service, now_ms: float) -> float:
        """Return the part that holds for the next two ticks at most."""
        by_ms = now_ms + 2 * TICK_MS
        used = service.used = self._used(service, now_ms)
        for sender in [
            sender
            for sender, heard in service.heard.items()
            if heard.until_ms < by_ms
        ]:
            del service.heard[sender]
        known = sum(heard.amount for heard in service.heard.values())
        counted = sum(
            1 for sender in service.heard if self._is_counted(sender)
        )
        unknown = max(0, self._entry_count() - 1 - counted)
        by_demand = used / (used + known + MAX_CLAIM * unknown)
        return self._floor() + (1.0 - EQUAL_PART) * by_demand

    def _used(self, service: _Service, now_ms: float) -> int:
        """Return the smallest claim that another entry may still count."""
        if now_ms < self._starting_until_ms:
            return MIN_CLAIM
        service.told_until_ms = {
            amount: until_ms
            for amount, until_ms in service.told_until_ms.items()
            if until_ms >= now_ms
        }
        return min(self._wanted(service), *service.told_until_ms, MAX_CLAIM)

    def _wanted(self, service: _Service) -> int:
        """Return the claim that the demand of this entry calls for."""
        own = service.demand.count() + SMOOTHING
        demands = [heard.requests for heard in service.heard.values()]
        total = own + sum(demands) + SMOOTHING * len(demands)
        mean = total / (1 + len(demands))
        return round(min(MAX_CLAIM, max(MIN_CLAIM, MEAN_CLAIM * own / mean)))

    def _floor(self) -> float:
        return EQUAL_PART / max(1, self._entry_count())

    def _service(self, name: str) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(self._clock)
        return service
