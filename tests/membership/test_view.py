"""The view without I/O: merges, suspicion, refutation, cut-off observers."""

from hypothesis import given
from hypothesis import strategies as st

from tests.membership.samples import make_member
from tests.membership.samples import make_view
from wigeonmill.clock import ManualClock
from wigeonmill.membership.member import from_wire
from wigeonmill.membership.member import merge
from wigeonmill.membership.member import State
from wigeonmill.membership.member import to_wire
from wigeonmill.membership.overlay import is_reader
from wigeonmill.membership.overlay import neighbors
from wigeonmill.membership.overlay import READERS_PER_DOMAIN
from wigeonmill.membership.overlay import RINGS
from wigeonmill.membership.view import View
from wigeonmill.membership.view import ViewLimits

LIMITS = ViewLimits()
RECORDS = st.builds(
    make_member,
    st.just('x'),
    domain=st.sampled_from(['gasabo', 'nyarugenge']),
    incarnation=st.integers(1, 3),
    heartbeat=st.integers(0, 3),
    state=st.sampled_from(list(State)),
    config_serial=st.integers(0, 3),
)


@given(RECORDS, RECORDS, RECORDS)
def test_merge_is_commutative_associative_and_idempotent(a, b, c):
    assert merge(a, b) == merge(b, a)
    assert merge(merge(a, b), c) == merge(a, merge(b, c))
    assert merge(merge(a, b), b) == merge(a, b)
    assert from_wire(to_wire(a)) == a


@given(st.lists(RECORDS, max_size=6), st.randoms(use_true_random=False))
def test_order_of_updates_does_not_matter(records, rng):
    views = []
    for _ in range(2):
        view, _clock = make_view()
        for record in records:
            view.merge_update(record)
        views.append((view.members, view.digest))
        rng.shuffle(records)
    assert views[0] == views[1]


def test_suspect_refutes_by_a_higher_heartbeat_and_dead_stays_dead():
    view, clock = make_view('abcdef')
    view.record_contact()
    assert view.suspect('a', neighbors=5)
    suspected = view.members['a']
    suspect_view = View(make_member('a'), clock)
    assert suspect_view.merge_update(suspected)
    assert suspect_view.me.heartbeat == suspected.heartbeat + 1
    clock.advance(LIMITS.suspect_ms)
    view.record_contact()
    assert [m.name for m in view.tick()] == ['a']
    assert not view.merge_update(make_member('a'))
    assert view.members['a'].state is State.DEAD
    assert view.merge_update(suspect_view.me)
    assert view.members['a'].state is State.ALIVE


def test_left_process_does_not_refute_its_state():
    view, clock = make_view('a')
    leaver = View(make_member('a'), clock)
    leaver.leave()
    assert view.merge_update(leaver.me)
    assert not leaver.merge_update(make_member('a').with_state(State.DEAD))
    assert leaver.me.state is State.LEFT
    assert view.merge_update(make_member('a', incarnation=2))
    assert view.members['a'].state is State.ALIVE
    assert leaver.merge_update(make_member('a', incarnation=2)) is False
    assert leaver.superseded


def test_a_process_with_a_slow_clock_replaces_its_dead_predecessor():
    view, _clock = make_view()
    assert view.merge_update(
        make_member('me', incarnation=9, state=State.DEAD)
    )
    assert not view.superseded
    assert view.me.version_key == (9, 1)


def test_observer_that_is_cut_off_suspects_and_removes_nobody():
    view, clock = make_view('abcdef')
    view.record_contact()
    assert view.suspect('a', neighbors=5)
    clock.advance(LIMITS.suspect_ms * 3)
    assert view.cut_off and view.frozen
    assert not view.suspect('b', neighbors=5)
    assert view.tick() == []
    view.record_contact()
    assert [m.name for m in view.tick()] == ['a']


def test_no_member_is_removed_while_half_the_view_is_suspect():
    view, clock = make_view('abcdefg')
    view.record_contact()
    for name in 'abcd':
        view.suspect(name, neighbors=5)
    clock.advance(LIMITS.suspect_ms * 3)
    view.record_contact()
    assert view.frozen
    assert view.tick() == []
    # Fewer than half: a lost failure domain is removed.
    view.merge_update(make_member('a', heartbeat=1))
    assert len(view.tick()) == 3


def test_gone_members_are_bounded_and_dropped_after_a_time():
    limits = ViewLimits(max_gone=3)
    clock = ManualClock(1000.0)
    view = View(make_member('me'), clock, limits)
    for number in range(10):
        view.merge_update(make_member(f'm{number}', state=State.DEAD))
    assert len(view.members) == 3
    clock.advance(limits.forget_ms)
    view.tick()
    assert view.members == {}
    assert view.digest == view.me.digest


def test_synced_view_leaves_conflicts_to_the_member_itself():
    view, _clock = make_view('ab')
    view.pop_updates(10)
    dead = make_member('a', state=State.DEAD)
    assert view.merge_synced(dead)
    assert view.members['a'].state is State.ALIVE
    assert not view.merge_synced(make_member('c'))
    assert 'c' in view.members and not view.has_pending_updates


def test_neighbors_are_few_and_mutual_and_connect_all_members():
    members = [make_member(f'm{number}') for number in range(200)]
    edges = {}
    for me in members:
        others = [m for m in members if m is not me]
        edges[me.name] = {m.name for m in neighbors(me, others)}
    assert max(map(len, edges.values())) <= 2 * RINGS
    assert all(me in edges[other] for me in edges for other in edges[me])
    reached, hops = {'m0'}, 0
    while len(reached) < len(members):
        reached |= {name for known in reached for name in edges[known]}
        hops += 1
    assert hops <= 6


def test_readers_of_a_domain_are_a_fixed_number_at_any_size():
    for size in (1, 2, 10, 100):
        members = [make_member(f'm{number}') for number in range(size)]
        members += [make_member(f'o{n}', 'kicukiro') for n in range(size)]
        readers = [
            me.failure_domain
            for me in members
            if is_reader(me, [m for m in members if m is not me])
        ]
        expected = min(size, READERS_PER_DOMAIN)
        assert readers.count('gasabo') == expected
        assert readers.count('kicukiro') == expected
