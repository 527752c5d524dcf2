import json

from hypothesis import given
from hypothesis import strategies as st
import pytest

from alliance.records import AllianceRecords
from alliance.rollouts import AllianceRollouts
from wigeonmill.gateway.changes import DesiredStateChanged
from wigeonmill.gateway.changes import DesiredWeightsChanged
from wigeonmill.gateway.changes import DomainServiceChanged
from wigeonmill.gateway.changes import SoftwareRolloutOrdered
from wigeonmill.gateway.changes import SoftwareRolloutUnreadable
from wigeonmill.gateway.changes import SoftwareRolloutWithdrawn
from wigeonmill.gateway.changes import TargetListed
from wigeonmill.gateway.changes import TargetUnlisted
from wigeonmill.gateway.desired import RouteKind
from wigeonmill.gateway.mirror import Record
from wigeonmill.gateway.rollout_stages import Stage

TARGET = {
    'service': 's',
    'address': '127.0.0.1:1',
    'zone': 'z',
    'version': 'v1',
    'capacity': 128,
    'state': 'ready',
    'coldLeftMs': 250,
    'models': [{'name': 'm', 'version': 3, 'adapters': []}],
    'sequence': 4,
    'born': 1234,
}
STATE = {
    'version': 7,
    'routes': [
        {
            'name': 'r',
            'host': 'h',
            'prefix': '/a/',
            'kind': 'streaming',
            'timeoutMs': 3000,
            'sloMs': 800,
            'priority': 0,
            'attempts': 2,
            'backends': [
                {'service': 's', 'weight': 90},
                {'service': 't', 'weight': 10},
            ],
            'canResume': True,
            'gapAimMs': 400,
        }
    ],
    'services': [
        {
            'name': 'k',
            'kvStoreAddr': '127.0.0.1:2',
            'zone': 'z',
            'kvTokens': 5,
            'linkMbps': 9.0,
            'maxInflight': 12,
            'managed': True,
            'first_ms': 6.0,
        },
        {
            'name': 's',
            'healthPath': '/health',
            'maxConns': 620,
            'coldStartS': 3.0,
            'coldPerS': 20.0,
            'engine': {
                'capacity': 128,
                'kvTokens': 1000,
                'kvBytes': 18432,
                'maxInflight': 12,
                'managed': True,
            },
        },
    ],
    'limits': {'headerBytes': 1, 'bodyBytes': 2, 'headerMs': 3, 'idleMs': 4},
    'tenants': [
        {'name': 't', 'apiKeys': ['a', 'b'], 'priority': 1, 'isolated': True}
    ],
}


def decode(key, value, revision=1):
    data = None if value is None else json.dumps(value).encode()
    return AllianceRecords().decode(Record(key, revision, data))


def test_target_record_is_decoded():
    change = decode('servers/i-1', TARGET)
    assert isinstance(change, TargetListed)
    target = change.target
    assert (target.id, target.started_at_ms, target.heartbeat) == (
        'i-1',
        1234,
        4,
    )
    assert target.weights == {'m': 3}
    assert target.cold_remaining_ms == 250.0
    assert target.software_version == 'v1'


@pytest.mark.parametrize(
    ('listed', 'expected'),
    [('v1.2', 'v1.2'), (3, '3'), (None, ''), (True, ''), (['v1'], '')],
)
def test_a_target_may_state_no_usable_software_version(listed, expected):
    change = decode('servers/i-1', TARGET | {'version': listed})
    assert isinstance(change, TargetListed)
    assert change.target.software_version == expected


@pytest.mark.parametrize(
    'changes',
    [
        {'state': 'sleeping'},
        {'sequence': 'four'},
        {'address': None},
        {'models': {}},
    ],
)
def test_invalid_target_record_unlists_the_target(changes):
    """A record of another writer may not have the expected format."""
    assert decode('servers/i-1', TARGET | changes) == TargetUnlisted('i-1')


@given(st.binary(max_size=40))
def test_undecodable_target_record_unlists_the_target(data):
    change = AllianceRecords().decode(Record('servers/i-1', 1, data))
    assert change == TargetUnlisted('i-1')


def test_removed_target_is_unlisted():
    assert decode('servers/i-1', None) == TargetUnlisted('i-1')


def test_desired_state_is_decoded():
    change = decode('op/config', STATE)
    assert isinstance(change, DesiredStateChanged)
    state = change.state
    route = state.routes[0]
    assert route.kind is RouteKind.STREAMING
    assert route.idempotent
    assert [share.weight for share in route.shares] == [90, 10]
    assert route.max_targets == 2
    assert state.services['s'].cold_start_ms == 3_000.0
    assert state.services['s'].engine.cache_tokens == 1000
    assert state.stores[0].first_byte_ms == 6.0
    assert 'k' not in state.services
    assert state.teams[0].isolated
    assert state.limits.idle_ms == 4


def test_operator_records_are_decoded():
    weights = decode('op/version/m', {'model': 'm', 'version': 2})
    assert weights == DesiredWeightsChanged('m', 2)
    assert decode('op/evacuate/z', {}) == DomainServiceChanged('z', False)
    assert decode('op/evacuate/z', None) == DomainServiceChanged('z', True)
    assert decode('op/unknown', {}) is None


# Guards against an intake that stops: bytes that can't be read may be nested
# deeper than the decoder goes.
@pytest.mark.parametrize('key', ['servers/t1', 'op/config', 'op/version/m'])
def test_a_record_that_is_nested_too_deeply_is_malformed(key):
    record = Record(key, 1, b'{"a":' * 100_000)
    change = AllianceRecords().decode(record)
    assert change is None or change == TargetUnlisted('t1')


# Guards against updates between entries that fail as a whole: they have the
# start of a target as a number of 64 bits.
@pytest.mark.parametrize('born', [2**63, -(2**63) - 1, 10**30])
def test_a_start_of_more_than_64_bits_is_malformed(born):
    change = decode('servers/i-1', TARGET | {'born': born})
    assert not isinstance(change, TargetListed)


def test_the_largest_start_is_decoded():
    change = decode('servers/i-1', TARGET | {'born': 2**63 - 1})
    assert change.target.started_at_ms == 2**63 - 1


ROLLOUT = {'service': 's', 'to': 'v2', 'durationS': 12}


@pytest.mark.parametrize(
    'value, expected',
    (
        (ROLLOUT, SoftwareRolloutOrdered('s', 'v2', 12_000.0, 8)),
        (ROLLOUT | {'to': 3}, SoftwareRolloutOrdered('s', '3', 12_000.0, 8)),
        (
            ROLLOUT | {'durationS': 'x'},
            SoftwareRolloutOrdered('s', 'v2', 0.0, 8),
        ),
        ({'to': 'v2'}, SoftwareRolloutOrdered('s', 'v2', 0.0, 8)),
        (
            ROLLOUT | {'durationS': 1e308},
            SoftwareRolloutOrdered('s', 'v2', 0.0, 8),
        ),
        (
            ROLLOUT | {'service': 'other'},
            SoftwareRolloutOrdered('s', 'v2', 0.0, 8),
        ),
        (ROLLOUT | {'to': None}, SoftwareRolloutUnreadable('s')),
        ([], SoftwareRolloutUnreadable('s')),
        (None, SoftwareRolloutWithdrawn('s')),
    ),
)
def test_the_order_of_a_rollout_is_decoded(value, expected):
    assert decode('op/rollout/s', value, revision=8) == expected


@pytest.mark.parametrize(
    'stage, state',
    (
        (Stage.CANARY, 'running'),
        (Stage.FULL, 'running'),
        (Stage.DONE, 'done'),
        (Stage.ROLLED_BACK, 'rolled_back'),
    ),
)
def test_the_status_of_a_rollout_is_encoded(stage, state):
    key, value = AllianceRollouts().encode('s', stage, 'v2')
    assert key == 'status/rollout/s'
    assert json.loads(value) == {'state': state, 'to': 'v2'}
