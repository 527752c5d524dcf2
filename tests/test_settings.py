import json

from hypothesis import given
from hypothesis import strategies as st

from wigeonmill.settings import check_settings
from wigeonmill.settings import load_settings

VALID = {
    'process': 'entry-1',
    'roles': ['entry'],
    'inner_key_file': 'key.txt',
}


def test_valid_settings_get_defaults():
    settings = check_settings(VALID).unwrap()
    assert settings.entry.candidates == 3


def test_all_faults_are_reported_together():
    raw = dict(VALID, inner='localhost', log_level='LOUD', colour='red')
    raw['entry'] = {'candidates': 'three'}
    faults = check_settings(raw).unwrap_err()
    text = '\n'.join(map(str, faults))
    assert 'colour' in text
    assert 'log_level' in text
    assert 'entry.candidates' in text


def test_addresses_and_roles_are_validated():
    raw = dict(VALID, inner='localhost:1', roles=['agent'])
    faults = check_settings(raw).unwrap_err()
    assert {fault.key for fault in faults} == {'inner', 'agent.target'}


def test_malformed_file_names_the_file(tmp_path):
    path = tmp_path / 'settings.json'
    path.write_text('{"process": ')
    fault = load_settings(str(path)).unwrap_err()[0]
    assert str(path) in str(fault)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)


@given(
    st.dictionaries(
        st.sampled_from(['process', 'inner', 'entry', 'x']), JSON_VALUES
    )
)
def test_any_json_gives_settings_or_faults(extra):
    outcome = check_settings(json.loads(json.dumps({**VALID, **extra})))
    if outcome.is_ok():
        assert outcome.unwrap().roles == ['entry']
    else:
        assert all(fault.advice for fault in outcome.unwrap_err())
