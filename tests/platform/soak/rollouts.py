"""Orders of software versions, good and bad, and the check of exposure."""

import asyncio
from dataclasses import dataclass
from dataclasses import field
import json
import math
import random
import time

from result import Err

from tests.platform.soak.environment import DOMAINS
from tests.platform.soak.faults import Faults
from tests.platform.soak.states import PLAIN_SERVICE
from tests.platform.soak.states import STREAM_SERVICE

DURATION_S = 5.0
# The time after the end of an order in which its status still comes.
LATE_S = 6.0
POLL_S = 0.1
FAULTS = (None, None, 'fails', 'slow', 'later')
SPOILED_SHARE = 0.6
SLOW_S = 0.4
LATER_S = 1.5
SHARE, SLACK, ROLLBACK_S = 0.1, 50, 5.0
BAD_ANSWERS = 50


@dataclass
class Rollout:
    """An order, and the answers that its version spoiled."""

    service: str
    version: str
    kind: str | None
    ordered_at: float = 0.0
    bad_at: list[float] = field(default_factory=list)
    # When the operator mended it, whatever became of the order.
    mended_at: float = math.inf
    state: str = ''
    took_s: float = 0.0
    targets: set[str] = field(default_factory=set)

    async def spoil(self, handler):
        """Spoil an answer of the version; return whether it is complete."""
        now = time.monotonic()
        if self.kind is None or now >= self.mended_at:
            return False
        if random.random() > SPOILED_SHARE:
            return False
        if self.kind == 'later' and now < self.ordered_at + LATER_S:
            return False
        if self.kind == 'slow':
            await asyncio.sleep(SLOW_S)
            self.bad_at.append(time.monotonic())
            return False
        self.bad_at.append(now)
        handler.set_status(500)
        return True


class RolloutFaults(Faults):
    """An operator that rolls out versions, beside the other faults."""

    def __init__(self, rng, environment, record_fault):
        super().__init__(rng, environment, record_fault)
        self._kinds = [self.roll_out]

    async def _pause(self):
        await asyncio.gather(*self._running)

    async def roll_out(self):
        environment = self.environment
        service = self.rng.choice((PLAIN_SERVICE, STREAM_SERVICE))
        rollouts = environment.journal.rollouts
        version = f'r{len(rollouts) + 1}'
        rollout = Rollout(service, version, self.rng.choice(FAULTS))
        for domain in DOMAINS:
            target = await environment.add_target(service, domain, rollout)
            rollout.targets.add(target.id)
        await asyncio.sleep(POLL_S)
        rollout.ordered_at = time.monotonic()
        rollouts.append(rollout)
        order = {'service': service, 'to': version, 'durationS': DURATION_S}
        await environment.put(f'op/rollout/{service}', order)
        until = rollout.ordered_at + DURATION_S + LATE_S
        while time.monotonic() < until and not rollout.state:
            await asyncio.sleep(POLL_S)
            rollout.state = await self._read_state(rollout)
        # With few requests, a bad version may be taken for a good one.
        rollout.mended_at = time.monotonic()
        rollout.took_s = time.monotonic() - rollout.ordered_at
        if rollout.state == 'done':
            environment.rolled_out[service] = rollout
        for target in list(environment.targets):
            old = target.rollout is not rollout
            if target.service == service and old is (rollout.state == 'done'):
                await environment.remove_target(target)

    async def _read_state(self, rollout):
        key = f'status/rollout/{rollout.service}'
        found = await self.environment.key_value.get(key)
        if isinstance(found, Err) or found.ok_value is None:
            return ''
        status = json.loads(found.ok_value.value)
        if status['to'] != rollout.version or status['state'] == 'running':
            return ''
        return status['state']


def find_exposed(attempts, journal):
    """Yield what a bad version got beyond the rule, and details."""
    entries = {attempt.id: attempt.entry for attempt in attempts}
    services = journal.services
    for rollout in journal.rollouts:
        if rollout.kind is None:
            continue
        end = rollout.ordered_at + DURATION_S
        within = [
            a for a in journal.arrivals if rollout.ordered_at <= a.at < end
        ]
        every = sum(services[a.target] == rollout.service for a in within)
        new = sum(a.target in rollout.targets for a in within)
        if new > SHARE * every + SLACK:
            yield rollout.version, f'{new} of {every} came to it'
        if len(rollout.bad_at) < BAD_ANSWERS:
            continue
        last = sorted(rollout.bad_at)[BAD_ANSWERS - 1] + ROLLBACK_S
        late = [
            a
            for a in journal.arrivals
            if a.target in rollout.targets
            and last < a.at < rollout.mended_at
            and not journal.had_fault(
                entries.get(a.request_id), a.at - ROLLBACK_S, a.at
            )
        ]
        if late:
            yield rollout.version, f'{len(late)} came after the roll-back'
