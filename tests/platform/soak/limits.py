"""Targets that name a limit, and the check that all entries keep it."""

import asyncio
import bisect
import math
import time

from tests.platform.soak.callers import Outcome
from tests.platform.soak.closings import stood_still
from tests.platform.soak.faults import Faults
from tests.platform.soak.journal import Limit

LIMITS_PER_S = (0.0, 0.25, 0.5, 1.0, 2.0, 3.9, 8.0)
LIMIT_RANGE_S = (4.5, 9.0)
PAUSE_RANGE_S = (1.0, 3.0)
# An entry is told once it has passed on an answer with the limit this long
# ago. The limit binds later than the contact time after it was first named,
# and an entry that had a fault within that time is excused.
TOLD_S = 0.5
CONTACT_S = 3.0
WINDOW_S = 4.0
# In any window a target may get this many times its limit and some more.
FACTOR = 1.5
SLACK = 5


class LimitFaults(Faults):
    """Targets that name a limit, drawn beside the other faults."""

    def __init__(self, rng, environment, record_fault):
        super().__init__(rng, environment, record_fault)
        self._kinds = [self.limit_target]

    async def limit_target(self):
        target = self._pick_target()
        limit = Limit(
            target.id, self.rng.choice(LIMITS_PER_S), time.monotonic()
        )
        time_s = self.rng.uniform(*LIMIT_RANGE_S)
        pause_s = self.rng.uniform(*PAUSE_RANGE_S)
        if target.limit is not None:
            return
        self.environment.journal.limits.append(limit)
        target.limit = limit
        await asyncio.sleep(time_s)
        target.limit = None
        limit.ended_at = time.monotonic()
        await asyncio.sleep(pause_s)


def find_exceeded(attempts, journal):
    """Yield a limit that was exceeded, and details."""
    attempts = list(attempts)
    entries = {attempt.id: attempt.entry for attempt in attempts}
    for limit in journal.limits:
        told_at = _find_told(attempts, limit)
        binds_at = limit.named_at + CONTACT_S
        times = sorted(
            arrival.at
            for arrival in journal.arrivals
            if arrival.target == limit.target
            and binds_at <= arrival.at < limit.ended_at
            and _is_bound(entries.get(arrival.request_id), arrival.at, told_at)
            and not journal.had_fault(
                entries[arrival.request_id],
                arrival.at - CONTACT_S,
                arrival.at,
            )
        )
        allowed = FACTOR * limit.per_s * WINDOW_S + SLACK
        for index, start in enumerate(times):
            end = start + WINDOW_S
            count = bisect.bisect_left(times, end) - index
            if count > allowed and not (
                journal.had_fault(limit.target, start, end)
                or stood_still(journal, limit.target, start, end)
            ):
                yield (
                    limit,
                    f'{count} came to {limit.target} in {WINDOW_S:.0f} s from '
                    f'{start:.2f} with a limit of {limit.per_s} a second',
                )
                break


def _find_told(attempts, limit):
    """Return when each entry had first passed on an answer with the limit."""
    told_at = {}
    for attempt in attempts:
        target = attempt.headers.get('server-seal', '').rpartition('.')[0]
        if (
            attempt.outcome is Outcome.COMPLETE
            and 'server-limit' in attempt.headers
            and target == limit.target
            and limit.named_at <= attempt.ended_at
        ):
            first = told_at.get(attempt.entry, math.inf)
            told_at[attempt.entry] = min(first, attempt.ended_at)
    return told_at


def _is_bound(entry, at, told_at):
    return at >= told_at.get(entry, math.inf) + TOLD_S
