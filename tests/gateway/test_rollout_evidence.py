"""What convicts a software version, and what does not."""

from wigeonmill.gateway.rollout_evidence import FleetEvidence
from wigeonmill.gateway.rollout_evidence import judge
from wigeonmill.gateway.rollout_evidence import Judgement
from wigeonmill.gateway.rollout_evidence import OLD
from wigeonmill.gateway.rollout_evidence import OwnEvidence
from wigeonmill.gateway.rollout_evidence import Tally

DOMAINS = {'t1': 'd1', 't2': 'd2', 't3': 'd3', 't4': 'd1'}


def judge_failed(old, **new):
    counts = {('r', OLD): Tally(*old)}
    counts |= {('r', name): Tally(*tally) for name, tally in new.items()}
    return judge(counts, DOMAINS, 20).judgement


def test_a_version_that_fails_everywhere_is_bad():
    found = judge_failed((500, 5), t1=(8, 4), t2=(8, 4), t3=(8, 4))
    assert found is Judgement.BAD


def test_failures_that_are_usual_on_the_route_are_not_held_against_it():
    found = judge_failed((700, 100), t1=(70, 10), t2=(70, 12), t3=(70, 9))
    assert found is Judgement.GOOD


def test_one_machine_does_not_convict_the_version():
    found = judge_failed((500, 0, 5), t1=(40, 0, 40), t2=(40, 0), t3=(40, 0))
    assert found is Judgement.GOOD


def test_one_failure_domain_does_not_convict_the_version():
    found = judge_failed(
        (500, 5), t1=(30, 30), t4=(30, 30), t2=(40, 0), t3=(40, 0)
    )
    assert found is Judgement.GOOD


def test_few_answers_do_not_prove_the_version():
    assert judge_failed((500, 5), t1=(3, 0)) is Judgement.UNKNOWN


def test_a_lone_machine_with_many_bad_answers_is_not_waited_for():
    assert judge_failed((500, 5), t1=(40, 35)) is Judgement.BAD


def test_a_version_bad_on_a_rare_route_only_is_bad():
    counts = {('common', OLD): Tally(5_000, 50), ('rare', OLD): Tally(60, 0)}
    for target in ('t1', 't2', 't3'):
        counts['common', target] = Tally(90, 1)
        counts['rare', target] = Tally(7, 4)
    finding = judge(counts, DOMAINS, 20)
    assert finding.judgement is Judgement.BAD
    assert finding.route == 'rare'


def test_a_version_that_turns_bad_shows_in_the_last_answers():
    fleet = FleetEvidence()
    counts = {('r', OLD): Tally(5_000, 700), ('r', 't1'): Tally(500, 70)}
    counts |= {('r', 't2'): Tally(500, 70), ('r', 't3'): Tally(500, 70)}
    fleet.replace('e1', counts, {})
    assert fleet.judge(0.0, DOMAINS, 20).judgement is Judgement.GOOD
    later = {key: Tally(t.answers, t.failed) for key, t in counts.items()}
    later['r', OLD] = Tally(5_200, 728)
    for target in ('t1', 't2', 't3'):
        later['r', target] = Tally(515, 79)
    fleet.replace('e1', later, {})
    finding = fleet.judge(1_000.0, DOMAINS, 20)
    assert finding.judgement is Judgement.BAD


def test_an_update_that_comes_late_or_twice_changes_nothing():
    fleet = FleetEvidence()
    for answers in (10, 20, 10, 20):
        fleet.replace('e1', {('r', 't1'): Tally(answers)}, {})
    assert fleet.totals()[0].answers == 20


def test_an_answer_that_takes_several_times_as_long_is_slow():
    own = OwnEvidence()
    own.record('r', 't1', False, 400.0, 400.0)
    assert not own.counts
    for _ in range(8):
        own.record('r', OLD, False, 100.0, 100.0)
    own.settle({})
    assert own.counts['r', 't1'] == Tally(1, 0, 1)
    own.record('r', 't1', False, 400.0, 400.0, cold_cache_ms=300.0)
    assert own.counts['r', 't1'] == Tally(2, 0, 1)


def test_usual_failures_without_old_answers_in_the_window_convict_nobody():
    usual = {('r', OLD): Tally(1_000, 140), ('none', 't1'): Tally(50, 50)}
    counts = {('r', name): Tally(80, 11) for name in ('t1', 't2', 't3')}
    found = judge(counts, DOMAINS, 0, usual)
    assert found.judgement is Judgement.GOOD


def test_more_than_usual_failures_without_old_answers_convict():
    usual = {('r', OLD): Tally(1_000, 10)}
    counts = {('r', name): Tally(80, 40) for name in ('t1', 't2', 't3')}
    found = judge(counts, DOMAINS, 0, usual)
    assert found.judgement is Judgement.BAD


def test_slow_answers_are_not_compared_with_those_of_a_calmer_time():
    fleet = FleetEvidence()
    targets = [f'n{n}' for n in range(6)]
    domains = {name: f'd{n % 3}' for n, name in enumerate(targets)}
    counts = {('r', OLD): Tally(2_000, 0, 20)}
    counts |= {('r', name): Tally(20) for name in targets}
    fleet.replace('e1', counts, {})
    assert fleet.judge(0.0, domains, 20).judgement is Judgement.GOOD
    counts = counts | {('r', name): Tally(170, 0, 12) for name in targets}
    fleet.replace('e1', counts, {})
    assert fleet.judge(1_000.0, domains, 20).judgement is Judgement.GOOD


def test_few_old_answers_of_a_good_moment_convict_nobody():
    usual = {('r', OLD): Tally(1_300, 185)}
    counts = {('r', OLD): Tally(38, 0)}
    counts |= {('r', name): Tally(84, 13) for name in ('t1', 't2', 't3')}
    found = judge(counts, DOMAINS, 0, usual)
    assert found.judgement is Judgement.GOOD


def test_times_are_not_compared_once_the_old_versions_get_no_requests():
    own = OwnEvidence()
    for _ in range(8):
        own.record('r', OLD, False, 100.0, 100.0)
    own.compares_times = False
    own.record('r', 't1', False, 400.0, 400.0)
    assert own.counts['r', 't1'] == Tally(1, 0, 0)
    assert not own.is_slow('r', 400.0, 0.0)


def is_proven(rare, lately_bad=0):
    """Whether a version is proven, with a number of its rare answers."""
    fleet = FleetEvidence()
    counts = {('common', OLD): Tally(500), ('common', 't1'): Tally(30)}
    counts |= {('rare', OLD): Tally(50), ('rare', 't1'): Tally(rare)}
    fleet.replace('e1', counts, {})
    fleet.judge(0.0, DOMAINS, 20)
    counts['common', OLD] = Tally(600)
    counts['common', 't1'] = Tally(45, lately_bad)
    fleet.replace('e1', counts, {})
    return fleet.is_proven(1_000.0)


def test_a_version_is_proven_by_answers_on_each_route_and_lately():
    assert is_proven(rare=12)
    assert not is_proven(rare=4)
    assert not is_proven(rare=12, lately_bad=5)
    assert not FleetEvidence().is_proven(1_000.0)
