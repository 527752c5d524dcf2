import base64

import pytest

from alliance.store import AllianceStore
from tests.platform.standin import Reply
from tests.platform.standin import with_standin
from wigeonmill.gateway.mirror import Record
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
