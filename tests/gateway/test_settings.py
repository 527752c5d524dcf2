import msgspec
import pytest

from tests.platform.crowd import fill_template
from tests.platform.crowd import TEMPLATE
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


# Guards against LOST: 7.5 s became 7.5 ms, and a process that was stopped cut
# off its callers.
@pytest.mark.parametrize('seconds', [8, 7.5, 0.5, 1e1, 12.0])
def test_a_time_may_be_stated_in_seconds(load, seconds):
    assert load(grace_s=seconds).unwrap().grace_ms == seconds * 1_000.0
    stated = load(policies=['p'], by_policy={'p': {'grace_s': seconds}})
    assert stated.unwrap().grace_ms == seconds * 1_000.0


@pytest.mark.parametrize('value', [True, None, '8', 0, -1.0, 1e300, [8]])
def test_a_time_that_is_no_number_of_seconds_is_a_fault(load, value):
    (fault,) = load(grace_s=value).unwrap_err()
    assert fault.key == 'grace_s'
    (fault,) = load(by_policy={'p': {'grace_s': value}}).unwrap_err()
    assert fault.key == 'by_policy.p.grace_s'


def test_a_time_that_is_stated_twice_is_a_fault(load):
    (fault,) = load(grace_s=8, grace_ms=7_500).unwrap_err()
    assert fault.key == 'grace_s'


def test_a_key_that_is_no_time_is_not_taken_for_seconds(load):
    assert load(no_such_s=1).is_err()


@pytest.mark.parametrize('text', ['', '{', '{"grace_s": }', '\udc80'])
def test_a_file_that_is_no_json_is_a_fault(tmp_path, text):
    path = tmp_path / 'settings.json'
    path.write_bytes(text.encode('utf-8', 'surrogateescape'))
    assert load_gateway_settings(str(path)).is_err()


BOUNDS = {
    'contactMs': 3000,
    'graceS': 8,
    'budgetRatio': 0.2,
    'budgetWindowS': 10,
    'retrySlack': 58,
    'leaseMs': 3000,
    'versionMs': 10000,
    'exposeShare': 0.1,
    'exposeSlack': 50,
    'rollbackMs': 5000,
}
LIMITS = {'linkMbps': 1000, 'memoryMb': 150, 'maxFds': 4100}
# The settings that follow from each of the platform's figures.
SETTINGS_OF = {
    'contactMs': [('contact_ms', 1)],
    'graceS': [('grace_ms', 1_000)],
    'budgetRatio': [('retry_ratio', 1)],
    'budgetWindowS': [
        ('retry_window_ms', 1_000),
        ('extra_work_window_ms', 1_000),
    ],
    'retrySlack': [('retry_slack', 1)],
    'leaseMs': [('lease_ms', 1)],
    'versionMs': [('weights_deadline_ms', 1)],
    'exposeShare': [('rollout_share', 1)],
    'exposeSlack': [('rollout_slack', 1)],
    'rollbackMs': [('rollback_ms', 1)],
    'linkMbps': [('link_mbps', 1)],
    'memoryMb': [('memory_mb', 1)],
    'maxFds': [('max_descriptors', 1)],
}


def fill_deployed(tmp_path, figures):
    """Fill in the deployed template with figures, written as given."""
    fields = {
        'nodeName': 'e1',
        'zone': 'd1',
        'region': 'r1',
        'zones': {'d1': 'r1'},
        'listenAddrs': {
            'front': '127.0.0.1:7001',
            'ready': '127.0.0.1:7002',
            'control': '127.0.0.1:7003',
        },
        'ip': '127.0.0.1',
        'seeds': ['127.0.0.1:7003'],
        'provider': {'address': '127.0.0.1:2379', 'ttlMinMs': 1000},
        'policies': ['base'],
        'bounds': {key: f'<{key}>' for key in BOUNDS},
        'limits': {key: f'<{key}>' for key in LIMITS},
    }
    text = fill_template(TEMPLATE.read_text(), fields)
    for key, figure in figures.items():
        text = text.replace(f'"<{key}>"', figure)
    path = tmp_path / 'settings.json'
    path.write_text(text)
    return load_gateway_settings(str(path))


# Guards against LOST: zeros that were appended to a figure of the platform
# made a thousandth of a fraction, and no number of one with an exponent.
@pytest.mark.parametrize('key', BOUNDS | LIMITS)
@pytest.mark.parametrize('figure', ['7', '7.5', '7.0', '0.5', '1e1', '1.5E+1'])
def test_each_figure_of_the_platform_may_be_any_number(tmp_path, key, figure):
    figures = {k: str(v) for k, v in (BOUNDS | LIMITS).items()}
    loaded = fill_deployed(tmp_path, figures | {key: figure})
    if key == 'exposeShare' and float(figure) > 1:
        assert loaded.is_err()
        return
    for name, factor in SETTINGS_OF[key]:
        assert getattr(loaded.unwrap(), name) == float(figure) * factor


@pytest.mark.parametrize('key', BOUNDS | LIMITS)
@pytest.mark.parametrize('figure', ['true', '"7"', 'null', '-1', '1e999', ''])
def test_a_figure_that_can_not_be_used_is_a_fault(tmp_path, key, figure):
    figures = {k: str(v) for k, v in (BOUNDS | LIMITS).items()}
    assert fill_deployed(tmp_path, figures | {key: figure}).is_err()
