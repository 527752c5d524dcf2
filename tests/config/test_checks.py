import hashlib

import msgspec
import pytest

from tests.config import samples
from wigeonmill.config.acceptance import find_faults
from wigeonmill.config.checks import check_document
from wigeonmill.config.checks import MAX_VALUE_BYTES
from wigeonmill.config.checks import split_address
from wigeonmill.config.model import Document
from wigeonmill.config.model import Team

# Changes whose fault is reported at another place than the changed one.
REPORTED_POINTERS = {
    ('models', 0, 'name'): '/services/0/model',
    ('models', 0, 'adapters'): '/models/0/adapters/1',
    ('teams', 0, 'key_hashes'): '/teams/0/key_hashes/0',
}


def set_value(tree, path, value):
    for part in path[:-1]:
        tree = tree[part]
    tree[path[-1]] = value


@pytest.mark.parametrize(
    'path, value, problem',
    [
        (('services', 1, 'name'), 'assistant', 'name is also'),
        (('teams', 3, 'name'), 'dispatch-desk', 'name is also'),
        (('models', 0, 'name'), 'other', 'unknown model'),
        (('models', 0, 'adapters'), ['a', 'a'], 'listed twice'),
        (('store_vms', 0, 'failure_domain'), 'huye', 'unknown failure'),
        (('store_vms', 0, 'address'), 'store:80', 'not an IP address'),
        (('services', 0, 'non_repeatable'), [('GET', '/')], 'no such calls'),
        (('services', 1, 'model'), 'returns-assistant', 'has no model'),
        (('services', 1, 'targets'), [], 'no target in service'),
        (('services', 0, 'cold_concurrency'), 33, 'larger than'),
        (('teams', 0, 'key_hashes'), ['AB' * 32], 'not a key hash'),
        (('teams', 0, 'key_hashes'), ['ab' * 31], 'not a key hash'),
        (('limits', 'default_deadline_ms'), 700_000, 'larger than'),
    ],
)
def test_fault_across_sections_is_found(path, value, problem):
    tree = samples.load_tree()
    if path[-1] == 'non_repeatable':
        value = [{'method': m, 'path_prefix': p} for m, p in value]
    set_value(tree, path, value)
    faults = check_document(msgspec.convert(tree, Document))
    pointer = REPORTED_POINTERS.get(path, '/' + '/'.join(map(str, path)))
    assert [f.pointer for f in faults if problem in f.problem] == [pointer]


def test_key_of_two_teams_is_refused_without_showing_it():
    tree = samples.load_tree()
    key_hash = tree['teams'][0]['key_hashes'][0]
    tree['teams'][4]['key_hashes'] = [key_hash]
    (fault,) = check_document(msgspec.convert(tree, Document))
    assert fault.pointer == '/teams/4/key_hashes/0'
    assert key_hash not in fault.line()


def test_two_targets_with_one_agent_address_are_refused():
    tree = samples.load_tree()
    targets = tree['services'][0]['targets']
    targets[1]['agent'] = targets[0]['agent']
    (fault,) = check_document(msgspec.convert(tree, Document))
    assert fault.pointer == '/services/0/targets/1/agent'


@pytest.mark.parametrize(
    'text, parsed',
    [
        ('10.0.0.1:80', ('10.0.0.1', 80)),
        ('[fd00::1]:7100', ('fd00::1', 7100)),
        ('fd00::1:7100', None),
        ('[10.0.0.1]:80', None),
        ('10.0.0.1:0', None),
        ('10.0.0.1:65536', None),
        ('10.0.0.1:８０', None),
        ('10.0.0.1', None),
        ('localhost:80', None),
    ],
)
def test_addresses_are_ip_and_port(text, parsed):
    assert split_address(text) == parsed


def test_examples_have_no_faults():
    for name in ('alliance', 'isoko'):
        assert find_faults(None, samples.load_example(name)) == []


def test_draining_one_of_three_domains_is_allowed_but_two_need_force():
    old = samples.load_example()
    one = samples.drained(old, 'gasabo')
    assert find_faults(old, one) == []
    two = samples.drained(old, 'gasabo', 'kicukiro')
    faults = find_faults(old, two)
    assert len(faults) == 2 and all(f.forceable for f in faults)
    assert find_faults(old, two, force=True) == []


def test_service_without_targets_cannot_be_forced():
    old = samples.load_example()
    new = samples.drained(old, 'gasabo', 'kicukiro', 'nyarugenge')
    faults = find_faults(old, new, force=True)
    assert [f.pointer for f in faults] == [
        '/services/0/targets',
        '/services/1/targets',
    ]


def make_teams(count, hashes_each):
    return [
        Team(
            f'team-{i:05d}',
            [
                hashlib.sha256(f'{i} {k}'.encode()).hexdigest()
                for k in range(hashes_each)
            ],
        )
        for i in range(count)
    ]


def test_4900_teams_fit_and_a_document_near_the_limit_needs_force():
    base = samples.load_example()
    full = msgspec.structs.replace(base, teams=make_teams(4900, 2))
    assert find_faults(None, full) == []
    near = msgspec.structs.replace(base, teams=make_teams(12_500, 2))
    (fault,) = find_faults(None, near)
    assert fault.forceable and str(MAX_VALUE_BYTES) in fault.value
    over = msgspec.structs.replace(base, teams=make_teams(15_000, 2))
    (fault,) = find_faults(None, over, force=True)
    assert not fault.forceable
