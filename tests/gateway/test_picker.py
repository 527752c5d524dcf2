"""Tests of the target selection; each is named for its load pattern."""

import random

from tests.gateway.samples import ENGINES
from tests.gateway.samples import LEDGER
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import make_generation
from tests.gateway.samples import make_record
from tests.gateway.samples import MODEL
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.domain_costs import DomainCosts
from wigeonmill.gateway.picker import Demand
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.target_load import PeerLoad
from wigeonmill.gateway.target_load import REPORTED_LOAD_TTL_MS
from wigeonmill.gateway.target_load import SILENCE_MS
from wigeonmill.gateway.targets import Directory
from wigeonmill.gateway.targets import Loading
from wigeonmill.routing.circuit import CircuitBreakers

OBJECTIVE_MS = 800.0


class Fleet:
    """A set of targets and a picker that chooses among them."""

    def __init__(self, records, domain_costs=DomainCosts()):
        self.clock = ManualClock()
        rng = random.Random(7)
        self.directory = Directory(self.clock)
        for record in records:
            self.directory.apply(record)
        self.closed = set()
        self.picker = Picker(
            self.clock,
            rng,
            self.directory,
            CircuitBreakers(self.clock, rng),
            self.closed.__contains__,
            {'d1': 'north', 'd2': 'south'},
            domain_costs=domain_costs,
        )

    def target(self, id_):
        return self.directory.get(id_)

    def pick(self, **changes):
        return self.picker.pick(make_demand(**changes)).unwrap()


def make_demand(**changes):
    values = {
        'service': ENGINES,
        'cold_per_s': 20.0,
        'entry_count': 5,
        'remaining_ms': 15_000.0,
        'objective_ms': OBJECTIVE_MS,
        'objective_remaining_ms': OBJECTIVE_MS,
        'generation': make_generation(),
    }
    return Demand(**(values | changes))


def engines(count=4, **changes):
    return [make_engine_record(f'e{n}', **changes) for n in range(count)]


def test_hot_prompts_go_to_the_home_until_it_is_overloaded():
    fleet = Fleet(engines())
    home = fleet.pick().target
    assert fleet.pick().target is home
    for _turn in range(40):
        home.load.open(10_000, 10_000, 0)
    assert fleet.pick().target is not home


def test_a_burst_is_spread_so_that_no_request_is_expected_late():
    fleet = Fleet(engines())
    for _turn in range(60):
        pick = fleet.pick(generation=make_generation('hot'))
        assert pick.expected_ms < OBJECTIVE_MS
        pick.target.load.open(10_000, pick.prefill_tokens, 0)
    runs = [target.load.own_runs() for target in fleet.directory.all()]
    assert min(runs) > 0


def test_load_of_other_entries_counts_like_own_load():
    fleet = Fleet(engines(2))
    busy = fleet.pick().target
    load = PeerLoad(50, [500_000], [400_000], fleet.clock.now_ms())
    busy.load.set_peer_load('other', load)
    assert fleet.pick().target is not busy


def test_less_urgent_load_is_ignored_for_urgent_requests():
    fleet = Fleet(engines(2))
    home = fleet.pick().target
    home.load.open(500_000, 400_000, 7)
    assert fleet.pick(priority=0).target is home
    assert fleet.pick(priority=8).target is not home


def test_silent_targets_get_no_more_requests():
    fleet = Fleet(engines(4))
    silent = fleet.pick().target
    silent.load.open(1_000, 1_000, 0)
    fleet.clock.advance(SILENCE_MS + 50)
    picks = {
        fleet.pick(generation=make_generation(f's{n}')).target.id
        for n in range(40)
    }
    assert silent.id not in picks


def test_failing_targets_are_avoided_until_their_failures_expire():
    records = [make_record(f't{n}') for n in range(3)]
    fleet = Fleet(records)
    failing = fleet.target('t0')
    for _turn in range(20):
        failing.load.record_outcome(failed=True)
    demand = {
        'service': LEDGER,
        'cold_per_s': 0.0,
        'generation': None,
        'objective_ms': 400.0,
        'objective_remaining_ms': 400.0,
    }
    assert all(fleet.pick(**demand).target is not failing for _n in range(50))
    fleet.clock.advance(60_000)
    assert any(fleet.pick(**demand).target is failing for _n in range(50))


def test_cold_targets_get_no_more_than_their_rate():
    fleet = Fleet(engines(2, cold_remaining_ms=3_000.0))
    sent = 0
    for _turn in range(30):
        outcome = fleet.picker.pick(make_demand())
        if outcome.is_err():
            assert outcome.unwrap_err().reason is Reason.TARGETS_COLD
            break
        outcome.unwrap().target.cold_allowance.record()
        sent += 1
    assert 0 < sent <= 2 * 20 / 5


def test_a_failure_domain_out_of_service_gets_no_requests():
    records = [
        make_engine_record('e0', failure_domain='d1'),
        make_engine_record('e1', failure_domain='d2'),
    ]
    fleet = Fleet(records)
    fleet.closed.add('d1')
    picks = {
        fleet.pick(generation=make_generation(f's{n}')).target.id
        for n in range(20)
    }
    assert picks == {'e1'}
    fleet.closed.add('d2')
    outcome = fleet.picker.pick(make_demand())
    assert outcome.unwrap_err().reason is Reason.NO_TARGET


def test_engines_loading_weights_are_avoided_while_others_serve():
    fleet = Fleet(engines(2))
    home = fleet.pick().target
    home.loading = Loading(MODEL, 2, fleet.clock.now_ms() + 1_000)
    assert fleet.pick().target is not home
    # The leader that ordered the load may fail before it reports the end.
    home.weights[MODEL] = 2
    assert fleet.pick().target is home


def test_new_weights_are_preferred_unless_the_answer_would_be_late():
    fleet = Fleet(
        [make_engine_record('old'), make_engine_record('new', version=2)]
    )
    versions = {'desired_version': 2, 'penalize_old_weights': True}
    picks = {
        fleet.pick(generation=make_generation(f's{n}'), **versions).target.id
        for n in range(10)
    }
    assert picks == {'new'}
    fleet.target('new').load.open(300_000, 200_000, 0)
    assert fleet.pick(**versions).target.id == 'old'


def test_a_target_that_just_refused_is_skipped():
    records = [make_record('t0'), make_record('t1')]
    fleet = Fleet(records)
    fleet.target('t0').refusing_until_ms = fleet.clock.now_ms() + 100
    demand = {'service': LEDGER, 'cold_per_s': 0.0, 'generation': None}
    picks = {fleet.pick(**demand).target.id for _n in range(10)}
    assert picks == {'t1'}


def test_short_urgent_prompts_do_not_wait_behind_long_ones_for_memory():
    """Urgent requests are admitted before those that wait for memory."""
    fleet = Fleet(engines(2))
    for target in fleet.directory.all():
        for _run in range(30):
            target.load.open(12_000, 0, 1)
    memory = {'cache_tokens': 130_000}
    long_prompt = fleet.pick(priority=1, **memory)
    assert long_prompt.expected_ms > OBJECTIVE_MS
    short_prompt = fleet.pick(
        priority=0, generation=make_generation(tokens=1_500, own=500), **memory
    )
    assert short_prompt.expected_ms < OBJECTIVE_MS / 2


def test_a_slow_period_does_not_persist_in_the_estimate():
    """The time of a delayed request does not show the engine's speed."""
    fleet = Fleet(engines(1))
    load = fleet.target('e0').load
    for _turn in range(200):
        request = load.open(10_000, 1_000, 8, delayed=True)
        fleet.clock.advance(2_500)
        load.record_first_token(request)
        load.close(request)
    assert fleet.pick().expected_ms < OBJECTIVE_MS / 2
    for _turn in range(200):
        slow = load.open(10_000, 1_000, 1)
        fleet.clock.advance(2_500)
        load.record_first_token(slow)
        load.close(slow)
    assert fleet.pick().expected_ms < OBJECTIVE_MS


def test_requests_stay_within_the_regions_of_their_route():
    fleet = Fleet(
        [
            make_engine_record('e0', failure_domain='d1'),
            make_engine_record('e1', failure_domain='d2'),
        ]
    )
    picks = {
        fleet.pick(
            generation=make_generation(f's{n}'), regions=('south',)
        ).target.id
        for n in range(20)
    }
    assert picks == {'e1'}
    outcome = fleet.picker.pick(make_demand(regions=('west',)))
    assert outcome.unwrap_err().reason is Reason.NO_TARGET


def test_many_entries_still_find_the_only_idle_target():
    fleet = Fleet(engines(count=25))
    idle = fleet.target('e7')
    for target in fleet.directory.all():
        for _turn in range(0 if target is idle else 60):
            target.load.open(10_000, 10_000, 0)
    picked = {fleet.pick(entry_count=27).target.id for _turn in range(20)}
    assert picked == {'e7'}


def test_many_entries_compare_a_sample_that_includes_the_home():
    fleet = Fleet(engines(count=25))
    home = fleet.pick(entry_count=5).target
    for other in fleet.directory.all():
        if other is not home:
            other.load.open(10_000, 10_000, 0)
    assert {fleet.pick(entry_count=27).target for _turn in range(20)} == {home}


def test_many_entries_do_not_all_choose_the_same_plain_target():
    fleet = Fleet([make_record(f't{n}', address=f'a{n}') for n in range(25)])
    for target in fleet.directory.all():
        for _turn in range(0 if target.id == 't0' else target.slots):
            target.load.open(0, 0, 0)
    picks = {
        fleet.pick(service=LEDGER, entry_count=27, generation=None).target.id
        for _turn in range(40)
    }
    assert len(picks) > 10


def old_and_new_engines():
    return [make_engine_record('e1'), make_engine_record('e2', version=2)]


def test_old_weights_get_no_work_once_their_time_is_over():
    fleet = Fleet(old_and_new_engines())
    for remaining_ms in (0.0, -5_000.0):
        picked = fleet.pick(
            desired_version=2, old_weights_remaining_ms={1: remaining_ms}.get
        )
        assert picked.target.id == 'e2'


def test_old_weights_get_no_work_that_would_begin_after_their_time():
    fleet = Fleet(engines())
    demand = make_demand(
        desired_version=2, old_weights_remaining_ms={1: 2_000.0}.get
    )
    assert fleet.picker.pick(demand).is_ok()
    for id_ in ('e0', 'e1', 'e2', 'e3'):
        fleet.target(id_).load.open(9_000, 200_000, 0)
    refusal = fleet.picker.pick(demand).unwrap_err()
    assert refusal.reason is Reason.OLD_WEIGHTS


def test_each_version_of_old_weights_has_its_own_time():
    records = [make_engine_record(f'e{n}', version=n) for n in (1, 2)]
    fleet = Fleet(records)
    picked = fleet.pick(
        desired_version=3,
        old_weights_remaining_ms={1: 0.0, 2: 5_000.0}.get,
    )
    assert picked.target.id == 'e2'


def test_a_model_without_new_weights_in_time_is_refused_as_not_run():
    fleet = Fleet(engines())
    demand = make_demand(
        desired_version=2, old_weights_remaining_ms={1: 0.0}.get
    )
    refusal = fleet.picker.pick(demand).unwrap_err()
    assert refusal.reason is Reason.OLD_WEIGHTS
    assert refusal.status == 503
    assert refusal.retry_after_ms >= 1_000.0


def test_plain_services_do_not_depend_on_weights():
    fleet = Fleet([make_record('t1')])
    picked = fleet.pick(
        service=LEDGER, generation=None, old_weights_remaining_ms={1: 0.0}.get
    )
    assert picked.target.id == 't1'


def small_engines(count=3):
    """Engines with few slots, which are full long before their memory."""
    return [make_engine_record(f'e{n}', slots=16) for n in range(count)]


def fill_slots(target, runs, tokens=2_500):
    """Start runs that have their first token already."""
    for _run in range(runs):
        request = target.load.open(tokens, tokens, 0)
        target.load.record_first_token(request)


def test_an_engine_without_free_slots_yields_to_one_with_some():
    """Long runs take all slots of the home while its memory is free."""
    fleet = Fleet(small_engines())
    home = fleet.pick().target
    fill_slots(home, 20)
    assert fleet.pick(cache_tokens=100_000).target is not home


def test_a_burst_over_full_engines_is_expected_to_be_late():
    """Twice the slots of all engines are taken, and requests keep coming."""
    fleet = Fleet(small_engines())
    for target in fleet.directory.all():
        fill_slots(target, 16)
        for _request in range(16):
            target.load.open(2_500, 2_500, 1)
    pick = fleet.pick(priority=1)
    assert pick.expected_ms > OBJECTIVE_MS
    assert pick.waits


def test_an_urgent_request_does_not_wait_behind_less_urgent_ones():
    fleet = Fleet(small_engines())
    for target in fleet.directory.all():
        fill_slots(target, 16)
        for _request in range(8):
            target.load.open(12_000, 12_000, 5)
    urgent = fleet.pick(priority=0).expected_ms
    assert urgent < OBJECTIVE_MS
    assert fleet.pick(priority=5).expected_ms > 2 * urgent


def test_the_load_that_an_engine_reports_counts_although_no_entry_told_it():
    """With 68 entries, an entry hears from each other one too rarely."""
    fleet = Fleet(small_engines())
    home = fleet.pick().target
    home.load.record_reported(24)
    assert fleet.pick().target is not home
    fleet.clock.advance(REPORTED_LOAD_TTL_MS + 1)
    assert fleet.pick().target is home


def domain_fleet():
    records = [
        make_engine_record(f'e{n}', failure_domain=f'd{n % 3}')
        for n in range(24)
    ]
    return Fleet(records, DomainCosts('d1', 1.5))


def test_equal_targets_are_taken_from_the_own_domain():
    fleet = domain_fleet()
    domains = [
        fleet.pick(
            entry_count=29,
            body_bytes=12_000,
            generation=make_generation(f's{n}', tokens=0, own=500),
        ).target.failure_domain
        for n in range(50)
    ]
    assert domains.count('d1') == 50


def test_a_loaded_own_domain_is_never_a_reason_to_be_late():
    fleet = domain_fleet()
    for target in fleet.directory.all():
        if target.failure_domain == 'd1':
            target.load.open(100_000, 100_000, 0)
    for number in range(50):
        pick = fleet.pick(
            entry_count=29,
            body_bytes=12_000,
            generation=make_generation(f's{number}'),
        )
        assert pick.target.failure_domain != 'd1'
        assert pick.expected_ms < OBJECTIVE_MS
