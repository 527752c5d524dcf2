from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.gateway.mirror import MAX_REMOVED_RECORDS
from wigeonmill.gateway.mirror import MAX_SHARED_RECORDS
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record


def test_an_older_change_never_replaces_a_newer_one():
    mirror = Mirror()
    mirror.apply([Record('op/x', 5, b'new')])
    assert mirror.apply([Record('op/x', 4, b'old')]) == 0
    assert mirror.get('op/x').value == b'new'


def test_records_missing_from_a_listing_are_removed_unless_newer():
    mirror = Mirror()
    changed = []
    mirror.subscribe(changed.append)
    mirror.apply([Record('op/a', 2, b'a'), Record('op/b', 9, b'b')])
    mirror.replace([Record('op/c', 3, b'c')], 7)
    assert mirror.get('op/a') == Record('op/a', 7, None)
    assert mirror.get('op/b').value == b'b'
    assert changed[-1] == Record('op/a', 7, None)


def test_the_complete_revision_never_decreases():
    mirror = Mirror()
    mirror.apply([Record('op/a', 12, b'a')])
    assert mirror.complete == 0
    mirror.replace([], 10)
    assert mirror.complete == 10
    mirror.replace([], 6)
    assert mirror.complete == 10


def test_removals_are_shared_with_another_entry():
    mine, theirs = Mirror(), Mirror()
    mine.replace([], 3)
    mine.apply([Record('op/a', 4, b'a'), Record('targets/t', 5, None)])
    mine.advance(5)
    records, complete = mine.changes_since(3)
    theirs.apply([Record('targets/t', 2, b't')])
    theirs.merge(records, complete)
    assert theirs.get('targets/t').value is None
    assert theirs.complete == 5


def test_a_long_history_is_shared_in_batches_without_gaps():
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
def test_changes_may_be_applied_in_any_order(changes):
    mirror = Mirror()
    for key, revision in changes:
        mirror.apply([Record(key, revision, str(revision).encode())])
    assert mirror.get('a').revision == 7
    assert mirror.get('b').revision == 8
    assert mirror.get('c').revision == 6


def replace_targets(mirror, count, first=0):
    """Add and remove `count` targets, two revisions each."""
    for number in range(first, first + count):
        revision = 2 * number + 2
        mirror.apply([Record(f'targets/{number}', revision, b't')])
        mirror.apply([Record(f'targets/{number}', revision + 1, None)])
        mirror.advance(revision + 1)


def test_records_of_removed_keys_are_bounded():
    """Targets are replaced for weeks; each has a new id."""
    mirror = Mirror()
    replace_targets(mirror, MAX_REMOVED_RECORDS + 500)
    assert mirror.get('targets/0') is None
    assert mirror.get(f'targets/{MAX_REMOVED_RECORDS}').value is None
    records, _complete = mirror.changes_since(0)
    assert len(records) <= MAX_SHARED_RECORDS


def test_a_forgotten_removal_is_not_undone_by_an_older_record():
    mirror = Mirror()
    replace_targets(mirror, MAX_REMOVED_RECORDS + 1)
    assert mirror.apply([Record('targets/0', 2, b't')]) == 0
    assert not mirror.present()


def test_an_entry_that_missed_forgotten_removals_needs_a_listing():
    mine, theirs = Mirror(), Mirror()
    theirs.apply([Record('targets/0', 2, b't')])
    theirs.advance(2)
    replace_targets(mine, MAX_REMOVED_RECORDS + 1)
    assert mine.lacks_changes_since(theirs.complete)
    assert not mine.lacks_changes_since(mine.complete)
    theirs.replace(mine.present(), mine.complete)
    assert not theirs.present()
    assert theirs.complete == mine.complete
