"""A change of the configuration loses no request that is on its way."""

from dataclasses import replace

import pytest

from tests.gateway.fakes import CUT_BEFORE_HEAD
from tests.gateway.fakes import FULL
from tests.gateway.fakes import GOOD
from tests.gateway.fakes import Harness
from tests.gateway.fakes import make_head
from tests.gateway.samples import ENGINES
from tests.gateway.samples import LEDGER
from tests.gateway.samples import make_engine_record
from tests.gateway.samples import make_generation
from tests.gateway.samples import make_record
from tests.gateway.samples import make_request
from tests.gateway.samples import make_route
from tests.gateway.samples import make_state
from tests.gateway.samples import make_team
from wigeonmill.gateway.desired import RequestLimits
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import ServiceShare
from wigeonmill.gateway.target_client import ExchangeEnd

EVENT = b'id: 1\ndata: x\n\n'
TEAM = make_team()
LEDGER_ROUTE = make_route()
STREAM_ROUTE = make_route(
    kind=RouteKind.STREAMING,
    resumable=True,
    shares=(ServiceShare(ENGINES, 1.0),),
)
BEFORE = make_state(version=1, routes=[LEDGER_ROUTE], teams=[TEAM])


def drop_services(state):
    return replace(state, services={})


def drop_routes(state):
    return replace(state, routes=())


def drop_teams(state):
    return replace(state, teams=())


def isolate_teams(state):
    return replace(state, teams=(replace(TEAM, isolated=True),))


def change_routes(**changes):
    def change(state):
        routes = tuple(replace(route, **changes) for route in state.routes)
        return replace(state, routes=routes)

    change.__name__ = '_'.join(changes)
    return change


def lower_limits(state):
    return replace(state, limits=RequestLimits(1, 1, 1.0, 1.0))


def rename_services(state):
    services = {'other': replace(state.services[LEDGER], name='other')}
    return replace(state, services=services)


def repeat_version(state):
    return replace(state, version=1)


CHANGES = [
    drop_services,
    drop_routes,
    drop_teams,
    isolate_teams,
    change_routes(shares=()),
    change_routes(shares=(ServiceShare(LEDGER, 0.0),)),
    change_routes(shares=(ServiceShare('other', 1.0),)),
    change_routes(max_targets=1),
    change_routes(timeout_ms=1.0),
    change_routes(kind=RouteKind.UNSAFE),
    lower_limits,
    rename_services,
    repeat_version,
]


def request_at(harness, **changes):
    return make_request(arrived_ms=harness.clock.now_ms(), **changes)


def adopt_during(harness, change, part):
    """Return a part of an answer that comes after versions were adopted."""

    def adopt():
        for version in (2, 3):
            state = change(replace(BEFORE, version=version))
            harness.ctx.desired.adopt(state)
        harness.ctx.desired.adopt(harness.ctx.desired.state)
        return part

    return adopt


@pytest.mark.parametrize('change', CHANGES, ids=lambda c: c.__name__)
@pytest.mark.parametrize('first', [FULL, CUT_BEFORE_HEAD, GOOD])
def test_a_request_that_was_sent_gets_its_answer(change, first):
    records = [make_record('t1'), make_record('t2')]
    harness = Harness([GOOD], records, BEFORE)
    during = adopt_during(harness, change, first[0])
    harness.client.set_scripts([(during, *first[1:]), GOOD])
    channel = harness.run(request_at(harness), LEDGER_ROUTE, TEAM)
    assert (channel.status, channel.body) == (200, b'whole')
    assert channel.finished


@pytest.mark.parametrize('change', CHANGES, ids=lambda c: c.__name__)
def test_a_stream_that_was_begun_comes_to_its_end(change):
    records = [make_engine_record('e1'), make_engine_record('e2')]
    harness = Harness([GOOD], records, BEFORE)
    during = adopt_during(harness, change, ExchangeEnd.BROKEN)
    later = EVENT.replace(b'1', b'2', 1)
    harness.client.set_scripts(
        [
            (make_head(), EVENT, during),
            (make_head(), later, ExchangeEnd.COMPLETE),
        ]
    )
    req = request_at(harness, generation=make_generation())
    channel = harness.run(req, STREAM_ROUTE, TEAM)
    assert channel.body == EVENT + later
    assert channel.finished
    assert not channel.aborted


# Requests of routes without a target are refused, and keep their promise.
@pytest.mark.parametrize('weight', [0.0, 1.0])
def test_a_request_of_a_route_without_targets_is_refused(weight):
    route = make_route(shares=(ServiceShare('gone', weight),))
    harness = Harness([GOOD], [make_record('t1')], BEFORE)
    channel = harness.run(request_at(harness), route, TEAM)
    assert channel.status == 503
    assert harness.client.sent == []
