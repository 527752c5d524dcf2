import msgspec
import pytest

from wigeonmill.gateway.settings import load_gateway_settings

REQUIRED = {
    'process': 'e1',
    'failure_domain': 'd1',
    'region': 'r1',
    'regions': {'d1': 'r1'},
    'callers': '127.0.0.1:7001',
    'ready': '127.0.0.1:7002',
    'inner': '127.0.0.1:7003',
    'key_value': '127.0.0.1:2379',
}


@pytest.fixture
def load(tmp_path):
    path = tmp_path / 'settings.json'

    def loaded(**changes):
        path.write_bytes(msgspec.json.encode(REQUIRED | changes))
        return load_gateway_settings(str(path))

    return loaded


def test_settings_of_a_stated_policy_replace_the_others(load):
    by_policy = {'crowded': {'fair_admission': True}}
    stated = load(policies=['base', 'crowded'], by_policy=by_policy)
    assert stated.unwrap().fair_admission is True
    other = load(policies=['base'], by_policy=by_policy)
    assert other.unwrap().fair_admission is False


def test_the_later_of_two_policies_wins(load):
    by_policy = {'a': {'idle_ms': 2}, 'b': {'idle_ms': 3}}
    assert load(policies=['b', 'a'], by_policy=by_policy).unwrap().idle_ms == 2


@pytest.mark.parametrize(
    'changes', ({'no_such_setting': 1}, {'idle_ms': 'long'}, {'idle_ms': 0})
)
def test_a_mistake_shows_before_its_policy_is_stated(load, changes):
    faults = load(by_policy={'crowded': changes}).unwrap_err()
    assert len(faults) == 1


def test_a_file_that_is_no_object_is_a_fault(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text('[1]')
    assert load_gateway_settings(str(path)).is_err()
