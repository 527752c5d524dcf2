import random

import pytest

from bench.chaos import run_chaos
from bench.chaos_parts.checker import bounds
from bench.chaos_parts.checker import check
from bench.chaos_parts.checker import Evidence
from bench.chaos_parts.checker import INVARIANTS
from bench.chaos_parts.faults import CrashCounts
from bench.chaos_parts.faults import FaultKind
from bench.chaos_parts.operators import DrainRecord
from bench.chaos_parts.operators import OperatorRecords
from bench.chaos_parts.records import CallerRecords
from bench.chaos_parts.records import CreditRecord
from bench.chaos_parts.records import CreditReply
from bench.chaos_parts.records import PromptRecord
from bench.chaos_parts.schedule import Episodes
from bench.outcome import Outcome
from wigeonmill.standins.answers import expected_answer

BOOKED = CreditReply(201, 'r1')
NOT_RUN = CreditReply(503, reason='not_run', not_run=True)
# A refusal that says `not_run` although its attempt is in the ledger.
FALSE_NOT_RUN = CreditReply(
    503, reason='leaving', not_run=True, request_id='a0'
)


def engine_audit(**changes):
    audit = dict.fromkeys(
        (
            'crashes',
            'tainted_reads',
            'foreign_imports',
            'corrupt_imports',
            'stale_version_imports',
            'stale_orders_applied',
            'cold_overloads',
        ),
        0,
    )
    return {**audit, 'imports': {}, 'requests': [], **changes}


def evidence(prompts=(), credit_records=(), booked=(), engine=None):
    audits = {
        'ledger-1': {
            'credits': [{'reference': r, 'request_id': 'a0'} for r in booked]
        },
        'engine-1': engine or engine_audit(),
    }
    domains = {'ledger-1': 'gasabo', 'engine-1': 'nyarugenge'}
    callers = CallerRecords(list(prompts), list(credit_records))
    return Evidence(audits, domains, callers, OperatorRecords(), CrashCounts())


def missed(found):
    outcome = Outcome('chaos', 0, check(found), bounds())
    return {bound.figure for bound in outcome.missed()}


def prompt_evidence(text, whole=True):
    record = PromptRecord('own', 8, texts=[text], whole=whole, ended=True)
    other = PromptRecord('other', 8, texts=[''], ended=True)
    return evidence([record, other])


@pytest.mark.parametrize(
    ('replies', 'booked', 'expected'),
    [
        ([BOOKED], ['r1'], set()),
        ([NOT_RUN, BOOKED], ['r1'], set()),
        ([CreditReply(0)], ['r1'], set()),
        ([BOOKED], [], {'credits_lost'}),
        ([BOOKED], ['r1', 'r1'], {'credits_doubled'}),
        ([CreditReply(0), NOT_RUN], ['r1'], set()),
        ([NOT_RUN], ['r1'], {'credits_not_run_but_ran'}),
        ([FALSE_NOT_RUN, BOOKED], ['r1'], {'credits_not_run_but_ran'}),
        ([CreditReply(201, 'r2')], ['r1'], {'credit_answers_crossed'}),
        ([], ['r2'], {'credits_unknown_to_callers'}),
    ],
)
def test_credits_are_checked_against_ledgers(replies, booked, expected):
    record = CreditRecord('r1', replies, ended=True)
    found = evidence(credit_records=[record], booked=booked)
    assert missed(found) == expected


def test_answers_are_checked_against_prompts():
    own = expected_answer('own', 8)
    assert missed(prompt_evidence(own)) == set()
    assert missed(prompt_evidence(own[:10], whole=False)) == set()
    assert missed(prompt_evidence(own[:10])) == {'answers_cut'}
    assert missed(prompt_evidence(expected_answer('other', 5))) == {
        'answers_crossed'
    }
    assert missed(prompt_evidence('never said')) == {'answers_wrong'}


@pytest.mark.parametrize(
    ('change', 'expected'),
    [
        ({'tainted_reads': 1}, 'tainted_reads'),
        ({'cold_overloads': 1}, 'cold_overloads'),
        ({'stale_version_imports': 1}, 'stale_versions'),
        ({'stale_orders_applied': 1}, 'stale_versions'),
    ],
)
def test_engine_audits_are_checked(change, expected):
    assert missed(evidence(engine=engine_audit(**change))) == {expected}


def test_work_after_a_drain_is_counted():
    runs = [{'started_ms': at} for at in (90, 150, 250)]
    found = evidence(engine=engine_audit(requests=runs))
    found.operators.drains = [
        DrainRecord('nyarugenge', 100, 200),
        DrainRecord('kicukiro', 0, 300),
        DrainRecord('gasabo', 100, 200, credits_settled=2, credits_ended=4),
    ]
    assert check(found)['work_after_drain'] == 3


def test_crashes_reverts_and_open_requests_are_violations():
    found = evidence([PromptRecord('own', 8)])
    found.crash_counts.crashes_by_prompt = [2, 3, 0]
    found.operators.reverts = 1
    assert missed(found) == {
        'crashes_above_two',
        'configuration_reverts',
        'open_after_heal',
    }


def test_every_kind_of_fault_is_drawn_and_a_seed_repeats():
    def draw_episodes(seed):
        episodes = Episodes(random.Random(seed))
        return [episodes.draw() for _number in range(60)]

    kinds = {kind for episode in draw_episodes(3) for kind in episode.kinds}
    assert kinds == set(FaultKind)
    assert draw_episodes(3) == draw_episodes(3)


@pytest.mark.parametrize('seed', [1, 2])
def test_no_promise_breaks_under_faults(seed):
    outcome = run_chaos(seed, 10.0)
    figures = outcome.figures
    assert {name: figures[name] for name in INVARIANTS} == dict.fromkeys(
        INVARIANTS, 0
    )
    assert figures['prompts_whole'] > 0
    assert figures['credits_applied'] > 0
    assert figures['faults'] > 0
