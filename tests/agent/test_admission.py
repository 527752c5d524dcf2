from hypothesis import given
from hypothesis import strategies as st
import pytest

from wigeonmill.agent.admission import make_admission
from wigeonmill.agent.admission_types import AdmissionSettings
from wigeonmill.agent.admission_types import OutcomeKind
from wigeonmill.agent.admission_types import RefusalReason
from wigeonmill.agent.admission_types import RunOutcome
from wigeonmill.agent.admission_types import RunRequest
from wigeonmill.cache.import_policy import plan_after_cut_off
from wigeonmill.cache.tiers import full_recompute_plan
from wigeonmill.cache.tiers import TierPlan
from wigeonmill.clock import ManualClock

DONE = RunOutcome(OutcomeKind.COMPLETED, 10)
CRASHED = RunOutcome(OutcomeKind.CRASHED)


def _admission(**changes):
    clock = ManualClock()
    settings = AdmissionSettings(cold_queue=64, **changes)
    admission = make_admission(clock, settings)
    admission.set_weight_version('v1')
    admission.health.on_report('a', 1e6)
    return clock, admission


def _request(
    team='t', tokens=100, deadline=1e9, version='v1', fingerprint=b''
):
    return RunRequest(team, version, tokens, deadline, fingerprint=fingerprint)


def _admit(admission, request):
    plan = full_recompute_plan(request.prompt_tokens)
    return admission.admit(request, plan).map(lambda admitted: admitted.ticket)


def _offer(admission, request):
    return admission.offer(request, full_recompute_plan(request.prompt_tokens))


def _start_next(admission):
    ticket = admission.next_runnable()
    if ticket is not None:
        admission.started(ticket.id).unwrap()
    return ticket


def _run(clock, admission, ticket, outcome=DONE):
    clock.advance(40.0)
    admission.first_token(ticket.id)
    clock.advance(200.0)
    admission.finished(ticket.id, outcome)


def _warm_up(clock, admission, runs=40):
    for _ in range(runs):
        _admit(admission, _request()).unwrap()
        _run(clock, admission, _start_next(admission))


STEPS = st.lists(
    st.sampled_from(['admit', 'start', 'finish', 'cold', 'reset', 'offer']),
    max_size=150,
)


@given(STEPS)
def test_no_start_exceeds_the_current_limit(steps):
    clock, admission = _admission(cold_concurrency=2, max_concurrency=8)
    running = []
    uptime = 1e6
    for step in steps:
        if step == 'admit':
            _admit(admission, _request())
        elif step == 'offer':
            _offer(admission, _request())
        elif step == 'start' and (ticket := _start_next(admission)):
            running.append(ticket)
            assert admission.running <= admission.limit
        elif step == 'finish' and running:
            _run(clock, admission, running.pop(0))
        elif step == 'cold':
            uptime /= 2
            admission.health.on_report('a', uptime)
            assert admission.limit == 2
        elif step == 'reset' and running:
            admission.finished(running.pop(0).id, CRASHED)
            assert admission.limit == 2
            assert admission.next_runnable() is None
            admission.health.on_report('a', uptime)
        assert admission.running == len(running)


def test_offers_to_many_entries_are_bounded_at_an_idle_target():
    clock, admission = _admission(max_queue=32)
    _warm_up(clock, admission)
    offers = [_offer(admission, _request()) for _ in range(300)]
    granted = [offer.unwrap() for offer in offers if offer.is_ok()]
    assert len(granted) == 32
    waits = [offer.expected_wait_ms for offer in granted]
    assert waits == sorted(waits) and waits[-1] > waits[0]
    refused = offers[-1].unwrap_err()
    assert refused.reason is RefusalReason.QUEUE_FULL
    assert refused.retry_after_ms > 0
    assert _offer(admission, _request('other')).is_ok()
    clock.advance(251.0)
    assert _offer(admission, _request()).is_ok()
    assert admission.counts.expired_reservations == 33


@pytest.mark.parametrize(
    'reason, change',
    [
        (RefusalReason.DRAINING, lambda a: a.set_draining(True)),
        (RefusalReason.NOT_IN_SERVICE, lambda a: a.set_in_service(False)),
        (RefusalReason.WEIGHT_VERSION, lambda a: a.set_weight_version('v2')),
        (RefusalReason.UNREACHABLE, lambda a: a.on_connection_failed()),
    ],
)
def test_state_change_refuses_requests_but_keeps_runs(reason, change):
    clock, admission = _admission()
    running = _admit(admission, _request()).unwrap()
    assert _start_next(admission) is running
    waiting = _admit(admission, _request()).unwrap()
    change(admission)
    refused = admission.take_refused()
    assert [(r.ticket, r.refusal.reason) for r in refused] == [
        (waiting, reason)
    ]
    assert admission.take_refused() == []
    assert _offer(admission, _request()).unwrap_err().reason is reason
    assert _admit(admission, _request()).unwrap_err().reason is reason
    assert running.weight_version == 'v1'
    _run(clock, admission, running)


def test_version_change_between_slot_and_start_refuses_the_run():
    _clock, admission = _admission()
    _admit(admission, _request())
    ticket = admission.next_runnable()
    admission.set_weight_version('v2')
    refusal = admission.started(ticket.id).unwrap_err()
    assert refusal.reason is RefusalReason.WEIGHT_VERSION
    assert admission.running == 0


def test_missed_deadlines_are_refused_at_the_offer_and_in_the_queue():
    clock, admission = _admission()
    late = _offer(admission, _request(tokens=100_000, deadline=1000.0))
    assert late.unwrap_err().reason is RefusalReason.DEADLINE
    _admit(admission, _request()).unwrap()
    _start_next(admission)
    _admit(admission, _request(deadline=500.0)).unwrap()
    clock.advance(500.0)
    assert admission.next_runnable() is None
    [refused] = admission.take_refused()
    assert refused.refusal.reason is RefusalReason.DEADLINE


def test_cold_target_offers_few_places():
    admission = make_admission(ManualClock(), AdmissionSettings(cold_queue=2))
    results = [_offer(admission, _request(version='')) for _ in range(4)]
    assert [result.is_ok() for result in results] == [True] * 3 + [False]
    assert results[3].unwrap_err().reason is RefusalReason.COLD


def test_slow_first_token_resets_the_limit_before_the_next_start():
    clock, admission = _admission()
    _warm_up(clock, admission)
    assert admission.limit > 4
    tickets = []
    for _ in range(3):
        _admit(admission, _request()).unwrap()
        tickets.append(_start_next(admission))
    clock.advance(5000.0)
    admission.first_token(tickets[0].id)
    assert admission.limit == 1
    _admit(admission, _request()).unwrap()
    assert admission.next_runnable() is None


def test_short_prompts_overtake_long_ones_at_the_prefill_limit():
    clock, admission = _admission(long_limit_tokens=10_000)
    _warm_up(clock, admission)
    for tokens in (9000, 9000, 100):
        _admit(admission, _request(tokens=tokens)).unwrap()
    started = [_start_next(admission) for _ in range(3)]
    assert started[0].cost == 9000
    assert started[1].cost == 100
    assert started[2] is None
    clock.advance(40.0)
    admission.first_token(started[0].id)
    assert _start_next(admission).cost == 9000


def test_suspect_runs_alone_once_and_is_then_quarantined():
    clock, admission = _admission(cold_concurrency=4)
    for fingerprint in (b'bad', b'good'):
        _admit(admission, _request(fingerprint=fingerprint)).unwrap()
    crashed = [_start_next(admission) for _ in range(2)]
    for ticket in crashed:
        admission.finished(ticket.id, CRASHED)
    admission.health.on_report('b', 10.0)
    for fingerprint in (b'good', b'bad', b''):
        _admit(admission, _request(fingerprint=fingerprint)).unwrap()
    good = _start_next(admission)
    assert good.alone and admission.next_runnable() is None
    _run(clock, admission, good)
    bad = _start_next(admission)
    assert bad.alone and admission.next_runnable() is None
    admission.finished(bad.id, CRASHED)
    admission.health.on_report('c', 10.0)
    again = _admit(admission, _request(fingerprint=b'bad'))
    assert again.unwrap_err().reason is RefusalReason.QUARANTINED
    assert not _admit(admission, _request(fingerprint=b'good')).unwrap().alone


def test_waiting_suspect_is_started_under_steady_load():
    clock, admission = _admission(cold_concurrency=4, alone_wait_ms=100.0)
    admission.quarantine.on_crash([b'bad'], 0)
    other = _admit(admission, _request()).unwrap()
    assert _start_next(admission) is other
    suspect = _admit(admission, _request(fingerprint=b'bad')).unwrap()
    _admit(admission, _request()).unwrap()
    assert _start_next(admission) is not None
    clock.advance(100.0)
    _admit(admission, _request()).unwrap()
    assert admission.next_runnable() is None
    for ticket in (other, *[t for t in admission.in_flight if t != other]):
        admission.finished(ticket.id, DONE)
    assert _start_next(admission) is suspect


def test_idle_target_without_reports_gets_its_cold_limit_first():
    clock, admission = _admission()
    _warm_up(clock, admission)
    clock.advance(60_000.0)
    for _ in range(3):
        _admit(admission, _request()).unwrap()
    first = _start_next(admission)
    assert admission.next_runnable() is None
    clock.advance(40.0)
    admission.first_token(first.id)
    assert _start_next(admission) and _start_next(admission)


def test_new_weights_and_a_cold_report_reset_the_limit():
    clock, admission = _admission()
    _warm_up(clock, admission)
    admission.set_weight_version('')
    assert admission.limit > 1
    admission.set_weight_version('v2')
    assert admission.limit == 1
    admission.set_weight_version('v1')
    admission.health.on_report('a', 2e6, cold=True)
    _warm_up(clock, admission, runs=10)
    assert admission.limit == 1
    admission.health.on_report('a', 3e6)
    _warm_up(clock, admission, runs=10)
    assert admission.limit > 1


def test_unreached_run_is_not_blamed_and_the_target_is_retried():
    clock, admission = _admission()
    ticket = _admit(admission, _request(fingerprint=b'm')).unwrap()
    _start_next(admission)
    admission.finished(ticket.id, RunOutcome(OutcomeKind.UNREACHABLE))
    assert admission.quarantine.state.records == {}
    refusal = _admit(admission, _request()).unwrap_err()
    assert refusal.reason is RefusalReason.UNREACHABLE
    clock.advance(1000.0)
    assert _admit(admission, _request()).is_ok()


def test_import_holds_no_slot_and_delays_no_other_request():
    clock, admission = _admission()
    plan = TierPlan(0, 4000, 1000, 4, 400, 50.0)
    ticket = admission.admit(_request(), plan, importing=True).unwrap().ticket
    other = _admit(admission, _request()).unwrap()
    assert (admission.queued, admission.running) == (2, 0)
    assert _start_next(admission) is other
    _run(clock, admission, other)
    assert admission.next_runnable() is None
    assert admission.imported(ticket.id, plan_after_cut_off(plan, 1))
    assert _start_next(admission) is ticket
    assert ticket.cost == 4000
    admitted = admission.admit(_request(deadline=500.0), plan, importing=True)
    clock.advance(500.0)
    assert admission.next_runnable() is None
    [refused] = admission.take_refused()
    assert refused.ticket is admitted.unwrap().ticket
    assert not admission.imported(refused.ticket.id, plan)


def test_withdrawn_request_never_runs():
    _clock, admission = _admission()
    ticket = _admit(admission, _request()).unwrap()
    assert admission.withdraw(ticket.id)
    assert not admission.withdraw(ticket.id)
    assert admission.next_runnable() is None


def test_settled_suspect_lets_others_start_and_is_not_blamed():
    clock, admission = _admission(cold_concurrency=4, suspect_settle_ms=500.0)
    admission.quarantine.on_crash([b'old', b'new'], 0)
    old = _admit(admission, _request(fingerprint=b'old')).unwrap()
    new = _admit(admission, _request(fingerprint=b'new')).unwrap()
    assert _start_next(admission) is old
    clock.advance(40.0)
    admission.first_token(old.id)
    assert admission.next_runnable() is None
    clock.advance(500.0)
    assert _start_next(admission) is new
    _admit(admission, _request())
    assert admission.next_runnable() is None
    for ticket in (old, new):
        admission.finished(ticket.id, CRASHED)
    records = admission.quarantine.state.records
    assert records[b'new'.hex()].quarantined
    assert not records[b'old'.hex()].quarantined
    admission.health.on_report('b', 10.0)
    again = _admit(admission, _request(fingerprint=b'old')).unwrap_err()
    assert again.reason is RefusalReason.SUSPECT


def test_offers_include_the_expected_delay_caused_by_suspects():
    clock, admission = _admission()
    _warm_up(clock, admission)
    _admit(admission, _request()).unwrap()
    _start_next(admission)
    usual = _offer(admission, _request()).unwrap().expected_first_token_ms
    admission.quarantine.on_crash([b'bad'], int(clock.now_ms()))
    suspect = _offer(admission, _request(fingerprint=b'bad')).unwrap()
    assert suspect.expected_first_token_ms > usual + 2000.0
    waiting = _admit(admission, _request(fingerprint=b'bad')).unwrap()
    later = _offer(admission, _request()).unwrap()
    assert later.expected_first_token_ms < usual + 100.0
    clock.advance(8000.0)
    postponed = _offer(admission, _request()).unwrap()
    assert postponed.expected_first_token_ms > usual + 1000.0
    admission.quarantine.on_crash([b'bad'], int(clock.now_ms()))
    after_quarantine = _offer(admission, _request()).unwrap()
    assert after_quarantine.expected_first_token_ms < usual + 100.0
    [refused] = admission.take_refused()
    assert refused.ticket is waiting
    assert refused.refusal.reason is RefusalReason.QUARANTINED
