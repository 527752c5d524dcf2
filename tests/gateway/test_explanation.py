"""Tests that an explanation tells what a pick does, and changes nothing."""

import dataclasses
import pickle

import pytest

from tests.gateway.fakes import Harness
from tests.gateway.fakes import make_head
from tests.gateway.fakes import NoCache
from tests.gateway.samples import ENGINES
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import make_record
from tests.gateway.samples import make_route
from tests.gateway.samples import make_state
from tests.gateway.samples import make_team
from tests.gateway.samples import MODEL
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import ServiceShare
from wigeonmill.gateway.explanation import Explainer
from wigeonmill.gateway.explanation import parse_question
from wigeonmill.gateway.explanation import Question
from wigeonmill.gateway.part_guard import part_keys
from wigeonmill.gateway.part_guard import PartGuard
from wigeonmill.gateway.part_guard import QUARANTINE_MS
from wigeonmill.gateway.request import PromptPart
from wigeonmill.gateway.target_client import ExchangeEnd
from wigeonmill.gateway.target_limit import LimitStatement

PLAIN = Question('h.example', '/a/x')
MODEL_QUESTION = Question(
    'h.example',
    '/m/x',
    model=MODEL,
    parts=(PromptPart('common', 8_000), PromptPart('own', 500)),
    answer_tokens=64,
)
GOOD_ANSWER = (make_head(request_id='where'), b'whole', ExchangeEnd.COMPLETE)
STREAM_ROUTE = make_route(
    name='m',
    prefix='/m/',
    kind=RouteKind.STREAMING,
    shares=(ServiceShare(ENGINES, 1.0), ServiceShare('other', 1.0)),
)


def make_world(teams=(), records=None):
    if records is None:
        records = [make_record(f't{n}') for n in range(9)]
        records += [make_engine_record(f'e{n}') for n in range(9)]
    state = make_state(routes=[make_route(), STREAM_ROUTE], teams=teams)
    harness = Harness([()], records, state)
    # Targets are sampled at random.
    harness.ctx.entry_count = lambda: 29
    explainer = Explainer(
        harness.ctx, harness.client, harness.picker, NoCache()
    )
    return harness, explainer


def guard_state(guard):
    return repr(
        (guard._quarantines, guard._probations, guard._suspects, guard._runs)
    )


def snapshot(harness):
    """Return what a pick or a request would change."""
    ctx = harness.ctx
    targets = [
        (
            target.id,
            target.load.runs(),
            pickle.dumps(target.load.tokens),
            target.limit_allowance._tokens,
            target.limit_allowance._reserved_until_ms,
            target.cold_allowance._last_sent_ms,
        )
        for target in ctx.directory.all()
    ]
    return (
        targets,
        ctx.metrics.counters(),
        ctx.rng.getstate(),
        harness.picker._rng.getstate(),
        sorted(ctx._retries),
        len(harness.client.sent),
        len(ctx.circuits),
        guard_state(ctx.part_guard),
    )


@pytest.mark.parametrize('question', [PLAIN, MODEL_QUESTION])
def test_two_explanations_change_nothing(question):
    harness, explainer = make_world()
    before = snapshot(harness)
    first = explainer.explain(question)
    assert explainer.explain(question) == first
    assert snapshot(harness) == before


def test_an_explained_refusal_keeps_no_request_for_itself():
    harness, explainer = make_world(records=[make_record('t1')])
    target = harness.ctx.directory.get('t1')
    now_ms = harness.clock.now_ms()
    target.limit.apply(LimitStatement(1.0, now_ms, now_ms))
    target.limit_wait_ms()
    before = snapshot(harness)
    answer = explainer.explain(PLAIN)
    assert answer['refusal'] == 'targets_limited'
    assert answer['retry_after_ms'] > 0
    assert answer['targets'][0]['restrictions'] == ['limited_to_1_per_s']
    assert snapshot(harness) == before


@pytest.mark.parametrize('seed', range(20))
def test_the_answer_equals_what_a_pick_then_does(seed):
    harness, explainer = make_world()
    harness.picker._rng.seed(seed)
    harness.ctx.directory.get(f't{seed % 9}').load.record_outcome(True)
    answer = explainer.explain(PLAIN)
    route = harness.ctx.desired.state.routes[0]
    harness.client.set_scripts([GOOD_ANSWER])
    harness.run(explainer._request(PLAIN), route)
    assert harness.client.sent[0][0] == answer['target']


def test_the_targets_have_their_costs_and_restrictions():
    harness, explainer = make_world()
    now_ms = harness.clock.now_ms()
    harness.ctx.directory.get('t1').closed_until_ms = now_ms + 500.0
    harness.ctx.directory.get('t2').closed_until_ms = now_ms - 1.0
    answer = explainer.explain(PLAIN)
    targets = {t['target']: t for t in answer['targets']}
    assert len(targets) == 9
    assert targets['t1']['restrictions'] == ['closed']
    assert targets['t2']['restrictions'] == ['opening']
    chosen = targets[answer['target']]
    assert chosen['restrictions'] == []
    assert chosen['cost'] == chosen['lateness_cost'] + chosen['other_cost']
    assert chosen['expected_ms'] == 90.0


def test_a_quarantined_part_is_told_with_its_time():
    harness, explainer = make_world()
    generation = explainer._request(MODEL_QUESTION).generation
    keys = part_keys(generation)[:1]
    harness.ctx.part_guard.adopt(keys, 0.0, 'peer')
    answer = explainer.explain(MODEL_QUESTION)
    assert answer['refusal'] == 'part_crashes_targets'
    assert answer['retry_after_ms'] > 0


def test_parts_are_neither_judged_nor_released_by_a_question(monkeypatch):
    harness, explainer = make_world()
    generation = explainer._request(MODEL_QUESTION).generation
    keys = part_keys(generation)[:1]
    guard = harness.ctx.part_guard
    for number in range(9):
        guard.record_lost(keys, f'e{number}@1')
    guard._quarantines.clear()
    guard.adopt([b'other'], 0.0, 'peer')
    harness.clock.advance(QUARANTINE_MS + 1.0)
    monkeypatch.setattr(guard._suspects[keys[0]], 'served_ms', 0.0)
    monkeypatch.delattr(PartGuard, '_judge')
    before = snapshot(harness)
    assert 'target' in explainer.explain(MODEL_QUESTION)
    assert snapshot(harness) == before


def test_requests_that_no_route_or_team_allows():
    _harness, explainer = make_world(teams=[make_team('red')])
    assert explainer.explain(PLAIN)['refusal'] == 'unknown_key'
    unknown = Question('h.example', '/a/x', 'blue')
    assert explainer.explain(unknown)['refusal'] == 'unknown_key'
    assert 'target' in explainer.explain(Question('h.example', '/a/x', 'red'))
    nowhere = Question('h.example', '/z/', 'red')
    assert explainer.explain(nowhere)['refusal'] == 'no_route'


def test_no_target_is_told_with_the_time_to_return():
    _harness, explainer = make_world(records=[])
    answer = explainer.explain(PLAIN)
    assert answer['refusal'] == 'no_target'
    assert answer['targets'] == []


@pytest.mark.parametrize(
    'fields',
    [
        {},
        {'host': ['h'], 'path': ['x']},
        {'host': ['h'], 'path': ['/'], 'part': ['a']},
        {'host': ['h'], 'path': ['/'], 'answer_tokens': ['-1']},
        {'host': ['h'], 'path': ['/'], 'deadline_ms': ['soon']},
        {'host': ['h'], 'path': ['/'], 'deadline_ms': ['9' * 10]},
        {'host': ['h'], 'path': ['/'], 'answer_tokens': ['9' * 5_000]},
        {'host': ['h'], 'path': ['/'], 'part': ['a:' + '9' * 5_000]},
    ],
)
def test_malformed_questions_are_rejected(fields):
    assert isinstance(parse_question(fields), str)


def test_a_question_is_read():
    fields = {'host': ['h'], 'path': ['/a'], 'part': ['a:b:5'], 'model': ['m']}
    assert parse_question(fields) == Question(
        'h', '/a', model='m', parts=(PromptPart('a:b', 5),)
    )


# Load: teams compete for a service whose only target is full.
@pytest.mark.parametrize(
    ('deadline_ms', 'expected'),
    [(10_000.0, 'held_up_to_ms'), (20.0, 'refusal')],
)
def test_an_explanation_tells_what_admission_would_do(deadline_ms, expected):
    harness, explainer = make_world([make_team()], [make_record('t1')])
    harness.ctx.fair_admission = True
    target = harness.ctx.directory.get('t1')
    target.refusing_until_ms = harness.clock.now_ms() + 5_000.0
    question = dataclasses.replace(
        PLAIN, team=make_team().name, deadline_ms=deadline_ms
    )
    before = snapshot(harness)
    answer = explainer.explain(question)
    assert expected in answer
    assert answer.get('held_up_to_ms', 0.0) <= 100.0
    assert snapshot(harness) == before
