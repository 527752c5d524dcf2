"""How much of a service one entry may send to an unproven version.

Under load an entry decides for each request alone; what all entries together
send stays within the share, because each keeps to it with counts of its own.
"""

from collections.abc import Callable
from collections.abc import Mapping
import math

# Part of the allowed share that entries use at most, for counts that differ
# from those of the service.
SAFE_PART = 0.8
# Part of the allowed share that is used while nothing is known against the
# version. The rest is for a version that turns bad once it gets more.
CANARY_PART = 0.5
# Part of the allowed extra requests that all entries together use.
SLACK_PART = 0.4
# Part of them that is spread over the canary's time.
LATER_PART = 0.5
# Part of them that a deferred move uses, as the requests that follow vary in
# number.
REST_PART = 0.8
# A route keeps at least this part of its requests at the old versions, which
# are what the new one is compared with.
MAX_ROUTE_PART = 0.5


def entry_slack(
    total: float,
    entry_count: int,
    is_selected: Callable[[int], bool],
) -> int:
    """Return how many extra requests this entry may send.

    `total` is what the new version may get beyond its share. With too many
    entries for one each, `is_selected` chooses that many of them.
    """
    usable = math.floor(SLACK_PART * total)
    each = usable // max(1, entry_count)
    if each >= 1:
        return each
    return 1 if usable >= 1 and is_selected(usable) else 0


def fits(
    new: int,
    requests: int,
    elapsed_ms: float,
    rest_ms: float,
    share: float,
    extra: float,
) -> bool:
    """Whether a bad version may get all requests of the last `rest_ms`.

    `new` of `requests` were sent to it in `elapsed_ms`.
    """
    rest = requests / max(1.0, elapsed_ms) * max(0.0, rest_ms)
    return new + rest <= share * (requests + rest) + REST_PART * extra


class ShareLimit:
    """Counts what this entry has sent since the order.

    Counts are requests that left this entry: retries, second attempts and
    resumed streams are among them.
    """

    __slots__ = ('asked', '_share', '_slack', '_rounding', '_all', '_new')

    def __init__(
        self, share: float, slack: int, rounding: float = 0.0
    ) -> None:
        """Create the counts of an order.

        `rounding`, a random number below 1, makes up for the fractions of a
        request that each of many entries with few requests has left. The sum
        of all entries is right on average, and off by a few at most.
        """
        # Requests that looked for a target, those that found none included.
        self.asked = 0
        self._rounding = rounding
        self._share = share
        self._slack = slack
        # By route.
        self._all: dict[str, int] = {}
        self._new: dict[str, int] = {}

    @property
    def arrivals(self) -> int:
        """The requests that this entry has sent to the service."""
        return sum(self._all.values())

    @property
    def new_arrivals(self) -> int:
        """Those of them that it has sent to the new version."""
        return sum(self._new.values())

    def record(self, route: str, is_new: bool) -> None:
        """Count a request that is being sent."""
        self._all[route] = self._all.get(route, 0) + 1
        if is_new:
            self._new[route] = self._new.get(route, 0) + 1

    def retract(self, route: str, is_new: bool) -> None:
        """Take back a request that did not reach the service.

        At the new version it still counts, as it may be tried again.
        """
        if not is_new:
            self._all[route] = max(0, self._all.get(route, 0) - 1)

    def allows(self) -> bool:
        """Whether one more may go to the new version at all."""
        return self._room(SAFE_PART) >= 1.0

    def wants_sample(
        self, route: str, elapsed: float, known: Mapping[str, int]
    ) -> bool:
        """Whether a request of `route` should try the new version.

        `elapsed` is the part of the canary's time that is over. A part of the
        extra requests is kept for it, to find what turns bad later. `known`
        has the answers of the new version to all entries, by route.

        Routes with the fewest tries come first, so that a rare one gets as
        many as it can. The others leave one try for it.
        """
        mine = self._new.get(route, 0)
        others = self._all.get(route, 0) + 1
        if mine and mine + 1 > MAX_ROUTE_PART * others:
            return False
        tries = {
            name: max(self._new.get(name, 0), known.get(name, 0))
            for name in {route, *self._all, *known}
        }
        needed = 1.0 if tries[route] <= min(tries.values()) else 2.0
        later = LATER_PART * self._slack * max(0.0, 1.0 - elapsed)
        kept = math.floor(later + self._rounding)
        return self._room(CANARY_PART) - kept >= needed

    def has_room_for_all(
        self, elapsed_ms: float, rest_ms: float, extra: float
    ) -> bool:
        """Whether the new version may get all requests of the last time.

        They are expected at the rate so far at which requests looked for a
        target, as there may have been none of the old versions. They must
        stay within the share and this entry's part of the extra requests,
        even if the version turns out to be bad.
        """
        return fits(
            self.new_arrivals,
            max(self.asked, self.arrivals),
            elapsed_ms,
            rest_ms,
            self._share,
            extra,
        )

    def _room(self, part: float) -> float:
        # The request to be sent counts as one that reaches the service, but
        # only once it has left.
        allowed = part * self._share * self.arrivals + self._slack
        allowed += self._rounding
        return allowed - self.new_arrivals
