"""This entry's share of rate limits that all entries have in common."""

from collections.abc import Callable
from dataclasses import dataclass

from wigeonmill.clock import Clock
from wigeonmill.gateway.sliding_window import SlidingWindow

# Share of a common limit that all entries together use. The rest covers
# entries that have started but are not known to the others yet.
USED_SHARE = 0.8
COLD_WINDOW_MS = 1_000.0
# Time for which an entry may use its slot for a cold target. Unused slots
# expire, so that entries whose requests arrive together do not send together.
COLD_SLOT_MS = 500.0
# A target that names a lower limit gets this many requests per second, because
# its answers are the only sign that the limit has ended.
MIN_LIMIT_PER_S = 0.25
# Requests that all entries together may send a limited target at once, besides
# those that the limit allows in a second. Not more entries than that send to
# it. The second figure is the most that one entry sends at once.
LIMIT_BURST = 3.0
MAX_TOKENS = 2.0
# The next request of a limited target is kept for one that was refused and is
# more urgent, for this many times the time after which it may return, and no
# longer than this.
RESERVED_FACTOR = 1.6
MAX_RESERVED_MS = 2_000.0
# An entry that is not selected sends too if nobody has confirmed the limit for
# this time. It could not learn of its end otherwise.
MAX_UNCONFIRMED_MS = 60_000.0
# Covers rounding errors of the time at which a bucket has a whole token.
TOKEN_TOLERANCE = 1e-6


@dataclass(frozen=True, slots=True)
class RetryLimits:
    """The limit of the retries that arrive at a service.

    A retry is any arrival of a request beyond its first. Within `window_ms`
    there may be `ratio` retries per request for the service, plus `slack`.
    """

    ratio: float = 0.2
    slack: float = 50.0
    window_ms: float = 10_000.0


@dataclass(frozen=True, slots=True)
class Fleet:
    """The entries that have limits in common.

    `count` returns how many may be alive, and `is_selected` whether this entry
    is one of a number of them that are selected for a key.
    """

    count: Callable[[], int] = lambda: 1
    is_selected: Callable[[str, int], bool] = lambda _key, _count: True


class RetryAllowance:
    """The retry budget of this entry for one service.

    The entry's share of the slack increases over the first window of the
    process, so that a restarted process does not use it twice.
    """

    __slots__ = ('_clock', '_limits', '_requests', '_retries', '_started_ms')

    def __init__(self, clock: Clock, limits: RetryLimits) -> None:
        self._clock = clock
        self._limits = limits
        self._requests = SlidingWindow(clock, limits.window_ms)
        self._retries = SlidingWindow(clock, limits.window_ms)
        self._started_ms = clock.now_ms()

    def record_request(self) -> None:
        """Count the first arrival of a request."""
        self._requests.add()

    def available(self, entry_count: float) -> float:
        """Return the available retries of one of `entry_count` entries."""
        return self._allowed(entry_count) - self._retries.count()

    def half_is_left(self, entry_count: float) -> bool:
        """Whether at least half of the budget is available."""
        return self.available(entry_count) >= self._allowed(entry_count) / 2.0

    def _allowed(self, entry_count: float) -> float:
        age_ms = self._clock.now_ms() - self._started_ms
        ramp_up = min(1.0, age_ms / self._limits.window_ms)
        slack = self._limits.slack * ramp_up / max(1.0, entry_count)
        share = self._limits.ratio * self._requests.count() + slack
        return share * USED_SHARE

    def try_acquire(self, entry_count: float) -> bool:
        """Use one retry and return True, if one is available."""
        if self.available(entry_count) < 1.0:
            return False
        self._retries.add()
        return True


class ColdAllowance:
    """The rate limit of this entry for requests to one cold target.

    If there are more entries than requests per second, each has one slot per
    interval. The slots are spread evenly over the interval by the positions
    of the entries, counted from the time at which the target becomes warm,
    which is about the same for all entries.
    """

    __slots__ = ('_clock', '_window', '_last_sent_ms')

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._window = SlidingWindow(clock, COLD_WINDOW_MS)
        self._last_sent_ms = float('-inf')

    def wait_ms(
        self,
        cold_per_s: float,
        entry_count: int,
        position: float,
        cold_until_ms: float,
    ) -> float:
        """Return the time until a request may be sent (0: now).

        `position` is that of this entry among `entry_count`, from 0 to 1.
        """
        share = cold_per_s * USED_SHARE / max(1, entry_count)
        if share >= 1.0:
            return self._window.delay_ms(int(share))
        interval_ms = COLD_WINDOW_MS / max(share, 1e-6)
        now_ms = self._clock.now_ms()
        since_slot_ms = (
            now_ms - cold_until_ms - position * interval_ms
        ) % interval_ms
        unused = now_ms - self._last_sent_ms >= interval_ms / 2
        if since_slot_ms < COLD_SLOT_MS and unused:
            return 0.0
        return interval_ms - since_slot_ms

    def record(self) -> None:
        """Record a request that is being sent now."""
        self._last_sent_ms = self._clock.now_ms()
        self._window.add()


class LimitAllowance:
    """This entry's share of the rate that a target accepts from all entries.

    The entries don't have to agree on a time. Each fills a bucket of its own
    at an equal part of the rate, and a target with a low limit gets requests
    from a few selected entries only. With n of them and a limit of r requests
    per second, up to n full buckets and t seconds' worth of requests arrive in
    any t seconds, in all `LIMIT_BURST + r + USED_SHARE * r * t` at most.
    """

    __slots__ = (
        '_clock',
        '_fleet',
        '_key',
        '_tokens',
        '_filled_ms',
        '_reserved_priority',
        '_reserved_until_ms',
    )

    def __init__(self, clock: Clock, fleet: Fleet, key: str) -> None:
        self._clock = clock
        self._fleet = fleet
        self._key = key
        self._tokens = 0.0
        self._filled_ms = clock.now_ms()
        self._reserved_priority = 0
        self._reserved_until_ms = float('-inf')

    def reset(self) -> None:
        """Start with an empty bucket."""
        self._tokens = 0.0
        self._filled_ms = self._clock.now_ms()

    def wait_ms(
        self, per_s: float, unconfirmed_ms: float = 0.0, priority: int = 0
    ) -> float:
        """Return the time until a request may be sent (0: now).

        `per_s` is the rate that the target accepts, which was stated last
        `unconfirmed_ms` ago. If this entry may not send at all, the result is
        the mean time between the requests of those that may. Of the requests
        that have to wait, those with the lowest `priority` go first.
        """
        entry_count = self._fleet.count()
        per_s = max(MIN_LIMIT_PER_S, per_s)
        burst = LIMIT_BURST + per_s
        senders = max(1, min(entry_count, int(burst)))
        if (
            senders < entry_count
            and unconfirmed_ms < MAX_UNCONFIRMED_MS
            and not self._fleet.is_selected(self._key, senders)
        ):
            return 1_000.0 / (per_s * USED_SHARE)
        share_per_ms = per_s * USED_SHARE / senders / 1_000.0
        now_ms = self._clock.now_ms()
        filled = self._tokens + (now_ms - self._filled_ms) * share_per_ms
        self._tokens = min(burst / senders, MAX_TOKENS, filled)
        self._filled_ms = now_ms
        missing = 1.0 - self._tokens
        wait_ms = missing / share_per_ms if missing > TOKEN_TOLERANCE else 0.0
        if priority > self._reserved_priority:
            wait_ms = max(wait_ms, self._reserved_until_ms - now_ms)
        return wait_ms

    def reserve(self, priority: int, wait_ms: float) -> None:
        """Keep the next request for one that is refused until `wait_ms`."""
        now_ms = self._clock.now_ms()
        if (
            now_ms < self._reserved_until_ms
            and self._reserved_priority <= priority
        ):
            return
        self._reserved_priority = priority
        self._reserved_until_ms = now_ms + min(
            MAX_RESERVED_MS, RESERVED_FACTOR * wait_ms
        )

    def record(self) -> None:
        """Record a request that is being sent now."""
        self._tokens -= 1.0
        self._reserved_until_ms = float('-inf')
