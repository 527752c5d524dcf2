"""Sample values for the tests of the gateway."""

from wigeonmill.clock import ManualClock
from wigeonmill.gateway.desired import DesiredState
from wigeonmill.gateway.desired import EngineSpec
from wigeonmill.gateway.desired import Route
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import ServiceShare
from wigeonmill.gateway.desired import ServiceSpec
from wigeonmill.gateway.desired import Team
from wigeonmill.gateway.request import CallerRequest
from wigeonmill.gateway.request import Generation
from wigeonmill.gateway.request import PromptPart
from wigeonmill.gateway.targets import Target
from wigeonmill.gateway.targets import TargetRecord

MODEL = 'm'
ENGINES = 'engines'
LEDGER = 'ledger'


def make_route(**changes):
    values = {
        'name': 'r',
        'host': 'h.example',
        'prefix': '/a/',
        'kind': RouteKind.SAFE,
        'shares': (ServiceShare(LEDGER, 1.0),),
        'timeout_ms': 2_000.0,
        'objective_ms': 400.0,
        'max_targets': 2,
        'priority': 1,
    }
    return Route(**(values | changes))


def make_state(version=1, routes=None, teams=()):
    engine = EngineSpec(128, 130_000, 18_432, 12, True)
    return DesiredState(
        version=version,
        routes=tuple(routes or [make_route()]),
        services={
            LEDGER: ServiceSpec(LEDGER, '/health', 110),
            ENGINES: ServiceSpec(
                ENGINES, '/health', 620, 3_000.0, 20.0, engine
            ),
        },
        teams=tuple(teams),
    )


def make_team(name='team', key='key', **changes):
    return Team(name, (key,), **changes)


def make_record(id_='t1', **changes):
    values = {
        'id': id_,
        'started_at_ms': 1_000,
        'service': LEDGER,
        'address': f'127.0.0.1:{id_}',
        'failure_domain': 'd1',
        'slots': 6,
        'draining': False,
        'cold_remaining_ms': 0.0,
        'heartbeat': 1,
    }
    return TargetRecord(**(values | changes))


def make_engine_record(id_='e1', version=1, **changes):
    values = {
        'service': ENGINES,
        'slots': 128,
        'weights': {MODEL: version},
        'software_version': 'v1',
    }
    return make_record(id_, **(values | changes))


def make_target(clock=None, **changes):
    return Target(make_record(**changes), clock or ManualClock())


def make_generation(subject='s1', tokens=8_000, own=1_000):
    parts = (
        PromptPart('common', 500),
        PromptPart(subject, tokens),
        PromptPart(f'own of {subject}', own),
    )
    return Generation(MODEL, 500 + tokens + own, 64, parts)


def make_request(**changes):
    values = {
        'id': 'q1',
        'method': 'POST',
        'target': '/a/x?y=1',
        'host': 'h.example',
        'key': 'key',
        'deadline_ms': 4_000.0,
        'arrived_ms': 0.0,
        'fields': (('X-Other', '1'),),
        'body': b'body',
    }
    return CallerRequest(**(values | changes))
