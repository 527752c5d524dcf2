"""Long prompts of many entries at engines that they fill; no network."""

import random

import pytest

from tests.gateway.samples import ENGINES as SERVICE
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import make_generation
from tests.gateway.test_picker import make_demand
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.memory_guard import displaced_cost
from wigeonmill.gateway.memory_guard import MAX_DISPLACED_COST
from wigeonmill.gateway.memory_guard import MemoryUse
from wigeonmill.gateway.memory_guard import UnseenWork
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.target_load import LATE_PRIORITY
from wigeonmill.gateway.target_load import PEER_LOAD_TTL_MS
from wigeonmill.gateway.target_load import PeerLoad
from wigeonmill.gateway.targets import Directory
from wigeonmill.routing.circuit import CircuitBreakers

CAPACITY = 94_000
LONG = make_generation(tokens=9_000, own=2_400)
SHORT = make_generation(tokens=1_300, own=500)
# An update reaches each of 27 peers about once a second.
UPDATE_MS = 1_000.0
RUN_MS = 4_000.0


class Entry:
    """The picker of one entry and what it knows of the engines."""

    def __init__(
        self, clock, count=2, memory_bounds=True, seed=7, entry_count=1
    ):
        rng = random.Random(seed)
        self.clock = clock
        self.directory = Directory(clock)
        for number in range(count):
            self.directory.apply(make_engine_record(f'e{number}'))
        self.unseen = UnseenWork(clock, lambda: entry_count)
        self.picker = Picker(
            clock,
            rng,
            self.directory,
            CircuitBreakers(clock, rng),
            lambda _domain: False,
            unseen_work=self.unseen if memory_bounds else None,
        )

    def load(self, target_id='e0'):
        return self.directory.get(target_id).load

    def pick(self, generation=LONG, **changes):
        values = {'cache_tokens': CAPACITY, 'needs_room': True}
        demand = make_demand(generation=generation, **(values | changes))
        return self.picker.pick(demand).unwrap()

    def tell(self, name, runs, target_id='e0', priority=2):
        tokens = [0] * priority + [runs * LONG.tokens]
        told = PeerLoad(runs, tokens, [], self.clock.now_ms())
        self.load(target_id).set_peer_load(name, told)

    def fill(self, target_id='e0', priority=6):
        for _number in range(CAPACITY // LONG.tokens):
            self.load(target_id).open(LONG.tokens, 0, priority)


def lacks_memory(load):
    return load.expected_shortfall(LONG.tokens, CAPACITY) > 0


@pytest.fixture
def entry():
    return Entry(ManualClock(1_000_000.0))


def test_an_urgent_request_goes_where_it_preempts_nobody(entry):
    """Load: urgent prompts while less urgent ones fill their home."""
    home = entry.pick(priority=0).target
    entry.fill(home.id)
    pick = entry.pick(priority=0)
    assert pick.target is not home
    assert not pick.waits


def test_an_urgent_request_waits_if_it_would_preempt_anywhere(entry):
    for target in entry.directory.all():
        entry.fill(target.id)
    assert entry.pick(priority=0).waits


def test_a_short_request_preempts_no_long_run_for_its_home(entry):
    home = entry.pick(SHORT, priority=0).target
    entry.fill(home.id)
    # Only a little is missing, but a whole run is preempted for it.
    load = home.load
    load.open(CAPACITY - sum(load.tokens) - 100, 0, 6)
    assert entry.pick(SHORT, priority=0).target is not home


def test_picks_are_as_before_where_it_is_off():
    entry = Entry(ManualClock(1_000_000.0), memory_bounds=False)
    for target in entry.directory.all():
        entry.fill(target.id)
    assert not entry.pick(priority=0, needs_room=False).waits


def test_an_empty_engine_takes_the_largest_prompt(entry):
    largest = make_generation(tokens=CAPACITY - 1_600, own=1_000)
    assert not entry.pick(largest).waits


def test_what_peers_may_have_sent_since_their_update_counts(entry):
    """Failure: an update is late, and its peer goes on sending."""
    fitting = CAPACITY // LONG.tokens - 1
    entry.tell('peer', fitting)
    load = entry.load()
    assert not lacks_memory(load)
    entry.clock.advance(UPDATE_MS)
    assert lacks_memory(load)


@pytest.mark.parametrize('failure', ['lost', 'frozen'])
def test_an_entry_that_is_not_heard_from_counts_until_it_expires(
    entry, failure
):
    """Failure: updates are lost, or their sender is frozen."""
    entry.tell('peer', CAPACITY // LONG.tokens)
    load = entry.load()
    entry.clock.advance(PEER_LOAD_TTL_MS)
    assert lacks_memory(load)
    entry.clock.advance(1.0)
    assert not lacks_memory(load)
    if failure == 'frozen':
        # It thaws with its requests still open.
        entry.tell('peer', CAPACITY // LONG.tokens)
        assert lacks_memory(load)


def test_an_entry_that_restarts_gives_its_memory_back_with_an_update(entry):
    """Failure: a peer restarts; the engines drop its requests."""
    entry.tell('peer', CAPACITY // LONG.tokens)
    entry.load().clear_peer_load('peer')
    assert not lacks_memory(entry.load())


def test_a_restarted_entry_learns_of_memory_from_the_engines(entry):
    """Failure: this entry restarts, and no peer has told it anything."""
    load = entry.load()
    load.open(LONG.tokens, LONG.tokens, 2)
    load.record_reported(14)
    assert lacks_memory(load)


def test_requests_that_only_the_engine_knows_of_are_counted_once():
    use = MemoryUse(60_000, 6, 9, 0.0, 0.0, 10_000.0)
    assert 90_000 <= use.expected_tokens <= 91_000
    # The new runs of peers are among those that the engine reports.
    unseen = MemoryUse(60_000, 6, 9, 0.5, 1.0, 10_000.0)
    assert unseen.expected_tokens == use.expected_tokens


def test_runs_that_are_late_already_lose_no_credit(entry):
    home = entry.pick(priority=0).target
    entry.fill(home.id, priority=LATE_PRIORITY)
    lacking = home.load.expected_shortfall(LONG.tokens, CAPACITY)
    assert home.load.displaced_cost(lacking, LONG.tokens, 0) == 0.0


def test_displaced_runs_count_whole_and_within_bounds():
    assert displaced_cost(-1, 12_000, 50_000, 12_000.0) == 0.0
    assert displaced_cost(100, 12_000, 0, 12_000.0) == 0.0
    one = displaced_cost(100, 12_000, 50_000, 12_000.0)
    assert one == displaced_cost(12_000, 12_000, 50_000, 12_000.0)
    assert displaced_cost(100, 1, 50_000, 12_000.0) == MAX_DISPLACED_COST


ENTRIES = 27
ENGINES = 13
PER_S = 60
STEP_MS = 20.0
UPDATES_MS = 200.0
PEERS_TOLD = 6


def fill_engines(memory_bounds, seed):
    """Return the fill of the fullest engine in 6 s, and the runs sent.

    A long prompt is sent if its entry sees room for it, by entries that tell
    six others of their open requests five times a second.
    """
    clock = ManualClock(1_000_000.0)
    rng = random.Random(seed)
    entries = [
        Entry(clock, ENGINES, memory_bounds, rng.random(), ENTRIES)
        for _number in range(ENTRIES)
    ]
    open_runs, sent, fullest = [], 0, 0
    for step in range(int(6_000 / STEP_MS)):
        clock.advance(STEP_MS)
        for run in [r for r in open_runs if r[0] <= clock.now_ms()]:
            open_runs.remove(run)
            run[1].record_run_end(run[2])
            run[1].close(run[2])
        if rng.random() < PER_S * STEP_MS / 1e3 % 1:
            arrivals = int(PER_S * STEP_MS / 1e3) + 1
        else:
            arrivals = int(PER_S * STEP_MS / 1e3)
        for _number in range(arrivals):
            entry = rng.choice(entries)
            subject = make_generation(str(rng.random()), 9_000, 2_400)
            pick = entry.pick(subject, entry_count=ENTRIES, priority=2)
            if pick.waits:
                continue
            load = pick.target.load
            run = load.open(LONG.tokens, LONG.tokens, 2)
            open_runs.append((clock.now_ms() + RUN_MS, load, run))
            entry.unseen.record_sent(SERVICE, LONG.tokens)
            sent += 1
        if step % int(UPDATES_MS / STEP_MS) == 0:
            for entry in entries:
                for peer in rng.sample(entries, PEERS_TOLD):
                    if peer is not entry:
                        tell_all(entry, peer)
        for target in entries[0].directory.all():
            used = sum(sum(e.load(target.id).tokens) for e in entries)
            fullest = max(fullest, used)
    return fullest / CAPACITY, sent


def tell_all(entry, peer):
    for target in entry.directory.all():
        load = target.load
        if load.own_runs():
            told = PeerLoad(
                load.own_runs(),
                list(load.tokens),
                list(load.waiting_tokens),
                entry.clock.now_ms(),
            )
            peer.load(target.id).set_peer_load(entry, told)
        else:
            peer.load(target.id).clear_peer_load(entry)


@pytest.mark.parametrize('seed', range(3))
def test_all_entries_together_stay_below_the_memory_of_each_engine(seed):
    """Load: twice as many long prompts as the engines have memory for."""
    fill, sent = fill_engines(True, seed)
    assert fill <= 1.0
    # Nine tenths of what fits in 6 s; no room is left to spare.
    assert sent >= 0.9 * ENGINES * (CAPACITY // LONG.tokens)
