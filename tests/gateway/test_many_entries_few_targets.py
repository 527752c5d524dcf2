"""Many entries choose among few targets by load data almost a second old.

If every entry chose the target with the lowest known load, all would choose
the same one until the next update, and requests would wait there while other
targets are idle.
"""

import heapq
import random

from tests.gateway.samples import LEDGER
from tests.gateway.samples import make_record
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.picker import Demand
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.target_load import PeerLoad
from wigeonmill.gateway.targets import Directory
from wigeonmill.routing.circuit import CircuitBreakers

ENTRIES = 27
TARGETS = 3
SLOTS = 6
RUN_MS = 90.0
# Five sixths of the capacity of the targets.
REQUESTS_PER_S = 165
LOAD_UPDATE_MS = 870.0
DURATION_S = 20
OBJECTIVE_MS = 400.0
# Share of the requests that must be answered within the objective.
MIN_SHARE_IN_TIME = 0.95


class SimulatedTarget:
    """Runs up to `SLOTS` requests at once and queues the others."""

    def __init__(self):
        self.free_ms = [0.0] * SLOTS

    def serve(self, now_ms):
        """Return when a request that arrives now is answered."""
        starts_ms = max(now_ms, heapq.heappop(self.free_ms))
        heapq.heappush(self.free_ms, starts_ms + RUN_MS)
        return starts_ms + RUN_MS


class Entry:
    """One entry with its own open requests and the load of its peers."""

    def __init__(self, clock, name):
        self.name = name
        self.clock = clock
        rng = random.Random(name)
        self.directory = Directory(clock)
        for n in range(TARGETS):
            record = make_record(f't{n}', address=f'10.0.0.{n}:1', slots=SLOTS)
            self.directory.apply(record)
        self.picker = Picker(
            clock,
            rng,
            self.directory,
            CircuitBreakers(clock, rng),
            lambda domain: False,
        )

    def pick(self):
        demand = Demand(
            service=LEDGER,
            cold_per_s=0.0,
            entry_count=ENTRIES,
            remaining_ms=4_000.0,
            objective_ms=OBJECTIVE_MS,
            objective_remaining_ms=OBJECTIVE_MS,
        )
        return self.picker.pick(demand).unwrap().target

    def receive_load(self, other):
        for target in other.directory.all():
            runs = target.load.own_runs()
            load = PeerLoad(runs, (), (), self.clock.now_ms())
            self.directory.get(target.id).load.set_peer_load(other.name, load)


def test_requests_spread_over_the_targets():
    rng = random.Random(3)
    clock = ManualClock()
    entries = [Entry(clock, f'e{n}') for n in range(ENTRIES)]
    simulated = {f't{n}': SimulatedTarget() for n in range(TARGETS)}
    completions = []
    took_ms = []
    next_update = {
        (a, b): rng.uniform(0, LOAD_UPDATE_MS)
        for a in range(ENTRIES)
        for b in range(ENTRIES)
        if a != b
    }
    for number in range(DURATION_S * REQUESTS_PER_S):
        clock.advance(rng.expovariate(REQUESTS_PER_S / 1_000.0))
        now_ms = clock.now_ms()
        while completions and completions[0][0] <= now_ms:
            _end_ms, _number, load, request = heapq.heappop(completions)
            load.record_whole_answer(request, SLOTS)
            load.close(request)
        for (a, b), due_ms in next_update.items():
            if due_ms <= now_ms:
                entries[a].receive_load(entries[b])
                next_update[a, b] = now_ms + LOAD_UPDATE_MS
        target = rng.choice(entries).pick()
        request = target.load.open(0, 0, 0)
        end_ms = simulated[target.id].serve(now_ms)
        took_ms.append(end_ms - now_ms)
        heapq.heappush(completions, (end_ms, number, target.load, request))
    in_time = sum(1 for ms in took_ms if ms <= OBJECTIVE_MS)
    assert in_time / len(took_ms) >= MIN_SHARE_IN_TIME
