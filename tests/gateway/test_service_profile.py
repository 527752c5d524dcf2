from tests.gateway.samples import ENGINES
from tests.gateway.samples import make_route
from tests.gateway.samples import make_state
from tests.gateway.samples import make_team
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.desired import ServiceShare
from wigeonmill.gateway.service_profile import ServiceProfiles


def make_model_route(**changes):
    shares = (ServiceShare(ENGINES, 1.0),)
    return make_route(kind=RouteKind.STREAMING, shares=shares, **changes)


def test_only_the_routes_with_the_most_time_can_wait():
    routes = [
        make_route(objective_ms=100.0),
        make_model_route(objective_ms=422.0, priority=2),
        make_model_route(objective_ms=1_545.0, priority=4),
    ]
    teams = [make_team(priority=0), make_team('other', 'key-2')]
    state = make_state(routes=routes, teams=teams)
    profiles = ServiceProfiles()
    profile = profiles.get(state, ENGINES)
    assert profile.priorities == {0, 2, 4}
    assert not profile.has_shorter(422.0)
    assert not profile.can_wait(422.0)
    assert profile.has_shorter(1_545.0)
    assert profile.can_wait(1_545.0)
    assert profiles.get(state, ENGINES) is profile


def test_with_one_objective_all_long_prompts_can_wait():
    state = make_state(routes=[make_model_route(objective_ms=422.0)])
    profile = ServiceProfiles().get(state, ENGINES)
    assert profile.can_wait(422.0)
    # But there is no more urgent route to leave memory for.
    assert not profile.has_shorter(422.0)


def test_routes_that_send_nothing_to_a_service_do_not_count():
    idle = make_route(
        kind=RouteKind.STREAMING,
        shares=(ServiceShare(ENGINES, 0.0), ServiceShare('other', 1.0)),
        objective_ms=100.0,
        priority=6,
        public=True,
    )
    routes = [idle, make_model_route(objective_ms=422.0, public=True)]
    profile = ServiceProfiles().get(make_state(routes=routes), ENGINES)
    assert not profile.has_shorter(422.0)
    assert 6 not in profile.priorities


def test_a_new_configuration_has_profiles_of_its_own():
    profiles = ServiceProfiles()
    profiles.get(make_state(routes=[make_model_route()]), ENGINES)
    routes = [make_model_route(priority=7, public=True)]
    state = make_state(2, routes, [make_team(priority=3)])
    assert profiles.get(state, ENGINES).priorities == {3, 7}
    assert profiles.get(None, ENGINES).priorities == set()


def test_priorities_that_all_teams_override_are_not_in_use():
    state = make_state(
        routes=[make_model_route(priority=2)], teams=[make_team(priority=1)]
    )
    assert ServiceProfiles().get(state, ENGINES).priorities == {1}
