import asyncio
import base64

import pytest

from alliance.store import AllianceStore
from tests.platform.standin import Reply
from tests.platform.standin import with_standin
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.revisions import position
from wigeonmill.providers.key_value import KvErrorKind


def item(key, revision, value=b'v', **changes):
    text = base64.b64encode(value).decode()
    return {'key': key, 'revision': revision, 'value': text, **changes}


def check_store(answer, check):
    async def run(standin, transfers):
        await check(AllianceStore(standin.address, transfers), standin)

    with_standin(answer, run)


def test_listing_reads_every_page_with_the_revision_of_the_first():
    pages = {
        '': {
            'items': [item('op/a', 3, b'\x00\xff')],
            'truncated': True,
            'storeRevision': 9,
        },
        'op/a': {'items': [item('op/b', 4)], 'storeRevision': 11},
    }

    async def check(store, standin):
        found = (await store.listing()).unwrap()
        assert found.records == (
            Record('op/a', 3, b'\x00\xff'),
            Record('op/b', 4, b'v'),
        )
        assert found.revision == 9

    check_store(
        lambda call: Reply(body=pages[call.query.get('after', '')]), check
    )


# Guards against CONFIG: a listing of several pages began anew after each
# failure, and fetched the same pages again and again.
def test_a_listing_that_was_broken_off_goes_on_with_the_missing_page():
    refused = []

    def answer(call):
        after = call.query.get('after', '')
        if after and not refused:
            refused.append(after)
            return Reply(503, {})
        body = {'items': [item('op/a', 3)], 'storeRevision': 9}
        if after:
            body = {'items': [item('op/b', 4)], 'storeRevision': 11}
        return Reply(body=body | {'truncated': not after})

    async def check(store, standin):
        assert (await store.listing()).is_err()
        await asyncio.sleep(0.05)
        found = (await store.listing()).unwrap()
        assert [record.key for record in found.records] == ['op/a', 'op/b']
        assert found.revision == 9
        # The copy is as old as the first page.
        assert found.age_ms >= 50.0
        asked = [call.query.get('after', '') for call in standin.calls]
        assert asked == ['', 'op/a', 'op/a']

    check_store(answer, check)


def test_a_listing_is_begun_anew_if_its_first_page_is_of_another_era():
    answers = [
        Reply(body={'items': [item('a', 8)], 'storeRevision': 9})
        for _page in range(3)
    ]
    answers[0].body['truncated'] = True
    answers[1].body['storeRevision'] = 5
    answers[2].body['storeRevision'] = 6

    async def check(store, standin):
        assert (await store.listing()).is_err()
        assert (await store.listing()).is_ok()
        assert 'after' not in standin.calls[2].query

    check_store(lambda call: answers.pop(0), check)


def test_watch_returns_changes_and_removals():
    events = [
        item('op/a', 12),
        {'key': 'op/b', 'revision': 13, 'removed': True},
    ]

    async def check(store, standin):
        found = (await store.changes(11, 50, fresh=False)).unwrap()
        assert found.records == (
            Record('op/a', 12, b'v'),
            Record('op/b', 13, None),
        )
        assert found.revision == 13
        assert standin.calls[0].query == {
            'prefix': '',
            'after': '11',
            'waitMs': '50',
        }

    check_store(
        lambda call: Reply(body={'events': events, 'storeRevision': 13}),
        check,
    )


@pytest.mark.parametrize(
    ('status', 'kind'),
    [
        (410, KvErrorKind.INVALID),
        (429, KvErrorKind.UNAVAILABLE),
        (503, KvErrorKind.UNAVAILABLE),
        (500, KvErrorKind.UNKNOWN),
    ],
)
def test_error_statuses_are_distinguished(status, kind):
    async def check(store, standin):
        outcome = await store.changes(1, 50, fresh=True)
        assert outcome.unwrap_err().kind is kind

    check_store(lambda call: Reply(status, {}), check)


def test_swap_sends_its_condition_and_reports_a_conflict():
    async def check(store, standin):
        assert (await store.compare_and_swap('k', 0, b'x', 7)).unwrap() == 21
        sent = standin.calls[0].body
        assert sent['expected'] == [{'key': 'k', 'revision': 0}]
        value = base64.b64encode(b'x').decode()
        assert sent['setKeys'] == [{'key': 'k', 'value': value, 'lease': 7}]
        conflict = await store.compare_and_swap('k', 5, b'x')
        assert conflict.unwrap_err().kind is KvErrorKind.CONFLICT

    def answer(call):
        if call.body['expected'][0]['revision'] == 0:
            return Reply(body={'revision': 21})
        return Reply(412, {'items': []})

    check_store(answer, check)


def test_outcome_of_a_write_without_an_answer_is_unknown():
    async def check(store, standin):
        written = await store.compare_and_swap('k', 0, b'x')
        assert written.unwrap_err().kind is KvErrorKind.UNKNOWN

    check_store(lambda call: Reply(lost=True), check)


def test_leases_are_granted_renewed_and_revoked():
    async def check(store, standin):
        assert (await store.grant_lease(3_000)).unwrap() == 77
        assert (await store.keep_alive(77)).is_ok()
        expired = await store.keep_alive(78)
        assert expired.unwrap_err().kind is KvErrorKind.INVALID
        assert (await store.revoke_lease(77)).is_ok()
        paths = [(call.method, call.path) for call in standin.calls]
        assert paths[-1] == ('DELETE', '/wigeonmill/kv-lease-end/77')

    def answer(call):
        if call.path.endswith('/78'):
            return Reply(404, {})
        return Reply(body={'lease': 77, 'ttlMs': 3_000})

    check_store(answer, check)


def test_malformed_reply_is_an_error():
    async def check(store, standin):
        outcome = await store.listing()
        assert outcome.unwrap_err().kind is KvErrorKind.UNKNOWN

    check_store(lambda call: Reply(body='no json'), check)


def era(number):
    return {'Store-Era': str(number)}


def listing(revision, headers, *items):
    body = {'items': list(items), 'storeRevision': revision}
    return Reply(body=body, headers=headers)


def test_positions_carry_the_era_that_the_store_names():
    async def check(store, standin):
        found = (await store.listing()).unwrap()
        assert found.revision == position(3, 9)
        assert found.records == (Record('op/a', position(3, 5), b'v'),)
        swapped = await store.compare_and_swap('k', position(3, 5), b'x')
        assert swapped.unwrap() == position(3, 10)
        assert standin.calls[-1].body['expected'][0]['revision'] == 5
        await store.changes(position(3, 9), 50, fresh=False)
        assert standin.calls[-1].query['after'] == '9'

    def answer(call):
        if call.path.endswith('kv-range'):
            return listing(9, era(3), item('op/a', 5))
        if call.path.endswith('kv-txn'):
            return Reply(body={'revision': 10}, headers=era(3))
        body = {'events': [], 'storeRevision': 9}
        return Reply(body=body, headers=era(3))

    check_store(answer, check)


# Guards against a late answer that is taken for a restored store: the copy
# would go back to records that are no longer in force.
def test_an_older_answer_of_the_same_era_is_no_restore():
    revisions = iter([90, 80])

    async def check(store, standin):
        assert (await store.listing()).unwrap().revision == position(3, 90)
        outcome = await store.listing()
        assert outcome.unwrap_err().kind is KvErrorKind.UNAVAILABLE

    check_store(lambda call: listing(next(revisions), era(3)), check)


def test_an_answer_of_an_era_that_is_over_is_ignored():
    eras = iter([4, 3])

    async def check(store, standin):
        assert (await store.listing()).unwrap().revision == position(4, 90)
        outcome = await store.listing()
        assert outcome.unwrap_err().kind is KvErrorKind.UNAVAILABLE

    check_store(lambda call: listing(90, era(next(eras))), check)


def test_a_lower_revision_without_an_era_is_a_restore():
    revisions = iter([90, 40, 41])

    async def check(store, standin):
        assert (await store.listing()).unwrap().revision == 90
        assert (await store.listing()).unwrap().revision == position(1, 40)
        assert (await store.listing()).unwrap().revision == position(1, 41)

    check_store(lambda call: listing(next(revisions), {}), check)


# Guards against an entry that has just started after a restore and counts
# revisions in an era of its own.
def test_the_era_of_other_entries_counts_without_a_named_one():
    async def check(store, standin):
        await store.changes(position(2, 30), 50, fresh=False)
        assert (await store.listing()).unwrap().revision == position(2, 40)

    def answer(call):
        if call.path.endswith('kv-range'):
            return listing(40, {})
        return Reply(body={'events': [], 'storeRevision': 35})

    check_store(answer, check)


# Guards against orders that engines refuse for good, because all entries have
# restarted since a restore and their fencing tokens are lower than before.
@pytest.mark.parametrize(
    ('headers', 'counted'), [({}, 2), (era(1), 1)], ids=['inferred', 'named']
)
def test_an_era_in_a_record_counts_without_a_named_one(headers, counted):
    async def check(store, standin):
        first = (await store.listing()).unwrap()
        store.adopt_era(position(2, 83))
        changed = await store.changes(first.revision, 50, fresh=False)
        assert changed.is_err() == (counted == 2)
        found = (await store.listing()).unwrap()
        assert found.revision == position(counted, 30)

    def answer(call):
        if call.path.endswith('kv-range'):
            return listing(30, headers)
        body = {'events': [], 'storeRevision': 30}
        return Reply(body=body, headers=headers)

    check_store(answer, check)


@pytest.mark.parametrize(
    'headers', [era(4), {}], ids=['later era', 'lower revision']
)
def test_a_watch_across_a_restore_asks_for_a_listing(headers):
    async def check(store, standin):
        outcome = await store.changes(position(3, 90), 50, fresh=False)
        assert outcome.unwrap_err().kind is KvErrorKind.INVALID

    body = {'events': [], 'storeRevision': 40}
    check_store(lambda call: Reply(body=body, headers=headers), check)


def test_a_listing_across_a_restore_is_not_used():
    pages = iter([3, 4])

    async def check(store, standin):
        outcome = await store.listing()
        assert outcome.unwrap_err().kind is KvErrorKind.UNAVAILABLE

    def answer(call):
        body = {
            'items': [item('op/a', 3)],
            'truncated': True,
            'storeRevision': 9,
        }
        return Reply(body=body, headers=era(next(pages)))

    check_store(answer, check)


@pytest.mark.parametrize('text', ['', 'x', '-1', '1.5', '9' * 5_000])
def test_a_malformed_era_is_an_error(text):
    async def check(store, standin):
        outcome = await store.listing()
        assert outcome.unwrap_err().kind is KvErrorKind.UNKNOWN

    check_store(lambda call: listing(9, {'Store-Era': text}), check)


@pytest.mark.parametrize('revision', [-1, 2**40, 2**70])
def test_a_revision_out_of_range_is_an_error(revision):
    async def check(store, standin):
        outcome = await store.listing()
        assert outcome.unwrap_err().kind is KvErrorKind.UNKNOWN

    check_store(lambda call: listing(revision, {}), check)


# Guards against a report of another operator: an answer whose head was cut off
# was taken for an empty one, here for a store that lost all records.
@pytest.mark.parametrize(
    'text', ['', '{}', '{"items": []}', '{"items": [], "truncated": false}']
)
def test_an_empty_answer_is_no_listing_without_records(text):
    async def check(store, standin):
        assert (await store.listing()).is_err()
        assert (await store.changes(1, 50, fresh=False)).is_err()

    check_store(lambda call: Reply(body=text), check)
