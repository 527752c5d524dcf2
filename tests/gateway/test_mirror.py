import itertools

from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.gateway.mirror import MAX_REMOVED_RECORDS
from wigeonmill.gateway.mirror import MAX_SHARED_RECORDS
from wigeonmill.gateway.mirror import Mirror
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.revisions import era_of
from wigeonmill.gateway.revisions import position


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


# Guards against DRAIN: an entry that had restarted told others of all changes
# but the removals before its listing, and they sent to such targets for good.
def test_an_entry_that_missed_removals_before_a_listing_needs_a_listing():
    mine, theirs = Mirror(), Mirror()
    theirs.replace([Record('targets/0', 2, b't')], 4)
    mine.replace([Record('op/a', 6, b'a')], 7)
    assert mine.lacks_changes_since(theirs.complete)
    theirs.replace(mine.present(), mine.complete)
    assert [record.key for record in theirs.present()] == ['op/a']
    mine.apply([Record('op/a', 8, None)])
    mine.advance(8)
    assert not mine.lacks_changes_since(theirs.complete)
    assert theirs.lacks_changes_since(6)


def test_a_listing_that_is_not_newer_hides_no_removals():
    mirror = Mirror()
    mirror.replace([], 3)
    mirror.advance(9)
    mirror.replace([], 9)
    assert not mirror.lacks_changes_since(3)


def put(service, _entries, revision):
    service['a'] = Record('a', revision + 1, b'x')
    return revision + 1


def remove(service, _entries, revision):
    return revision + 1 if service.pop('a', None) else revision


def list_at(number):
    def step(service, entries, revision):
        entries[number].replace(service.values(), revision)
        return revision

    return step


def ask(asked, asking):
    def step(_service, entries, revision):
        mine, theirs = entries[asked], entries[asking]
        if mine.complete <= theirs.complete:
            return revision
        if mine.lacks_changes_since(theirs.complete):
            theirs.replace(mine.present(), mine.complete)
        else:
            theirs.merge(*mine.changes_since(theirs.complete))
        return revision

    return step


STEPS = (put, remove, list_at(0), list_at(1), ask(0, 1), ask(1, 0))


# Guards against DRAIN: a copy that counted as complete kept a removed record.
def test_a_complete_copy_is_that_of_the_service():
    wrong = []
    for steps in itertools.product(range(len(STEPS)), repeat=6):
        service, entries, revision = {}, (Mirror(), Mirror()), 0
        for step in steps:
            revision = STEPS[step](service, entries, revision)
        if any(
            entry.present() != list(service.values())
            for entry in entries
            if entry.complete == revision
        ):
            wrong.append(steps)
    assert not wrong


def make_restored(records, revision, era=1):
    """Return a listing of an era as arguments of `replace`."""
    listed = [
        Record(r.key, position(era, r.revision), r.value) for r in records
    ]
    return listed, position(era, revision)


# Guards against CONFIG: after a restore with lower revisions, the records from
# before it stayed in force.
def test_a_listing_of_a_new_era_replaces_higher_revisions():
    mirror = Mirror()
    mirror.replace([Record('op/a', 90, b'old'), Record('op/b', 80, b'b')], 95)
    changed = []
    mirror.subscribe(changed.append)
    mirror.replace(*make_restored([Record('op/a', 40, b'new')], 42))
    assert mirror.get('op/a').value == b'new'
    assert mirror.get('op/b').value is None
    assert mirror.complete == position(1, 42)
    assert {record.key for record in changed} == {'op/a', 'op/b'}


def test_what_was_in_the_copy_is_not_reported_as_changed():
    mirror = Mirror()
    mirror.replace([Record('op/a', 20, b'a'), Record('op/b', 21, b'b')], 95)
    changed = []
    mirror.subscribe(changed.append)
    mirror.replace(
        *make_restored(
            [Record('op/a', 20, b'a'), Record('op/b', 40, b'b')], 42
        )
    )
    assert [record.key for record in changed] == ['op/b']


def test_a_restore_is_reported_before_its_records():
    mirror = Mirror()
    events = []
    mirror.subscribe_restores(events.append)
    mirror.replace([Record('op/a', 90, b'old')], 95)
    assert not events
    mirror.subscribe(lambda record: events.append(record.key))
    mirror.replace(*make_restored([Record('op/a', 40, b'new')], 42))
    assert events == [95, 'op/a']


# Guards against records that peers or late answers of an era that is over
# bring back.
def test_changes_of_an_earlier_era_are_ignored():
    mirror = Mirror()
    mirror.replace([Record('op/a', 20, b'a'), Record('op/c', 5, b'c')], 95)
    mirror.replace(*make_restored([Record('op/a', 20, b'a')], 42))
    mirror.merge(
        [Record('op/a', 99, b'late'), Record('op/b', 98, b'late')], 99
    )
    mirror.replace([Record('op/c', 97, b'late')], 97)
    assert [(r.key, r.value) for r in mirror.present()] == [('op/a', b'a')]
    assert mirror.complete == position(1, 42)


def test_an_entry_with_an_earlier_era_needs_a_listing():
    mirror = Mirror()
    mirror.replace(*make_restored([Record('op/a', 40, b'a')], 42))
    assert mirror.lacks_changes_since(95)
    assert mirror.lacks_changes_since(42)
    assert not mirror.lacks_changes_since(position(1, 42))


def restore(service, _entries, at):
    """Begin a new era with nothing but what was first written."""
    service.clear()
    era = era_of(at) + 1
    service['a'] = Record('a', position(era, 1), b'copy')
    return position(era, 1)


RESTORE_STEPS = (put, remove, restore, list_at(0), ask(0, 1), ask(1, 0))


# Guards against CONFIG: an entry that had listed a restored service got the
# records from before the restore back from its peers.
def test_a_complete_copy_is_that_of_the_restored_service():
    wrong = []
    for steps in itertools.product(range(len(RESTORE_STEPS)), repeat=6):
        service, entries, at = {}, (Mirror(), Mirror()), 1
        entries[0].replace([], at)
        entries[1].replace([], at)
        for step in steps:
            at = RESTORE_STEPS[step](service, entries, at)
        if any(
            entry.present() != list(service.values())
            for entry in entries
            if entry.complete == at
        ):
            wrong.append(steps)
    assert not wrong
