from tests.gateway.samples import make_route
from tests.gateway.samples import make_team
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import RouteTable


def test_the_longest_matching_prefix_wins():
    short = make_route(name='short', prefix='/a/')
    long = make_route(name='long', prefix='/a/b/')
    table = RouteTable([short, long])
    assert table.match('h.example', '/a/b/c') is long
    assert table.match('h.example', '/a/bc') is short
    assert table.match('h.example', '/a/') is short
    assert table.match('h.example', '/a') is None
    assert table.match('other.example', '/a/b/c') is None


def test_a_host_matches_regardless_of_case_and_port():
    table = RouteTable([make_route(host='H.example')])
    assert table.match('h.EXAMPLE:8080', '/a/x') is not None


def test_a_root_prefix_matches_every_path():
    table = RouteTable([make_route(prefix='/')])
    assert table.match('h.example', '/what/ever') is not None


def test_a_key_identifies_its_team():
    team = make_team(key='secret')
    table = RouteTable([], [team])
    assert table.team_of('secret') is team
    assert table.team_of('other') is None
    assert table.needs_key
    assert not RouteTable([]).needs_key


def test_idempotent_route_kinds():
    assert make_route(kind=RouteKind.SAFE).idempotent
    assert not make_route(kind=RouteKind.UNSAFE).idempotent
    assert not make_route(kind=RouteKind.STREAMING).idempotent
    assert make_route(kind=RouteKind.STREAMING, resumable=True).idempotent
