"""Plans of the cached parts that a request fetches and saves."""

from tests.gateway.samples import make_generation
from tests.gateway.samples import make_request
from tests.gateway.samples import make_target
from tests.gateway.samples import make_team
from wigeonmill.clock import ManualClock
from wigeonmill.gateway.cache_planner import FETCH_FIXED_MS
from wigeonmill.gateway.cache_planner import FETCH_MS_PER_TOKEN
from wigeonmill.gateway.cache_planner import salt_for
from wigeonmill.gateway.cache_planner import StorePlanner
from wigeonmill.gateway.cache_salt import CacheOwners
from wigeonmill.gateway.cache_salt import weights_of_salt
from wigeonmill.gateway.desired import CacheStoreSpec
from wigeonmill.gateway.store_view import CacheEvent
from wigeonmill.gateway.store_view import CacheEventBatch
from wigeonmill.gateway.store_view import CacheListing
from wigeonmill.gateway.store_view import StoreView
from wigeonmill.gateway.store_view import VALIDITY_MS
from wigeonmill.metrics import Metrics

STORES = ('127.0.0.1:1', '127.0.0.1:2')


class FakeWatch:
    """Two stores that were polled and have not restarted recently."""

    def __init__(self, clock):
        self.clock = clock
        self.views = {a: StoreView(clock, a) for a in STORES}
        self.specs = {
            a: CacheStoreSpec(a, a, 'd', 1_000_000, 1.0, 1.0, 12, True)
            for a in STORES
        }
        for view in self.views.values():
            view.apply_listing(CacheListing(1, 0, ()))
        clock.advance(VALIDITY_MS * 2)
        self.report_events()

    def view(self, address):
        return self.views[address]

    def report_events(self, *events):
        now_ms = self.clock.now_ms()
        for view in self.views.values():
            batch = CacheEventBatch(1, 1, False, int(now_ms), events)
            view.apply_events(batch, now_ms)


def make_planner():
    clock = ManualClock()
    watch = FakeWatch(clock)
    owners = CacheOwners()
    return StorePlanner(watch, owners.owner, Metrics()), watch


def plan_of(planner, version=1, team=None, subject='s1', id_='q1'):
    req = make_request(id=id_, generation=make_generation(subject))
    return planner.plan(req, team, make_target(), version)


def test_shared_parts_are_saved_once_and_the_last_part_never():
    planner, _watch = make_planner()
    first = plan_of(planner)
    assert all(first.save_to[:-1])
    assert first.save_to[-1] is None
    assert plan_of(planner, id_='q2').save_to == (None, None, None)


def test_a_request_that_is_sent_again_saves_its_parts_again():
    planner, _watch = make_planner()
    first = plan_of(planner)
    assert plan_of(planner).save_to == first.save_to
    assert plan_of(planner, id_='q2').save_to == (None, None, None)


def test_complete_parts_are_fetched_with_a_useful_deadline():
    planner, watch = make_planner()
    plan = plan_of(planner)
    watch.report_events(
        CacheEvent(True, plan.salt, 'common', 496),
        CacheEvent(True, plan.salt, 's1', 8_000),
    )
    fetching = plan_of(planner)
    assert all(fetching.fetch_from[:-1])
    assert fetching.fetch_from[-1] is None
    assert fetching.fetched_tokens == 8_496
    useful_ms = FETCH_FIXED_MS + FETCH_MS_PER_TOKEN * 8_496
    assert fetching.fetch_until_ms == int(watch.clock.now_ms() + useful_ms)
    req = make_request(generation=make_generation('s1'))
    assert planner.fetchable_tokens(req, None, 1) == 8_496


def test_a_part_is_fetched_from_where_it_was_saved():
    planner, watch = make_planner()
    saved = plan_of(planner)
    watch.report_events(CacheEvent(True, saved.salt, 's1', 8_000))
    assert plan_of(planner).fetch_from[1] == saved.save_to[1]


def test_versions_and_isolated_teams_have_separate_salts():
    isolated = make_team('one', isolated=True)
    other = make_team('two', isolated=True)
    sharing = make_team('three')
    owners = CacheOwners((isolated, other, sharing))
    req = make_request(generation=make_generation())
    salts = {
        salt_for(req, owners.owner(team), version)
        for team in (None, isolated, other)
        for version in (1, 2)
    }
    assert len(salts) == 6
    shared = salt_for(req, owners.owner(sharing), 1)
    assert shared == salt_for(req, owners.owner(None), 1)
    assert weights_of_salt(shared) == ('m', 1)


def test_without_a_known_version_nothing_is_shared():
    planner, _watch = make_planner()
    first, second = plan_of(planner, None), plan_of(planner, None)
    assert first.salt != second.salt
    assert first.save_to == ()


def test_a_fetch_ends_before_the_view_of_the_store_expires():
    planner, watch = make_planner()
    plan = plan_of(planner)
    watch.report_events(CacheEvent(True, plan.salt, 's1', 8_000))
    polled_ms = watch.clock.now_ms()
    watch.clock.advance(VALIDITY_MS - 350.0)
    fetching = plan_of(planner)
    assert fetching.fetched_tokens == 8_000
    assert fetching.fetch_until_ms == polled_ms + VALIDITY_MS


def test_a_slow_store_delays_a_prompt_by_less_than_its_objective():
    """A fetch over a slow link ends in time to process the prompt instead."""
    objective_ms = 800.0
    planner, watch = make_planner()
    plan = plan_of(planner)
    watch.report_events(
        CacheEvent(True, plan.salt, 'common', 496),
        CacheEvent(True, plan.salt, 's1', 8_000),
    )
    fetching = plan_of(planner)
    wait_ms = fetching.fetch_until_ms - watch.clock.now_ms()
    assert wait_ms <= objective_ms / 1.5
