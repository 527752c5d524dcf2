"""A team whose load bursts, and the check that the others are served."""

import asyncio

from tests.platform.soak.callers import Callers

BURST_TEAM = 'one'
BURST_CLIENTS = 24
BURST_RANGE_S = (1.0, 3.0)
PAUSE_RANGE_S = (2.0, 5.0)
# Each team is served at least this much as often as all are.
MIN_SHARE = 0.25
# With fewer attempts, chance decides.
MIN_COUNT = 50


class Bursts:
    """Callers of one team that come all at once now and then."""

    def __init__(self, rng, environment):
        self._rng = rng
        self._environment = environment
        self.attempts = []

    async def run(self, until):
        loop = asyncio.get_running_loop()
        key = self._environment.teams[BURST_TEAM]
        while loop.time() < until:
            await asyncio.sleep(self._rng.uniform(*PAUSE_RANGE_S))
            callers = Callers(
                self._rng,
                self._environment.entries,
                {BURST_TEAM: key},
                self._environment.journal,
            )
            calling = asyncio.ensure_future(callers.run(BURST_CLIENTS))
            await asyncio.sleep(self._rng.uniform(*BURST_RANGE_S))
            callers.stopped = True
            await calling
            self.attempts += callers.attempts


def find_underserved(attempts):
    """Yield each team that was served too rarely, and details."""
    judged = [a for a in attempts if not a.disconnected and a.team]
    if not judged:
        return
    overall = sum(a.status == 200 for a in judged) / len(judged)
    for team in sorted({a.team for a in judged}):
        own = [a for a in judged if a.team == team]
        share = sum(a.status == 200 for a in own) / len(own)
        if len(own) >= MIN_COUNT and share < MIN_SHARE * overall:
            yield team, f'{share:.2f} of {len(own)}, all: {overall:.2f}'
