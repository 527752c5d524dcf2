"""Teams share a cache only with those that they may share it with."""

import random

from hypothesis import given
from hypothesis import strategies as st
import pytest

from tests.gateway.samples import MODEL
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.allowances import RetryLimits
from wigeonmill.gateway.cache_salt import cache_salt
from wigeonmill.gateway.cache_salt import CacheOwners
from wigeonmill.gateway.cache_salt import owner_of_salt
from wigeonmill.gateway.cache_salt import weights_of_salt
from wigeonmill.gateway.context import GatewayContext
from wigeonmill.gateway.desired import DesiredState
from wigeonmill.gateway.desired import Team
from wigeonmill.metrics import Metrics

NAMES = ('one', 'two', 'three')
SHARES, ISOLATED, ABSENT = 'shares', 'isolated', 'absent'


def make_teams(**kinds):
    return tuple(
        Team(name, (f'key-{name}',), isolated=kind == ISOLATED)
        for name, kind in kinds.items()
        if kind != ABSENT
    )


def owner_in(teams, name):
    return CacheOwners(teams).owner(Team(name, ()))


# Guards against WALL: what a team had left in the shared cache was used by
# others after it had been isolated.
@given(
    st.lists(
        st.fixed_dictionaries(
            {n: st.sampled_from((SHARES, ISOLATED, ABSENT)) for n in NAMES}
        ),
        min_size=2,
        max_size=8,
    )
)
def test_no_cache_is_used_that_an_isolated_team_has_used(states):
    used_by = {}
    for kinds in states:
        teams = make_teams(**kinds)
        for name, kind in kinds.items():
            owner = owner_in(teams, name)
            users = used_by.setdefault(owner, set())
            others = users - {name}
            assert kind != ISOLATED or not others
            isolated = {n for n, k in kinds.items() if k == ISOLATED}
            assert not others & isolated
        for name in kinds:
            used_by[owner_in(teams, name)].add(name)


@pytest.mark.parametrize(
    'others, stays',
    [
        ({'three': ISOLATED}, True),
        ({'three': SHARES}, False),
        ({'one': ISOLATED}, False),
        ({'one': ABSENT}, False),
    ],
)
def test_the_shared_cache_changes_with_those_that_share_it(others, stays):
    before = {'one': SHARES, 'two': SHARES}
    first = owner_in(make_teams(**before), 'two')
    assert (owner_in(make_teams(**(before | others)), 'two') == first) == stays


def test_a_team_that_is_isolated_again_leaves_the_same_caches():
    shares = make_teams(one=SHARES, two=SHARES)
    isolated = make_teams(one=ISOLATED, two=SHARES)
    for teams in (shares, isolated):
        again = tuple(reversed(teams))
        assert owner_in(again, 'two') == owner_in(teams, 'two')
    assert owner_in(shares, 'one') == owner_in(shares, 'two')
    assert owner_in(isolated, 'one') == 'one'


def test_the_order_keys_and_priorities_of_teams_do_not_matter():
    teams = make_teams(one=SHARES, two=SHARES)
    changed = (Team('two', (), priority=3), Team('one', ('a', 'b')))
    assert owner_in(teams, 'one') == owner_in(changed, 'one')
    assert CacheOwners(teams).owner(None) == owner_in(teams, 'one')


def test_a_request_uses_the_cache_that_its_team_has_now():
    ctx = GatewayContext(
        ManualClock(), random.Random(1), Metrics(), RetryLimits(), lambda: 1
    )
    (one, two) = make_teams(one=SHARES, two=SHARES)
    ctx.desired.adopt(DesiredState(1, (), {}, teams=(one, two)))
    shared = ctx.desired.caches.owner(two)
    isolated = make_teams(one=ISOLATED, two=SHARES)
    ctx.desired.adopt(DesiredState(2, (), {}, teams=isolated))
    assert ctx.desired.caches.owner(one) == 'one'
    assert ctx.desired.caches.owner(two) != shared


def test_salts_name_their_weights_and_owner():
    shared = owner_in(make_teams(one=SHARES), 'one')
    for owner in (shared, 'one'):
        salt = cache_salt(MODEL, 7, owner)
        assert weights_of_salt(salt) == (MODEL, 7)
        assert owner_of_salt(salt) == owner
    assert owner_of_salt('other') is None
    assert weights_of_salt('other') is None
