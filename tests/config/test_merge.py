from hypothesis import given
from hypothesis import strategies as st
import msgspec

from tests.config import samples
from wigeonmill.config.diff import diff_documents
from wigeonmill.config.merge import merge_documents
from wigeonmill.config.model import FailureDomain

BASE = samples.load_example()
NAMES = ('gasabo', 'kicukiro', 'nyarugenge', 'huye')


def make_document(states):
    """Return the example with domains in, out of service or absent."""
    domains = [
        FailureDomain(name, 'kigali', state)
        for name, state in zip(NAMES, states)
        if state is not None
    ]
    return msgspec.structs.replace(BASE, failure_domains=domains)


STATE_TUPLES = st.tuples(*[st.sampled_from([True, False, None])] * 4)


@given(STATE_TUPLES, STATE_TUPLES, STATE_TUPLES)
def test_merge_applies_both_changes_and_conflicts_take_mine(
    base, mine, theirs
):
    merged = merge_documents(*map(make_document, (base, mine, theirs)))
    expected = [theirs[i] if mine[i] == base[i] else mine[i] for i in range(4)]
    assert diff_documents(make_document(expected), merged.document) == []
    conflicting = {
        NAMES[i]
        for i in range(4)
        if base[i] != mine[i] != theirs[i] != base[i]
    }
    assert {
        conflict.place.split('/')[1] for conflict in merged.merge_conflicts
    } == conflicting


def test_two_fields_of_one_target_merge():
    def change(**fields):
        service = BASE.services[0]
        target = msgspec.structs.replace(service.targets[0], **fields)
        service = msgspec.structs.replace(
            service, targets=[target, *service.targets[1:]]
        )
        return msgspec.structs.replace(
            BASE, services=[service, *BASE.services[1:]]
        )

    mine = change(in_service=False)
    theirs = change(address='127.0.0.1:9')
    merged = merge_documents(BASE, mine, theirs)
    assert merged.merge_conflicts == []
    both = change(in_service=False, address='127.0.0.1:9')
    assert merged.document == both
    other = merge_documents(BASE, change(address='127.0.0.1:8'), theirs)
    assert [conflict.place for conflict in other.merge_conflicts] == [
        'services/assistant/targets/engine-1/address'
    ]
