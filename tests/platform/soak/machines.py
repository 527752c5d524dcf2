"""A machine that targets of the soak share, whose pace changes."""

import asyncio
import random
import time

# Work takes so much longer for this share of the time, in spells.
SLOW_PACE = 2.5
SLOW_SHARE = 0.15
SLOW_RANGE_S = (0.1, 0.5)
# The share of heads whose figures are malformed or absurd.
SPOILED_SHARE = 0.05
SPOILED_PACES = ('', '-1', 'x', '0', '9' * 30)


class SharedMachine:
    """Tells how long work takes now, as a multiple of the usual."""

    def __init__(self, seed):
        self._rng = random.Random(seed)
        self._pace = 1.0
        self._until = 0.0

    def pace(self):
        """Return the pace now."""
        while self._until <= time.monotonic():
            start = max(self._until, time.monotonic() - SLOW_RANGE_S[1])
            time_s = self._rng.uniform(*SLOW_RANGE_S)
            slow = self._pace == 1.0
            self._pace = SLOW_PACE if slow else 1.0
            usual_share = (1.0 - SLOW_SHARE) / SLOW_SHARE
            self._until = start + (time_s if slow else time_s * usual_share)
        return self._pace

    async def work(self, usual_s):
        """Do what usually takes `usual_s`."""
        await asyncio.sleep(usual_s * self.pace())

    def stated(self):
        """Return the fourth figure of a head, now and then a malformed one."""
        if self._rng.random() < SPOILED_SHARE:
            return self._rng.choice(SPOILED_PACES)
        return str(round(self.pace() * 100))
