from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.gateway.mirror import MAX_SHARED_RECORDS
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record


def test_an_older_change_never_replaces_a_newer_one():
    mirror = Mirror()
    mirror.apply([Record('op/x', 5, b'new')])
    assert mirror.apply([Record('op/x', 4, b'old')]) == 0
    assert mirror.get('op/x').value == b'new'


def test_what_a_listing_leaves_out_is_removed_unless_it_is_newer():
    mirror = Mirror()
    seen = []
    mirror.subscribe(seen.append)
    mirror.apply([Record('op/a', 2, b'a'), Record('op/b', 9, b'b')])
    mirror.replace([Record('op/c', 3, b'c')], 7)
    assert mirror.get('op/a') == Record('op/a', 7, None)
    assert mirror.get('op/b').value == b'b'
    assert seen[-1] == Record('op/a', 7, None)


def test_it_is_complete_up_to_its_last_listing_and_never_less():
    mirror = Mirror()
    mirror.apply([Record('op/a', 12, b'a')])
    assert mirror.complete == 0
    mirror.replace([], 10)
    assert mirror.complete == 10
    mirror.replace([], 6)
    assert mirror.complete == 10


def test_another_entry_hears_removals_too():
    mine, theirs = Mirror(), Mirror()
    mine.replace([], 3)
    mine.apply([Record('op/a', 4, b'a'), Record('targets/t', 5, None)])
    mine.advance(5)
    records, complete = mine.changes_since(3)
    theirs.apply([Record('targets/t', 2, b't')])
    theirs.merge(records, complete)
    assert theirs.get('targets/t').value is None
    assert theirs.complete == 5


def test_a_long_history_is_told_in_parts_without_a_gap():
    mine, theirs = Mirror(), Mirror()
    count = MAX_SHARED_RECORDS + 40
    mine.apply([Record(f'op/{n}', n + 1, b'') for n in range(count)])
    mine.advance(count)
    while theirs.complete < mine.complete:
        records, complete = mine.changes_since(theirs.complete)
        assert complete > theirs.complete
        theirs.merge(records, complete)
    assert len(theirs.present()) == count


@given(st.permutations([(k, r) for r, k in enumerate('abcabcab', start=1)]))
def test_changes_may_come_in_any_order(changes):
    mirror = Mirror()
    for key, revision in changes:
        mirror.apply([Record(key, revision, str(revision).encode())])
    assert mirror.get('a').revision == 7
    assert mirror.get('b').revision == 8
    assert mirror.get('c').revision == 6
