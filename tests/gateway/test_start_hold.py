"""All entries have restarted and their callers return all at once."""

import asyncio
import random

import pytest

from tests.gateway.fakes import FakeChannel
from tests.gateway.fakes import FakeClient
from tests.gateway.fakes import GOOD
from tests.gateway.fakes import NoCache
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.samples import make_state
from tests.virtual_time import run_virtual
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.answers import Reason
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.forwarder import Forwarder
from wigeonmill.gateway.picker import Picker
from wigeonmill.gateway.start_hold import HoldEnd
from wigeonmill.gateway.start_hold import MAX_HELD
from wigeonmill.gateway.start_hold import MAX_HELD_BYTES
from wigeonmill.gateway.start_hold import MAX_HOLD_MS
from wigeonmill.gateway.start_hold import StartHold
from wigeonmill.metrics import Metrics

QUICK = make_route(name='q', objective_ms=400.0, timeout_ms=3_000.0)
SLOW = make_route(name='s', objective_ms=1_500.0, timeout_ms=12_000.0)


def hold_all(requests, routes, released_after_ms=50.0):
    """Hold requests by id; return the ids in the order they went on."""
    clock = ManualClock()
    hold = StartHold(clock)
    went_on = []

    async def one(req):
        end = await hold.wait(req)
        went_on.append((req.id, end))

    async def run():
        tasks = [asyncio.ensure_future(one(req)) for req in requests]
        await asyncio.sleep(released_after_ms / 1000.0)
        hold.release(lambda req: routes[req.id])
        await asyncio.gather(*tasks)

    run_virtual(clock, run())
    return went_on


def test_the_shortest_objective_that_can_be_kept_goes_first():
    requests = [
        make_request(id='slow', deadline_ms=12_000.0),
        make_request(id='late', deadline_ms=1_600.0),
        make_request(id='quick', deadline_ms=3_000.0),
    ]
    routes = {'slow': SLOW, 'late': QUICK, 'quick': QUICK}
    ends = hold_all(requests, routes)
    assert [id_ for id_, _end in ends] == ['quick', 'slow', 'late']
    assert {end for _id, end in ends} == {HoldEnd.CONFIGURED}


@pytest.mark.parametrize(
    ('deadline_ms', 'held_ms'), [(12_000.0, MAX_HOLD_MS), (1_000.0, 100.0)]
)
def test_a_hold_is_short_beside_the_time_that_the_caller_has(
    deadline_ms, held_ms
):
    clock = ManualClock()
    hold = StartHold(clock)
    req = make_request(deadline_ms=deadline_ms)
    assert run_virtual(clock, hold.wait(req)) is HoldEnd.EXPIRED
    assert clock.now_ms() == pytest.approx(held_ms, abs=1.0)


@pytest.mark.parametrize(
    ('count', 'body'), [(MAX_HELD, b''), (8, bytes(MAX_HELD_BYTES // 8))]
)
def test_what_is_held_is_bounded_by_count_and_by_bytes(count, body):
    requests = [
        make_request(id=str(number), body=body) for number in range(count + 1)
    ]
    routes = {req.id: QUICK for req in requests}
    ends = [end for _id, end in hold_all(requests, routes)]
    assert ends.count(HoldEnd.FULL) == 1
    assert ends.count(HoldEnd.CONFIGURED) == count


def test_callers_that_leave_give_their_place_back():
    clock = ManualClock()
    hold = StartHold(clock)
    req = make_request(body=bytes(MAX_HELD_BYTES))

    async def run():
        task = asyncio.ensure_future(hold.wait(req))
        await asyncio.sleep(0.001)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)
        return await hold.wait(req)

    assert run_virtual(clock, run()) is HoldEnd.EXPIRED


class Channel(FakeChannel):
    """A channel whose log is of no interest."""

    def track(self, progress):
        pass


def serve_at_start(configured_after_ms, enabled=True):
    """Serve a request of a process that is configured later, if at all."""
    clock = ManualClock()
    ctx = GatewayContext(
        clock, random.Random(1), Metrics(), RetryLimits(), lambda: 1
    )
    ctx.start_hold.enabled = enabled
    client = FakeClient(clock, [GOOD], ctx.notices)
    picker = Picker(
        clock,
        random.Random(1),
        ctx.directory,
        ctx.circuits,
        ctx.desired.is_domain_closed,
    )
    channel = Channel()
    forwarder = Forwarder(ctx, client, picker, NoCache())

    async def run():
        req = make_request(deadline_ms=3_000.0)
        task = asyncio.ensure_future(forwarder.serve(req, channel))
        if configured_after_ms is not None:
            await asyncio.sleep(configured_after_ms / 1000.0)
            ctx.desired.adopt(make_state())
            ctx.start_hold.release(lambda _req: None)
            # The targets follow in the same listing.
            ctx.directory.apply(make_record())
        await task

    run_virtual(clock, run())
    return channel, clock.now_ms()


def test_a_request_before_the_configuration_is_served_with_it():
    channel, _ended_ms = serve_at_start(configured_after_ms=100.0)
    assert channel.status == 200


def test_a_request_is_refused_if_no_configuration_comes():
    channel, ended_ms = serve_at_start(configured_after_ms=None)
    assert channel.refusal.reason is Reason.NO_CONFIGURATION
    assert ended_ms == pytest.approx(MAX_HOLD_MS, abs=1.0)


def test_no_request_is_held_unless_operators_ask_for_it():
    channel, ended_ms = serve_at_start(None, enabled=False)
    assert channel.refusal.reason is Reason.NO_CONFIGURATION
    assert ended_ms == 0.0
