import asyncio
import random

import pytest

from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import FULL
from tests.gateway.fakes import GOOD
from tests.gateway.fakes import Harness
from tests.gateway.fakes import make_head
from tests.gateway.fakes import NoCache
from tests.gateway.fakes import Pause
from tests.gateway.samples import ENGINES
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import make_generation
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.samples import make_state
from tests.gateway.samples import make_team
from tests.virtual_time import run_virtual
from wigeonmill.gateway.admission import Standing
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.answers import RequestState
from wigeonmill.gateway.crash_guard import request_fingerprint
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import ServiceShare
from wigeonmill.gateway.part_guard import part_keys
from wigeonmill.gateway.request_run import RequestRun
from wigeonmill.gateway.run_terms import RETURNED_PRIORITY
from wigeonmill.gateway.target_client import ExchangeEnd
from wigeonmill.gateway.target_load import PeerLoad
from wigeonmill.gateway.waiting_room import Place

TEAM = make_team()
ENGINE_SHARES = (ServiceShare(ENGINES, 1.0),)
CHECK = make_route(
    name='check',
    kind=RouteKind.STREAMING,
    shares=ENGINE_SHARES,
    resumable=True,
)
CONSULT = make_route(
    name='consult',
    prefix='/b/',
    kind=RouteKind.STREAMING,
    shares=ENGINE_SHARES,
    objective_ms=1_600.0,
    timeout_ms=12_000.0,
)
# An answer to a stream without events, which ends it.
STREAM = (make_head(), b'data: x\n\n', ExchangeEnd.COMPLETE)


def make_harness(scripts=(GOOD,), records=None, **changes):
    state = make_state(
        routes=[make_route(), CHECK, CONSULT], teams=[TEAM], **changes
    )
    harness = Harness(scripts, records or [make_record()], state)
    harness.ctx.fair_admission = True
    return harness


def make_arriving(harness, **changes):
    values = {'arrived_ms': harness.clock.now_ms(), 'deadline_ms': 4_000.0}
    return make_request(**(values | changes))


def held_ms(caplog):
    """Return the longest hold that was logged."""
    lines = [r for r in caplog.records if r.message == 'request held']
    return max((line.held_ms for line in lines), default=0.0)


@pytest.fixture(autouse=True)
def _log_all(caplog):
    caplog.set_level('INFO')


def test_a_request_is_not_held_while_a_target_has_room():
    harness = make_harness(records=[make_record('t1'), make_record('t2')])
    now_ms = harness.clock.now_ms()
    harness.ctx.directory.get('t1').refusing_until_ms = now_ms + 150.0
    harness.run(make_arriving(harness), make_route(), TEAM)
    assert harness.clock.now_ms() == now_ms
    assert harness.client.sent[0][0] == 't2'


def test_a_request_waits_until_a_target_stops_refusing():
    harness = make_harness()
    target = harness.ctx.directory.get('t1')
    target.refusing_until_ms = harness.clock.now_ms() + 50.0
    channel = harness.run(make_arriving(harness), make_route(), TEAM)
    assert channel.status == 200
    # It was not sent into a refusal.
    assert len(harness.client.sent) == 1
    assert 50.0 <= harness.clock.now_ms() - 1_010_000.0 <= 75.0


def test_a_request_is_held_for_a_quarter_of_its_objective_at_most(caplog):
    harness = make_harness()
    target = harness.ctx.directory.get('t1')
    target.refusing_until_ms = harness.clock.now_ms() + 5_000.0
    began_ms = harness.clock.now_ms()
    harness.run(make_arriving(harness), make_route(), TEAM)
    assert harness.clock.now_ms() - began_ms <= 100.01
    assert len(harness.client.sent) == 1
    lines = [r for r in caplog.records if r.message == 'request held']
    assert [line.outcome for line in lines] == ['held_out']


@pytest.mark.parametrize('lacks', ['teams', 'setting'])
def test_nothing_is_held_without_teams_or_the_setting(lacks):
    harness = make_harness()
    if lacks == 'setting':
        harness.ctx.fair_admission = False
    else:
        harness.ctx.desired.adopt(make_state(version=2))
    now_ms = harness.clock.now_ms()
    harness.ctx.directory.get('t1').refusing_until_ms = now_ms + 150.0
    harness.run(make_arriving(harness), make_route(), None)
    assert harness.clock.now_ms() == now_ms


@pytest.mark.parametrize('stated', [False, True])
def test_only_a_service_whose_targets_state_a_pace_is_guarded(stated):
    harness = make_harness()
    harness.ctx.fair_admission = False
    harness.ctx.fair_admission_pace = True
    target = harness.ctx.directory.get('t1')
    if stated:
        target.load.record_report(1, 1.0)
    now_ms = harness.clock.now_ms()
    target.refusing_until_ms = now_ms + 50.0
    harness.run(make_arriving(harness), make_route(), TEAM)
    assert (harness.clock.now_ms() > now_ms) is stated


def test_a_caller_that_leaves_while_it_is_held_is_not_served():
    harness = make_harness()
    target = harness.ctx.directory.get('t1')
    target.refusing_until_ms = harness.clock.now_ms() + 5_000.0
    harness.channel.closed = True
    harness.run(make_arriving(harness), make_route(), TEAM)
    assert harness.client.sent == []
    assert harness.ctx.waiting_room.waiting == 0


def start_run(harness, req, route, channel):
    return RequestRun(
        harness.ctx,
        harness.client,
        harness.picker,
        NoCache(),
        req,
        route,
        TEAM,
        channel,
    )


def test_a_held_request_ends_as_not_sent_when_the_entry_stops():
    harness = make_harness()
    target = harness.ctx.directory.get('t1')
    target.refusing_until_ms = harness.clock.now_ms() + 5_000.0
    run = start_run(
        harness, make_arriving(harness), make_route(), harness.channel
    )

    async def stop():
        running = asyncio.ensure_future(run.run())
        await asyncio.sleep(0.05)
        # The server refuses what is in this state, truly as not run.
        assert run.progress().state is RequestState.WAITING
        running.cancel()

    run_virtual(harness.clock, stop())
    assert harness.client.sent == []
    assert harness.ctx.waiting_room.waiting == 0


def test_room_that_becomes_free_goes_to_those_that_wait():
    harness = make_harness((STREAM,), [make_engine_record()])
    load = harness.ctx.directory.get('e1').load
    blocking = load.open(98_000, 0, 0)
    order = []

    async def call(name, wait_s, **changes):
        await asyncio.sleep(wait_s)
        if name == 'new':
            load.close(blocking)
        req = make_arriving(
            harness, generation=make_generation(tokens=15_000), **changes
        )
        await start_run(harness, req, CONSULT, FakeChannel()).run()
        order.append(name)

    async def run():
        await asyncio.gather(
            call('new', 0.05, deadline_ms=12_000.0),
            call('waiting', 0.0, deadline_ms=12_000.0),
        )

    run_virtual(harness.clock, run())
    assert order == ['waiting', 'new']


def test_a_hopeless_request_is_refused_at_once():
    harness = make_harness()
    target = harness.ctx.directory.get('t1')
    target.refusing_until_ms = harness.clock.now_ms() + 5_000.0
    began_ms = harness.clock.now_ms()
    req = make_arriving(harness, deadline_ms=50.0)
    channel = harness.run(req, make_route(), TEAM)
    assert channel.refusal.reason is Reason.TOO_LATE
    assert channel.refusal.retry_after_ms >= 400.0
    assert harness.clock.now_ms() == began_ms


def hold(harness, meanwhile, cancel=False, frees=False):
    """Hold a request before a full engine, and do something meanwhile.

    If it `frees` the memory, the request is sent after that.
    """
    load = harness.ctx.directory.get('e1').load
    blocking = load.open(98_000, 0, 0)
    req = make_arriving(
        harness, generation=make_generation(), deadline_ms=12_000.0
    )
    run = start_run(harness, req, CONSULT, harness.channel)

    async def play():
        running = asyncio.ensure_future(run.run())
        await asyncio.sleep(0.05)
        assert harness.ctx.waiting_room.waiting == 1
        meanwhile(req)
        if frees:
            load.close(blocking)
        if cancel:
            running.cancel()
        await asyncio.gather(running, return_exceptions=True)

    run_virtual(harness.clock, play())


def quarantine(harness, age_ms):
    keys = part_keys(make_generation())
    harness.ctx.part_guard.adopt(keys[1:2], age_ms, 'peer')


def test_a_request_whose_part_is_blamed_while_it_is_held_is_not_sent():
    harness = make_harness((STREAM,), [make_engine_record()])
    hold(harness, lambda _req: quarantine(harness, 0.0))
    assert harness.client.sent == []
    assert harness.channel.refusal.reason is Reason.PART_CRASHES_TARGETS


def test_a_request_that_is_blamed_while_it_is_held_is_not_sent():
    harness = make_harness((STREAM,), [make_engine_record()])

    def blame(req):
        fingerprint = request_fingerprint(req, TEAM.name)
        for number in range(9):
            harness.ctx.crash_guard.record(fingerprint, f'loss {number}')
        assert harness.ctx.crash_guard.refuses(fingerprint)

    hold(harness, blame)
    assert harness.client.sent == []
    assert harness.channel.refusal.reason is Reason.CRASHES_TARGETS


def test_a_probe_that_was_held_is_sent():
    harness = make_harness((STREAM,), [make_engine_record()])
    quarantine(harness, 3_000.0)
    hold(harness, lambda _req: None, frees=True)
    assert len(harness.client.sent) == 1


@pytest.mark.parametrize(
    ('leaves', 'outcome'), [(False, 'ended'), (True, 'caller_left')]
)
def test_a_held_probe_that_ends_before_it_is_sent_is_given_back(
    leaves, outcome, caplog
):
    harness = make_harness((STREAM,), [make_engine_record()])
    quarantine(harness, 3_000.0)

    def leave(_req):
        (known,) = harness.ctx.part_guard.quarantines()
        assert known.probed
        harness.channel.closed = leaves

    hold(harness, leave, cancel=True)
    assert harness.client.sent == []
    (known,) = harness.ctx.part_guard.quarantines()
    assert not known.probed
    lines = [r for r in caplog.records if r.message == 'request held']
    assert [line.outcome for line in lines] == [outcome]


def sent_priority(harness, route, generation, **changes):
    req = make_arriving(harness, generation=generation, **changes)
    harness.run(req, route, TEAM)
    return harness.client.sent[0][1].priority


def test_large_prompts_of_the_hurried_kind_go_before_runs_that_can_wait():
    prompt = make_generation(tokens=4_000)
    records = [make_engine_record()]
    check = make_harness((STREAM,), records)
    assert sent_priority(check, CHECK, prompt) == 1
    consult = make_harness((STREAM,), records)
    assert sent_priority(consult, CONSULT, prompt) == 2


def test_teams_above_their_share_go_later_within_the_rank():
    harness = make_harness((STREAM,), [make_engine_record()])
    shares = harness.ctx.team_shares
    shares.record_shortage(ENGINES)
    for team, asked, served in (('team', 9e5, 8e5), ('small', 9e5, 1e4)):
        shares.record_asked(ENGINES, team, asked)
        shares.record_served(ENGINES, team, served)
    assert sent_priority(harness, CONSULT, make_generation()) == 3


def fill(harness, tokens, priority):
    """Let other runs occupy memory of the engine."""
    harness.ctx.directory.get('e1').load.open(tokens, 0, priority)


def test_runs_that_can_wait_leave_memory_for_urgent_ones(caplog):
    # A fifth of 130,000 tokens remains free for them.
    harness = make_harness((STREAM,), [make_engine_record()])
    fill(harness, 98_000, 0)
    req = make_arriving(
        harness, generation=make_generation(), deadline_ms=12_000.0
    )
    channel = harness.run(req, CONSULT, TEAM)
    assert held_ms(caplog) == 400.0
    assert harness.client.sent == []
    assert channel.refusal.reason is Reason.TOO_LATE
    caplog.clear()
    harness = make_harness((STREAM,), [make_engine_record()])
    fill(harness, 98_000, 0)
    sent_priority(harness, CHECK, make_generation())
    assert held_ms(caplog) == 0.0


@pytest.mark.parametrize('tokens', [60_000, 103_000, 108_000, 128_300])
def test_no_prompt_is_held_before_an_empty_engine(tokens, caplog):
    harness = make_harness((STREAM,), [make_engine_record()])
    prompt = make_generation(tokens=tokens)
    sent_priority(harness, CONSULT, prompt, deadline_ms=12_000.0)
    assert held_ms(caplog) == 0.0


def test_no_memory_is_kept_free_if_no_route_is_more_urgent(caplog):
    harness = make_harness((STREAM,), [make_engine_record()])
    harness.ctx.desired.adopt(
        make_state(version=2, routes=[CONSULT], teams=[TEAM])
    )
    fill(harness, 98_000, 0)
    sent_priority(harness, CONSULT, make_generation())
    assert held_ms(caplog) == 0.0


def test_a_request_counts_for_no_more_work_than_an_engine_holds():
    harness = make_harness((STREAM,), [make_engine_record()])
    prompt = make_generation(tokens=3_000_000_000)
    harness.run(make_arriving(harness, generation=prompt), CHECK, TEAM)
    harness.ctx.team_shares.record_shortage(ENGINES)
    (row,) = harness.ctx.team_shares.to_tell()
    assert 0.0 < row.asked <= 130_000.0


@pytest.mark.parametrize(
    ('deadline_ms', 'level'), [(2_000.0, 8), (1_600.0, RETURNED_PRIORITY)]
)
def test_a_late_request_that_returns_goes_before_the_other_late_ones(
    deadline_ms, level
):
    # All targets refuse, so it is sent without knowing of room.
    harness = make_harness((STREAM,), [make_engine_record()])
    target = harness.ctx.directory.get('e1')
    target.refusing_until_ms = harness.clock.now_ms() + 5_000.0
    fill(harness, 180_000, 0)
    prompt = make_generation()
    priority = sent_priority(harness, CHECK, prompt, deadline_ms=deadline_ms)
    assert priority == level


def test_those_in_time_go_before_who_returned_late_when_memory_is_freed():
    # All wait before a full engine.
    harness = make_harness((STREAM, STREAM), [make_engine_record()])
    load = harness.ctx.directory.get('e1').load
    blocking = load.open(128_000, 0, 0)
    order = []

    async def call(name, wait_s, **changes):
        await asyncio.sleep(wait_s)
        req = make_arriving(harness, generation=make_generation(), **changes)
        await start_run(harness, req, CONSULT, FakeChannel()).run()
        order.append(name)

    async def run():
        calls = asyncio.gather(
            call('short deadline', 0.0, deadline_ms=6_000.0),
            call('returned', 0.05, deadline_ms=9_000.0),
            call('in time', 0.1, deadline_ms=11_000.0),
        )
        await asyncio.sleep(0.2)
        load.close(blocking)
        await calls

    run_virtual(harness.clock, run())
    assert len(harness.client.sent) == 3
    # The short deadline is the caller's own, so that one is in time as well.
    assert order == ['short deadline', 'in time', 'returned']


class SlotService:
    """Targets of six slots that refuse when all are taken, 70 ms a call."""

    def __init__(self, harness):
        self._client = harness.client
        self._busy = 0
        self.refused = 0

    def send(self, *args):
        if self._busy >= 6:
            self.refused += 1
            script = FULL
        else:
            self._busy += 1
            script = (Pause(70.0), make_head(), b'whole', self._end)
        self._client.set_scripts([script])
        return self._client.send(*args)

    def _end(self):
        self._busy -= 1
        return ExchangeEnd.COMPLETE


def play_six_slots(fair):
    """Eighty requests a second, in bursts, for five seconds."""
    harness = make_harness(records=[make_record('t1')])
    harness.ctx.fair_admission = fair
    service = SlotService(harness)
    rng = random.Random(1)
    channels = []

    async def call():
        channel = FakeChannel()
        channels.append(channel)
        req = make_arriving(harness)
        await RequestRun(
            harness.ctx,
            service,
            harness.picker,
            None,
            req,
            make_route(),
            TEAM,
            channel,
        ).run()

    async def run():
        calls = []
        for _each in range(400):
            await asyncio.sleep(rng.expovariate(80.0))
            calls.append(asyncio.ensure_future(call()))
        await asyncio.gather(*calls)

    run_virtual(harness.clock, run())
    served = sum(channel.status == 200 for channel in channels)
    return served, service.refused, harness


def test_six_slots_eighty_requests_a_second(caplog):
    served, refused, harness = play_six_slots(fair=True)
    served_before, refused_before, _harness = play_six_slots(fair=False)
    # Fewer arrivals are refused, and none of the callers pays for it.
    assert refused < refused_before
    assert served >= served_before
    assert held_ms(caplog) <= 100.0
    assert harness.ctx.waiting_room.waiting == 0


@pytest.mark.parametrize(
    ('deadline_ms', 'late_tokens', 'sent'),
    [(2_000.0, 0, 0), (1_600.0, 0, 1), (950.0, 0, 0), (1_600.0, 150_000, 0)],
)
def test_a_returned_caller_is_not_refused_again_if_it_can_be_served_late(
    deadline_ms, late_tokens, sent
):
    harness = make_harness((STREAM,), [make_engine_record()])
    # Its memory is expected to be free in about 1.4 s, or in 3.7 s if late
    # runs hold more, and is free after 100 ms.
    load = harness.ctx.directory.get('e1').load
    blocking = load.open(200_000, 0, 0)
    fill(harness, late_tokens, 8)
    req = make_arriving(
        harness, generation=make_generation(), deadline_ms=deadline_ms
    )

    async def play():
        running = start_run(harness, req, CHECK, harness.channel).run()
        held = asyncio.ensure_future(running)
        await asyncio.sleep(0.1)
        load.close(blocking)
        await held

    run_virtual(harness.clock, play())
    assert len(harness.client.sent) == sent
    if not sent:
        assert harness.channel.refusal.reason is Reason.TOO_LATE


def test_memory_of_less_urgent_runs_is_not_free_under_overload():
    # Without the setting, the run of 120,000 tokens would be preempted.
    prompt = make_generation()
    for fair, sent in ((False, 1), (True, 0)):
        harness = make_harness((STREAM,), [make_engine_record()])
        harness.ctx.fair_admission = fair
        fill(harness, 128_000, 7)
        req = make_arriving(harness, generation=prompt, deadline_ms=4_000.0)
        harness.run(req, CHECK, TEAM)
        assert len(harness.client.sent) == sent


def test_late_callers_leave_room_to_those_in_time_after_a_burst(caplog):
    # A fifth of the memory is free: who is in time goes at once.
    for deadline_ms, in_time in ((4_000.0, True), (1_500.0, False)):
        caplog.clear()
        harness = make_harness((STREAM,), [make_engine_record()])
        fill(harness, 105_000, 0)
        prompt = make_generation(tokens=2_000)
        req = make_arriving(
            harness, generation=prompt, deadline_ms=deadline_ms
        )
        harness.run(req, CHECK, TEAM)
        assert len(harness.client.sent) == in_time
        assert (held_ms(caplog) == 0.0) is in_time
        # Callers leave after four objectives without any event.
        assert held_ms(caplog) <= 1_200.1


def test_a_late_run_that_has_room_is_not_preempted_by_the_next_one():
    harness = make_harness((STREAM,), [make_engine_record()])
    prompt = make_generation()
    late = sent_priority(harness, CHECK, prompt, deadline_ms=1_500.0)
    harness = make_harness((STREAM,), [make_engine_record()])
    assert sent_priority(harness, CHECK, prompt, deadline_ms=4_000.0) == late


def test_refused_callers_return_behind_those_that_wait():
    # At once after a loss of engines, many would be refused again.
    after_ms = []
    for waiting in (0, 6):
        harness = make_harness((STREAM,), [make_engine_record()])
        harness.ctx.rng.seed(1)
        fill(harness, 140_000, 0)
        for number in range(waiting):
            standing = Standing(9, True, False, True, True, 1, number)
            place = Place(ENGINES, 0.0, standing, 1)
            assert harness.ctx.waiting_room.enter(place)
        req = make_arriving(
            harness, generation=make_generation(), deadline_ms=12_000.0
        )
        channel = harness.run(req, CONSULT, TEAM)
        after_ms.append(channel.refusal.retry_after_ms)
    assert after_ms[1] >= 2.0 * after_ms[0]


def test_what_a_frozen_entry_told_holds_nobody_for_long(caplog):
    # Its updates are lost: its runs count for two seconds more.
    harness = make_harness((STREAM,), [make_engine_record()])
    load = harness.ctx.directory.get('e1').load
    told = PeerLoad(9, [128_000] + [0] * 9, [0] * 10, harness.clock.now_ms())
    load.set_peer_load('frozen', told)
    prompt = make_generation(tokens=20_000)
    sent_priority(harness, CONSULT, prompt, deadline_ms=11_000.0)
    assert 1_900.0 <= held_ms(caplog) <= 2_100.0


@pytest.mark.parametrize('free_s', [4.0, 6.0])
def test_a_restarted_entry_holds_who_was_refused_before(free_s, caplog):
    # It knows of no refusal and no session; the deadline tells it.
    harness = make_harness((STREAM,), [make_engine_record()])
    load = harness.ctx.directory.get('e1').load
    blocking = load.open(128_000, 0, 0)
    req = make_arriving(
        harness, generation=make_generation(), deadline_ms=9_000.0
    )

    async def play():
        running = start_run(harness, req, CONSULT, harness.channel).run()
        held = asyncio.ensure_future(running)
        await asyncio.sleep(free_s)
        load.close(blocking)
        await held

    run_virtual(harness.clock, play())
    # Without room it isn't sent: it would be preempted, or preempt others.
    assert len(harness.client.sent) == (free_s < 4.8)
    assert held_ms(caplog) == pytest.approx(min(free_s, 4.8) * 1e3, abs=25.0)
